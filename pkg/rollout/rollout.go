// Package rollout decides how the traffic of one service moves to upstreams of another version,
// as an operator ordered it. It does no I/O and reads no clock.
//
// The owner of the service's pool keeps one Rollout for each order. It reports what happened to
// requests and carries out the Plan that Step returns. The version first gets a small part of the
// requests (Judging), counted against an exposure bound and reserved in the store before it is
// granted. Its answers are compared with those of the current version at the same time. A version
// that is not found bad gets all requests (Shifting) and the order is completed when nothing runs
// at the current version.
//
// Invariants:
//   - requests are granted to the version only up to what an acknowledged write reserved, or after
//     the write of the phase Shifting was acknowledged;
//   - Completed takes effect only once it is in the store, Reverted immediately;
//   - Completed and Reverted are final for an order;
//   - the memory of an order is bounded, whatever the number of routes, upstreams and requests.
package rollout

import "time"

// Order is an operator's order to move the traffic of a service to another version.
type Order struct {
	Service, Version string
	// Within is the time from the order to its deadline.
	Within time.Duration
	// ID identifies the order: a digest of the object's creation revision and its spec.
	ID uint64
}

// Bounds limits what a version that is not proven may get. Zero ExposeShare and ExposeSlack turn
// rollouts off.
type Bounds struct {
	// ExposeShare is the part of the service's requests between the order and its deadline that
	// a bad version may get, and ExposeSlack a number of requests in addition.
	ExposeShare, ExposeSlack float64
	// Rollback is the time after the 50th bad answer within which the version gets its last
	// request.
	Rollback time.Duration
}

// Enabled reports whether rollouts are turned on.
func (b Bounds) Enabled() bool { return b.ExposeShare > 0 || b.ExposeSlack > 0 }

// Upstreams counts the upstreams of a service that accept requests.
type Upstreams struct {
	Current, Target int
	// CurrentSlots and TargetSlots are the requests that they run at once, in total.
	CurrentSlots, TargetSlots int
	// CurrentInFlight is the number of requests at upstreams of the current version, including
	// those that accept no new ones. Grants and ends reported afterwards change it.
	CurrentInFlight int
}

// Answer is how a request ended.
type Answer struct {
	// Target tells whether it ran at the new version.
	Target bool
	// Route is the request kind, as the scheduler numbers it.
	Route uint32
	// Upstream identifies the upstream; 0 if it is not known. Upstreams of one version differ in
	// speed, so that the answers of one upstream are no independent samples of its version.
	Upstream uint64
	// Failed is the upstream's own failure, a broken, invalid or lost answer, or a refused
	// connection.
	Failed bool
	// Latency is the time to the first token of a stream, to the end of another answer. It is 0
	// for an answer without one, and for a stream whose first token was reported by FirstToken.
	Latency time.Duration
	// Duration is the time from the grant to the end; 0 if it is not known.
	Duration time.Duration
	// Size is the number of prompt tokens, 0 without a prompt.
	Size uint32
}

// Command is an operator's intervention.
type Command uint8

// Commands of an operator.
const (
	// Hold keeps the order in its phase until Resume. Evidence still reverts it.
	Hold Command = iota + 1
	// Resume ends a Hold.
	Resume
	// Complete starts the shift without waiting for the judgement.
	Complete
	// Revert takes the version out of use.
	Revert
)

// Plan is what the owner of the pool does now.
type Plan struct {
	Phase Phase
	// TargetUpstreams is how many upstreams of the version may be used; -1 stands for all.
	TargetUpstreams int
	// Allowance is the number of requests that may be granted to them now; -1 is not limited.
	Allowance int
	// CurrentOpen tells whether the current version gets new requests.
	CurrentOpen bool
	// Write is to be written to the store if the object still has its Revision; nil if nothing
	// is to be written. Its result is reported by Stored. At most one write is in progress.
	Write *Record
	// Reason is why the phase changed since the last Step, with the figures; empty if it did not.
	Reason string
}

// WriteOutcome is what became of a write.
type WriteOutcome uint8

// Outcomes of a write.
const (
	// Acknowledged means that the store has the record.
	Acknowledged WriteOutcome = iota + 1
	// Conflict means that the object had another revision and the record was not written.
	Conflict
	// Failed means that the write was refused, or that its response was lost, so that it may be
	// in effect.
	Failed
)

// WriteResult is the answer to a write of a Plan.
type WriteResult struct {
	Outcome WriteOutcome
	// Record is, with its new Revision, the record as written if the write was acknowledged, and
	// the one found instead in a conflict.
	Record Record
}

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
