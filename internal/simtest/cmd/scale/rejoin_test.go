package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against readers that ask instances of other cells to join for ever:
// each answer names two contacts of every cell, so that what a reader received
// grew with the number of cells.
func TestReadersDoNotJoinOtherCellsForEver(t *testing.T) {
	s := shape{nodes: 24, cellSize: 6, upstreams: 4, organisations: 2, models: 1}
	f := newFleet(s, options{seed: 3})
	// A reader learns the cells of the listed addresses one by one at first.
	f.Loop.RunUntil(2 * time.Minute)
	log := record(f)
	f.Loop.RunUntil(3 * time.Minute)
	joins := map[string]int{}
	for _, m := range *log {
		if m.body.GetJoin() != nil {
			joins[m.from]++
		}
	}
	// An answer at the target is about 4.4 KB; a tenth of the budget of 2 KB/s
	// allows one in 21 s.
	for name, count := range joins {
		require.LessOrEqual(t, count, 60/21, name)
	}
}
