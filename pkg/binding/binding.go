// Package binding ensures that a non-idempotent call runs at most once per
// idempotency key. It binds each key to one instance. Home handles keys that
// carry a ticket issued by this incarnation, with records in memory only. Claims
// handles keys without a ticket, each of which is first claimed in the store.
//
// Invariants:
//   - of all calls with the same organisation and key, at most one is told to
//     run; another may be told to run only after NotRun was reported for that one;
//   - a refusal with ran: no is returned only to a call that was not told to run
//     and never will be;
//   - a record that a later answer depends on is never evicted to free memory.
package binding

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/citrongate/citrongate/pkg/answer"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Waiter identifies a caller's request that awaits a decision, within one instance.
type Waiter uint64

// Call is a non-idempotent call with its idempotency key.
type Call struct {
	Organisation, Kind, Key string
	Body                    []byte
	// Deadline is a reading of the local monotonic clock.
	Deadline time.Duration
}

// Verdict is the kind of a Decision.
type Verdict uint8

// Verdicts.
const (
	// Pending means that the decision follows later, in a WaiterDecision.
	Pending Verdict = iota + 1
	// Run means that the call must be run now on behalf of the waiter. The node
	// must later report Finish or NotRun exactly once for that waiter.
	Run
	// Reply means that Outcome is the recorded answer.
	Reply
	// Refuse means that the call ends with Refusal.
	Refuse
	// Forward means that only the instance with incarnation Holder can decide on
	// the call. If that instance is not alive, or the call was already forwarded
	// once, the call is refused with ticket_home_gone and ran: unknown.
	Forward
)

// Ran tells whether a refused call ran.
type Ran = answer.Ran

// Values of Ran.
const (
	RanNo      = answer.RanNo
	RanYes     = answer.RanYes
	RanUnknown = answer.RanUnknown
)

// Refusal tells why a call was refused, whether it ran and what the caller can do.
type Refusal = answer.Refusal

// Decision is the verdict on one call with its details.
type Decision struct {
	Verdict Verdict
	Outcome *pb.BindingOutcome
	Refusal Refusal
	// Holder is the incarnation to forward to.
	Holder uint64
}

// WaiterDecision is the decision for a waiter whose call was Pending until now.
type WaiterDecision struct {
	Waiter   Waiter
	Decision Decision
}

func refuse(code string, ran Ran, reason, remedy string) Decision {
	return Decision{Verdict: Refuse, Refusal: Refusal{Code: code, Ran: ran, Reason: reason, Remedy: remedy}}
}

func refuseWithRetry(code string, after time.Duration, reason, remedy string) Decision {
	d := refuse(code, RanNo, reason, remedy)
	d.Refusal.RetryAfter = after
	return d
}

// replyWithOutcome replies with a recorded outcome, or refuses the call as
// already run if the body of its answer was not kept.
func replyWithOutcome(outcome *pb.BindingOutcome) Decision {
	if outcome.GetBodyOmitted() {
		return refuse("too_large", RanYes, "the call ran, but its answer was too large to be recorded",
			"ask the called service for the result; do not call again with another key")
	}
	return Decision{Verdict: Reply, Outcome: outcome}
}

func refuseReusedKey() Decision {
	d := refuse("bad_request", RanNo, "the idempotency key was used before for another request kind or body",
		"use a new key for each different call")
	d.Refusal.KeyChecked = true
	return d
}

// digest is the first half of a SHA-256 hash.
type digest [16]byte

// equals reports whether b, read from the store, is this digest.
func (d digest) equals(b []byte) bool { return bytes.Equal(b, d[:]) }

// keyDigest identifies a key of an organisation. Equal keys of two organisations
// have different digests.
func keyDigest(organisation, key string) digest {
	return digestOf(organisation, []byte(key))
}

// requestDigest identifies the kind and the body of a call, to detect that a key
// is reused for another request.
func requestDigest(c Call) digest { return digestOf(c.Kind, c.Body) }

// digestOf hashes two strings. The length of the first is hashed as well, so that
// different pairs with the same concatenation have different digests.
func digestOf(first string, second []byte) digest {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(first)))
	h.Write(length[:])
	h.Write([]byte(first))
	h.Write(second)
	return digest(h.Sum(nil)[:16])
}
