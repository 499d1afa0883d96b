package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the settings of a Table.
type Config struct {
	// Self is this instance's incarnation.
	Self uint64
	// RetryBudgetPercent is the ratio of retries to first attempts, in percent; no
	// retry is allowed if it is negative.
	RetryBudgetPercent int
	// RepeatedSends bounds the repeated sends to the upstreams of each pool.
	RepeatedSends SendBudget
	// MaxRequests bounds the number of records.
	MaxRequests int
	// Seed, with Self, makes the jitter reproducible.
	Seed uint64
	// DispatchTwice is a fault for tests to detect: a second grant is used as well.
	DispatchTwice bool
	// CancelOnDrain is a fault for tests to detect: a drain cancels requests in flight.
	CancelOnDrain bool
	// ReportNotRun is a fault for tests to detect: every failed request is reported as not run.
	ReportNotRun bool
}

// Timeouts and delays.
const (
	// offerRepeatDelay is the time after which an offer without a decision is
	// repeated; it doubles with each repetition up to maxOfferRepeatDelay. A lost
	// message is normally detected earlier, by the digests that the caller sends
	// to owners.
	offerRepeatDelay    = time.Second
	maxOfferRepeatDelay = 4 * time.Second
	// retryDeniedDelay is the additional delay of a retry that the retry budget
	// denied. It ends early if the pool's owner changes.
	retryDeniedDelay = 200 * time.Millisecond
	// retryJitterMin and retryJitterMax bound the random delay of a retry.
	retryJitterMin = 10 * time.Millisecond
	retryJitterMax = 60 * time.Millisecond
	// deadlineGrace is how long after a deadline the table waits for the upstream
	// adapter to report it, before it ends the record itself.
	deadlineGrace = 250 * time.Millisecond
)

// poolRoute holds the records of one pool and the holder that queues them now.
type poolRoute struct {
	owner uint64
	// local is true while the owner is regarded as unreachable.
	local bool
	// records of the pool in order of submission.
	records []*Record
	waiting int
	// sends is this instance's budget of repeated sends to the pool's upstreams.
	sends sendBudget
}

// Table holds the records of the requests that this instance accepted. It is not
// safe for concurrent use.
type Table struct {
	cfg     Config
	random  *rand.Rand
	records map[ID]*Record
	pools   map[uint64]*poolRoute
	// poolIDs lists the keys of pools in order of first use.
	poolIDs []uint64
	limits  limiter
	waiting waitingSet
	budget  retryBudget
	effects []Effect
	// LimitSharers is the number of instances among which the limits are
	// divided.
	LimitSharers int
}

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:          cfg,
		random:       rand.New(rand.NewPCG(cfg.Seed, cfg.Self)),
		records:      map[ID]*Record{},
		pools:        map[uint64]*poolRoute{},
		limits:       newLimiter(),
		budget:       newRetryBudget(cfg.RetryBudgetPercent),
		LimitSharers: 1,
	}
}

// Len returns the number of records that have not ended.
func (t *Table) Len() int { return len(t.records) }

// Record returns a record, or nil.
func (t *Table) Record(id ID) *Record { return t.records[id] }

// TakeEffects returns and clears the effects emitted since the last call.
func (t *Table) TakeEffects() []Effect {
	effects := t.effects
	t.effects = nil
	return effects
}

func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *Table) count(name, reason string) { t.emit(Count{Name: name, Reason: reason}) }

// routeFor returns the route of a pool, which it creates on first use.
func (t *Table) routeFor(pool uint64) *poolRoute {
	p, ok := t.pools[pool]
	if !ok {
		p = &poolRoute{owner: t.cfg.Self, sends: sendBudget{tokens: t.cfg.RepeatedSends.Extra / float64(max(1, t.LimitSharers))}}
		t.pools[pool] = p
		t.poolIDs = append(t.poolIDs, pool)
	}
	return p
}

// holder returns where the pool's requests are queued now.
func (p *poolRoute) holder(self uint64) Holder {
	if p.local {
		return Holder{Owner: self, Local: true}
	}
	return Holder{Owner: p.owner}
}

