// Command invariants runs small deployments in virtual time under faults, alone
// and two at a time, and judges the promises of section 2.1 of the design from
// what callers, upstreams and operators saw. It then breaks each promise on
// purpose and requires the same check to notice.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all runs")
	runs := flag.Int("runs", 3, "runs of each fault and each pair of faults")
	only := flag.String("only", "", "check only this invariant")
	workers := flag.Int("workers", 4, "runs in parallel")
	flag.Parse()
	ok := runInvariants(*seed, *runs, *workers, *only)
	ok = runMutants(*seed, *workers, *only) && ok
	if !ok {
		fmt.Println("invariants: FAILED")
		os.Exit(1)
	}
	fmt.Println("invariants: ok")
}
