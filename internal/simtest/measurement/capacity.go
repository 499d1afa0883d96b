package measurement

import (
	"math/rand/v2"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// The analytic bound of a mix is not reached even by an engine that always has
// work, because prompts and outputs end at random: a saturated engine serves
// about 85% of it. The capacity is therefore also found by running each engine
// alone with a fixed number of requests, and taking the greatest number at
// which the target between tokens holds.

// sample is one served request.
type sample struct{ prompt, output uint32 }

const (
	capacityWarmup = 10 * time.Second
	capacityRun    = 40 * time.Second
)

// carried returns the requests per second of the served mix that the engines
// can carry within the target between tokens. down is the part of the time in
// which the faulty engine is away.
func carried(list []simtest.EngineConfig, served []sample, down float64) float64 {
	if len(served) == 0 {
		return 0
	}
	total := 0.0
	for i, config := range list {
		best := 0.0
		low, high := 1, config.MaxSequences
		for low <= high {
			n := (low + high) / 2
			rate, gap := saturate(config, served, n)
			if gap > targetInterToken {
				high = n - 1
				continue
			}
			best = max(best, rate)
			low = n + 1
		}
		if i == faultyEngine {
			best *= 1 - down
		}
		total += best
	}
	return total
}

// saturate keeps n requests at an engine and returns the rate of answers and
// the 95th percentile of the time between tokens.
func saturate(config simtest.EngineConfig, served []sample, n int) (rate float64, gap time.Duration) {
	loop := simtest.NewLoop(1)
	config.CacheTokens, config.LoadInterval = 0, 0
	s := &saturation{loop: loop, engine: simtest.NewEngine(loop, config), served: served, random: loop.Rand}
	for range n {
		s.submit()
	}
	loop.RunUntil(capacityRun)
	return float64(s.answers) / (capacityRun - capacityWarmup).Seconds(), percentile95(s.gaps)
}

type saturation struct {
	loop     *simtest.Loop
	engine   *simtest.Engine
	served   []sample
	random   *rand.Rand
	sequence uint64
	answers  int
	gaps     []time.Duration
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
					s.gaps = append(s.gaps, (s.loop.Now()-first)/time.Duration(drawn.output-1))
				}
			}
			s.submit()
		},
	})
}
