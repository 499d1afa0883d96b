// Package predict predicts output lengths per kind of request and organisation.
// Its state is bounded: the least recently used pairs and kinds are evicted.
package predict

import "math"

const (
	// highQuantile is the quantile of Estimate.High.
	highQuantile = 0.9
	// minSamples is the weight of observations below which a broader level is used.
	minSamples = 8
	// decay is the factor by which each new observation reduces the weight of the
	// old ones. The memory is about 200 observations, so that a change of a
	// caller's prompts shows within some minutes.
	decay = 0.995
	// bucketsPerDoubling buckets of the histogram cover each doubling of length.
	bucketsPerDoubling = 4
	buckets            = 64
)

// Estimate is a prediction of output tokens.
type Estimate struct {
	// Mean and High are the mean and the 0.9 quantile.
	Mean, High uint32
}

// Config sets the prior and the bounds of a Predictor.
type Config struct {
	// Prior is used for kinds without observations.
	Prior Estimate
	// MaxPairs and MaxKinds bound the number of kind and organisation pairs and
	// of kinds that are kept.
	MaxPairs, MaxKinds int
}

// Defaults of a Config.
const (
	defaultMaxPairs = 4096
	defaultMaxKinds = 256
)

// Predictor learns from completed answers. It is used by one goroutine.
type Predictor struct {
	prior Estimate
	pairs cache[pair]
	kinds cache[uint32]
}

type pair struct{ kind, org uint32 }

// New returns a predictor without observations. Zero bounds take defaults.
func New(config Config) *Predictor {
	if config.MaxPairs <= 0 {
		config.MaxPairs = defaultMaxPairs
	}
	if config.MaxKinds <= 0 {
		config.MaxKinds = defaultMaxKinds
	}
	if config.Prior.Mean == 0 {
		config.Prior.Mean = 200
	}
	config.Prior.High = max(config.Prior.High, config.Prior.Mean)
	return &Predictor{
		prior: config.Prior,
		pairs: newCache[pair](config.MaxPairs),
		kinds: newCache[uint32](config.MaxKinds),
	}
}

// Observe records the output length of a complete answer.
func (p *Predictor) Observe(kind, org, tokens uint32) {
	p.pairs.getOrCreate(pair{kind, org}).add(tokens)
	p.kinds.getOrCreate(kind).add(tokens)
}

// Predict returns the estimate of the pair, or of the kind if the pair has too
// few observations, or the prior.
func (p *Predictor) Predict(kind, org uint32) Estimate {
	if s := p.pairs.peek(pair{kind, org}); s != nil && s.weight >= minSamples {
		return s.estimate()
	}
	if s := p.kinds.peek(kind); s != nil && s.weight >= minSamples {
		return s.estimate()
	}
	return p.prior
}

// statistics is a decaying histogram of lengths on a logarithmic scale.
type statistics struct {
	weight, sum float32
	counts      [buckets]float32
}

func (s *statistics) add(tokens uint32) {
	s.weight = s.weight*decay + 1
	s.sum = s.sum*decay + float32(tokens)
	for i := range s.counts {
		s.counts[i] *= decay
	}
	s.counts[bucketOf(tokens)]++
}

func bucketOf(tokens uint32) int {
	return min(int(math.Log2(float64(max(tokens, 1)))*bucketsPerDoubling), buckets-1)
}

func (s *statistics) estimate() Estimate {
	mean := s.sum / s.weight
	return Estimate{
		Mean: uint32(math.Round(float64(mean))),
		High: uint32(math.Ceil(max(s.quantile(highQuantile), float64(mean)))),
	}
}

// quantile interpolates within its bucket on the logarithmic scale.
func (s *statistics) quantile(q float32) float64 {
	remaining := q * s.weight
	for i, count := range s.counts {
		if count > 0 && remaining <= count {
			return math.Exp2((float64(i) + float64(remaining/count)) / bucketsPerDoubling)
		}
		remaining -= count
	}
	return math.Exp2(float64(buckets) / bucketsPerDoubling)
}
