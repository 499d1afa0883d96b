package binding

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// maxAbandoned limits the abandoned claims that a record remembers. If an older one
// is found in the store, the key counts as claimed by a call with unknown outcome.
const maxAbandoned = 8

// claimOverhead is an upper bound of the encoded size of a claim without its
// outcome, in bytes.
const claimOverhead = 96

// composeContent returns the bucket's next content, with all waiting claims and
// updates applied, and whether it differs and must be written.
func (c *Claims) composeContent(now time.Duration, b *bucket) (*pb.ClaimBucket, bool) {
	next := &pb.ClaimBucket{Claims: slices.Clone(b.content)}
	changed := false
	for _, rec := range b.updates {
		changed = c.applyUpdate(b, next, rec) || changed
	}
	if len(b.waiting) > 0 {
		c.pruneExpired(next)
		size := trimOutcomes(next)
		for _, rec := range slices.Clone(b.waiting) {
			if size+claimOverhead > maxBucketBytes {
				c.refuseBucketFull(now, rec)
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

// applyUpdate sets a record's outcome in its claim in next, or removes the claim of
// a record that did not run. It reports whether a write is needed.
func (c *Claims) applyUpdate(b *bucket, next *pb.ClaimBucket, rec *record) bool {
	i := slices.IndexFunc(next.Claims, func(claim *pb.Claim) bool {
		return rec.key.equals(claim.GetKeyDigest()) && claim.Incarnation == c.cfg.Incarnation &&
			(claim.Sequence == rec.claim.sequence || c.isAbandoned(rec, claim))
	})
	if i < 0 {
		// The claim is permanently absent only if the bucket's version is higher than
		// that of every write with the claim. Otherwise a delayed write could still
		// add it, so a write without the claim is needed: it raises the version, after
		// which the delayed write conflicts.
		return b.version <= rec.claim.lastWriteVersion
	}
	rec.claim.lastWriteVersion = max(rec.claim.lastWriteVersion, b.version)
	if rec.state == stateNotRun {
		next.Claims = slices.Delete(next.Claims, i, i+1)
		c.abandonClaim(rec)
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

// abandonClaim replaces a record's claim by one with a new sequence number. Once the
// removal of the old claim is sent, another instance may claim the key, so nothing
// may run under the old claim any more.
func (c *Claims) abandonClaim(rec *record) {
	if !slices.Contains(rec.claim.abandoned, rec.claim.sequence) {
		rec.claim.abandoned = append(rec.claim.abandoned, rec.claim.sequence)
		rec.claim.abandoned = rec.claim.abandoned[max(0, len(rec.claim.abandoned)-maxAbandoned):]
	}
	c.sequence++
	rec.claim.sequence = c.sequence
	rec.claim.confirmed = false
}

// applyClaim adds a waiting record's claim to next and removes the abandoned claim
// of the same key, if any.
func (c *Claims) applyClaim(b *bucket, next *pb.ClaimBucket, rec *record) {
	next.Claims = slices.DeleteFunc(next.Claims, func(claim *pb.Claim) bool {
		return rec.key.equals(claim.GetKeyDigest())
	})
	next.Claims = append(next.Claims, &pb.Claim{
		KeyDigest:      rec.key[:],
		Incarnation:    c.cfg.Incarnation,
		Sequence:       rec.claim.sequence,
		ClaimedAtUnixS: rec.claim.claimedAt,
		RequestDigest:  rec.request[:],
	})
	rec.claim.sent = true
	rec.claim.lastWriteVersion = max(rec.claim.lastWriteVersion, b.version)
}

// refuseBucketFull refuses a call whose claim does not fit into the bucket.
func (c *Claims) refuseBucketFull(now time.Duration, rec *record) {
	c.stopWaiting(rec)
	c.decideAll(rec, refuse("store_unavailable", RanNo, "the store holds the maximum number of claims of idempotency keys",
		"use keys with a ticket from discovery, which need no claim; an operator can lower binding.claim_retention"))
	c.markNotRun(now, rec)
}

// pruneExpired removes claims that are older than the retention time, except those of
// calls in progress at this instance.
func (c *Claims) pruneExpired(next *pb.ClaimBucket) {
	oldest := c.unixNow - int64(c.cfg.Retention/time.Second)
	next.Claims = slices.DeleteFunc(next.Claims, func(claim *pb.Claim) bool {
		return claim.ClaimedAtUnixS < oldest && !c.inProgress(claim)
	})
}

// inProgress reports whether this instance has a running or waiting call with the
// key of a claim.
func (c *Claims) inProgress(claim *pb.Claim) bool {
	if len(claim.GetKeyDigest()) != len(digest{}) {
		return false
	}
	rec := c.records.byKey[digest(claim.KeyDigest)]
	return rec != nil && (rec.state == stateRunning || rec.state == stateClaiming)
}

// trimOutcomes drops the oldest recorded response bodies until the bucket is no
// larger than maxBucketOutcomes, and returns its size in bytes.
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
