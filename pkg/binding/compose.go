package binding

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// maxBurned bounds the given-up claims that a record remembers. A forgotten one
// that is still in effect is answered as unknown.
const maxBurned = 8

// claimOverhead is more than the encoded size of a claim without its outcome.
const claimOverhead = 96

// compose returns the bucket's next content and whether it must be written.
func (c *Claims) compose(now time.Duration, b *bucket) (*pb.ClaimBucket, bool) {
	next := &pb.ClaimBucket{Claims: slices.Clone(b.content)}
	changed := false
	for _, rec := range b.updates {
		changed = c.applyUpdate(b, next, rec) || changed
	}
	if len(b.waiting) > 0 {
		c.prune(next)
		size := trimOutcomes(next)
		for _, rec := range slices.Clone(b.waiting) {
			if size+claimOverhead > maxBucketBytes {
				c.refuseFull(now, rec)
				continue
			}
			size += claimOverhead
			c.applyClaim(b, next, rec)
			changed = true
		}
	}
	if changed {
		trimOutcomes(next)
	}
	return next, changed
}

// applyUpdate writes a record's outcome into its claim, or removes the claim of
// a record that did not run. It reports whether a write is needed.
func (c *Claims) applyUpdate(b *bucket, next *pb.ClaimBucket, rec *record) bool {
	i := slices.IndexFunc(next.Claims, func(claim *pb.Claim) bool {
		return rec.key.is(claim.GetKeyDigest()) && claim.Incarnation == c.cfg.Incarnation &&
			(claim.Sequence == rec.claim.sequence || c.isBurned(rec, claim))
	})
	if i < 0 {
		// The claim is absent for good only if the version has passed every write
		// that held it. Otherwise a write without it moves the version on, after
		// which a late one conflicts.
		return b.version <= rec.claim.since
	}
	rec.claim.since = max(rec.claim.since, b.version)
	if rec.state == stateNotRun {
		next.Claims = slices.Delete(next.Claims, i, i+1)
		c.burn(rec)
		return true
	}
	claim := proto.CloneOf(next.Claims[i])
	claim.Outcome = rec.outcome
	if len(claim.Outcome.GetBody()) > maxStoredBody {
		claim.Outcome = withoutBody(claim.Outcome)
	}
	next.Claims[i] = claim
	return true
}

// burn gives up a record's claim: once its removal is sent, another instance
// may claim the key, so nothing may run under the old claim.
func (c *Claims) burn(rec *record) {
	if !slices.Contains(rec.claim.burned, rec.claim.sequence) {
		rec.claim.burned = append(rec.claim.burned, rec.claim.sequence)
		rec.claim.burned = rec.claim.burned[max(0, len(rec.claim.burned)-maxBurned):]
	}
	c.sequence++
	rec.claim.sequence = c.sequence
	rec.claim.confirmed = false
}

// applyClaim adds a waiting record's claim, in place of one that it gave up.
func (c *Claims) applyClaim(b *bucket, next *pb.ClaimBucket, rec *record) {
	next.Claims = slices.DeleteFunc(next.Claims, func(claim *pb.Claim) bool {
		return rec.key.is(claim.GetKeyDigest())
	})
	next.Claims = append(next.Claims, &pb.Claim{
		KeyDigest:      rec.key[:],
		Incarnation:    c.cfg.Incarnation,
		Sequence:       rec.claim.sequence,
		ClaimedAtUnixS: rec.claim.claimedAt,
		RequestDigest:  rec.request[:],
	})
	rec.claim.sent = true
	rec.claim.since = max(rec.claim.since, b.version)
}

// refuseFull refuses a claim for which the bucket has no room.
func (c *Claims) refuseFull(now time.Duration, rec *record) {
	c.stopWaiting(rec)
	c.decideAll(rec, refuse("store_unavailable", RanNo, "the store holds as many claims of idempotency keys as it may",
		"use keys with a ticket from discovery, which need no claim; an operator can lower binding.claim_retention"))
	c.setNotRun(now, rec)
}

// prune removes claims that are older than the retention time, except those of
// calls in progress here.
func (c *Claims) prune(next *pb.ClaimBucket) {
	oldest := c.unix - int64(c.cfg.Retention/time.Second)
	next.Claims = slices.DeleteFunc(next.Claims, func(claim *pb.Claim) bool {
		return claim.ClaimedAtUnixS < oldest && !c.inProgress(claim)
	})
}

func (c *Claims) inProgress(claim *pb.Claim) bool {
	if len(claim.GetKeyDigest()) != len(digest{}) {
		return false
	}
	rec := c.records.byKey[digest(claim.KeyDigest)]
	return rec != nil && (rec.state == stateRunning || rec.state == stateClaiming)
}

// trimOutcomes drops the oldest recorded bodies of a bucket that is too large
// and returns its size in bytes.
func trimOutcomes(next *pb.ClaimBucket) int {
	size := proto.Size(next)
	for i := 0; i < len(next.Claims) && size > maxBucketOutcomes; i++ {
		claim := next.Claims[i]
		if body := len(claim.GetOutcome().GetBody()); body > 0 {
			trimmed := proto.CloneOf(claim)
			trimmed.Outcome = withoutBody(claim.Outcome)
			next.Claims[i] = trimmed
			size -= body
		}
	}
	return size
}
