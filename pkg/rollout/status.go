package rollout

import (
	"fmt"
	"time"
)

// Status describes an order for operators.
type Status struct {
	Order  Order
	Record Record
	// Elapsed is the time since the order was first seen.
	Elapsed time.Duration
	// Granted is the number of requests sent to the version by this owner.
	Granted uint64
	// Arrived is the number of requests of the service since the order, as far as known.
	Arrived uint64
	// Evidence has one entry for each route with answers of the version, and one for all.
	Evidence []RouteEvidence
	// Waits says what the order waits for.
	Waits string
	// Unjudged is set once the deadline has passed without enough evidence for a judgement.
	Unjudged bool
}

// RouteEvidence is what was seen of one route.
type RouteEvidence struct {
	Route uint32
	// All is set for the evidence of all routes together.
	All bool
	// Answers and Failures of either version.
	TargetAnswers, TargetFailures   uint64
	CurrentAnswers, CurrentFailures uint64
	// FailureOdds and SlowOdds are the likelihood ratios, as natural logarithms, that the version
	// fails more often, or is slower, than the current one.
	FailureOdds, SlowOdds float64
}

// Status describes the order for operators.
func (r *Rollout) Status() Status {
	s := Status{
		Order: r.order, Record: r.record(), Elapsed: r.elapsed(r.now), Granted: r.granted, Arrived: r.arrived,
		Waits: r.waits(), Unjudged: r.phase == Judging && r.elapsed(r.now) >= r.order.Within,
	}
	all := RouteEvidence{All: true}
	for i, route := range r.evidence.routes {
		if route.target.answers == 0 {
			continue
		}
		s.Evidence = append(s.Evidence, RouteEvidence{
			Route: route.id, FailureOdds: route.failureOdds, SlowOdds: r.evidence.slow.odds[i],
			TargetAnswers: route.target.answers, TargetFailures: route.target.failures,
			CurrentAnswers: route.current.answers, CurrentFailures: route.current.failures,
		})
		all.TargetAnswers += route.target.answers
		all.TargetFailures += route.target.failures
		all.CurrentAnswers += route.current.answers
		all.CurrentFailures += route.current.failures
	}
	all.FailureOdds, all.SlowOdds = r.evidence.allFailureOdds, r.evidence.slow.allOdds
	s.Evidence = append(s.Evidence, all)
	return s
}

// waits says what the order waits for.
func (r *Rollout) waits() string {
	switch {
	case r.rec.Hold && !r.phase.Final():
		return "held by an operator"
	case r.phase.Final() && r.stored.Phase != r.phase, r.next != 0, r.failures > 0:
		return "the store, to write the " + r.record().Phase.String() + " state"
	case r.phase == Waiting:
		return "an upstream of the version"
	case r.phase == Judging && r.evidence.target.answers < minAnswers:
		return fmt.Sprintf("answers of the version: %d of %d", r.evidence.target.answers, minAnswers)
	case r.phase == Judging:
		return fmt.Sprintf("the shift, %v after the order", r.shiftAt().Round(10*time.Millisecond))
	case r.phase == Shifting:
		return fmt.Sprintf("%d requests in progress at the current version", r.currentInFlight)
	}
	return ""
}