// Submit creates a record and offers it to the pool's holder, or refuses the
// request.
func (t *Table) Submit(now time.Duration, request Request, kind, org Limits) {
	if _, exists := t.records[request.ID]; exists || request.ID == 0 {
		return
	}
	r := &Record{Request: request, State: Waiting, Started: now, Attempt: 1}
	if request.Deadline <= now {
		t.refuseNew(r, Refusal{Code: "infeasible_deadline", Reason: "the deadline has already passed",
			Remedy: "send a deadline in the future"})
		return
	}
	if code, flow, after := t.limits.admit(now, &r.Request, kind, org, t.LimitSharers); code != "" {
		t.refuseNew(r, Refusal{Code: code, Reason: "limit of " + flow + " reached",
			Remedy: "send fewer requests or ask an operator to raise the limit", RetryAfter: after})
		return
	}
	if !t.ensureCapacity(r.Tier) {
		t.refuseNew(r, instanceFull("none of a lower tier waits"))
		return
	}
	t.budget.firstAttempt()
	t.routeFor(r.Pool).sends.firstAttempt(now, t.cfg.RepeatedSends, t.LimitSharers)
	t.records[r.ID] = r
	t.waiting.add(r, t.cfg.MaxRequests)
	p := t.routeFor(r.Pool)
	p.records = append(p.records, r)
	t.limits.countTransition(r, 0, Waiting)
	p.waiting++
	r.Holder = p.holder(t.cfg.Self)
	t.offer(now, r)
}

func (t *Table) refuseNew(r *Record, refusal Refusal) {
	refusal.Ran = RanNo
	t.count("refusals", refusal.Code)
	t.emit(Ended{ID: r.ID, Record: r, Refusal: refusal})
}

// offer queues a waiting record at its holder, unless its retry delay has not passed.
func (t *Table) offer(now time.Duration, r *Record) {
	if now < r.notBefore {
		return
	}
	t.markOffered(now, r)
	t.emit(Offer{Record: r})
}

// markOffered records the first offer of an attempt and schedules its repetition.
func (t *Table) markOffered(now time.Duration, r *Record) {
	if r.offered {
		return
	}
	r.offered, r.offeredAt = true, now
	r.repeatedOffers = 0
	r.nextOfferAt = now + offerRepeatDelay
}

// setState changes the state of a record and updates the counts of its pool, kind
// and organisation.
func (t *Table) setState(r *Record, to State) {
	p := t.routeFor(r.Pool)
	if r.State == Waiting {
		p.waiting--
	}
	if to == Waiting {
		p.waiting++
	}
	t.limits.countTransition(r, r.State, to)
	r.State = to
}

// end removes a record and reports its end. The caller has already released its
// permit or withdrawn its descriptor.
func (t *Table) end(r *Record, refusal Refusal) {
	t.setState(r, Done)
	delete(t.records, r.ID)
	p := t.routeFor(r.Pool)
	p.records = slices.DeleteFunc(p.records, func(other *Record) bool { return other == r })
	if refusal.Code != "" {
		refusal = r.execution.Restrict(refusal)
		t.count("refusals", refusal.Code)
	}
	t.emit(Ended{ID: r.ID, Record: r, Refusal: refusal, Silent: r.callerGone})
}

// Cancel ends a request whose caller has disconnected and cancels it at its
// upstream. A dispatched request with KeepRunning continues, since its outcome is
// recorded.
func (t *Table) Cancel(now time.Duration, id ID) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	r.callerGone = true
	if r.InFlight() && r.KeepRunning {
		return
	}
	refusal := Refusal{Code: "canceled", Ran: RanNo, Reason: "the caller closed its connection"}
	if r.InFlight() {
		refusal.Ran = ranAfterDispatch(r)
		t.emit(Cancel{ID: id})
		t.release(now, r, Canceled, 0)
	} else {
		t.withdraw(r)
	}
	t.end(r, refusal)
}

// ranAfterDispatch says whether a request ran that was dispatched and did not
// complete.
func ranAfterDispatch(r *Record) Ran {
	if r.State == Streaming {
		return RanYes
	}
	return RanUnknown
}

// withdraw removes a record's descriptor from its holder if it was offered.
func (t *Table) withdraw(r *Record) {
	if r.offered {
		t.emit(Withdraw{ID: r.ID, Pool: r.Pool, Attempt: r.Attempt, Holder: r.Holder})
	}
}

// release returns the permit of a dispatched record with its measurements.
func (t *Table) release(now time.Duration, r *Record, outcome Outcome, cached uint32) {
	e := Release{ID: r.ID, Pool: r.Pool, Attempt: r.Attempt, Holder: r.Holder, Outcome: outcome,
		OutputTokens: r.Tokens, CachedPrompt: cached, Slots: r.Slots, HoldOff: r.HoldOff}
	if r.State == Dispatched {
		e.SlowdownPercent = r.SlowdownPercent
	}
	if r.FirstTokenAt > 0 {
		e.TTFT = r.FirstTokenAt - r.DispatchedAt
		if r.Tokens > 1 {
			e.InterToken = (r.LastTokenAt - r.FirstTokenAt) / time.Duration(r.Tokens-1)
		}
	}
	t.emit(e)
}
