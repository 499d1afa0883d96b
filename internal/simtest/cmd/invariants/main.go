// Command invariants runs small deployments in virtual time under single faults
// and pairs of faults, and checks the promises of docs/design.md, section 2.1,
// against what callers, upstreams and operators observed. It then runs mutants,
// each of which breaks one promise, and requires the check of that promise to fail.
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
	replayFaults := flag.String("faults", "none", "faults of -replay as printed, for example restart+pause")
	runs := flag.Int("runs", 3, "runs of each fault and each pair of faults")
	suiteName := flag.String("suite", "", "run only this suite: nodes or gateways")
	onlyInvariant := flag.String("only", "", "check only this invariant")
	workers := flag.Int("workers", 4, "runs in parallel")
	flag.Parse()
	baseSeed := (max(*seed, 1)-1)*seedRange + 1
	ok := true
	for _, s := range suites {
		switch {
		case *suiteName != "" && s.name != *suiteName:
		case *replay != 0:
			s.replayRun(*replay, *replayFaults)
		default:
			ok = s.runInvariants(baseSeed, *runs, *workers, *onlyInvariant) && ok
			ok = s.runMutants(baseSeed, *workers, *onlyInvariant) && ok
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
