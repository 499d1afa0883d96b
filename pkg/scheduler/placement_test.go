package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mixedPool has a fast and a slow engine of one slot each, whose speeds are
// learned: the slow one misses the inter-token target while it prefills prompts.
func mixedPool() *Pool {
	engine := func(name string) Upstream {
		return Upstream{Name: name, Concurrency: 1, MaxConcurrency: 1, FixedLimit: true}
	}
	p := poolWith(Config{TargetInterToken: 200 * time.Millisecond, PromptSlowdown: 4}, engine("fast"), engine("slow"))
	for i, interToken := range []time.Duration{17 * time.Millisecond, 65 * time.Millisecond} {
		u := p.upstreams[i]
		u.learnProfile(0, u.inFlight, float64(interToken))
		u.profile[bucketOf(1)] = float64(interToken)
		u.prefill.perToken = float64(10*time.Microsecond) * []float64{1, 4}[i]
	}
	p.updateCapacities(0)
	return p
}

func longPrompt(sequence uint64, tier uint8) Descriptor {
	return Descriptor{ID: GlobalID{1, sequence}, Attempt: 1, Tier: tier, PromptLength: 6000, MeanOutput: 60, HighOutput: 60,
		Deadline: time.Minute, StartBy: 400 * time.Millisecond}
}

// TestLongPromptsAvoidSlowEngines guards against long prompts that pause the
// streams of slow engines: on heavy days seven of ten long answers of such engines
// were late, since a long prompt was prefilled beside them. Short prompts of lower
// tiers use these engines meanwhile, and a long one takes any engine once it has
// waited for half of its time.
func TestLongPromptsAvoidSlowEngines(t *testing.T) {
	p := mixedPool()
	short := longPrompt(3, 1)
	short.PromptLength = 500
	p.Submit(0, longPrompt(1, 0))
	decisions := p.Step(0, nil)
	require.Len(t, decisions, 1)
	require.Equal(t, uint32(0), decisions[0].Upstream, "the fast engine")
	p.Submit(0, longPrompt(2, 0))
	require.Empty(t, p.Step(0, nil))
	require.LessOrEqual(t, p.NextWake(0), 200*time.Millisecond, "the second one is considered again")
	p.Submit(0, short)
	decisions = p.Step(10*time.Millisecond, nil)
	require.Len(t, decisions, 1)
	require.Equal(t, short.ID, decisions[0].ID)
	p.Release(20*time.Millisecond, Completion{ID: short.ID, Outcome: Complete, OutputTokens: 5})
	require.Empty(t, p.Step(30*time.Millisecond, nil))
	decisions = p.Step(200*time.Millisecond, nil)
	require.Len(t, decisions, 1, "a late answer is better than none")
	require.Equal(t, uint32(1), decisions[0].Upstream)
}

// TestLongPromptsWithOnlySlowEngines guards against requests that wait for a fast
// engine when all are slow.
func TestLongPromptsWithOnlySlowEngines(t *testing.T) {
	p := mixedPool()
	p.upstreams[0].Leaving = true
	p.refreshFree(p.upstreams[0])
	p.updateCapacities(0)
	p.Submit(0, longPrompt(1, 0))
	decisions := p.Step(0, nil)
	require.Len(t, decisions, 1)
	require.Zero(t, decisions[0].Reason)
	require.Equal(t, uint32(1), decisions[0].Upstream)
}
