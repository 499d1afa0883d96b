// Command scale measures how the cost of control grows with the fleet: bytes,
// processor time, memory and calls to the platform's store, with the node
// library in virtual time. It prints the measured values, a fitted line per
// quantity and the value at the target of section 2.4 of the design.
package main

import (
	"bytes"
	"flag"
	"os"
	"sync"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all runs")
	seeds := flag.Int("seeds", 100, "seeds of the time until a change is in force")
	workers := flag.Int("workers", 6, "runs in parallel where processor time is not measured")
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
	measureDense(r, seed)
	small := shape{nodes: 32, cellSize: 8, upstreams: 32, organisations: 50, models: 4}
	large := shape{nodes: 512, cellSize: 64, upstreams: 64, organisations: 50, models: 4}
	var jobs []func(*report)
	// The longest first.
	for _, nodes := range []int{512, 128, 32, 8} {
		jobs = append(jobs, func(r *report) { measureStoreCalls(r, ofNodes(nodes), seed) })
	}
	jobs = append(jobs,
		func(r *report) { reportChanges(r, large, measureSeeds(large, seed, 3, 3)) },
		func(r *report) { reportChanges(r, small, measureSeeds(small, seed, seeds, 1)) },
		func(r *report) { reportRegionLoss(r, seed) },
		func(r *report) { measureFlood(r, 32, seed) },
	)
	runJobs(r, jobs, workers)
	r.fits()
	judge(r)
}

// runJobs runs measurements that do not measure processor time, some at the same
// time, and prints their lines in order.
func runJobs(r *report, jobs []func(*report), workers int) {
	reports, lines := make([]*report, len(jobs)), make([]bytes.Buffer, len(jobs))
	slots := make(chan struct{}, workers)
	var wait sync.WaitGroup
	for n, job := range jobs {
		reports[n] = newReport(&lines[n])
		slots <- struct{}{}
		wait.Go(func() {
			job(reports[n])
			<-slots
		})
	}
	wait.Wait()
	for n := range jobs {
		r.merge(reports[n], lines[n].String())
	}
}
