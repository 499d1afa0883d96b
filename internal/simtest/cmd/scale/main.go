// Command scale measures how the cost of control grows with the fleet: bytes,
// processor time, memory and calls to the platform's store, with the node
// library in virtual time. It prints the measured values, a fitted line per
// quantity and the value at the target of section 2.4 of the design.
package main

import (
	"flag"
	"os"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all runs")
	seeds := flag.Int("seeds", 100, "seeds of the time until a change is in force")
	workers := flag.Int("workers", 4, "runs in parallel where processor time is not measured")
	plotFile := flag.String("plot", "", "write the plot of bytes per node to this PNG file")
	dense := flag.Bool("dense", false, "measure only the cell with the target's load")
	flag.Parse()
	r := newReport(os.Stdout)
	if *dense {
		measureDense(r, *seed)
		measureFlood(r, 32, *seed)
		return
	}
	run(r, *seed, *seeds, *workers)
	if *plotFile != "" {
		if err := writePlot(r, *plotFile); err != nil {
			panic(err)
		}
	}
}

func run(r *report, seed uint64, seeds, workers int) {
	measureMemory(r)
	measureChangePayload(r)
	measureEvents(r)
	for _, nodes := range []int{8, 32, 128, 512} {
		measureRest(r, ofNodes(nodes), seed)
	}
	for _, nodes := range []int{8, 32, 128} {
		measureRequests(r, ofNodes(nodes), seed)
	}
	for _, nodes := range []int{8, 32, 128, 512} {
		measureStoreCalls(r, ofNodes(nodes), seed)
	}
	small := shape{nodes: 32, cellSize: 8, upstreams: 32, organisations: 50, models: 4}
	slowest := reportChanges(r, small, measureSeeds(small, seed, seeds, workers))
	large := shape{nodes: 512, cellSize: 64, upstreams: 64, organisations: 50, models: 4}
	slowest = max(slowest, reportChanges(r, large, measureSeeds(large, seed, 3, workers)))
	measureDense(r, seed)
	measureFlood(r, 32, seed)
	reportRegionLoss(r, seed)
	r.fits()
	judge(r, slowest)
}
