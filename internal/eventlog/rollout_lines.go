package eventlog

import "github.com/rs/zerolog"

// RolloutChanged is written when the phase of an order changes.
type RolloutChanged struct {
	Service          string  `json:"service" about:"service whose traffic is to move"`
	Version          string  `json:"version" about:"version that it is to move to; empty if this instance has not read the order yet"`
	Order            string  `json:"order" about:"identity of the order, in hexadecimal"`
	Phase            string  `json:"phase" about:"waiting: no upstream of the version is there yet; judging: it gets a small part of the requests; shifting: it gets all new requests; completed: it has all the traffic; reverted: it gets no requests"`
	Reason           string  `json:"reason" about:"why, with the figures; empty at instances that did not decide it"`
	Here             bool    `json:"here" about:"whether this instance decided it; others follow"`
	ElapsedMs        float64 `json:"elapsed_ms" about:"time since the order was first seen"`
	WithinMs         float64 `json:"within_ms" about:"time from the order to its deadline"`
	Granted          uint64  `json:"granted" about:"requests that this owner sent to the version"`
	Reserved         uint64  `json:"reserved" about:"requests that may have been sent to the version before the shift, over all owners"`
	Arrived          uint64  `json:"arrived" about:"requests of the service since the order, as far as known"`
	Bad              uint64  `json:"bad" about:"bad answers beyond those that the current version's rates explain"`
	Answers          uint64  `json:"answers" about:"answers of the version that were compared"`
	Failures         uint64  `json:"failures" about:"of these, failures"`
	Compared         uint64  `json:"compared" about:"answers of the current version that they were compared with"`
	ComparedFailures uint64  `json:"compared_failures" about:"of these, failures"`
	FailureOdds      float64 `json:"failure_odds" about:"natural logarithm of the likelihood ratio that the version fails more often"`
	SlowOdds         float64 `json:"slow_odds" about:"natural logarithm of the likelihood ratio that the version is slower"`
	Waits            string  `json:"waits,omitempty" about:"what the order waits for"`
	Unjudged         bool    `json:"unjudged" about:"whether the deadline passed without enough evidence for a judgement"`
}

// Spec describes the line.
func (RolloutChanged) Spec() Spec {
	return Spec{"rollout changed", zerolog.WarnLevel, perDecision, "the phase of an order to move a service to another version changed"}
}

// RolloutNotWritten is written for each failed write of the state of an order.
type RolloutNotWritten struct {
	Service string `json:"service" about:"service of the order"`
	Order   string `json:"order" about:"identity of the order, in hexadecimal"`
	Phase   string `json:"phase" about:"phase that was to be written"`
	Error   string `json:"error" about:"error of the write"`
}

// Spec describes the line.
func (RolloutNotWritten) Spec() Spec {
	return Spec{"rollout not written", zerolog.WarnLevel, perDecision, "writing the state of an order to the store failed; the write is repeated, a revert is in force meanwhile, and nothing more is sent to the version"}
}

// RolloutRefused is written for each order that can not be read, once for each change of it.
type RolloutRefused struct {
	Service string `json:"service" about:"service of the order"`
	Error   string `json:"error" about:"what is malformed, of the first malformed order of the listing"`
}

// Spec describes the line.
func (RolloutRefused) Spec() Spec {
	return Spec{"rollout refused", zerolog.WarnLevel, perDecision, "an order can not be read and is not carried out; the traffic of its service stays where it is"}
}
