package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against readers that send joins to instances of other cells for ever: each
// answer names two contacts of every cell, so the bytes that a reader received grew
// with the number of cells.
func TestReadersDoNotJoinOtherCellsForEver(t *testing.T) {
	s := shape{nodes: 24, cellSize: 6, upstreams: 4, organisations: 2, models: 1}
	f := newFleet(s, options{seed: 3})
	// At first a reader learns the cells of the listed addresses one by one.
	f.Loop.RunUntil(2 * time.Minute)
	log := recordMessages(f)
	f.Loop.RunUntil(3 * time.Minute)
	joins := map[string]int{}
	for _, m := range *log {
		if m.body.GetJoin() != nil {
			joins[m.from]++
		}
	}
	// A join answer at the target has about 4.4 KB; a tenth of the budget of 2 KB/s
	// allows one in 21 s.
	for name, count := range joins {
		require.LessOrEqual(t, count, 60/21, name)
	}
}
