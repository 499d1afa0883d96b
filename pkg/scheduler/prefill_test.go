package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPrefillModelTellsFixedTimeFromTokens guards against a fixed time to the first token
// that counts as prefill: with many short prompts, the prefill of a long one would be
// overestimated several times, and engines that could take it would pass for busy.
func TestPrefillModelTellsFixedTimeFromTokens(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, engine := range []struct{ fixed, perToken time.Duration }{
		{40 * time.Millisecond, 8 * time.Microsecond},
		{120 * time.Millisecond, 33 * time.Microsecond},
		{0, 100 * time.Microsecond},
	} {
		m := newPrefillModel(float64(defaultPrefillPerToken))
		for range 300 {
			tokens := 200 + random.ExpFloat64()*2000
			noise := 0.9 + 0.2*random.Float64()
			m.observe(tokens, noise*(float64(engine.fixed)+tokens*float64(engine.perToken)))
		}
		require.InEpsilon(t, float64(engine.fixed)+8000*float64(engine.perToken), m.firstToken(8000), 0.2)
		require.InEpsilon(t, 8000*float64(engine.perToken), m.prefill(8000), 0.25)
	}
}

// TestPrefillModelWithOneLength guards against a division by the spread of prompts that
// have none, and against a model that never follows a change of speed then.
func TestPrefillModelWithOneLength(t *testing.T) {
	m := newPrefillModel(float64(defaultPrefillPerToken))
	for _, first := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
		for range 300 {
			m.observe(4000, float64(first))
		}
		require.InEpsilon(t, float64(first), m.firstToken(4000), 0.05)
	}
}

// TestPrefillModelKeepsToSensibleSpeeds guards against a negative time per token from a
// few samples in which longer prompts were faster.
func TestPrefillModelKeepsToSensibleSpeeds(t *testing.T) {
	m := newPrefillModel(float64(defaultPrefillPerToken))
	for i := range 20 {
		m.observe(float64(1000*(1+i%5)), float64(time.Duration(500-i%5*90)*time.Millisecond))
		require.Positive(t, m.perToken)
		require.GreaterOrEqual(t, m.fixed, 0.0)
	}
}

// TestLongPromptDoesNotBlockItsTier guards against a long prompt that fits no free engine
// yet and keeps shorter prompts of its own tier from engines that lower tiers then take.
func TestLongPromptDoesNotBlockItsTier(t *testing.T) {
	for _, sameOrganisation := range []bool{true, false} {
		p := poolWith(Config{TargetInterToken: 100 * time.Millisecond, PromptSlowdown: 4},
			Upstream{Name: "slow", Concurrency: 4, MaxConcurrency: 4, FixedLimit: true, PrefillTokensPerSecond: 10_000, DecodePerToken: 40 * time.Millisecond},
			Upstream{Name: "fast", Concurrency: 1, MaxConcurrency: 1, FixedLimit: true, PrefillTokensPerSecond: 10_000, DecodePerToken: 10 * time.Millisecond})
		submit := func(sequence uint64, org, prompt uint32) {
			p.Submit(0, Descriptor{ID: GlobalID{1, sequence}, Attempt: 1, Org: org, PromptLength: prompt,
				MeanOutput: 10, HighOutput: 20, Deadline: time.Minute, StartBy: 20 * time.Second})
		}
		other := uint32(1)
		if sameOrganisation {
			other = 0
		}
		submit(1, 0, 5000) // takes the fast engine
		submit(2, 0, 5000) // waits for it: its prefill would pause the streams of the slow one
		submit(3, other, 100)
		granted := map[uint64]uint32{}
		for _, d := range p.Step(0, nil) {
			require.Zero(t, d.Reason)
			granted[d.ID.Sequence] = d.Upstream
		}
		require.Equal(t, map[uint64]uint32{1: 1, 3: 0}, granted)
		require.Equal(t, 10*time.Second, p.nextAnyUpstream, "when the long prompt accepts any engine")
	}
}

// TestPassingIsBounded guards against a decision that looks at the queue of every
// organisation while no engine takes their prompts.
func TestPassingIsBounded(t *testing.T) {
	p := poolWith(Config{TargetInterToken: 100 * time.Millisecond, PromptSlowdown: 4},
		Upstream{Name: "slow", Concurrency: 4, MaxConcurrency: 4, FixedLimit: true, PrefillTokensPerSecond: 10_000, DecodePerToken: 40 * time.Millisecond},
		Upstream{Name: "fast", Concurrency: 1, MaxConcurrency: 1, FixedLimit: true, PrefillTokensPerSecond: 10_000, DecodePerToken: 10 * time.Millisecond})
	submit := func(sequence uint64, org, prompt uint32) {
		p.Submit(0, Descriptor{ID: GlobalID{1, sequence}, Attempt: 1, Org: org, PromptLength: prompt,
			MeanOutput: 10, HighOutput: 20, Deadline: 24 * time.Hour, StartBy: 12 * time.Hour})
	}
	submit(1, 0, 5000)
	require.Len(t, p.Step(0, nil), 1, "takes the fast engine")
	for org := uint32(1); org <= 2*maxPassedQueues; org++ {
		submit(uint64(1+org), org, 5000)
	}
	submit(1000, 2*maxPassedQueues+1, 100)
	require.Empty(t, p.Step(0, nil), "behind more queues than are passed in one step")
	require.Equal(t, 2*maxPassedQueues+1, p.waiting)
	require.NotZero(t, p.nextAnyUpstream, "the pool steps again")
}
