package main

import (
	"time"

	"github.com/citrongate/citrongate/pkg/store"
)

// callRate is the number of calls at the platform's store in one second.
type callRate struct{ reads, writes float64 }

func platformCalls(f *fleet) callRate {
	calls := f.Platform.Calls
	writes := calls[store.Create] + calls[store.Update] + calls[store.Delete]
	reads := f.Platform.ListReads
	for _, n := range calls {
		reads += n
	}
	return callRate{float64(reads - writes), float64(writes)}
}

// busiestSecond runs the fleet for a time and returns the calls in its busiest second
// and the mean per second.
func busiestSecond(f *fleet, duration time.Duration) (peak, mean callRate) {
	last := platformCalls(f)
	first, seconds := last, duration.Seconds()
	for range int(seconds) {
		f.Loop.RunUntil(f.Loop.Now() + time.Second)
		now := platformCalls(f)
		peak.reads = max(peak.reads, now.reads-last.reads)
		peak.writes = max(peak.writes, now.writes-last.writes)
		last = now
	}
	return peak, callRate{(last.reads - first.reads) / seconds, (last.writes - first.writes) / seconds}
}

// measureStoreCalls counts the calls at the platform's store when all nodes start
// at once, at rest, and during and after an outage.
func measureStoreCalls(r *report, s shape, seed uint64) {
	f := newFleet(s, options{seed: seed, learnsConfig: true})
	peak, _ := busiestSecond(f, 2*startTime)
	r.add("store_calls_start_peak", s.nodes, peak.reads+peak.writes, "calls/s")
	f.Instances[0].Change(initialChange(s))
	peak, _ = busiestSecond(f, 6*time.Second)
	r.add("store_calls_first_set_peak", s.nodes, peak.reads+peak.writes, "calls/s")
	_, mean := busiestSecond(f, 10*time.Second)
	r.add("store_calls_rest", s.nodes, mean.reads+mean.writes, "calls/s")
	f.Platform.SetOutage(true)
	peak, _ = busiestSecond(f, 15*time.Second)
	r.add("store_calls_outage_peak", s.nodes, peak.reads+peak.writes, "calls/s")
	f.Platform.SetOutage(false)
	peak, _ = busiestSecond(f, 8*time.Second)
	r.add("store_calls_after_outage_peak", s.nodes, peak.reads+peak.writes, "calls/s")
}
