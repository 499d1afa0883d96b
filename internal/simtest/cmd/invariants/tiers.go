package main

import (
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
)

const (
	// decisionSlack covers the way of a decision from the owner to the entry
	// and back: two message delays, a tick and the delay of a handover.
	decisionSlack = 100 * time.Millisecond
	// repairTime is how long a lost frame may delay what its receiver knows:
	// the first repetition of an offer, with its jitter.
	repairTime = 700 * time.Millisecond
	// healTime is how long two instances that took each other for dead may need
	// to find out that the path between them works again: two ping intervals.
	healTime = 1000 * time.Millisecond
	// resumeTime is how long a process that continues after a pause needs to
	// find out who owns what: a round trip, and the synchronisation.
	resumeTime = 1000 * time.Millisecond
)

// checkTierOrder: at the moment a request is shed, no lower-tier request waits
// at a reachable instance for the same upstreams, and none was dispatched while
// it waited. All model kinds of the fixture share all engines.
//
// Not reachable are an instance that was paused while the request waited, one
// whose frames were lost, and one that has just been cut off.
func checkTierOrder(r *run, v *verdict) {
	var model []*simtest.Request
	for _, request := range r.world.Trace.Requests {
		if request.Spec.Model != "" {
			model = append(model, request)
		}
	}
	for _, shed := range model {
		if shed.Code != "shed_overload" && shed.Code != "expired_waiting" {
			continue
		}
		if r.unreachable(shed, shed.Address) {
			continue
		}
		v.judged++
		for _, lower := range model {
			if lower.Spec.Tier > shed.Spec.Tier {
				r.compare(v, shed, lower)
			}
		}
	}
}

func (r *run) compare(v *verdict, shed, lower *simtest.Request) {
	if lower.Submitted > shed.Ended-decisionSlack {
		return
	}
	if dispatched := lower.Dispatches; len(dispatched) > 0 {
		at := dispatched[len(dispatched)-1].At
		if at > waitedSince(shed)+decisionSlack && at < shed.Ended-decisionSlack && !r.unreachable(shed, lower.Address) {
			v.fail("%s was dispatched at %v while this waited and was shed: %s", show(lower), at, show(shed))
		}
		return
	}
	if (lower.Ended == 0 || lower.Ended > shed.Ended+decisionSlack) && !r.unreachable(shed, lower.Address) {
		v.fail("%s waited while this was shed: %s", show(lower), show(shed))
	}
}

// waitedSince returns since when a request waited: while its connection to an
// upstream was tried and refused, it did not wait.
func waitedSince(request *simtest.Request) time.Duration {
	if n := len(request.Dispatches); n > 0 {
		return request.Dispatches[n-1].At
	}
	return request.Submitted
}

// unreachable reports whether an instance could not be reached at some time
// while a request waited: it was paused, or frames to or from it were lost.
func (r *run) unreachable(shed *simtest.Request, address string) bool {
	from, until := shed.Submitted-repairTime, shed.Ended+decisionSlack
	if r.hitBetween(address, from, until, "lost", "kill") || r.hitBetween(address, shed.Submitted-healTime, until, "heal") {
		return true
	}
	return r.pausedBetween(address, from, until)
}

// pausedBetween reports whether a process was paused at some time of an
// interval, or had not yet found out who owns what after a pause.
func (r *run) pausedBetween(address string, from, until time.Duration) bool {
	since := time.Duration(-1)
	for _, d := range r.world.Trace.Disturbances {
		if d.Address != address {
			continue
		}
		switch d.What {
		case "pause":
			since = d.At
		case "resume":
			if since >= 0 && since <= until && d.At+resumeTime >= from {
				return true
			}
			since = -1
		}
	}
	return since >= 0 && since <= until
}
