package binding

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// bucketCount is the number of claim objects in the store; all instances must
	// use the same number. More buckets hold more claims (64 hold about 800,000,
	// or one a second for a week) but group fewer of them in one write: at 100
	// bookings a second over 8 instances with 20 calls a second each, 16 buckets
	// served all, 64 served 98% and 256 served 81%.
	bucketCount = 64
	// maxBucketBytes bounds a bucket; the object API holds values up to 1 MB.
	maxBucketBytes = 768 << 10
	// maxBucketOutcomes is the size from which the oldest recorded bodies of a
	// bucket are dropped.
	maxBucketOutcomes = 256 << 10
	// maxStoredBody bounds the body of one outcome in the store.
	maxStoredBody = 4 << 10
	// outcomeGiveUp is how long an outcome or removal is tried.
	outcomeGiveUp = 5 * time.Minute
)

func bucketOf(key digest) int {
	return int(binary.BigEndian.Uint32(key[:4]) % bucketCount)
}

func bucketKey(i int) string { return fmt.Sprintf("binding/claims/%03d", i) }

// bucket is this instance's work on one claim object. At most one call is in
// progress for it; meanwhile further claims gather for the next write.
type bucket struct {
	index int
	busy  bool
	// known is true if content and version are the newest that this instance
	// read or wrote; a write on an older version conflicts.
	known   bool
	version uint64
	content []*pb.Claim
	// waiting need a claim; updates have an outcome or a removal to write.
	waiting, updates []*record
	// readBack is true if the last write's answer was lost.
	readBack bool
	retryAt  time.Duration
	backoff  *store.Backoff
}

func (c *Claims) bucket(i int) *bucket {
	b := c.buckets[i]
	if b == nil {
		b = &bucket{index: i, backoff: store.NewBackoff(20*time.Millisecond, time.Second, c.cfg.Seed+uint64(i))}
		c.buckets[i] = b
	}
	return b
}

func (c *Claims) activeBuckets() []int { return slices.Sorted(maps.Keys(c.buckets)) }

func (b *bucket) idle() bool { return !b.busy && len(b.waiting) == 0 && len(b.updates) == 0 }

// nextRun returns when the bucket's next call may start; false if there is none.
func (b *bucket) nextRun() (time.Duration, bool) {
	if b.busy || b.idle() {
		return 0, false
	}
	if len(b.waiting) > 0 {
		return b.retryAt, true
	}
	at := b.updates[0].claim.due
	for _, rec := range b.updates {
		at = min(at, rec.claim.due)
	}
	return max(at, b.retryAt), true
}

// update queues the outcome or the removal of a record's claim for writing.
func (c *Claims) update(now time.Duration, rec *record) {
	rec.claim.pending = true
	rec.claim.due = now + c.cfg.OutcomeDelay
	rec.claim.giveUpAt = now + outcomeGiveUp
	b := c.bucket(rec.claim.bucket)
	if !slices.Contains(b.updates, rec) {
		b.updates = append(b.updates, rec)
	}
}

// run starts the bucket's next call if it has work and none is in progress.
func (c *Claims) run(now time.Duration, b *bucket) {
	b.updates = slices.DeleteFunc(b.updates, func(rec *record) bool {
		if rec.claim.giveUpAt <= now {
			rec.claim.pending = false
		}
		return !rec.claim.pending
	})
	if at, ok := b.nextRun(); !ok || now < at {
		return
	}
	if !b.known {
		c.read(b)
		return
	}
	c.resolve(b)
	if len(b.waiting) > 0 || len(b.updates) > 0 {
		c.write(now, b)
	}
}

func (c *Claims) call(op store.Op, priority store.Priority, reason store.Reason, handle func(now time.Duration, r store.Result)) {
	id := c.cfg.IDs.Next()
	c.pending[id] = handle
	c.calls = append(c.calls, store.Call{ID: id, Op: op, Priority: priority, Reason: reason})
}

func (c *Claims) read(b *bucket) {
	b.busy = true
	priority, reason := store.PriorityClaim, store.ReasonClaim
	switch {
	case len(b.waiting) == 0:
		priority, reason = store.PriorityOutcome, store.ReasonOutcome
	case b.readBack:
		reason = store.ReasonClaimReadBack
	}
	c.call(store.Op{Kind: store.Get, Key: bucketKey(b.index)}, priority, reason, func(now time.Duration, r store.Result) {
		b.busy = false
		content := &pb.ClaimBucket{}
		switch {
		case r.Status == store.OK && proto.Unmarshal(r.Value, content) == nil:
		case r.Status == store.NotFound:
			r.Version = 0
		default:
			c.retry(now, b)
			return
		}
		b.readBack = false
		b.known, b.version, b.content = true, r.Version, content.Claims
		c.run(now, b)
	})
}

