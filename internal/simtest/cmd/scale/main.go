// Command scale measures how the cost of control grows with the fleet: bytes,
// processor time, memory and calls to the platform's store, with the node
// library in virtual time. It prints the measured values, a fitted line per
// quantity and the value at the target of docs/design.md, section 2.4.
package main

import (
	"bytes"
	"flag"
	"os"
	"sync"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all runs")
	seeds := flag.Int("seeds", 100, "number of seeds with which the time until a change is in force is measured")
	workers := flag.Int("workers", 6, "runs in parallel where processor time is not measured")
	plotFile := flag.String("plot", "", "write the plot of bytes per node to this PNG file")
	denseOnly := flag.Bool("dense", false, "measure only one cell at the target's load, and one with waiting requests")
	flag.Parse()
	r := newReport(os.Stdout)
	if *denseOnly {
		measureDense(r, *seed)
		measureFlood(r, 32, *seed)
		return
	}
	measureAll(r, *seed, *seeds, *workers)
	if *plotFile != "" {
		if err := writePlot(r, *plotFile); err != nil {
			panic(err)
		}
	}
}

func measureAll(r *report, seed uint64, seeds, workers int) {
	measureMemory(r)
	measureChangePayload(r)
	measureEvents(r)
	for _, nodes := range []int{8, 32, 128, 512} {
		measureRest(r, shapeOfNodes(nodes), seed)
	}
	for _, nodes := range []int{8, 32, 128} {
		measureRequests(r, shapeOfNodes(nodes), seed)
	}
	measureDense(r, seed)
	small := shape{nodes: 32, cellSize: 8, upstreams: 32, organisations: 50, models: 4}
	large := shape{nodes: 512, cellSize: 64, upstreams: 64, organisations: 50, models: 4}
	var jobs []func(*report)
	// The longest jobs first.
	for _, nodes := range []int{512, 128, 32, 8} {
		jobs = append(jobs, func(r *report) { measureStoreCalls(r, shapeOfNodes(nodes), seed) })
	}
	jobs = append(jobs,
		func(r *report) { reportChanges(r, large, measureSeeds(large, seed, 3, 3)) },
		func(r *report) { reportChanges(r, small, measureSeeds(small, seed, seeds, 1)) },
		func(r *report) { reportRegionLoss(r, seed) },
		func(r *report) { measureFlood(r, 32, seed) },
	)
	runJobs(r, jobs, workers)
	r.printFits()
	checkTargets(r)
}

// runJobs runs measurements that don't measure processor time, up to workers at
// once, and prints their lines in the order of jobs.
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
