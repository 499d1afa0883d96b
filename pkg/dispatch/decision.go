package dispatch

import "time"

// Decision on one attempt of a request, from the holder of its descriptor.
type Decision struct {
	ID      ID
	Pool    uint64
	Attempt uint32
	From    Holder
}

// current returns the record if the decision is about its present attempt at
// its present holder while it still waits.
func (t *Table) current(d Decision) *Record {
	r, ok := t.records[d.ID]
	if ok && t.cfg.DispatchTwice {
		return r
	}
	if !ok || r.Attempt != d.Attempt || r.Holder != d.From || r.State != Waiting {
		return nil
	}
	return r
}

// usedPermit reports whether a repeated grant names the permit in use, which
// must not be released by mistake.
func (t *Table) usedPermit(d Decision, upstream string) bool {
	r, ok := t.records[d.ID]
	return ok && r.InFlight() && r.Attempt == d.Attempt && r.Holder == d.From && r.Upstream == upstream
}

// Use says whether a permit may be used.
type Use uint8

// Values of Use.
const (
	// Usable permits are used.
	Usable Use = iota
	// NotNow means that this instance cannot trust the permit's age.
	NotNow
	// UpstreamGone means that the upstream may receive no new work. The owner
	// does not know it yet and must not grant it again at once.
	UpstreamGone
)

// returnedAs is the outcome with which a permit that is not used is returned.
var returnedAs = map[Use]Outcome{NotNow: Unused, UpstreamGone: ConnectRefused}

// Grant uses a permit, or returns it if it may not be used.
func (t *Table) Grant(now time.Duration, d Decision, upstream string, use Use) {
	r := t.current(d)
	if r == nil {
		if !t.usedPermit(d, upstream) {
			t.returnPermit(d, Unused)
		}
		return
	}
	t.setState(r, Granted)
	if use != Usable {
		t.returnPermit(d, returnedAs[use])
		t.setState(r, Waiting)
		t.retry(now, r, PermitLapsed)
		return
	}
	r.Upstream, r.DispatchedAt = upstream, now
	r.sends++
	t.setState(r, Dispatched)
	t.emit(Send{ID: r.ID, Upstream: upstream, Deadline: r.Deadline})
}

func (t *Table) returnPermit(d Decision, outcome Outcome) {
	t.count("permits", "returned_unused")
	t.emit(Release{ID: d.ID, Pool: d.Pool, Attempt: d.Attempt, Holder: d.From, Outcome: outcome})
}

// Shed refuses a request that its holder has shed.
func (t *Table) Shed(now time.Duration, d Decision, refusal Refusal) {
	r := t.current(d)
	if r == nil || r.State != Waiting {
		return
	}
	refusal.Ran = RanNo
	t.end(r, refusal)
}

// NotOwner handles an answer that the holder does not own the pool. The attempt
// stays the same: the holder may become the owner and learn of the request by a
// Sync before this answer arrives, and its decision must then count.
func (t *Table) NotOwner(now time.Duration, d Decision) {
	r := t.current(d)
	if r == nil || r.State != Waiting {
		return
	}
	t.delay(now, r, NotOwner)
}

// Failed handles a dispatch of which no byte reached the upstream's connection.
func (t *Table) Failed(now time.Duration, id ID) {
	r, ok := t.records[id]
	if !ok || r.State != Dispatched {
		return
	}
	t.release(now, r, ConnectRefused, 0)
	r.Upstream, r.DispatchedAt = "", 0
	r.sends--
	t.setState(r, Waiting)
	if r.gone {
		t.end(r, Refusal{Code: "canceled", Ran: RanNo, Reason: "the caller closed its connection"})
		return
	}
	if !t.retry(now, r, ConnectFailed) {
		t.end(r, Refusal{Code: "connect_failed", Ran: RanNo,
			Reason: "the upstream refused the connection and the retry budget is spent",
			Remedy: "retry later", RetryAfter: time.Second})
	}
}

// retry starts a new attempt at the pool's present holder after a random delay.
// It returns false if there is no budget.
func (t *Table) retry(now time.Duration, r *Record, reason string) bool {
	r.Attempt++
	r.Holder = t.route(r.Pool).holder(t.cfg.Self)
	return t.delay(now, r, reason)
}

// delay offers a waiting request again after a random time, or without budget
// after a longer one; it then returns false.
func (t *Table) delay(now time.Duration, r *Record, reason string) bool {
	r.offered = false
	if !t.budget.take() {
		t.count("retries_denied", reason)
		r.notBefore = now + deniedDelay + t.jitter()
		return false
	}
	t.count("retries", reason)
	r.notBefore = now + t.jitter()
	return true
}

func (t *Table) jitter() time.Duration {
	return retryJitterMin + time.Duration(t.random.Float64()*float64(retryJitterMax-retryJitterMin))
}

// FirstToken records the first token.
func (t *Table) FirstToken(now time.Duration, id ID) {
	r, ok := t.records[id]
	if !ok || r.State != Dispatched {
		return
	}
	t.setState(r, Streaming)
	r.FirstTokenAt, r.LastTokenAt = now, now
	r.Tokens = max(r.Tokens, 1)
	t.emit(FirstToken{ID: id, Pool: r.Pool, Holder: r.Holder, TTFT: now - r.DispatchedAt})
}

// Tokens records progress; a total lower than before is ignored.
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

// Result of a dispatched request.
type Result uint8

// Results.
const (
	AnsweredWhole Result = iota + 1
	UpstreamRefused
	AnswerBroken
	// UpstreamFailed is a whole answer that says that the request failed.
	UpstreamFailed
	// FailureRelayed is the same, and the caller has the answer already.
	FailureRelayed
	AnswerMismatched
	DeadlinePassed
)

// Finish ends a dispatched request. It returns false if there is none.
func (t *Table) Finish(now time.Duration, id ID, result Result, output, cached uint32) bool {
	r, ok := t.records[id]
	if !ok || !r.InFlight() {
		return false
	}
	r.Tokens = max(r.Tokens, output)
	outcome, refusal := classify(r, result)
	if t.cfg.DenyRun && refusal.Code != "" {
		refusal.Ran = RanNo
	}
	t.release(now, r, outcome, cached)
	if !t.sendAgain(now, r, result) {
		t.end(r, refusal)
	}
	return true
}

// sendAgain makes a dispatched request wait for another upstream, if it may be
// sent again and the retry budget allows it.
func (t *Table) sendAgain(now time.Duration, r *Record, result Result) bool {
	reason := NotRun
	switch {
	case r.gone || r.sends >= max(r.MaxSends, 1) || now >= r.Deadline:
		return false
	case result == UpstreamRefused:
	case r.Repeatable && (result == AnswerBroken || result == AnswerMismatched || result == UpstreamFailed):
		reason = Repeated
		r.ranBefore = true
	default:
		return false
	}
	if !t.route(r.Pool).sends.take(now, t.cfg.Sends, t.Entries) {
		t.count("retries_denied", reason)
		return false
	}
	t.count("retries", reason)
	r.Upstream, r.DispatchedAt, r.FirstTokenAt, r.LastTokenAt = "", 0, 0, 0
	t.setState(r, Waiting)
	r.Attempt++
	r.Holder = t.route(r.Pool).holder(t.cfg.Self)
	r.offered, r.notBefore = false, 0
	t.offer(now, r)
	return true
}

func classify(r *Record, result Result) (Outcome, Refusal) {
	switch result {
	case AnsweredWhole:
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
