package main

import (
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/ingress"
)

// gatewaysSuite plays gateways that read configuration and servers from a store.
func gatewaysSuite() *suite {
	s := &suite{
		name: "gateways",
		mutants: []mutant{
			{"clock-without-pauses", "G1", []string{"freeze+store-outage", "freeze+store-cut", "freeze+slow-store"}},
			{"revocation-lenient", "G1", []string{"store-cut", "store-outage"}},
			{"freshness-ignored", "G2", []string{"store-cut", "store-outage"}},
			{"oldest-wins", "G3", []string{"rewind"}},
			{"quota-whole-at-each", "G4", nil},
			{"quota-full-at-start", "G4", []string{"newcomers", "power-loss"}},
			{"lapsed-are-gone", "G5", []string{"store-outage"}},
			{"reads-end-at-failure", "G6", []string{"store-outage", "power-loss"}},
		},
		play: playGateways,
	}
	for _, f := range gatewayFaults {
		s.faults = append(s.faults, f.name)
	}
	for _, inv := range gatewayInvariants {
		s.invariants = append(s.invariants, inv.name)
	}
	return s
}

func playGateways(j *job) []verdict {
	r := newGatewayRun(j.seed, j.faults, j.mutant)
	r.execute()
	verdicts := make([]verdict, len(gatewayInvariants))
	for n, inv := range gatewayInvariants {
		inv.check(r, &verdicts[n])
	}
	return verdicts
}

// gate is the configuration side of one gateway process.
type gate struct {
	run      *gatewayRun
	instance *simtest.Instance
	state    ingress.State
	revision uint64
	// confirmation is the newest one, or a mutant's.
	confirmation ingress.Confirmation
	table        *ingress.Table
	// ended is true once a mutant reads no more.
	ended bool
	// listed is true once the store has shown servers to this process.
	listed bool
	// paused is how long the process stood still.
	paused time.Duration
}
