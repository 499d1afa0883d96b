package main

import (
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/ingress"
)

// gatewaysSuite runs gateways that read configuration and servers from a store.
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
		execute: executeGateways,
	}
	for _, f := range gatewayFaults {
		s.faults = append(s.faults, f.name)
	}
	for _, inv := range gatewayInvariants {
		s.invariants = append(s.invariants, inv.name)
	}
	return s
}

func executeGateways(j *job) []verdict {
	r := newGatewayRun(j.seed, j.faults, j.mutant)
	r.execute()
	verdicts := make([]verdict, len(gatewayInvariants))
	for n, inv := range gatewayInvariants {
		inv.check(r, &verdicts[n])
	}
	return verdicts
}

// gatewayProcess is the configuration state of one gateway process.
type gatewayProcess struct {
	run      *gatewayRun
	instance *simtest.Instance
	state    ingress.State
	revision uint64
	// confirmation is the newest confirmation, or the one that a mutant computed.
	confirmation ingress.Confirmation
	table        *ingress.Table
	// readsEnded is true once a mutant has stopped reading after a failure.
	readsEnded bool
	// knowsServers is true once this process has read entries of servers.
	knowsServers bool
	// pausedTime is the total time that the process was paused.
	pausedTime time.Duration
}
