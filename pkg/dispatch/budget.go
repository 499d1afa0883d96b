package dispatch

import (
	"math"
	"time"
)

// retryBurst bounds the retries that the budget accumulates, and thus the retries
// that are allowed without first attempts in between.
const retryBurst = 10

// retryBudget bounds the ratio of retries to first attempts, so that retries cannot
// amplify an overload.
type retryBudget struct {
	// ratio is the fraction of a retry that each first attempt earns.
	ratio  float64
	tokens float64
}

func newRetryBudget(percent int) retryBudget {
	if percent < 0 {
		return retryBudget{}
	}
	return retryBudget{ratio: float64(percent) / 100, tokens: retryBurst}
}

func (b *retryBudget) firstAttempt() { b.tokens = min(b.tokens+b.ratio, retryBurst) }

// consumeRetry takes one retry from the budget. It returns false if the budget is spent.
func (b *retryBudget) consumeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SendBudget bounds the repeated sends to the upstreams of one pool, summed over all
// instances. Unlike other retries, repeated sends add load to an upstream.
type SendBudget struct {
	// Ratio is the ratio of repeated sends to requests, and Extra the number of
	// repeated sends on top of it, that are allowed in any Window.
	Ratio, Extra float64
	Window       time.Duration
}

// sendBudget is this instance's share of a SendBudget, as a token bucket.
type sendBudget struct {
	tokens float64
	// recent is the number of first attempts, with exponential decay over the window.
	recent    float64
	updatedAt time.Duration
}

// earnedFraction is the fraction of the ratio that a first attempt earns. The saved
// tokens may amount to as much again, so that both together keep within the ratio in
// any window.
const earnedFraction = 0.5

// firstAttempt counts a first attempt, which earns a fraction of a repeated send.
func (b *sendBudget) firstAttempt(now time.Duration, total SendBudget, entries int) {
	b.decay(now, total)
	b.recent++
	b.tokens = min(b.tokens+total.Ratio*earnedFraction, b.maxTokens(total, entries))
}

func (b *sendBudget) decay(now time.Duration, total SendBudget) {
	if total.Window > 0 {
		b.recent *= math.Exp(-float64(now-b.updatedAt) / float64(total.Window))
	}
	b.updatedAt = now
}

// maxTokens bounds the saved tokens.
func (b *sendBudget) maxTokens(total SendBudget, entries int) float64 {
	return total.Extra/float64(max(1, entries)) + total.Ratio*earnedFraction*b.recent
}

// consumeSend takes one repeated send from the budget. It returns false if the
// budget is spent.
func (b *sendBudget) consumeSend(now time.Duration, total SendBudget, entries int) bool {
	b.decay(now, total)
	b.tokens = min(b.tokens, b.maxTokens(total, entries))
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
