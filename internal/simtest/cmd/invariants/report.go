package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/citrongate/citrongate/pkg/node"
)

// job is one run to execute, and its verdicts by invariant.
type job struct {
	seed     uint64
	faults   []fault
	mutation mutation
	verdicts []verdict
}

func (j *job) execute() {
	r := newRun(j.seed, j.faults, j.mutation)
	r.execute()
	j.verdicts = make([]verdict, len(invariants))
	for n, inv := range invariants {
		inv.check(r, &j.verdicts[n])
	}
}

// executeAll runs jobs on a few workers. Each run is determined by its seed.
func executeAll(jobs []*job, workers int) {
	work := make(chan *job)
	var done sync.WaitGroup
	for range workers {
		done.Add(1)
		go func() {
			defer done.Done()
			for j := range work {
				j.execute()
			}
		}()
	}
	for _, j := range jobs {
		work <- j
	}
	close(work)
	done.Wait()
}

func faultNames(faults []fault) string {
	if len(faults) == 0 {
		return "none"
	}
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return strings.Join(names, "+")
}

// runInvariants runs all schedules and prints one line per invariant for the
// single faults and one for the pairs.
func runInvariants(seed uint64, runs, workers int, only string) bool {
	single, pairs := schedules()
	singles := jobsFor(append([][]fault{nil}, single...), seed, runs)
	paired := jobsFor(pairs, seed+1_000_000, runs)
	executeAll(append(append([]*job(nil), singles...), paired...), workers)
	var kinds []string
	for _, f := range faults {
		kinds = append(kinds, f.name)
	}
	ok := true
	for n, inv := range invariants {
		if only != "" && !strings.HasPrefix(inv.name, only) {
			continue
		}
		ok = report(n, "none,"+strings.Join(kinds, ","), singles) && ok
		ok = report(n, "pairs", paired) && ok
	}
	return ok
}

func jobsFor(schedules [][]fault, seed uint64, runs int) []*job {
	var jobs []*job
	for _, schedule := range schedules {
		for range runs {
			seed++
			jobs = append(jobs, &job{seed: seed, faults: schedule})
		}
	}
	return jobs
}

// report prints the line of an invariant, and for the first failures the seed
// and a short trace.
func report(n int, faults string, jobs []*job) bool {
	failed, judged := 0, 0
	for _, j := range jobs {
		judged += j.verdicts[n].judged
		if len(j.verdicts[n].violations) > 0 {
			failed++
		}
	}
	status := "ok"
	if failed > 0 {
		status = "FAILED"
	}
	fmt.Printf("invariant %s %s faults=%s runs=%d judged=%d failed=%d\n", invariants[n].name, status, faults, len(jobs), judged, failed)
	doubtful, ended := 0, 0
	for _, j := range jobs {
		doubtful += j.verdicts[n].doubtful
		ended += j.verdicts[n].ended
	}
	if ended > 0 {
		fmt.Printf("rate ran=unknown %.4f of %d requests faults=%s\n", float64(doubtful)/float64(ended), ended, faults)
	}
	shown := 0
	for _, j := range jobs {
		violations := j.verdicts[n].violations
		if len(violations) == 0 || shown == 3 {
			continue
		}
		shown++
		fmt.Printf("  seed=%d faults=%s violations=%d\n    %s\n", j.seed, faultNames(j.faults), len(violations), violations[0])
	}
	return failed == 0
}

// mutant is a fault of the implementation that a check must notice.
type mutant struct {
	name, caughtBy string
	mutation       mutation
	faults         []string
}

var mutants = []mutant{
	{"second-dispatch", "P1", mutation{node: node.Mutations{DispatchTwice: true}}, []string{"pause", "one-way-cut", "loss"}},
	{"tier-check-removed", "P2", mutation{node: node.Mutations{IgnoreTiers: true}}, nil},
	{"answer-id-unchecked", "P3", mutation{answers: true}, nil},
	{"run-denied", "P4", mutation{node: node.Mutations{DenyRun: true}}, []string{"engine-death"}},
	{"repetitions-trusted", "P4", mutation{node: node.Mutations{TrustRepetitions: true}}, []string{"store-outage"}},
	{"missing-claim", "P5", mutation{node: node.Mutations{SkipClaim: true}}, nil},
	{"leaving-ignored", "P6", mutation{node: node.Mutations{IgnoreLeaving: true}}, nil},
	{"drain-cuts", "P7", mutation{node: node.Mutations{DrainCuts: true}}, nil},
	{"version-check-removed", "P8", mutation{versions: true}, []string{"racing-operators"}},
	{"fencing-ignored", "leases", mutation{fencing: true}, []string{"pause"}},
}

// mutantRuns is how many runs a check has to notice a mutant. The rarest
// mutant shows in one run of six.
const mutantRuns = 48

func faultsNamed(names []string) []fault {
	var found []fault
	for _, f := range faults {
		if slices.Contains(names, f.name) {
			found = append(found, f)
		}
	}
	return found
}

// replayRun repeats one run exactly and prints every violation.
func replayRun(seed uint64, names string) {
	j := &job{seed: seed, faults: faultsNamed(strings.Split(names, "+"))}
	j.execute()
	for n, inv := range invariants {
		for _, violation := range j.verdicts[n].violations {
			fmt.Printf("%s: %s\n", inv.name, violation)
		}
	}
}

// runMutants requires that each mutant is noticed by the check of its promise.
func runMutants(seed uint64, workers int, only string) bool {
	ok := true
	for _, m := range mutants {
		if only != "" && m.caughtBy != only {
			continue
		}
		ok = runMutant(m, seed+2_000_000, workers) && ok
	}
	return ok
}

func runMutant(m mutant, seed uint64, workers int) bool {
	var schedules [][]fault
	for _, f := range faultsNamed(m.faults) {
		schedules = append(schedules, []fault{f})
	}
	if schedules == nil {
		schedules = [][]fault{nil}
	}
	jobs := jobsFor(schedules, seed, mutantRuns/len(schedules))
	for _, j := range jobs {
		j.mutation = m.mutation
	}
	executeAll(jobs, workers)
	caught := 0
	for _, j := range jobs {
		for n, inv := range invariants {
			if strings.HasPrefix(inv.name, m.caughtBy) && len(j.verdicts[n].violations) > 0 {
				caught++
			}
		}
	}
	if caught == 0 {
		fmt.Printf("mutant %s NOT CAUGHT runs=%d\n", m.name, len(jobs))
		return false
	}
	fmt.Printf("mutant %s caught by=%s runs=%d of %d\n", m.name, m.caughtBy, caught, len(jobs))
	return true
}
