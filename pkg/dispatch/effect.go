package dispatch

import "time"

// Effect is an output of a Table.
type Effect interface{ isEffect() }

// Offer queues the descriptor of a record at its holder. A repeated offer of
// the same attempt has no further effect at the holder.
type Offer struct{ Record *Record }

// Withdraw removes the descriptor of an attempt from a holder.
type Withdraw struct {
	ID      ID
	Pool    uint64
	Attempt uint32
	Holder  Holder
}

// Release ends the permit of an attempt at a holder.
type Release struct {
	ID           ID
	Pool         uint64
	Attempt      uint32
	Holder       Holder
	Outcome      Outcome
	OutputTokens uint32
	// TTFT is the time to the first token; InterToken the mean time between
	// tokens. Both are 0 if unknown.
	TTFT, InterToken time.Duration
	CachedPrompt     uint32
}

// FirstToken reports the first token to the holder of the permit.
type FirstToken struct {
	ID     ID
	Pool   uint64
	Holder Holder
	TTFT   time.Duration
}

// Send tells the upstream edge to send the request.
type Send struct {
	ID       ID
	Upstream string
	Deadline time.Duration
}

// Cancel tells the upstream edge to cancel the request.
type Cancel struct{ ID ID }

// Ended reports the end of a record: with an answer if Refusal.Code is empty.
type Ended struct {
	ID      ID
	Record  *Record
	Refusal Refusal
	// Silent is true if the caller is gone, so that nobody is told.
	Silent bool
}

// Count adds one to a counter.
type Count struct{ Name, Reason string }

func (Offer) isEffect()      {}
func (Withdraw) isEffect()   {}
func (Release) isEffect()    {}
func (FirstToken) isEffect() {}
func (Send) isEffect()       {}
func (Cancel) isEffect()     {}
func (Ended) isEffect()      {}
func (Count) isEffect()      {}
