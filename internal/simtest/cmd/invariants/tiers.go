package main

import (
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
)

const (
	// decisionSlack covers the transfer of a decision from the pool's owner to the
	// entry and back: two message delays, a tick and the delay of a handover.
	decisionSlack = 100 * time.Millisecond
	// repairTime is how long the loss of a frame may delay the receiver's knowledge:
	// the first retransmission of an offer, with its jitter.
	repairTime = 700 * time.Millisecond
	// healTime is how long two instances that declared each other dead may need to
	// detect that the path between them works again: two ping intervals.
	healTime = 1000 * time.Millisecond
	// resumeTime is how long a process needs after a pause to learn the current
	// owners: a round trip, and the synchronisation.
	resumeTime = 1000 * time.Millisecond
)

// checkTierOrder: when a request is shed, no request of a lower tier waits at a
// reachable instance for the same upstreams, and none was dispatched while the
// shed request waited. All model kinds of the fixture share all engines.
//
// An instance counts as unreachable if it was paused or killed while the request
// waited, if frames to or from it were lost, or if a cut path to it was restored
// only shortly before.
func checkTierOrder(r *run, v *verdict) {
	var modelCalls []*simtest.Request
	for _, request := range r.world.Trace.Requests {
		if request.Spec.Model != "" {
			modelCalls = append(modelCalls, request)
		}
	}
	for _, shed := range modelCalls {
		if shed.Code != "shed_overload" && shed.Code != "expired_waiting" {
			continue
		}
		if r.unreachable(shed, shed.Address) {
			continue
		}
		v.cases++
		for _, lower := range modelCalls {
			if lower.Spec.Tier > shed.Spec.Tier {
				r.checkAgainstLower(v, shed, lower)
			}
		}
	}
}

func (r *run) checkAgainstLower(v *verdict, shed, lower *simtest.Request) {
	if lower.Submitted > shed.Ended-decisionSlack {
		return
	}
	if dispatched := lower.Dispatches; len(dispatched) > 0 {
		at := dispatched[len(dispatched)-1].At
		if at > waitingSince(shed)+decisionSlack && at < shed.Ended-decisionSlack && !r.unreachable(shed, lower.Address) {
			v.addViolation("%s was dispatched at %v while this waited and was shed: %s", describe(lower), at, describe(shed))
		}
		return
	}
	if (lower.Ended == 0 || lower.Ended > shed.Ended+decisionSlack) && !r.unreachable(shed, lower.Address) {
		v.addViolation("%s waited while this was shed: %s", describe(lower), describe(shed))
	}
}

// waitingSince returns since when a request has waited: its submission, or its last
// dispatch, because it does not wait while a connection that is refused is tried.
func waitingSince(request *simtest.Request) time.Duration {
	if n := len(request.Dispatches); n > 0 {
		return request.Dispatches[n-1].At
	}
	return request.Submitted
}

// unreachable reports whether an instance was possibly unreachable while a request
// waited: it was paused or killed, frames to or from it were lost, or a cut path to
// it was restored within healTime before.
func (r *run) unreachable(shed *simtest.Request, address string) bool {
	from, until := shed.Submitted-repairTime, shed.Ended+decisionSlack
	if r.hadDisturbanceBetween(address, from, until, "lost", "kill") || r.hadDisturbanceBetween(address, shed.Submitted-healTime, until, "heal") {
		return true
	}
	return r.pausedBetween(address, from, until)
}

// pausedBetween reports whether a process was paused at some time of an interval,
// or had not yet learned the current owners after a pause.
func (r *run) pausedBetween(address string, from, until time.Duration) bool {
	since := time.Duration(-1)
	for _, d := range r.world.Trace.Disturbances {
		if d.Address != address {
			continue
		}
		switch d.Kind {
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
