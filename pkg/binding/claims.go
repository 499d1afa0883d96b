package binding

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// ClaimsConfig configures Claims; zero fields take their defaults.
type ClaimsConfig struct {
	Incarnation uint64
	IDs         *store.IDSource
	Seed        uint64
	// ClaimTimeout limits how long a call waits for its claim; default 3 s.
	ClaimTimeout time.Duration
	// OutcomeDelay is how long an outcome is delayed so that it can be written
	// together with others of its bucket; default 200 ms.
	OutcomeDelay time.Duration
	// RecordTTL is how long the record of a finished call is kept in memory; default 10 min.
	RecordTTL time.Duration
	// Retention is how long a claim is kept in the store, by the wall clock; default 168 h.
	Retention time.Duration
	// MaxRecords limits the records kept; at the limit, new keys are refused. Default 20000.
	MaxRecords int
	// MaxRecordsPerOrganisation limits one organisation's records; 0 means half of MaxRecords.
	MaxRecordsPerOrganisation int
	// MaxOutcomeBytes limits the total size of recorded response bodies in memory; 0 means 8 MiB.
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

// claimState is the state of a record's claim in the store.
type claimState struct {
	bucket int
	// sequence identifies the claim among all claims of this incarnation.
	sequence uint64
	// abandoned holds the sequence numbers of earlier claims of the key that did not
	// run and whose removal was sent. No call may run under them.
	abandoned []uint64
	// confirmed is true if the claim is known to be in effect.
	confirmed bool
	// sent is true if a write with the claim was sent.
	sent bool
	// lastWriteVersion is the newest bucket version that a write with the claim was
	// based on, or that contained the claim. If the bucket lacks the claim at a
	// higher version, the claim is not in effect and can not come into effect.
	lastWriteVersion uint64
	// claimedAt is the wall-clock time of the claim in Unix seconds, used for
	// retention only.
	claimedAt int64
	// deadline is when a waiting call is refused because its claim was not confirmed.
	deadline time.Duration
	// updatePending is true if the outcome or the claim's removal must still be
	// written; this is tried from due until giveUpAt.
	updatePending bool
	due, giveUpAt time.Duration
}

// Claims decides on calls whose keys carry no ticket. A call is told to run only
// after its key was claimed in the store. Claims does no I/O: the node performs the
// store calls that it requests.
type Claims struct {
	cfg            ClaimsConfig
	records        records
	buckets        map[int]*bucket
	resultHandlers map[store.CallID]func(now time.Duration, r store.Result)
	sequence       uint64
	unixNow        int64
	calls          []store.Call
	decided        []WaiterDecision
}

// NewClaims returns a Claims without records.
func NewClaims(cfg ClaimsConfig) *Claims {
	cfg = cfg.withDefaults()
	return &Claims{
		cfg:            cfg,
		records:        newRecords(cfg.MaxRecords, cfg.MaxRecordsPerOrganisation, cfg.MaxOutcomeBytes),
		buckets:        map[int]*bucket{},
		resultHandlers: map[store.CallID]func(time.Duration, store.Result){},
	}
}

// Submit decides on a call whose key carries no ticket. unixSeconds is the
// wall-clock time, used for retention only. A call that another instance forwarded
// to this one, because this one holds the claim, is submitted like any other.
func (c *Claims) Submit(now time.Duration, unixSeconds int64, w Waiter, call Call) Decision {
	c.unixNow = unixSeconds
	if kind, _ := classify(call.Key); kind != KeyClaimed {
		return refuse("bad_request", RanNo, "the idempotency key is empty, too long, or a damaged ticket",
			"use 1 to 255 visible ASCII characters, or <ticket>.<suffix> with a ticket from discovery")
	}
	key, request := keyDigest(call.Organisation, call.Key), requestDigest(call)
	rec := c.records.byKey[key]
	if rec != nil && rec.state != stateNotRun {
		return c.records.decideRepeat(rec, w, request)
	}
	if rec != nil && rec.request != request {
		return refuseReusedKey()
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
	return c.startClaim(now, rec, w, call.Deadline)
}

// startClaim makes a record whose call has not run wait for its claim, or tells the
// call to run if the claim is already in effect.
func (c *Claims) startClaim(now time.Duration, rec *record, w Waiter, deadline time.Duration) Decision {
	c.records.cancelExpiry(rec)
	c.records.byWaiter[w] = rec
	rec.runner = w
	rec.claim.updatePending = false
	if rec.claim.confirmed {
		rec.state = stateRunning
		return Decision{Verdict: Run}
	}
	rec.state = stateClaiming
	rec.claim.claimedAt = c.unixNow
	rec.claim.deadline = min(deadline, now+c.cfg.ClaimTimeout)
	b := c.bucket(rec.claim.bucket)
	b.waiting = append(b.waiting, rec)
	c.startNextCall(now, b)
	return Decision{Verdict: Pending}
}

// Finish is like Home.Finish; in addition, the outcome is written to the store as
// soon as the store is reachable.
func (c *Claims) Finish(now time.Duration, w Waiter, outcome *pb.BindingOutcome, refusal Refusal) []WaiterDecision {
	rec := c.records.finish(w, outcome, refusal)
	if rec == nil {
		return nil
	}
	c.records.scheduleExpiry(rec, now+c.cfg.RecordTTL)
	if outcome != nil {
		c.queueUpdate(now, rec)
	}
	return c.records.answerJoined(rec, outcome)
}

// NotRun is like Home.NotRun; in addition, the claim is removed from the store as
// soon as the store is reachable.
func (c *Claims) NotRun(now time.Duration, w Waiter, refusal Refusal) []WaiterDecision {
	rec := c.records.byWaiter[w]
	if rec == nil || rec.runner != w || rec.state != stateRunning {
		return nil
	}
	c.markNotRun(now, rec)
	return c.records.decideJoined(rec, Decision{Verdict: Refuse, Refusal: refusal})
}

// markNotRun ends an attempt that did not run and queues the removal of its claim,
// so that another instance can run a call with the key.
func (c *Claims) markNotRun(now time.Duration, rec *record) {
	delete(c.records.byWaiter, rec.runner)
	rec.state = stateNotRun
	if !rec.claim.sent {
		c.records.remove(rec)
		return
	}
	c.records.scheduleExpiry(rec, now+c.cfg.RecordTTL)
	c.queueUpdate(now, rec)
}

// Withdraw drops a waiter whose caller has disconnected. A waiter that was told to
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
	c.markNotRun(now, rec)
}

// stopWaiting removes a record from its bucket's waiting list.
func (c *Claims) stopWaiting(rec *record) {
	b := c.bucket(rec.claim.bucket)
	b.waiting = slices.DeleteFunc(b.waiting, func(other *record) bool { return other == rec })
}

// OnStoreResult handles the result of a store call. It returns false if the call was
// not requested by c.
func (c *Claims) OnStoreResult(now time.Duration, id store.CallID, r store.Result) bool {
	handle, ok := c.resultHandlers[id]
	if !ok {
		return false
	}
	delete(c.resultHandlers, id)
	handle(now, r)
	return true
}

// Step handles timeouts and expired records, and starts store calls that are due.
func (c *Claims) Step(now time.Duration, unixSeconds int64) {
	c.unixNow = unixSeconds
	c.records.dropExpired(now)
	for _, i := range c.activeBuckets() {
		b := c.buckets[i]
		c.refuseTimedOut(now, b)
		c.startNextCall(now, b)
		if b.idle() {
			delete(c.buckets, i)
		}
	}
}

// refuseTimedOut refuses the waiting calls whose claim was not confirmed in time.
// Nothing runs under their claims unless another call with the same key arrives.
func (c *Claims) refuseTimedOut(now time.Duration, b *bucket) {
	for _, rec := range slices.Clone(b.waiting) {
		if rec.claim.deadline > now {
			continue
		}
		c.stopWaiting(rec)
		d := refuseWithRetry("store_unavailable", time.Second,
			"the store did not confirm the claim of the idempotency key in time",
			"repeat the call with the same key, or use keys with a ticket from discovery, which need no store")
		c.decideAll(rec, d)
		c.markNotRun(now, rec)
	}
}

// decideAll gives the same decision to the runner and to all joined waiters of a
// record.
func (c *Claims) decideAll(rec *record, d Decision) {
	c.decided = append(c.decided, WaiterDecision{Waiter: rec.runner, Decision: d})
	c.decided = append(c.decided, c.records.decideJoined(rec, d)...)
}

// NextWake returns when Step must be called next; a negative value means never.
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
		if at, ok := b.nextCallAt(); ok {
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

// TakeOutputs returns and clears the store calls to perform and the decisions made.
func (c *Claims) TakeOutputs() (calls []store.Call, decided []WaiterDecision) {
	calls, decided = c.calls, c.decided
	c.calls, c.decided = nil, nil
	return calls, decided
}

// Len returns the number of records.
func (c *Claims) Len() int { return len(c.records.byKey) }
