package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"
)

// TestBudgetNeverExceedsRate guards against a budget that starts more calls than its
// token bucket allows, loses a call, or both rejects and starts a call.
func TestBudgetNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		b := NewBudget(BudgetConfig{CallsPerSecond: rate, Burst: burst, MaxWaiting: 16, Seed: 1})
		ended := map[CallID]int{}
		var now time.Duration
		var ids IDSource
		submitted, started := 0, 0
		step := func() {
			start, rejected := b.Step(now)
			started += len(start)
			for _, c := range append(start, rejected...) {
				ended[c.ID]++
			}
			require.LessOrEqual(t, float64(started), burst+rate*now.Seconds()+1e-6)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				p := Priority(rapid.IntRange(0, int(priorityCount)-1).Draw(t, "priority"))
				b.Submit(now, Call{ID: ids.Next(), Priority: p, Op: Op{Kind: Get}, Reason: ReasonClaim})
				submitted++
			case 2:
				b.OnResult(now, Status(rapid.IntRange(int(OK), int(Unknown)).Draw(t, "status")))
			case 3:
				step()
			}
		}
		now += time.Minute
		step()
		require.Len(t, ended, submitted)
		for _, n := range ended {
			require.Equal(t, 1, n)
		}
		require.Negative(t, b.NextWake(now))
	})
}

// TestBudgetPriorityAndBackoff guards against claims that delay a lease, and against
// calls that start during the pause after a failure.
func TestBudgetPriorityAndBackoff(t *testing.T) {
	b := NewBudget(BudgetConfig{CallsPerSecond: 1, Burst: 1, Seed: 3, MaxWait: time.Hour})
	b.Submit(0, Call{ID: 1, Priority: PriorityClaim, Reason: ReasonClaim, Op: Op{Kind: Update}})
	b.Submit(0, Call{ID: 2, Priority: PriorityLease, Reason: ReasonLease, Op: Op{Kind: Update}})
	start, _ := b.Step(0)
	require.Len(t, start, 1)
	require.Equal(t, CallID(2), start[0].ID)
	for range 20 {
		b.OnResult(0, Unavailable)
	}
	require.Positive(t, b.resumeAt)
	require.LessOrEqual(t, b.resumeAt, 5*time.Second)
	start, _ = b.Step(b.resumeAt - 1)
	require.Empty(t, start)
	start, _ = b.Step(b.resumeAt + time.Second)
	require.Len(t, start, 1)
	require.Equal(t, []CallCount{{Update, ReasonClaim, 1}, {Update, ReasonLease, 1}}, b.Counts())
}

// TestBackoffHasFullJitter guards against instances that retry at the same time after
// an outage.
func TestBackoffHasFullJitter(t *testing.T) {
	const samples = 400
	low, high := 0, 0
	for seed := range uint64(samples) {
		b := NewBackoff(100*time.Millisecond, time.Second, seed)
		for range 5 {
			require.LessOrEqual(t, b.Next(), time.Second)
		}
		if p := b.Next(); p < 250*time.Millisecond {
			low++
		} else if p > 750*time.Millisecond {
			high++
		}
	}
	require.Greater(t, low, samples/8)
	require.Greater(t, high, samples/8)
}
