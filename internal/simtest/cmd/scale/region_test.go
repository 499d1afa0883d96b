package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a region that stops serving while it is partitioned, against
// changes that are accepted without the store or reverted, and against members that
// don't find each other again after all contacts were given up. Three minutes are
// longer than tombstones and contacts last; make scale partitions the regions for
// an hour.
func TestRegionsPartitionAndRejoin(t *testing.T) {
	for seed := range uint64(4) {
		run := runRegionLoss(regionShape(16), seed+1, 3*time.Minute, seed%2 == 1)
		t.Logf("%+v", run)
		require.Positive(t, run.accepted)
		require.Zero(t, run.refused, "the region with the store refused changes")
		require.Zero(t, run.acceptedWithoutStore, "the region without the store accepted changes")
		require.Positive(t, run.refusedUnavailable, "the region without the store never answered store_unavailable")
		require.Zero(t, run.reverted)
		require.Equal(t, 1.0, run.answeredWithStore)
		require.Equal(t, 1.0, run.answeredWithoutStore)
		require.LessOrEqual(t, run.caughtUp, 5*time.Second)
	}
}
