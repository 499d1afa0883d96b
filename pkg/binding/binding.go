// Package binding makes non-idempotent calls run at most once. Home handles keys
// under tickets of this incarnation in memory; Claims handles keys without a
// ticket through claims in the store.
package binding

import (
	"time"

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
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Refusal is why a call has no answer.
type Refusal struct {
	Code           string
	Ran            Ran
	Reason, Remedy string
	RetryAfter     time.Duration
}

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

// KeyType says how a key is bound.
type KeyType uint8

// Types of keys.
const (
	// KeyMalformed starts like a ticket but is not one, or is empty or too
	// long. It can never run.
	KeyMalformed KeyType = iota + 1
	// KeyTicket carries a ticket; only its home may run it.
	KeyTicket
	// KeyClaimed carries no ticket and needs a claim in the store.
	KeyClaimed
)

// Classify says how a key is bound, from its text alone, and names the home of a ticket.
func Classify(key string) (t KeyType, home uint64) { return KeyMalformed, 0 }
