package dispatch

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
