package main

import "github.com/citrongate/citrongate/pkg/node"

// nodesSuite runs instances that are called through the project's own protocol.
func nodesSuite() *suite {
	s := &suite{
		name: "nodes",
		mutants: []mutant{
			{"second-dispatch", "P1", []string{"pause", "one-way-cut", "loss"}},
			{"tier-check-removed", "P2", nil},
			{"answer-id-unchecked", "P3", nil},
			{"run-denied", "P4", []string{"engine-death"}},
			{"repetitions-trusted", "P4", []string{"store-outage"}},
			{"missing-claim", "P5", nil},
			{"leaving-ignored", "P6", nil},
			{"drain-cuts", "P7", nil},
			{"version-check-removed", "P8", []string{"racing-operators"}},
			{"fencing-ignored", "leases", []string{"pause"}},
		},
		execute: executeNodes,
	}
	for _, f := range faults {
		s.faults = append(s.faults, f.name)
	}
	for _, inv := range invariants {
		s.invariants = append(s.invariants, inv.name)
	}
	return s
}

// mutations maps each mutant's name to the check or rule that it disables.
var mutations = map[string]mutation{
	"second-dispatch":       mutation{node: node.Mutations{DispatchTwice: true}},
	"tier-check-removed":    mutation{node: node.Mutations{IgnoreTiers: true}},
	"answer-id-unchecked":   mutation{uncheckedAnswers: true},
	"run-denied":            mutation{node: node.Mutations{ReportNotRun: true}},
	"repetitions-trusted":   mutation{node: node.Mutations{TreatRetriesAsFirst: true}},
	"missing-claim":         mutation{node: node.Mutations{SkipClaim: true}},
	"leaving-ignored":       mutation{node: node.Mutations{IgnoreLeaving: true}},
	"drain-cuts":            mutation{node: node.Mutations{DrainCancels: true}},
	"version-check-removed": mutation{ignoreVersions: true},
	"fencing-ignored":       mutation{ignoreFencing: true},
}

func executeNodes(j *job) []verdict {
	r := newRun(j.seed, faultsByName(j.faults), mutations[j.mutant])
	r.execute()
	verdicts := make([]verdict, len(invariants))
	for n, inv := range invariants {
		inv.check(r, &verdicts[n])
	}
	return verdicts
}

func faultsByName(names []string) []fault {
	var found []fault
	for _, name := range names {
		for _, f := range faults {
			if f.name == name {
				found = append(found, f)
			}
		}
	}
	return found
}
