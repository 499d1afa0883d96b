package dispatch

import (
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// Effect is an action or event that a Table asks its caller to carry out.
type Effect interface{ isEffect() }

// Offer queues the descriptor of a record at its holder. The holder ignores a
// repeated offer of the same attempt.
type Offer struct{ Record *Record }

// Withdraw removes the descriptor of an attempt from its holder's queue.
type Withdraw struct {
	ID      ID
	Pool    uint64
	Attempt uint32
	Holder  Holder
}

// Release returns the permit of an attempt to the holder that granted it, with
// the outcome of the attempt.
type Release struct {
	ID           ID
	Pool         uint64
	Attempt      uint32
	Holder       Holder
	Outcome      Outcome
	OutputTokens uint32
	// TTFT is the time to the first token and InterToken the mean inter-token
	// time. Both are 0 if unknown.
	TTFT, InterToken time.Duration
	CachedPrompt     uint32
	// SlowdownPercent is as in Record; 0 also if FirstToken carried it.
	SlowdownPercent uint32
	// Slots and HoldOff are as in Record.
	Slots   scheduler.SlotReport
	HoldOff time.Duration
	// Returned is true if the permit was returned without a dispatch, whatever Outcome.
	Returned bool
}

// FirstToken reports the first token to the holder that granted the permit.
type FirstToken struct {
	ID     ID
	Pool   uint64
	Holder Holder
	TTFT   time.Duration
	// SlowdownPercent is as in Record.
	SlowdownPercent uint32
}

// Send tells the upstream adapter to send the request.
type Send struct {
	ID       ID
	Upstream string
	Deadline time.Duration
}

// Cancel tells the upstream adapter to cancel the request.
type Cancel struct{ ID ID }

// Ended reports the end of a record. The request was answered if Refusal.Code is
// empty.
type Ended struct {
	ID      ID
	Record  *Record
	Refusal Refusal
	// Silent is true if the caller has disconnected, so that no response is sent.
	Silent bool
}

// Count increments the counter Name with the label Reason.
type Count struct{ Name, Reason string }

func (Offer) isEffect()      {}
func (Withdraw) isEffect()   {}
func (Release) isEffect()    {}
func (FirstToken) isEffect() {}
func (Send) isEffect()       {}
func (Cancel) isEffect()     {}
func (Ended) isEffect()      {}
func (Count) isEffect()      {}
