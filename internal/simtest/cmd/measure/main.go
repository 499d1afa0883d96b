// Command measure compares the scheduling policy with the naive baseline and with
// other methods of sharing upstreams, on the same arrivals in one run.
package main

import (
	"flag"
	"os"
	"runtime"

	"github.com/citrongate/citrongate/internal/simtest/measurement"
)

func main() {
	seed := flag.Uint64("seed", 1, "first seed")
	runs := flag.Int("runs", 5, "number of seeds")
	nodeRuns := flag.Int("node-runs", 2, "number of seeds for runs of complete nodes, 0 for none")
	workers := flag.Int("workers", max(1, runtime.NumCPU()/2), "number of concurrent runs")
	deployment := flag.String("deployment", "", "run only this deployment (A or B)")
	scenario := flag.String("scenario", "", "run only this scenario and calm")
	strict := flag.Bool("strict", false, "exit with status 1 if a target is not met")
	flag.Parse()
	met := measurement.Run(os.Stdout, measurement.Options{
		Seed: *seed, Runs: *runs, NodeRuns: min(*nodeRuns, *runs), Workers: *workers, Deployment: *deployment, Scenario: *scenario,
	})
	if *strict && !met {
		os.Exit(1)
	}
}
