package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failingLoad sends 50 requests a second for some seconds to six upstreams and
// returns the fraction of the requests that failed after the first two seconds.
// failAt gives the fraction that each upstream fails. A failed request takes a
// tenth of the time of one that succeeds.
func failingLoad(p *Pool, failAt func(u uint32, now time.Duration) float64) float64 {
	const step, work = 5 * time.Millisecond, 200 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	type run struct {
		Completion
		ends time.Duration
	}
	var running []run
	sequence, failed, all := uint64(0), 0, 0
	for now := time.Duration(0); now < 8*time.Second; now += step {
		if now%(20*time.Millisecond) == 0 {
			sequence++
			p.Submit(now, Descriptor{ID: GlobalID{1, sequence}, Attempt: 1, Tier: uint8(sequence % 2), MeanOutput: 10, HighOutput: 10, Deadline: now + time.Minute})
		}
		for i := 0; i < len(running); i++ {
			if running[i].ends <= now {
				p.Release(now, running[i].Completion)
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		for _, d := range p.Step(now, nil) {
			r := run{Completion{ID: d.ID, Outcome: Complete, OutputTokens: 10, TTFT: work / 2}, now + work}
			if random.Float64() < failAt(d.Upstream, now) {
				r.Outcome, r.OutputTokens, r.TTFT, r.ends = Failed, 0, 0, now+work/10
			}
			if now > 2*time.Second {
				all++
				if r.Outcome == Failed {
					failed++
				}
			}
			running = append(running, r)
		}
	}
	return float64(failed) / float64(all)
}

func engines(service bool) []Upstream {
	var list []Upstream
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		list = append(list, Upstream{Name: name, Concurrency: 4, MaxConcurrency: 4, FixedLimit: true, Service: service})
	}
	return list
}

// TestFailingUpstreamsAreLeft guards against sending more requests to upstreams
// that fail half of them immediately and so look like the fastest ones.
func TestFailingUpstreamsAreLeft(t *testing.T) {
	for _, service := range []bool{false, true} {
		p := poolWith(Config{}, engines(service)...)
		ratio := failingLoad(p, func(u uint32, _ time.Duration) float64 {
			if u < 2 {
				return 0.5
			}
			return 0
		})
		require.Less(t, ratio, 0.05, "service %v", service)
	}
}

// TestRecoveredUpstreamsAreUsedAgain guards against upstreams that are never used
// again after they failed.
func TestRecoveredUpstreamsAreUsedAgain(t *testing.T) {
	for _, service := range []bool{false, true} {
		p := poolWith(Config{}, engines(service)...)
		failingLoad(p, func(u uint32, now time.Duration) float64 {
			if u < 2 && now < 3*time.Second {
				return 0.5
			}
			return 0
		})
		require.Zero(t, p.quarantined, "service %v", service)
	}
}

// TestRequestsThatFailEverywhere guards against quarantining upstreams for
// requests that fail wherever they run.
func TestRequestsThatFailEverywhere(t *testing.T) {
	p := poolWith(Config{}, engines(true)...)
	failingLoad(p, func(uint32, time.Duration) float64 { return 0.15 })
	require.Zero(t, p.quarantined)
}

// TestFailingUpstreamsHelpInOverload guards against giving up the work that
// failing upstreams still do when the others are full.
func TestFailingUpstreamsHelpInOverload(t *testing.T) {
	list := engines(false)
	for i := range list {
		list[i].Concurrency, list[i].MaxConcurrency = 2, 2
	}
	p := poolWith(Config{}, list...)
	ratio := failingLoad(p, func(u uint32, _ time.Duration) float64 {
		if u < 3 {
			return 0.5
		}
		return 0
	})
	require.Greater(t, ratio, 0.05)
	require.Zero(t, p.quarantined)
}

// TestDeadUpstreamIsQuarantined guards against sending work where nothing succeeds.
func TestDeadUpstreamIsQuarantined(t *testing.T) {
	list := engines(false)
	for i := range list {
		list[i].Concurrency, list[i].MaxConcurrency = 2, 2
	}
	p := poolWith(Config{}, list...)
	ratio := failingLoad(p, func(u uint32, _ time.Duration) float64 {
		if u == 0 {
			return 1
		}
		return 0
	})
	require.Less(t, ratio, 0.05)
	require.Equal(t, 1, p.quarantined)
}
