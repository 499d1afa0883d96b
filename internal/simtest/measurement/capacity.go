package measurement

import (
	"math/rand/v2"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// Even an engine that always has work stays below the analytic bound of a mix,
// because the lengths of prompts and outputs are random: a saturated engine
// serves about 85% of it. The capacity is therefore also measured: each engine
// runs alone with a fixed number of requests in flight, and the highest rate
// that keeps the inter-token target counts.

// servedRequest holds the lengths of one served request in tokens.
type servedRequest struct{ prompt, output uint32 }

const (
	capacityWarmup = 10 * time.Second
	capacityRunEnd = 40 * time.Second
)

// measuredCapacity returns the requests per second of the served mix that the
// engines can serve within the inter-token target. downFraction is the fraction
// of the time in which the faulty engine is down.
func measuredCapacity(configs []simtest.EngineConfig, served []servedRequest, downFraction float64) float64 {
	if len(served) == 0 {
		return 0
	}
	total := 0.0
	for i, config := range configs {
		best := 0.0
		low, high := 1, config.MaxSequences
		for low <= high {
			n := (low + high) / 2
			rate, interToken := saturate(config, served, n)
			if interToken > targetInterToken {
				high = n - 1
				continue
			}
			best = max(best, rate)
			low = n + 1
		}
		if i == faultyEngine {
			best *= 1 - downFraction
		}
		total += best
	}
	return total
}

// saturate keeps n requests in flight at an engine and returns the rate of
// answers and the 95th percentile of the inter-token time.
func saturate(config simtest.EngineConfig, served []servedRequest, n int) (rate float64, interToken time.Duration) {
	loop := simtest.NewLoop(1)
	config.CacheTokens, config.LoadInterval = 0, 0
	s := &saturation{loop: loop, engine: simtest.NewEngine(loop, config), served: served, random: loop.Rand}
	for range n {
		s.submit()
	}
	loop.RunUntil(capacityRunEnd)
	return float64(s.answers) / (capacityRunEnd - capacityWarmup).Seconds(), percentile95(s.interTokenTimes)
}

type saturation struct {
	loop            *simtest.Loop
	engine          *simtest.Engine
	served          []servedRequest
	random          *rand.Rand
	sequence        uint64
	answers         int
	interTokenTimes []time.Duration
}

func (s *saturation) submit() {
	s.sequence++
	drawn := s.served[s.random.IntN(len(s.served))]
	var first time.Duration
	s.engine.Submit(simtest.EngineRequest{
		ID: scheduler.GlobalID{Sequence: s.sequence}, Prompt: drawn.prompt, Output: drawn.output,
		OnFirstToken: func() { first = s.loop.Now() },
		OnDone: func(simtest.EngineResult, uint32, uint32) {
			if s.loop.Now() > capacityWarmup {
				s.answers++
				if drawn.output > 1 {
					s.interTokenTimes = append(s.interTokenTimes, (s.loop.Now()-first)/time.Duration(drawn.output-1))
				}
			}
			s.submit()
		},
	})
}
