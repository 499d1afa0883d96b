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
	// or one per second for a week) but batch fewer claims into one write. At 100
	// bookings per second over 8 instances with 20 store calls per second each,
	// 16 buckets served all bookings, 64 served 98% and 256 served 81%.
	bucketCount = 64
	// maxBucketBytes limits the encoded size of a bucket; the object API accepts
	// values up to 1 MB.
	maxBucketBytes = 768 << 10
	// maxBucketOutcomes is the bucket size in bytes above which the oldest recorded
	// response bodies are dropped.
	maxBucketOutcomes = 256 << 10
	// maxStoredBody limits the response body of one outcome in the store, in bytes.
	maxStoredBody = 4 << 10
	// updateTimeout is how long the write of an outcome or of a claim's removal is
	// retried before it is given up.
	updateTimeout = 5 * time.Minute
)

func bucketOf(key digest) int {
	return int(binary.BigEndian.Uint32(key[:4]) % bucketCount)
}

func bucketKey(i int) string { return fmt.Sprintf("binding/claims/%03d", i) }

// bucket is this instance's state for one claim object. At most one store call is
// in progress for it; claims that arrive meanwhile are batched into the next write.
type bucket struct {
	index int
	// busy is true while a store call for the bucket is in progress.
	busy bool
	// known is true if content and version are those of the newest read or write
	// of this instance. If another instance wrote since, the next write conflicts.
	known   bool
	version uint64
	content []*pb.Claim
	// waiting holds the records that need a claim; updates holds those whose
	// outcome, or whose claim's removal, must be written.
	waiting, updates []*record
	// readBack is true if the response to the last write was lost, so that the
	// bucket must be read to learn whether the write took effect.
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

// nextCallAt returns when the bucket's next store call may start; false if there
// is nothing to do or a call is in progress.
func (b *bucket) nextCallAt() (time.Duration, bool) {
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

// queueUpdate queues the outcome of a record, or the removal of its claim, for
// writing after OutcomeDelay.
func (c *Claims) queueUpdate(now time.Duration, rec *record) {
	rec.claim.updatePending = true
	rec.claim.due = now + c.cfg.OutcomeDelay
	rec.claim.giveUpAt = now + updateTimeout
	b := c.bucket(rec.claim.bucket)
	if !slices.Contains(b.updates, rec) {
		b.updates = append(b.updates, rec)
	}
}

// startNextCall starts the bucket's next store call if it has work that is due and
// no call is in progress. It drops the updates that have timed out.
func (c *Claims) startNextCall(now time.Duration, b *bucket) {
	b.updates = slices.DeleteFunc(b.updates, func(rec *record) bool {
		if rec.claim.giveUpAt <= now {
			rec.claim.updatePending = false
		}
		return !rec.claim.updatePending
	})
	if at, ok := b.nextCallAt(); !ok || now < at {
		return
	}
	if !b.known {
		c.readBucket(b)
		return
	}
	c.resolveWaiting(b)
	if len(b.waiting) > 0 || len(b.updates) > 0 {
		c.writeBucket(now, b)
	}
}

// queueCall issues a store call, which TakeOutputs returns to the node; handle receives its result.
func (c *Claims) queueCall(op store.Op, priority store.Priority, reason store.Reason, handle func(now time.Duration, r store.Result)) {
	id := c.cfg.IDs.Next()
	c.resultHandlers[id] = handle
	c.calls = append(c.calls, store.Call{ID: id, Op: op, Priority: priority, Reason: reason})
}

func (c *Claims) readBucket(b *bucket) {
	b.busy = true
	priority, reason := store.PriorityClaim, store.ReasonClaim
	switch {
	case len(b.waiting) == 0:
		priority, reason = store.PriorityOutcome, store.ReasonOutcome
	case b.readBack:
		reason = store.ReasonClaimReadBack
	}
	c.queueCall(store.Op{Kind: store.Get, Key: bucketKey(b.index)}, priority, reason, func(now time.Duration, r store.Result) {
		b.busy = false
		content := &pb.ClaimBucket{}
		switch {
		case r.Status == store.OK && proto.Unmarshal(r.Value, content) == nil:
		case r.Status == store.NotFound:
			r.Version = 0
		default:
			c.scheduleRetry(now, b)
			return
		}
		b.readBack = false
		b.known, b.version, b.content = true, r.Version, content.Claims
		c.startNextCall(now, b)
	})
}

// scheduleRetry discards the content read and retries after a backoff.
func (c *Claims) scheduleRetry(now time.Duration, b *bucket) {
	b.known, b.content = false, nil
	b.retryAt = now + b.backoff.Next()
}

// findClaim returns the claim of a key in the bucket's content, or nil.
func (b *bucket) findClaim(key digest) *pb.Claim {
	for _, claim := range b.content {
		if key.equals(claim.GetKeyDigest()) {
			return claim
		}
	}
	return nil
}

// resolveWaiting decides on the waiting records whose keys are already claimed in
// the bucket's content. A record whose own claim is in effect is told to run.
func (c *Claims) resolveWaiting(b *bucket) {
	for _, rec := range slices.Clone(b.waiting) {
		claim := b.findClaim(rec.key)
		if claim == nil || c.isAbandoned(rec, claim) {
			continue
		}
		c.stopWaiting(rec)
		if claim.Incarnation == c.cfg.Incarnation && claim.Sequence == rec.claim.sequence {
			rec.claim.lastWriteVersion = max(rec.claim.lastWriteVersion, b.version)
			c.markRunning(rec)
			continue
		}
		c.decideAll(rec, c.decideByClaim(rec, claim))
		delete(c.records.byWaiter, rec.runner)
		c.records.remove(rec)
	}
}

// isAbandoned reports whether a claim is an earlier one of this record that never
// ran and whose removal was sent.
func (c *Claims) isAbandoned(rec *record, claim *pb.Claim) bool {
	return claim.Incarnation == c.cfg.Incarnation && slices.Contains(rec.claim.abandoned, claim.Sequence)
}

func (c *Claims) markRunning(rec *record) {
	rec.state = stateRunning
	rec.claim.confirmed = true
	c.decided = append(c.decided, WaiterDecision{Waiter: rec.runner, Decision: Decision{Verdict: Run}})
}

// decideByClaim decides on a call whose key has been claimed by another attempt.
func (c *Claims) decideByClaim(rec *record, claim *pb.Claim) Decision {
	switch {
	case !rec.request.equals(claim.GetRequestDigest()):
		return refuseReusedKey()
	case claim.Outcome != nil:
		return replyWithOutcome(claim.Outcome)
	case claim.Incarnation != c.cfg.Incarnation:
		return Decision{Verdict: Forward, Holder: claim.Incarnation}
	}
	return refuse("upstream_broke", RanUnknown, "the key was claimed by an earlier call whose outcome is not known",
		"ask the called service whether it ran; do not call again with another key before that")
}

// writeBucket starts one conditional write with all waiting claims and updates.
func (c *Claims) writeBucket(now time.Duration, b *bucket) {
	next, changed := c.composeContent(now, b)
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
	c.queueCall(op, priority, reason, func(now time.Duration, r store.Result) {
		b.busy = false
		c.onWritten(now, b, w, r)
	})
}

// bucketWrite is a write in progress: the version it is conditional on, the new
// content, and the records whose claims and updates it contains.
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
		c.confirmClaims(b, w.claims)
		c.finishUpdates(w.updates)
	case store.Unknown:
		// The write may have taken effect: reading the bucket back shows whether the
		// claims are in it.
		b.readBack = true
		c.scheduleRetry(now, b)
	default:
		c.scheduleRetry(now, b)
	}
	c.startNextCall(now, b)
}

// confirmClaims tells the records whose claims were written to run, unless their
// callers were answered in the meantime.
func (c *Claims) confirmClaims(b *bucket, claims []*record) {
	for _, rec := range claims {
		rec.claim.lastWriteVersion = max(rec.claim.lastWriteVersion, b.version)
		if rec.state == stateClaiming {
			c.stopWaiting(rec)
			c.markRunning(rec)
		}
	}
}

// finishUpdates completes updates that are in effect. A record whose claim has been
// removed is dropped, since no later answer depends on it.
func (c *Claims) finishUpdates(updates []*record) {
	for _, rec := range updates {
		if !rec.claim.updatePending {
			continue
		}
		rec.claim.updatePending = false
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
