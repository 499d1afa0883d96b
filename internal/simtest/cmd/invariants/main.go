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

// seedRange is the distance between the run seeds of two values of -seed, so
// that different values share no run.
const seedRange = 10_000_000

func main() {
	seed := flag.Uint64("seed", 1, "chooses the seeds of all runs; at least 1")
	replay := flag.Uint64("replay", 0, "run only this run seed, with -suite and -faults, and print all violations")
	names := flag.String("faults", "none", "faults of -replay as printed, for example restart+pause")
	runs := flag.Int("runs", 3, "runs of each fault and each pair of faults")
	name := flag.String("suite", "", "run only this suite: nodes or gateways")
	only := flag.String("only", "", "check only this invariant")
	workers := flag.Int("workers", 4, "runs in parallel")
	flag.Parse()
	base := (max(*seed, 1)-1)*seedRange + 1
	ok := true
	for _, s := range suites {
		switch {
		case *name != "" && s.name != *name:
		case *replay != 0:
			s.replayRun(*replay, *names)
		default:
			ok = s.runInvariants(base, *runs, *workers, *only) && ok
			ok = s.runMutants(base, *workers, *only) && ok
		}
	}
	if *replay != 0 {
		return
	}
	if !ok {
		fmt.Println("invariants: FAILED")
		os.Exit(1)
	}
	fmt.Println("invariants: ok")
}
