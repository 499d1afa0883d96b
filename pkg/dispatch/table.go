package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the constants of a Table.
type Config struct {
	// Self is this instance's incarnation.
	Self uint64
	// OwnerTimeout is the silence after which an owner is not waited for.
	OwnerTimeout time.Duration
	// RetryBudgetPercent allows retries as a share of first attempts; none if negative.
	RetryBudgetPercent int
	// Sends bounds repeated sends for each pool.
	Sends SendBudget
	// MaxRequests bounds the records.
	MaxRequests int
	// Seed makes jitter repeatable.
	Seed uint64
	// DispatchTwice is a mutation for tests: a second grant is used as well.
	DispatchTwice bool
	// CancelOnDrain is a mutation for tests: a drain cuts what is in progress.
	CancelOnDrain bool
	// DenyRun is a mutation for tests: a broken answer is reported as not run.
	DenyRun bool
}

// Times of a table.
const (
	// resendBase is the time after which an undecided offer is repeated; it
	// doubles with each repetition up to resendMax. A lost message is normally
	// noticed earlier, by the digests that the caller sends to owners.
	resendBase = time.Second
	resendMax  = 4 * time.Second
	// deniedDelay is how long a request waits for which there is no retry
	// budget, unless its owner changes before.
	deniedDelay = 200 * time.Millisecond
	// retryJitterMin and retryJitterMax bound the delay of a retry.
	retryJitterMin = 10 * time.Millisecond
	retryJitterMax = 60 * time.Millisecond
	// deadlineGrace is how long the upstream edge has to report a passed
	// deadline itself before the record is ended here.
	deadlineGrace = 250 * time.Millisecond
)

// poolRoute says where the requests of one pool are queued now.
type poolRoute struct {
	owner uint64
	// local is true while the owner is taken to be unreachable.
	local bool
	// records of the pool in order of submission.
	records []*Record
	waiting int
	// sends is the budget of repeated sends to the pool's upstreams.
	sends sendBudget
}

// Table holds the records of an instance. It is not safe for concurrent use.
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
	// Entries is the number of live entries that share the limits.
	Entries int
}

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Self)),
		records: map[ID]*Record{},
		pools:   map[uint64]*poolRoute{},
		limits:  newLimiter(),
		budget:  newRetryBudget(cfg.RetryBudgetPercent),
		Entries: 1,
	}
}

// Len returns the number of records that have not ended.
func (t *Table) Len() int { return len(t.records) }

// Record returns a record, or nil.
func (t *Table) Record(id ID) *Record { return t.records[id] }

// Take returns and clears the effects since the last call.
func (t *Table) Take() []Effect {
	effects := t.effects
	t.effects = nil
	return effects
}

func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *Table) count(name, reason string) { t.emit(Count{Name: name, Reason: reason}) }

func (t *Table) route(pool uint64) *poolRoute {
	p, ok := t.pools[pool]
	if !ok {
		p = &poolRoute{owner: t.cfg.Self, sends: sendBudget{tokens: t.cfg.Sends.Extra / float64(max(1, t.Entries))}}
		t.pools[pool] = p
		t.poolIDs = append(t.poolIDs, pool)
	}
	return p
}

func (p *poolRoute) holder(self uint64) Holder {
	if p.local {
		return Holder{Owner: self, Local: true}
	}
	return Holder{Owner: p.owner}
}

// Submit starts a record, or refuses the request.
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
	if code, flow, after := t.limits.admit(now, &r.Request, kind, org, t.Entries); code != "" {
		t.refuseNew(r, Refusal{Code: code, Reason: "limit of " + flow + " reached",
			Remedy: "send fewer requests or ask an operator to raise the limit", RetryAfter: after})
		return
	}
	if !t.makeRoom(r.Tier) {
		t.refuseNew(r, instanceFull("none of a lower tier waits"))
		return
	}
	t.budget.firstAttempt()
	t.route(r.Pool).sends.firstAttempt(now, t.cfg.Sends, t.Entries)
	t.records[r.ID] = r
	t.waiting.add(r, t.cfg.MaxRequests)
	p := t.route(r.Pool)
	p.records = append(p.records, r)
	t.limits.move(r, 0, Waiting)
	p.waiting++
	r.Holder = p.holder(t.cfg.Self)
	t.offer(now, r)
}

func (t *Table) refuseNew(r *Record, refusal Refusal) {
	refusal.Ran = RanNo
	t.count("refusals", refusal.Code)
	t.emit(Ended{ID: r.ID, Record: r, Refusal: refusal})
}

func (t *Table) offer(now time.Duration, r *Record) {
	if now < r.notBefore {
		return
	}
	t.markOffered(now, r)
	t.emit(Offer{Record: r})
}

func (t *Table) markOffered(now time.Duration, r *Record) {
	if r.offered {
		return
	}
	r.offered, r.offeredAt = true, now
	r.resends = 0
	r.resendAt = now + resendBase
}

// setState moves a record and keeps the counts of its pool and flows.
func (t *Table) setState(r *Record, to State) {
	p := t.route(r.Pool)
	if r.State == Waiting {
		p.waiting--
	}
	if to == Waiting {
		p.waiting++
	}
	t.limits.move(r, r.State, to)
	r.State = to
}

// end finishes a record. The caller has released its permit or withdrawn it.
func (t *Table) end(r *Record, refusal Refusal) {
	t.setState(r, Done)
	delete(t.records, r.ID)
	p := t.route(r.Pool)
	p.records = slices.DeleteFunc(p.records, func(other *Record) bool { return other == r })
	if refusal.Ran == RanNo && r.ranBefore {
		refusal.Ran = RanUnknown
	}
	if refusal.Code != "" {
		t.count("refusals", refusal.Code)
	}
	t.emit(Ended{ID: r.ID, Record: r, Refusal: refusal, Silent: r.gone})
}

// Cancel ends a request whose caller is gone. The upstream is canceled, except
// for a call whose outcome is recorded.
func (t *Table) Cancel(now time.Duration, id ID) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	r.gone = true
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

// ranAfterDispatch says what is known of a request that was handed to its
// upstream and did not complete.
func ranAfterDispatch(r *Record) Ran {
	if r.State == Streaming {
		return RanYes
	}
	return RanUnknown
}

func (t *Table) withdraw(r *Record) {
	if r.offered {
		t.emit(Withdraw{ID: r.ID, Pool: r.Pool, Attempt: r.Attempt, Holder: r.Holder})
	}
}

func (t *Table) release(now time.Duration, r *Record, outcome Outcome, cached uint32) {
	e := Release{ID: r.ID, Pool: r.Pool, Attempt: r.Attempt, Holder: r.Holder, Outcome: outcome,
		OutputTokens: r.Tokens, CachedPrompt: cached}
	if r.FirstTokenAt > 0 {
		e.TTFT = r.FirstTokenAt - r.DispatchedAt
		if r.Tokens > 1 {
			e.InterToken = (r.LastTokenAt - r.FirstTokenAt) / time.Duration(r.Tokens-1)
		}
	}
	t.emit(e)
}
