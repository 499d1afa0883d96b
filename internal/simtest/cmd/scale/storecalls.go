package main

import (
	"time"

	"github.com/citrongate/citrongate/pkg/store"
)

// callRate is the calls at the platform in one second.
type callRate struct{ reads, writes float64 }

func platformCalls(f *fleet) callRate {
	calls := f.Platform.Calls
	writes := calls[store.Create] + calls[store.Update] + calls[store.Delete]
	reads := f.Platform.Lists
	for _, n := range calls {
		reads += n
	}
	return callRate{float64(reads - writes), float64(writes)}
}

// busiest runs the fleet for a time and returns the calls in its busiest second
// and the mean.
func busiest(f *fleet, duration time.Duration) (most, mean callRate) {
	last := platformCalls(f)
	first, seconds := last, duration.Seconds()
	for range int(seconds) {
		f.Loop.RunUntil(f.Loop.Now() + time.Second)
		now := platformCalls(f)
		most.reads = max(most.reads, now.reads-last.reads)
		most.writes = max(most.writes, now.writes-last.writes)
		last = now
	}
	return most, callRate{(last.reads - first.reads) / seconds, (last.writes - first.writes) / seconds}
}

// measureStoreCalls counts the calls at the platform when all nodes start at
// once, at rest, and during and after an outage.
func measureStoreCalls(r *report, s shape, seed uint64) {
	f := newFleet(s, options{seed: seed, learned: true})
	most, _ := busiest(f, 2*startTime)
	r.add("store_calls_start_peak", s.nodes, most.reads+most.writes, "calls/s")
	f.Instances[0].Change(applySmall(s))
	most, _ = busiest(f, 6*time.Second)
	r.add("store_calls_first_set_peak", s.nodes, most.reads+most.writes, "calls/s")
	_, mean := busiest(f, 10*time.Second)
	r.add("store_calls_rest", s.nodes, mean.reads+mean.writes, "calls/s")
	f.Platform.SetOutage(true)
	most, _ = busiest(f, 15*time.Second)
	r.add("store_calls_outage_peak", s.nodes, most.reads+most.writes, "calls/s")
	f.Platform.SetOutage(false)
	most, _ = busiest(f, 8*time.Second)
	r.add("store_calls_after_outage_peak", s.nodes, most.reads+most.writes, "calls/s")
}
