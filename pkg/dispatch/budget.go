package dispatch

import (
	"math"
	"time"
)

// retryBurst is how many retries are allowed at once when no first attempts
// were made recently.
const retryBurst = 10

// retryBudget bounds retries to a share of first attempts, so that retries
// cannot amplify a flood.
type retryBudget struct {
	// share of a retry earned by each first attempt.
	share  float64
	tokens float64
}

func newRetryBudget(percent int) retryBudget {
	if percent < 0 {
		return retryBudget{}
	}
	return retryBudget{share: float64(percent) / 100, tokens: retryBurst}
}

func (b *retryBudget) firstAttempt() { b.tokens = min(b.tokens+b.share, retryBurst) }

// take returns false if the budget is spent.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SendBudget bounds the repeated sends to the upstreams of one pool, over all
// instances. Unlike other retries these reach an upstream.
type SendBudget struct {
	// Ratio of repeated sends to requests, and Extra repeated sends beside it,
	// in any Window.
	Ratio, Extra float64
	Window       time.Duration
}

// sendBudget is this instance's part of a SendBudget.
type sendBudget struct {
	tokens float64
	// recent is the number of first attempts, decaying over the window.
	recent float64
	at     time.Duration
}

// earnShare is the part of the ratio that a first attempt earns. What is saved
// up may be as much again, so the ratio holds in any window.
const earnShare = 0.5

// firstAttempt earns a part of a repeated send.
func (b *sendBudget) firstAttempt(now time.Duration, total SendBudget, entries int) {
	b.decay(now, total)
	b.recent++
	b.tokens = min(b.tokens+total.Ratio*earnShare, b.limit(total, entries))
}

func (b *sendBudget) decay(now time.Duration, total SendBudget) {
	if total.Window > 0 {
		b.recent *= math.Exp(-float64(now-b.at) / float64(total.Window))
	}
	b.at = now
}

// limit is the most that may be saved up.
func (b *sendBudget) limit(total SendBudget, entries int) float64 {
	return total.Extra/float64(max(1, entries)) + total.Ratio*earnShare*b.recent
}

// take returns false if the budget is spent.
func (b *sendBudget) take(now time.Duration, total SendBudget, entries int) bool {
	b.decay(now, total)
	b.tokens = min(b.tokens, b.limit(total, entries))
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