// retry forgets what was read and tries again after a pause.
func (c *Claims) retry(now time.Duration, b *bucket) {
	b.known, b.content = false, nil
	b.retryAt = now + b.backoff.Next()
}

// find returns the claim of a key in the content read, or nil.
func (b *bucket) find(key digest) *pb.Claim {
	for _, claim := range b.content {
		if key.is(claim.GetKeyDigest()) {
			return claim
		}
	}
	return nil
}

// resolve decides the waiting records whose keys have a claim in the content read.
func (c *Claims) resolve(b *bucket) {
	for _, rec := range slices.Clone(b.waiting) {
		claim := b.find(rec.key)
		if claim == nil || c.isBurned(rec, claim) {
			continue
		}
		c.stopWaiting(rec)
		if claim.Incarnation == c.cfg.Incarnation && claim.Sequence == rec.claim.sequence {
			rec.claim.since = max(rec.claim.since, b.version)
			c.runNow(rec)
			continue
		}
		c.decideAll(rec, c.decideByClaim(rec, claim))
		delete(c.records.byWaiter, rec.runner)
		c.records.remove(rec)
	}
}

// isBurned reports whether a claim is one of this record's that never ran and
// whose removal was sent.
func (c *Claims) isBurned(rec *record, claim *pb.Claim) bool {
	return claim.Incarnation == c.cfg.Incarnation && slices.Contains(rec.claim.burned, claim.Sequence)
}

func (c *Claims) runNow(rec *record) {
	rec.state = stateRunning
	rec.claim.confirmed = true
	c.decided = append(c.decided, Decided{Waiter: rec.runner, Decision: Decision{Verdict: Run}})
}

// decideByClaim decides on a call whose key another attempt has claimed.
func (c *Claims) decideByClaim(rec *record, claim *pb.Claim) Decision {
	switch {
	case !rec.request.is(claim.GetRequestDigest()):
		return refuseReuse()
	case claim.Outcome != nil:
		return reply(claim.Outcome)
	case claim.Incarnation != c.cfg.Incarnation:
		return Decision{Verdict: Forward, Holder: claim.Incarnation}
	}
	return refuse("upstream_broke", RanUnknown, "the key was claimed by an earlier call whose outcome is not known",
		"ask the called service whether it ran; do not call again with another key before that")
}

// write makes one conditional write with everything that waits.
func (c *Claims) write(now time.Duration, b *bucket) {
	next, changed := c.compose(now, b)
	if !changed {
		c.finishUpdates(b.updates)
		return
	}
	w := &bucketWrite{base: b.version, next: next, claims: slices.Clone(b.waiting), updates: slices.Clone(b.updates)}
	op := store.Op{Kind: store.Update, Key: bucketKey(b.index), Value: marshal(next), Version: b.version}
	if b.version == 0 {
		op.Kind = store.Create
	}
	priority, reason := store.PriorityClaimWrite, store.ReasonClaim
	if len(w.claims) == 0 {
		priority, reason = store.PriorityOutcome, store.ReasonOutcome
	}
	b.busy = true
	c.call(op, priority, reason, func(now time.Duration, r store.Result) {
		b.busy = false
		c.onWritten(now, b, w, r)
	})
}

// bucketWrite is a write in progress.
type bucketWrite struct {
	base            uint64
	next            *pb.ClaimBucket
	claims, updates []*record
}

func (c *Claims) onWritten(now time.Duration, b *bucket, w *bucketWrite, r store.Result) {
	switch r.Status {
	case store.OK:
		b.backoff.Reset()
		b.known, b.version, b.content = true, r.Version, w.next.Claims
		c.confirm(b, w.claims)
		c.finishUpdates(w.updates)
	case store.Unknown:
		// Whether the claims are in effect shows when the bucket is read back.
		b.readBack = true
		c.retry(now, b)
	default:
		c.retry(now, b)
	}
	c.run(now, b)
}

// confirm runs the records whose claims were written, unless their callers were
// answered meanwhile.
func (c *Claims) confirm(b *bucket, claims []*record) {
	for _, rec := range claims {
		rec.claim.since = max(rec.claim.since, b.version)
		if rec.state == stateClaiming {
			c.stopWaiting(rec)
			c.runNow(rec)
		}
	}
}

// finishUpdates ends updates that are in effect. A record whose claim is gone
// holds nothing that a later answer depends on.
func (c *Claims) finishUpdates(updates []*record) {
	for _, rec := range updates {
		if !rec.claim.pending {
			continue
		}
		rec.claim.pending = false
		if rec.state == stateNotRun {
			c.records.remove(rec)
		}
	}
}

func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil
	}
	return data
}
