package scheduler

// prefillModel estimates the time to the first token of an engine as a fixed time plus a
// time for each prompt token, by least squares over recent answers. A single ratio would
// count the fixed time as prefill, and overestimate the prefill of long prompts by as
// much as short prompts are more frequent.
type prefillModel struct {
	// fixed is the time in nanoseconds that does not depend on the prompt, perToken the
	// time for each prompt token.
	fixed, perToken float64
	// The sums over all samples, of which older ones count less: of their weights, token
	// numbers, times, squared token numbers, and products of both.
	weight, tokens, time, tokensSquared, product float64
}

const (
	// prefillDecay is the factor by which a new sample reduces the weight of the earlier ones.
	prefillDecay = 0.98
	// minPrefillWeight is the weight of samples from which the model is used.
	minPrefillWeight = 4
	// minTokenSpread is the least standard deviation of the prompts, as a fraction of
	// their mean, from which fixed time and time per token can be told apart.
	minTokenSpread = 0.2
)

// newPrefillModel returns a model that starts from a time per token in nanoseconds.
func newPrefillModel(perToken float64) prefillModel { return prefillModel{perToken: perToken} }

// observe adds an answer whose first token came after the given nanoseconds, with tokens
// prompt tokens to be read before it.
func (m *prefillModel) observe(tokens, time float64) {
	m.weight = m.weight*prefillDecay + 1
	m.tokens = m.tokens*prefillDecay + tokens
	m.time = m.time*prefillDecay + time
	m.tokensSquared = m.tokensSquared*prefillDecay + tokens*tokens
	m.product = m.product*prefillDecay + tokens*time
	if m.weight < minPrefillWeight {
		return
	}
	meanTokens, meanTime := m.tokens/m.weight, m.time/m.weight
	variance := m.tokensSquared/m.weight - meanTokens*meanTokens
	ratio := meanTime / meanTokens
	if variance < minTokenSpread*minTokenSpread*meanTokens*meanTokens {
		// All prompts are of about one length: the fixed time stays as it was, as far as
		// it leaves a time for the tokens.
		m.fixed = min(m.fixed, meanTime/2)
		m.perToken = (meanTime - m.fixed) / meanTokens
		return
	}
	slope := (m.product/m.weight - meanTokens*meanTime) / variance
	m.perToken = min(max(slope, ratio*minSlopeFraction), ratio)
	m.fixed = meanTime - m.perToken*meanTokens
}

// minSlopeFraction bounds the time per token from below, as a fraction of the mean time
// per token, since outliers may fit a falling line.
const minSlopeFraction = 0.1

// prefill returns the time in nanoseconds that prompt tokens take to be read.
func (m *prefillModel) prefill(tokens int64) float64 { return float64(tokens) * m.perToken }

// firstToken returns the time in nanoseconds to the first token behind prompt tokens.
func (m *prefillModel) firstToken(tokens int64) float64 { return m.fixed + m.prefill(tokens) }
