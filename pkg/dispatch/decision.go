package dispatch

import (
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// Decision identifies the attempt that a holder granted, shed or declined.
type Decision struct {
	ID      ID
	Pool    uint64
	Attempt uint32
	From    Holder
}

// findCurrent returns the record that a decision applies to, or nil if the decision
// is stale: the record must still wait, with the same attempt and holder.
func (t *Table) findCurrent(d Decision) *Record {
	r, ok := t.records[d.ID]
	if ok && t.cfg.DispatchTwice {
		return r
	}
	if !ok || r.Attempt != d.Attempt || r.Holder != d.From || r.State != Waiting {
		return nil
	}
	return r
}

// permitInUse reports whether a repeated grant names the permit under which the
// request was dispatched. That permit must not be released as unused.
func (t *Table) permitInUse(d Decision, upstream string) bool {
	r, ok := t.records[d.ID]
	return ok && r.InFlight() && r.Attempt == d.Attempt && r.Holder == d.From && r.Upstream == upstream
}

// PermitUse says whether a permit may be used.
type PermitUse uint8

// Values of Use.
const (
	// Usable means that the request may be dispatched under the permit.
	Usable PermitUse = iota
	// PermitUntrusted means that this instance cannot verify the permit's age.
	PermitUntrusted
	// UpstreamUnavailable means that the upstream may receive no new work. The owner
	// does not know this yet and must not grant the upstream again at once.
	UpstreamUnavailable
	// UpstreamHoldsOff means that the upstream wants no request from this instance for
	// Permit.HoldOff, which the owner does not know yet.
	UpstreamHoldsOff
)

// Permit is a permit for one upstream.
type Permit struct {
	Upstream string
	Use      PermitUse
	// HoldOff is how long the upstream still wants no request from this instance.
	HoldOff time.Duration
}

// unusedOutcome is the outcome reported for a permit that is returned unused.
var unusedOutcome = map[PermitUse]Outcome{PermitUntrusted: Unused, UpstreamUnavailable: ConnectRefused, UpstreamHoldsOff: Unused}

// Grant dispatches the request under a permit, or returns the permit if it is stale
// or must not be used.
func (t *Table) Grant(now time.Duration, d Decision, permit Permit) {
	r := t.findCurrent(d)
	if r == nil {
		if !t.permitInUse(d, permit.Upstream) {
			t.returnPermit(d, Unused, 0)
		}
		return
	}
	t.setState(r, Granted)
	if permit.Use != Usable {
		t.returnPermit(d, unusedOutcome[permit.Use], permit.HoldOff)
		t.setState(r, Waiting)
		if permit.Use == UpstreamHoldsOff {
			t.offerAgain(now, r)
		} else {
			t.startAttempt(now, r, PermitLapsed)
		}
		return
	}
	r.Upstream, r.DispatchedAt, r.SlowdownPercent, r.HoldOff, r.Slots = permit.Upstream, now, 0, 0, scheduler.SlotReport{}
	r.sends++
	t.setState(r, Dispatched)
	t.emit(Send{ID: r.ID, Upstream: permit.Upstream, Deadline: r.Deadline})
}

func (t *Table) returnPermit(d Decision, outcome Outcome, holdOff time.Duration) {
	t.count("permits", "returned_unused")
	t.emit(Release{ID: d.ID, Pool: d.Pool, Attempt: d.Attempt, Holder: d.From, Outcome: outcome, HoldOff: holdOff, Returned: true})
}

// Shed refuses a request that the holder of its descriptor has shed.
func (t *Table) Shed(now time.Duration, d Decision, refusal Refusal) {
	r := t.findCurrent(d)
	if r == nil || r.State != Waiting {
		return
	}
	refusal.Ran = RanNo
	t.end(r, refusal)
}

// NotOwner handles a holder's reply that it does not own the pool. The attempt
// number stays the same: the holder may have become the owner and received the
// request by a Sync before this reply arrives, and its decision must then apply.
func (t *Table) NotOwner(now time.Duration, d Decision) {
	r := t.findCurrent(d)
	if r == nil || r.State != Waiting {
		return
	}
	t.scheduleOffer(now, r, NotOwner)
}

// OnDispatchFailed handles a dispatch that failed before any byte was written to the
// upstream's connection, so that the request can be offered again.
func (t *Table) OnDispatchFailed(now time.Duration, id ID) {
	r, ok := t.records[id]
	if !ok || r.State != Dispatched {
		return
	}
	t.release(now, r, ConnectRefused, 0)
	r.Upstream, r.DispatchedAt = "", 0
	r.sends--
	t.setState(r, Waiting)
	if r.callerGone {
		t.end(r, Refusal{Code: "canceled", Ran: RanNo, Reason: "the caller closed its connection"})
		return
	}
	if !t.startAttempt(now, r, ConnectFailed) {
		t.end(r, Refusal{Code: "connect_failed", Ran: RanNo,
			Reason: "the upstream refused the connection and the retry budget is spent",
			Remedy: "retry later", RetryAfter: time.Second})
	}
}

// startAttempt starts a new attempt at the pool's current holder after a random
// delay. It returns false if the retry budget is spent.
func (t *Table) startAttempt(now time.Duration, r *Record, reason string) bool {
	r.Attempt++
	r.Holder = t.routeFor(r.Pool).holder(t.cfg.Self)
	return t.scheduleOffer(now, r, reason)
}

// offerAgain offers a waiting request at once, as a new attempt. It does not count against the
// retry budget: the returned permit has told the holder what to avoid.
func (t *Table) offerAgain(now time.Duration, r *Record) {
	t.count("retries", HeldOff)
	r.Attempt++
	r.Holder = t.routeFor(r.Pool).holder(t.cfg.Self)
	r.offered, r.notBefore = false, 0
	t.offer(now, r)
}

// scheduleOffer schedules another offer of a waiting request after a random delay.
// If the retry budget is spent, it adds retryDeniedDelay and returns false.
func (t *Table) scheduleOffer(now time.Duration, r *Record, reason string) bool {
	r.offered = false
	if !t.budget.consumeRetry() {
		t.count("retries_denied", reason)
		r.notBefore = now + retryDeniedDelay + t.jitter()
		return false
	}
	t.count("retries", reason)
	r.notBefore = now + t.jitter()
	return true
}

func (t *Table) jitter() time.Duration {
	return retryJitterMin + time.Duration(t.random.Float64()*float64(retryJitterMax-retryJitterMin))
}

// ReportLoad records what the upstream of a dispatched request reported of its load.
func (t *Table) ReportLoad(id ID, slowdownPercent uint32) {
	if r, ok := t.records[id]; ok && r.InFlight() && slowdownPercent > 0 {
		r.SlowdownPercent = slowdownPercent
	}
}

// ReportSlots records what the upstream of a dispatched request reported of its slots.
func (t *Table) ReportSlots(id ID, slots scheduler.SlotReport) {
	if r, ok := t.records[id]; ok && r.InFlight() {
		r.Slots = slots
	}
}

// ReportHoldOff records that the upstream of a dispatched request wants no other one from this
// instance for a time.
func (t *Table) ReportHoldOff(id ID, holdOff time.Duration) {
	if r, ok := t.records[id]; ok && r.InFlight() {
		r.HoldOff = holdOff
	}
}

// FirstToken records the arrival of the first token and reports it to the holder.
func (t *Table) FirstToken(now time.Duration, id ID) {
	r, ok := t.records[id]
	if !ok || r.State != Dispatched {
		return
	}
	t.setState(r, Streaming)
	r.execution.Add(RanUnknown)
	r.FirstTokenAt, r.LastTokenAt = now, now
	r.Tokens = max(r.Tokens, 1)
	t.emit(FirstToken{ID: id, Pool: r.Pool, Holder: r.Holder, TTFT: now - r.DispatchedAt, SlowdownPercent: r.SlowdownPercent})
}

// Tokens records the number of output tokens so far. A total that is not higher
// than the last one is ignored.
func (t *Table) Tokens(now time.Duration, id ID, total uint32) {
	r, ok := t.records[id]
	if !ok || !r.InFlight() || total <= r.Tokens {
		return
	}
	if r.State == Dispatched {
		t.FirstToken(now, id)
	}
	r.Tokens, r.LastTokenAt = total, now
}

// Result says how a dispatched request ended at its upstream.
type Result uint8

// Values of Result.
const (
	AnswerComplete Result = iota + 1
	UpstreamRefused
	AnswerBroken
	// UpstreamFailed is a complete answer which says that the request failed.
	UpstreamFailed
	// FailureRelayed is like UpstreamFailed, but the answer was already sent to
	// the caller.
	FailureRelayed
	AnswerMismatched
	DeadlinePassed
)

// Finish ends a dispatched request, or queues it for another upstream if it may be
// sent again. It returns false if no such request is in flight.
func (t *Table) Finish(now time.Duration, id ID, result Result, output, cached uint32) bool {
	r, ok := t.records[id]
	if !ok || !r.InFlight() {
		return false
	}
	r.Tokens = max(r.Tokens, output)
	outcome, refusal := classify(r, result)
	if t.cfg.ReportNotRun && refusal.Code != "" {
		refusal.Ran = RanNo
	}
	if refusal.Code != "" {
		r.execution.Add(refusal.Ran)
	}
	t.release(now, r, outcome, cached)
	if !t.resend(now, r, result) {
		t.end(r, refusal)
	}
	return true
}

// ForbidRepeat makes the send in progress the last one of a request.
func (t *Table) ForbidRepeat(id ID) {
	if r := t.records[id]; r != nil {
		r.MaxSends = r.sends
	}
}

// resend queues a dispatched request for another upstream, if it may be sent again
// and the pool's budget of repeated sends allows it.
func (t *Table) resend(now time.Duration, r *Record, result Result) bool {
	reason := NotRun
	switch {
	case r.callerGone || r.sends >= max(r.MaxSends, 1) || now >= r.Deadline:
		return false
	case result == UpstreamRefused:
	case r.Repeatable && (result == AnswerBroken || result == AnswerMismatched || result == UpstreamFailed):
		reason = Repeated
	default:
		return false
	}
	if !t.routeFor(r.Pool).sends.consumeSend(now, t.cfg.RepeatedSends, t.LimitSharers) {
		t.count("retries_denied", reason)
		return false
	}
	t.count("retries", reason)
	r.Upstream, r.DispatchedAt, r.FirstTokenAt, r.LastTokenAt = "", 0, 0, 0
	t.setState(r, Waiting)
	r.Attempt++
	r.Holder = t.routeFor(r.Pool).holder(t.cfg.Self)
	r.offered, r.notBefore = false, 0
	t.offer(now, r)
	return true
}

// classify returns the outcome of the permit and the refusal for a result. The
// refusal is empty if the caller gets, or already has, an answer.
func classify(r *Record, result Result) (Outcome, Refusal) {
	switch result {
	case AnswerComplete:
		return Complete, Refusal{}
	case UpstreamRefused:
		return Refused, Refusal{Code: "upstream_refused", Ran: RanNo,
			Reason: "the upstream refused the request before it started", Remedy: "retry later", RetryAfter: time.Second}
	case FailureRelayed:
		return Failed, Refusal{}
	case UpstreamFailed:
		return Failed, Refusal{Code: "upstream_failed", Ran: RanYes,
			Reason: "the upstream ran the request and it failed", Remedy: "see the upstream's answer"}
	case AnswerMismatched:
		return Broken, Refusal{Code: "answer_mismatched", Ran: RanUnknown,
			Reason: "the upstream answered with another request's id", Remedy: "report the upstream to an operator"}
	case DeadlinePassed:
		return Late, Refusal{Code: "deadline_exceeded", Ran: ranAfterDispatch(r),
			Reason: "the deadline passed during the answer", Remedy: "send a later deadline"}
	}
	return Broken, Refusal{Code: "upstream_broke", Ran: RanUnknown,
		Reason: "the connection to the upstream broke and the answer could not be resumed",
		Remedy: "check whether the request took effect before sending it again"}
}
