package binding

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// ClaimsConfig holds the constants of Claims; zero fields take defaults.
type ClaimsConfig struct {
	Incarnation uint64
	IDs         *store.IDSource
	Seed        uint64
	// ClaimTimeout bounds the wait for a claim; default 3 s.
	ClaimTimeout time.Duration
	// OutcomeDelay is how long an outcome waits for others of its bucket; default 200 ms.
	OutcomeDelay time.Duration
	// RecordTTL is how long a finished call is remembered in memory; default 10 min.
	RecordTTL time.Duration
	// Retention is how long a claim stays in the store, by the wall clock; default 168 h.
	Retention time.Duration
	// MaxRecords bounds the records kept; further new keys are refused. Default 20000.
	MaxRecords int
	// MaxRecordsPerOrganisation bounds one organisation's records; 0 means half of MaxRecords.
	MaxRecordsPerOrganisation int
	// MaxOutcomeBytes bounds the bytes of answers in memory; 0 means 8 MiB.
	MaxOutcomeBytes int
}

func (c ClaimsConfig) withDefaults() ClaimsConfig {
	if c.IDs == nil {
		c.IDs = &store.IDSource{}
	}
	if c.ClaimTimeout == 0 {
		c.ClaimTimeout = 3 * time.Second
	}
	if c.OutcomeDelay == 0 {
		c.OutcomeDelay = 200 * time.Millisecond
	}
	if c.RecordTTL == 0 {
		c.RecordTTL = 10 * time.Minute
	}
	if c.Retention == 0 {
		c.Retention = 168 * time.Hour
	}
	if c.MaxRecords == 0 {
		c.MaxRecords = 20_000
	}
	return c
}

// claimState is the part of a record that concerns its claim in the store.
type claimState struct {
	bucket int
	// sequence identifies the claim; no other claim of this incarnation has it.
	sequence uint64
	// burned are sequence numbers of earlier claims of the key that did not run
	// and whose removal was sent, so that they must never be run under.
	burned []uint64
	// confirmed is true if the claim is known to be in effect.
	confirmed bool
	// sent is true if a write with the claim was sent. The claim is known not to
	// be in effect if the bucket lacks it at a version above since.
	sent  bool
	since uint64
	// claimedAt is the wall-clock second of the claim, for retention only.
	claimedAt int64
	// deadline is when a waiting caller is told that there is no claim.
	deadline time.Duration
	// pending is true if the outcome or the removal is to be written, from due
	// on and until giveUpAt.
	pending       bool
	due, giveUpAt time.Duration
}

// Claims runs keys without a ticket, each after a claim in the store.
type Claims struct {
	cfg      ClaimsConfig
	records  records
	buckets  map[int]*bucket
	pending  map[store.CallID]func(now time.Duration, r store.Result)
	sequence uint64
	unix     int64
	calls    []store.Call
	decided  []Decided
}

// NewClaims returns Claims without records.
func NewClaims(cfg ClaimsConfig) *Claims {
	cfg = cfg.withDefaults()
	return &Claims{
		cfg:     cfg,
		records: newRecords(cfg.MaxRecords, cfg.MaxRecordsPerOrganisation, cfg.MaxOutcomeBytes),
		buckets: map[int]*bucket{},
		pending: map[store.CallID]func(time.Duration, store.Result){},
	}
}

// Submit decides on a call whose key carries no ticket. unixSeconds is the
// wall clock, used for retention only. A call that another instance forwarded
// to this one as the holder of its claim is submitted like any other.
func (c *Claims) Submit(now time.Duration, unixSeconds int64, w Waiter, call Call) Decision {
	c.unix = unixSeconds
	if kind, _ := classify(call.Key); kind != KeyClaimed {
		return refuse("bad_request", RanNo, "the idempotency key is empty, too long, or a damaged ticket",
			"use 1 to 255 visible ASCII characters, or <ticket>.<suffix> with a ticket from discovery")
	}
	key, request := keyDigest(call.Organisation, call.Key), requestDigest(call)
	rec := c.records.byKey[key]
	if rec != nil && rec.state != stateNotRun {
		return c.records.repeat(rec, w, request)
	}
	if rec != nil && rec.request != request {
		return refuseReuse()
	}
	if rec == nil {
		if d, full := c.records.full(now, call.Organisation); full {
			return d
		}
		c.sequence++
		rec = &record{key: key, organisation: call.Organisation, request: request, runner: w,
			claim: claimState{bucket: bucketOf(key), sequence: c.sequence}}
		c.records.add(rec)
	}
	return c.claimFor(now, rec, w, call.Deadline)
}

// claimFor makes a record that did not run wait for its claim, or runs it if
// the claim is in effect already.
func (c *Claims) claimFor(now time.Duration, rec *record, w Waiter, deadline time.Duration) Decision {
	c.records.keep(rec)
	c.records.byWaiter[w] = rec
	rec.runner = w
	rec.claim.pending = false
	if rec.claim.confirmed {
		rec.state = stateRunning
		return Decision{Verdict: Run}
	}
	rec.state = stateClaiming
	rec.claim.claimedAt = c.unix
	rec.claim.deadline = min(deadline, now+c.cfg.ClaimTimeout)
	b := c.bucket(rec.claim.bucket)
	b.waiting = append(b.waiting, rec)
	c.run(now, b)
	return Decision{Verdict: Pending}
}

