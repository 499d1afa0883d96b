package measurement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// TestSameSeedSameResult guards against figures that cannot be reproduced from
// their seed.
func TestSameSeedSameResult(t *testing.T) {
	d := deploymentA()
	s := Scenario{Name: "engine-death", floodKind: noFlood, engineDeath: true}
	for _, factory := range policies() {
		first, second := measure(d, s, 3, factory), measure(d, s, 3, factory)
		first.decisionTime, second.decisionTime = 0, 0
		require.Equal(t, first, second, factory.name)
	}
}

// TestObserverCountsViolations guards against an observer that misses a request
// shed while lower-tier work waits or has been dispatched in the meantime.
func TestObserverCountsViolations(t *testing.T) {
	d := deploymentA()
	callOf := func(kind int) *call { return &call{spec: &d.kinds[kind]} }
	quote, batch, index, ledger := callOf(0), callOf(4), callOf(5), callOf(6)

	o := newObserver(d)
	o.startWaiting(batch, 0, 0)
	o.startWaiting(quote, 0, time.Second)
	o.recordShed(ledger, 0)
	require.Zero(t, o.violations, "no shared upstream")
	o.recordShed(quote, 0)
	require.Equal(t, 1, o.violations, "a lower tier waits")

	o.stopWaiting(batch, 0)
	o.recordDispatch(index, 19, time.Second)
	o.recordShed(quote, 0)
	require.Equal(t, 1, o.violations, "dispatched before the shed request waited")
	o.recordDispatch(index, 19, 2*time.Second)
	o.recordShed(quote, 0)
	require.Equal(t, 2, o.violations, "dispatched while the shed request waited")
}

// TestBoundIsNotExceeded guards against a capacity bound that is too low, which
// would make every policy look good, or too high to be useful: a single saturated
// engine must serve between 80% and 102% of it.
func TestBoundIsNotExceeded(t *testing.T) {
	for _, config := range engines()[:5] {
		loop := simtest.NewLoop(1)
		config.CacheTokens = 0
		engine := simtest.NewEngine(loop, config)
		m := &mix{}
		served := 0
		var refill func()
		sequence := uint64(0)
		refill = func() {
			sequence++
			// Requests of equal length would end at the same time, and between such
			// waves nothing would decode.
			prompt, output := 400+loop.Rand.Uint32N(800), 20+loop.Rand.Uint32N(160)
			m.add(prompt, output, 0)
			engine.Submit(simtest.EngineRequest{
				ID: scheduler.GlobalID{Sequence: sequence}, Prompt: prompt, Output: output,
				OnDone: func(simtest.EngineResult, uint32, uint32) {
					if loop.Now() > 30*time.Second {
						served++
					}
					refill()
				},
			})
		}
		for range config.MaxSequences {
			refill()
		}
		loop.RunUntil(90 * time.Second)
		capacityBound := 60 * m.capacityBound([]simtest.EngineConfig{config}, time.Hour, 0)
		require.LessOrEqual(t, float64(served), 1.02*capacityBound, config.Name)
		require.GreaterOrEqual(t, float64(served), 0.8*capacityBound, config.Name)
	}
}

// TestFairRates guards against wrong fair rates: higher tiers come first, small
// kinds get their complete demand, and a flooding kind only what remains.
func TestFairRates(t *testing.T) {
	d := deploymentA()
	calm := fairRates(d, -1)
	low := fairRates(d, d.lowTierFloodKind)
	for kind, spec := range d.kinds {
		if !spec.service {
			require.InDelta(t, spec.calm, calm[kind], 1e-9, spec.name)
		}
		if spec.tier < 2 && !spec.service {
			require.InDelta(t, spec.calm, low[kind], 1e-9, spec.name)
		}
	}
	require.Greater(t, low[d.lowTierFloodKind], 2*d.kinds[d.lowTierFloodKind].calm)
	high := fairRates(d, d.highTierFloodKind)
	for kind, spec := range d.kinds {
		if spec.tier > 0 {
			require.Zero(t, high[kind], spec.name)
		}
	}
}

// TestCalmLoadIsServed guards against a workload that no policy can serve.
func TestCalmLoadIsServed(t *testing.T) {
	for _, d := range []deployment{deploymentA(), deploymentB()} {
		r := measure(d, Scenarios()[0], 1, policies()[0])
		for kind := range d.kinds {
			require.GreaterOrEqual(t, float64(r.Good[kind]), 0.97*float64(r.Arrived[kind]), d.kinds[kind].name)
		}
		require.Zero(t, r.Violations)
		require.False(t, math.IsNaN(r.tierGoodput(d, 0)))
	}
}
