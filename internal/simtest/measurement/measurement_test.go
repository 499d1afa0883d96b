package measurement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// TestSameSeedSameResult guards against figures that cannot be reproduced.
func TestSameSeedSameResult(t *testing.T) {
	d := priceDesk()
	s := Scenario{Name: "engine-death", floodKind: none, engineDeath: true}
	for _, maker := range policies() {
		first, second := measure(d, s, 3, maker), measure(d, s, 3, maker)
		first.decisionTime, second.decisionTime = 0, 0
		require.Equal(t, first, second, maker.name)
	}
}

// TestObserverCountsViolations guards against a count of P2 violations that
// misses lower-tier work that waits or that was dispatched meanwhile.
func TestObserverCountsViolations(t *testing.T) {
	d := priceDesk()
	callOf := func(kind int) *call { return &call{spec: &d.kinds[kind]} }
	quote, batch, index, ledger := callOf(0), callOf(4), callOf(5), callOf(6)

	o := newObserver(d)
	o.waits(batch, 0, 0)
	o.waits(quote, 0, time.Second)
	o.shed(ledger, 0)
	require.Zero(t, o.violations, "no shared upstream")
	o.shed(quote, 0)
	require.Equal(t, 1, o.violations, "a lower tier waits")

	o.leaves(batch, 0)
	o.dispatched(index, 19, time.Second)
	o.shed(quote, 0)
	require.Equal(t, 1, o.violations, "dispatched before the shed request waited")
	o.dispatched(index, 19, 2*time.Second)
	o.shed(quote, 0)
	require.Equal(t, 2, o.violations, "dispatched while the shed request waited")
}

// TestBoundIsNotExceeded guards against a capacity bound that is too low, which
// would make every policy look good: a single engine that is kept full may
// not serve more than the bound, nor so much less that the bound says nothing.
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
			// Equal lengths would end in waves, between which nothing decodes.
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
		bound := 60 * m.bound([]simtest.EngineConfig{config}, time.Hour, 0)
		require.LessOrEqual(t, float64(served), 1.02*bound, config.Name)
		require.GreaterOrEqual(t, float64(served), 0.8*bound, config.Name)
	}
}

// TestFairRates guards against wrong claims: higher tiers first, small kinds
// whole, and a flooding kind only what is left.
func TestFairRates(t *testing.T) {
	d := priceDesk()
	calm := fairRates(d, -1)
	low := fairRates(d, d.floodLow)
	for kind, spec := range d.kinds {
		if !spec.service {
			require.InDelta(t, spec.calm, calm[kind], 1e-9, spec.name)
		}
		if spec.tier < 2 && !spec.service {
			require.InDelta(t, spec.calm, low[kind], 1e-9, spec.name)
		}
	}
	require.Greater(t, low[d.floodLow], 2*d.kinds[d.floodLow].calm)
	high := fairRates(d, d.floodHigh)
	for kind, spec := range d.kinds {
		if spec.tier > 0 {
			require.Zero(t, high[kind], spec.name)
		}
	}
}

// TestCalmLoadIsServed guards against a workload that no policy can serve.
func TestCalmLoadIsServed(t *testing.T) {
	for _, d := range []deployment{priceDesk(), batteryMaker()} {
		r := measure(d, Scenarios()[0], 1, policies()[0])
		for kind := range d.kinds {
			require.GreaterOrEqual(t, float64(r.Good[kind]), 0.97*float64(r.Arrived[kind]), d.kinds[kind].name)
		}
		require.Zero(t, r.Violations)
		require.False(t, math.IsNaN(r.tierGoodput(d, 0)))
	}
}