// Finish is as Home.Finish. The outcome is written to the store when it is reachable.
func (c *Claims) Finish(now time.Duration, w Waiter, outcome *pb.BindingOutcome, refusal Refusal) []Decided {
	rec := c.records.finish(w, outcome, refusal)
	if rec == nil {
		return nil
	}
	c.records.expireAt(rec, now+c.cfg.RecordTTL)
	if outcome != nil {
		c.update(now, rec)
	}
	return c.records.answerJoined(rec, outcome)
}

// NotRun is as Home.NotRun. The claim is removed from the store when it is reachable.
func (c *Claims) NotRun(now time.Duration, w Waiter, refusal Refusal) []Decided {
	rec := c.records.byWaiter[w]
	if rec == nil || rec.runner != w || rec.state != stateRunning {
		return nil
	}
	c.setNotRun(now, rec)
	return c.records.release(rec, Decision{Verdict: Refuse, Refusal: refusal})
}

// setNotRun ends an attempt that did not run and lets its claim be removed, so
// that another instance can run the key.
func (c *Claims) setNotRun(now time.Duration, rec *record) {
	delete(c.records.byWaiter, rec.runner)
	rec.state = stateNotRun
	if !rec.claim.sent {
		c.records.remove(rec)
		return
	}
	c.records.expireAt(rec, now+c.cfg.RecordTTL)
	c.update(now, rec)
}

// Withdraw forgets a waiter whose caller is gone. A waiter that was told to
// run must be ended by Finish or NotRun instead.
func (c *Claims) Withdraw(now time.Duration, w Waiter) {
	if c.records.withdraw(w) {
		return
	}
	rec := c.records.byWaiter[w]
	if rec == nil || rec.state != stateClaiming {
		return
	}
	if len(rec.joined) > 0 {
		delete(c.records.byWaiter, w)
		rec.runner = rec.joined[0]
		rec.joined = rec.joined[1:]
		return
	}
	c.stopWaiting(rec)
	c.setNotRun(now, rec)
}

// stopWaiting takes a record out of its bucket's waiting list.
func (c *Claims) stopWaiting(rec *record) {
	b := c.bucket(rec.claim.bucket)
	b.waiting = slices.DeleteFunc(b.waiting, func(other *record) bool { return other == rec })
}

// OnStoreResult hands in the result of a call. It returns false if the call
// is not one of these claims'.
func (c *Claims) OnStoreResult(now time.Duration, id store.CallID, r store.Result) bool {
	handle, ok := c.pending[id]
	if !ok {
		return false
	}
	delete(c.pending, id)
	handle(now, r)
	return true
}

// Step runs timers.
func (c *Claims) Step(now time.Duration, unixSeconds int64) {
	c.unix = unixSeconds
	c.records.dropExpired(now)
	for _, i := range c.activeBuckets() {
		b := c.buckets[i]
		c.refuseLate(now, b)
		c.run(now, b)
		if b.idle() {
			delete(c.buckets, i)
		}
	}
}

// refuseLate answers callers whose claim could not be made in time. Nothing
// will run under their claims unless the same key comes again.
func (c *Claims) refuseLate(now time.Duration, b *bucket) {
	for _, rec := range slices.Clone(b.waiting) {
		if rec.claim.deadline > now {
			continue
		}
		c.stopWaiting(rec)
		d := refuseLater("store_unavailable", time.Second,
			"the store did not confirm the claim of the idempotency key in time",
			"repeat the call with the same key, or use keys with a ticket from discovery, which need no store")
		c.decideAll(rec, d)
		c.setNotRun(now, rec)
	}
}

// decideAll gives the runner and all joined waiters of a record a decision.
func (c *Claims) decideAll(rec *record, d Decision) {
	c.decided = append(c.decided, Decided{Waiter: rec.runner, Decision: d})
	c.decided = append(c.decided, c.records.release(rec, d)...)
}

// NextWake returns when Step has something to do; a negative value means never.
func (c *Claims) NextWake(now time.Duration) time.Duration {
	wake := time.Duration(-1)
	consider := func(at time.Duration) {
		if wake < 0 || at < wake {
			wake = at
		}
	}
	for _, b := range c.buckets {
		for _, rec := range b.waiting {
			consider(rec.claim.deadline)
		}
		if at, ok := b.nextRun(); ok {
			consider(at)
		}
	}
	if len(c.records.expiring) > 0 {
		consider(c.records.expiring[0].expires)
	}
	if wake >= 0 {
		wake = max(wake, now)
	}
	return wake
}

// Take returns and clears the calls to make and the decisions made.
func (c *Claims) Take() (calls []store.Call, decided []Decided) {
	calls, decided = c.calls, c.decided
	c.calls, c.decided = nil, nil
	return calls, decided
}

// Len returns the number of records.
func (c *Claims) Len() int { return len(c.records.byKey) }
