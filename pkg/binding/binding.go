// Package binding makes non-idempotent calls run at most once. Home handles keys
// under tickets of this incarnation in memory; Claims handles keys without a
// ticket through claims in the store.
//
// Invariants:
//   - of all calls with one organisation and key, at most one is ever told to
//     run, except again after a NotRun;
//   - a refusal with ran: no is given only to a call that was not told to run
//     and never will be;
//   - a record that a later answer depends on is never dropped to make room.
package binding

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/citrongate/citrongate/pkg/answer"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Waiter identifies a caller's request within one instance.
type Waiter uint64

// Call is a non-idempotent call.
type Call struct {
	Organisation, Kind, Key string
	Body                    []byte
	// Deadline is on the local monotonic clock.
	Deadline time.Duration
}

// Verdict says what to do with a call.
type Verdict uint8

// Verdicts.
const (
	// Pending means that the answer follows in a later Decided.
	Pending Verdict = iota + 1
	// Run means that the call must be run now, for the waiter named; the node
	// must later report Finish or NotRun exactly once for this waiter.
	Run
	// Reply means that Outcome is the recorded answer.
	Reply
	// Refuse means that the call ends with Code, Ran, Reason and Remedy.
	Refuse
	// Forward means that only the instance Holder can answer. If it is not
	// alive, or the call was forwarded already, the answer is
	// ticket_home_gone with ran: unknown.
	Forward
)

// Ran says whether a refused call ran.
type Ran = answer.Ran

// Values of Ran.
const (
	RanNo      = answer.RanNo
	RanYes     = answer.RanYes
	RanUnknown = answer.RanUnknown
)

// Refusal is why a call has no answer.
type Refusal = answer.Refusal

// Decision is the verdict on one call.
type Decision struct {
	Verdict Verdict
	Outcome *pb.BindingOutcome
	Refusal Refusal
	// Holder is the incarnation to forward to.
	Holder uint64
}

// Decided is a decision that was Pending, or that a running call's end made.
type Decided struct {
	Waiter   Waiter
	Decision Decision
}

func refuse(code string, ran Ran, reason, remedy string) Decision {
	return Decision{Verdict: Refuse, Refusal: Refusal{Code: code, Ran: ran, Reason: reason, Remedy: remedy}}
}

func refuseLater(code string, after time.Duration, reason, remedy string) Decision {
	d := refuse(code, RanNo, reason, remedy)
	d.Refusal.RetryAfter = after
	return d
}

// reply answers with a recorded outcome, or says that its body was not kept.
func reply(outcome *pb.BindingOutcome) Decision {
	if outcome.GetBodyOmitted() {
		return refuse("too_large", RanYes, "the call ran, but its answer was too large to be recorded",
			"ask the called service for the result; do not call again with another key")
	}
	return Decision{Verdict: Reply, Outcome: outcome}
}

func refuseReuse() Decision {
	d := refuse("bad_request", RanNo, "the idempotency key was used before for another request kind or body",
		"use a new key for each different call")
	d.Refusal.KeyChecked = true
	return d
}

// digest is the first half of a SHA-256.
type digest [16]byte

// is reports whether bytes read from the store are this digest.
func (d digest) is(b []byte) bool { return bytes.Equal(b, d[:]) }

// keyDigest identifies a key of an organisation; organisations do not share keys.
func keyDigest(organisation, key string) digest {
	return digestOf(organisation, []byte(key))
}

// requestDigest identifies what a call asks for.
func requestDigest(c Call) digest { return digestOf(c.Kind, c.Body) }

// digestOf hashes two strings unambiguously.
func digestOf(first string, second []byte) digest {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(first)))
	h.Write(length[:])
	h.Write([]byte(first))
	h.Write(second)
	return digest(h.Sum(nil)[:16])
}
