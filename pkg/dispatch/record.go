// Package dispatch keeps a record of each request that this instance received from a
// caller. The instance that received a request is its entry instance, and its record
// is the source of truth: a grant or shed by the owner of a pool only proposes a
// state transition, which the record accepts or declines. A descriptor of each
// waiting request is queued at its holder, which is the owner of the pool or, while
// the owner is unreachable, this instance's local pool.
//
// Invariants:
//   - Send is emitted at most once per record, unless OnDispatchFailed reported in between
//     that no byte was written to the upstream's connection, or the record allows
//     several sends and the upstream did not run the request, or the record is
//     repeatable;
//   - a refusal with ran: no is emitted only for a record that was never
//     dispatched, or whose upstream explicitly refused it before running it;
//   - each accepted permit is released exactly once, and a permit that is not used
//     is released as Unused, or as ConnectRefused if its upstream takes no new work.
package dispatch

import (
	"time"

	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// ID identifies a request within this instance.
type ID uint64

// State is a stage of the request lifecycle.
type State uint8

// States, in the order in which a request passes through them. A record returns to
// Waiting if its permit was not usable, the connection failed or the request is sent
// again.
const (
	// Waiting means that a descriptor is queued at Record.Holder or will be.
	Waiting State = iota + 1
	// Granted means that a permit was received and is being accepted or returned.
	Granted
	// Dispatched means that the upstream adapter was told to send the request.
	Dispatched
	// Streaming means that the first token has arrived.
	Streaming
	// Done means that the record has ended.
	Done
)

// String returns the state's name in lower case.
func (s State) String() string {
	return [...]string{"none", "waiting", "granted", "dispatched", "streaming", "done"}[s]
}

// Holder is the queue in which the descriptor of a request waits, and which grants
// its permit.
type Holder struct {
	// Owner is the incarnation of the pool's owner, or of this instance for Local.
	Owner uint64
	// Local is true for this instance's local pool, which schedules with a fixed
	// share of the capacity while the owner is unreachable.
	Local bool
}

// Request describes a request at submission.
type Request struct {
	ID                     ID
	Kind, Organisation     string
	Pool, Class            uint64
	Tier                   uint8
	PromptLength           uint32
	MeanOutput, HighOutput uint32
	Prefix                 uint64
	Shared                 scheduler.SharedPrefixes
	// Parts identifies the parts of the prompt that other prompts may have too.
	Parts []uint64
	// Deadline is a time on the local monotonic clock.
	Deadline time.Duration
	// KeepRunning is set for non-idempotent calls: once dispatched they are not
	// canceled when the caller disconnects, since their outcome is recorded.
	KeepRunning bool
	// MaxSends bounds the number of upstreams that the request may be sent to in
	// turn; 0 means 1.
	MaxSends uint32
	// Repeatable is true if the request may be sent again although it may have run.
	Repeatable bool
	// StartBy is the latest useful start time; 0 if only the deadline applies.
	StartBy time.Duration
}

// Record is a request with its current state.
type Record struct {
	Request
	State  State
	Holder Holder
	// Attempt numbers the attempts to schedule this request; decisions on earlier
	// ones are ignored.
	Attempt  uint32
	Upstream string

	// SlowdownPercent is how long work takes at the upstream now, as it reported for
	// this dispatch, in percent of the usual time; 0 if it did not.
	SlowdownPercent uint32
	// Slots is what the upstream said of its slots for this dispatch.
	Slots scheduler.SlotReport
	// HoldOff is how long the upstream wants no other request from this instance, as it
	// said for this dispatch; 0 if it did not.
	HoldOff time.Duration
	// Tokens is the number of output tokens received.
	Tokens uint32
	// Started, DispatchedAt, FirstTokenAt and LastTokenAt are times on the local
	// monotonic clock; 0 if not reached.
	Started, DispatchedAt, FirstTokenAt, LastTokenAt time.Duration

	// notBefore is the earliest time of the next offer, which spreads retries.
	notBefore time.Duration
	// offered is false until the descriptor was offered to Holder.
	offered        bool
	offeredAt      time.Duration
	nextOfferAt    time.Duration
	repeatedOffers uint8
	callerGone     bool
	// sends is the number of upstreams that the request was sent to.
	sends uint32
	// execution is what is known of the sends that have ended.
	execution answer.Execution
}

// InFlight reports whether the request was sent to its upstream and has not ended.
func (r *Record) InFlight() bool { return r.State == Dispatched || r.State == Streaming }

// Outcome says how a permit ended.
type Outcome = scheduler.Outcome

// Outcomes of a permit.
const (
	Unused         = scheduler.Unused
	Complete       = scheduler.Complete
	Late           = scheduler.Late
	Broken         = scheduler.Broken
	ConnectRefused = scheduler.ConnectRefused
	Refused        = scheduler.Refused
	Canceled       = scheduler.Canceled
	Failed         = scheduler.Failed
)

// Ran says whether a refused request ran.
type Ran = answer.Ran

// Values of Ran.
const (
	RanNo      = answer.RanNo
	RanYes     = answer.RanYes
	RanUnknown = answer.RanUnknown
)

// Refusal says why a request ends without an answer.
type Refusal = answer.Refusal

// Retry reasons, the label values of the retry counters (section 3 of the design).
const (
	PermitLost    = "permit_lost"
	PermitLapsed  = "permit_lapsed"
	ConnectFailed = "connect_refused"
	OwnerGone     = "owner_gone"
	NotOwner      = "not_owner"
	// HeldOff is the reason of a new attempt after a permit for an upstream that holds this
	// instance off.
	HeldOff = "held_off"
	// NotRun is the reason of a repeated send after an upstream did not run the request.
	NotRun = "upstream_refused"
	// Repeated is the reason of a repeated send of a request that may have run.
	Repeated = "answer_broken"
)
