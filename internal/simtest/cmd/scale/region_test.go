package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a region that stops serving while it is cut off, against
// changes that are accepted without the store or revert, and against members
// that do not find each other again after all contacts were given up. Three
// minutes are longer than tombstones and contacts last; make scale parts the
// regions for an hour.
func TestRegionsPartAndJoin(t *testing.T) {
	for seed := range uint64(4) {
		run := runRegionLoss(regionShape(16), seed+1, 3*time.Minute, seed%2 == 1)
		t.Logf("%+v", run)
		require.Positive(t, run.accepted)
		require.Zero(t, run.refused, "the side with the store accepts changes")
		require.Zero(t, run.lost, "the side without the store accepts none")
		require.Positive(t, run.unavailable, "and says so")
		require.Zero(t, run.reverted)
		require.Equal(t, 1.0, run.servedNear)
		require.Equal(t, 1.0, run.servedFar)
		require.LessOrEqual(t, run.caughtUp, 5*time.Second)
	}
}
