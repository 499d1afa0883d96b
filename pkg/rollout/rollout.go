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

import (
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// Order is an operator's order to move the traffic of a service to another version.
type Order struct {
	Service, Version string
	// Within is the time from the order to its deadline.
	Within time.Duration
	// ID identifies the order: a digest of the object's creation revision and its spec.
	ID uint64
}

// Check returns why an order can not be served, which is then refused.
func (o Order) Check() error {
	switch {
	case o.Service == "":
		return errorx.IllegalArgument.New("the order names no service: set spec.service")
	case o.Version == "":
		return errorx.IllegalArgument.New("the order names no version: set spec.to")
	case o.Within <= 0:
		return errorx.IllegalArgument.New("the order has no time: set spec.overS to a positive number of seconds")
	}
	return nil
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

// Rollout decides on one order. It is not safe for concurrent use.
type Rollout struct {
	bounds Bounds
	order  Order
	now    time.Duration
	// start is when the order was first seen, created when this owner took it on.
	start, created time.Duration

	// phase is in force. next is the phase that takes effect when its write is acknowledged,
	// nextReason why it is to.
	phase, next        Phase
	phaseSince         time.Duration
	reason, nextReason string
	// forced is set if an operator demanded the shift.
	forced bool

	storeState
	exposure
	evidence evidence
	// taken is the record of the earlier owner, if there was one.
	taken Record

	up Upstreams
	// seenCurrent is set once the service had an upstream of another version.
	seenUpstreams, seenCurrent bool
	currentInFlight            int
	// currentGone is since when no upstream of the current version is left; 0 if there are.
	currentGone time.Duration
	durations   durations
	marks       grantMarks
	lagState
}

// New returns the decision on an order of which stored is the newest known record. A record of
// another order counts only for its Revision.
func New(b Bounds, o Order, stored Record, now time.Duration) *Rollout {
	r := &Rollout{bounds: b, order: o, now: now, start: now, created: now, phase: Waiting, phaseSince: now, evidence: newEvidence()}
	r.stored = stored
	if stored.Order != o.ID {
		r.stored = Record{Revision: stored.Revision}
		if stored.Order == 0 {
			r.start = now - stored.Elapsed
		}
		return r
	}
	if stored.Phase != 0 {
		r.phase = stored.Phase
		// The earlier owner would have completed the order if there were none.
		r.seenCurrent = true
	}
	r.start = now - stored.Elapsed
	r.rec, r.taken = stored, stored
	r.spent = stored.Reserved
	r.arrived = stored.Served
	return r
}

func (r *Rollout) elapsed(now time.Duration) time.Duration { return now - r.start }

// SetUpstreams tells which upstreams accept requests; it is called when that changes, and may be
// called at any time to correct the number in flight.
func (r *Rollout) SetUpstreams(now time.Duration, u Upstreams) {
	r.now = now
	r.up = u
	r.seenUpstreams = true
	r.seenCurrent = r.seenCurrent || u.Current > 0 || u.CurrentInFlight > 0
	r.currentInFlight = u.CurrentInFlight
	if u.Current > 0 || u.CurrentInFlight > 0 {
		r.currentGone = 0
	} else if r.currentGone == 0 {
		r.currentGone = max(now, 1)
	}
}

// Arrived counts a request of the service that was queued for the first time.
func (r *Rollout) Arrived(now time.Duration) {
	r.now = now
	// The bound speaks of the requests up to the deadline.
	if r.elapsed(now) <= r.order.Within {
		r.arrived++
	}
}

// Granted counts a request that was granted to either version.
func (r *Rollout) Granted(now time.Duration, target bool) {
	r.now = now
	if !target {
		r.currentInFlight++
		return
	}
	r.marks.add(now, r.granted)
	r.granted++
	r.spent++
	r.targetInFlight++
	r.lastGrant = now
}

// Unused takes back a grant that was returned without a send.
func (r *Rollout) Unused(now time.Duration, target bool) {
	r.now = now
	if !target {
		r.currentInFlight = max(0, r.currentInFlight-1)
		return
	}
	if r.targetInFlight == 0 {
		return // granted by an earlier owner, whose reservation counts as spent
	}
	r.granted--
	r.spent--
	r.targetInFlight--
}

// FirstToken reports the Latency of a stream that has not ended. It is optional; Ended is then
// called with a Latency of 0.
func (r *Rollout) FirstToken(now time.Duration, a Answer) {
	r.now = now
	r.evidence.began(now, a)
}

// Ended reports how a request at either version ended.
func (r *Rollout) Ended(now time.Duration, a Answer) {
	r.now = now
	if a.Target {
		r.targetInFlight = max(0, r.targetInFlight-1)
	} else {
		r.currentInFlight = max(0, r.currentInFlight-1)
		r.durations.add(max(a.Duration, a.Latency))
	}
	r.evidence.ended(now, a)
}

// Command carries out an operator's command. It has no effect in a final phase.
func (r *Rollout) Command(now time.Duration, c Command) {
	r.now = now
	if r.phase.Final() {
		return
	}
	switch c {
	case Hold:
		r.rec.Hold = true
	case Resume:
		r.rec.Hold = false
	case Complete:
		r.rec.Hold = false
		r.forced = true
	case Revert:
		if !r.completing() {
			r.revert("an operator demanded it")
		}
	}
}

// Step returns what the owner of the pool does now.
func (r *Rollout) Step(now time.Duration) Plan {
	r.now = now
	r.decide()
	plan := Plan{Phase: r.phase, CurrentOpen: true}
	switch r.phase {
	case Judging:
		plan.TargetUpstreams = r.judgingUpstreams()
		plan.Allowance = r.allowance()
	case Shifting, Completed:
		plan.TargetUpstreams, plan.Allowance = -1, -1
		plan.CurrentOpen = false
	}
	plan.Write = r.nextWrite()
	plan.Reason, r.reason = r.reason, ""
	return plan
}

// tick is how often an order in progress is looked at if nothing happens.
const tick = 50 * time.Millisecond

// NextWake returns when Step is to be called next if nothing happens before.
func (r *Rollout) NextWake(now time.Duration) time.Duration {
	const never = time.Duration(1<<63 - 1)
	if r.phase.Final() && !r.writing && r.stored.Phase == r.phase && r.stored.Order == r.order.ID {
		return never
	}
	return now + tick
}

func (r *Rollout) setPhase(p Phase, format string, figures ...any) {
	if p == r.phase {
		return
	}
	r.phase, r.phaseSince = p, r.now
	r.reason = fmt.Sprintf(format, figures...)
}
