package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citrongate/citrongate/pkg/quota"
)

var limit = quota.Limit{PerSecond: 100, Burst: 200}

// full is a time at which the buckets of a run are full.
const full = 10 * time.Second

// TestBurst guards against refusing below the quota, and against an advice that
// brings a caller back too early.
func TestBurst(t *testing.T) {
	l := quota.NewLedger(0)
	ok, _, _ := l.Take(full, "o", limit, 200, 1)
	require.True(t, ok)
	ok, missing, after := l.Take(full, "o", limit, 50, 1)
	require.False(t, ok)
	require.InDelta(t, 50, missing, 0.001)
	ok, _, _ = l.Take(full+after, "o", limit, 50, 1)
	require.True(t, ok, "the advised time was too short")
}

// TestRestart guards against granting the burst again after each restart: a new
// run does not know what the one before it granted.
func TestRestart(t *testing.T) {
	l := quota.NewLedger(0)
	ok, _, _ := l.Take(0, "o", limit, 50, 1)
	require.False(t, ok)
	ok, _, _ = l.Take(time.Second, "o", limit, 50, 1)
	require.True(t, ok, "a new run gets its rate")
}

// TestLargeRequest guards against refusing for ever what is larger than the
// part of one instance.
func TestLargeRequest(t *testing.T) {
	l := quota.NewLedger(0)
	ok, _, _ := l.Take(full, "o", limit, 300, 9)
	require.True(t, ok)
	ok, _, _ = l.Take(full, "o", limit, 1, 9)
	require.False(t, ok)
}

// TestSumOverInstances guards the quota over all instances under any order of
// requests and transfers, some of which are lost.
func TestSumOverInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances, largest = 4, 20.0
		ledgers := make([]*quota.Ledger, instances)
		for i := range ledgers {
			ledgers[i] = quota.NewLedger(0)
		}
		now, sum := full, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			from, to := rapid.IntRange(0, instances-1).Draw(t, "from"), rapid.IntRange(0, instances-1).Draw(t, "to")
			if rapid.Bool().Draw(t, "transfer") {
				given := ledgers[from].Give(now, "o", limit, float64(rapid.IntRange(1, 200).Draw(t, "amount")), instances)
				if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
					ledgers[to].Receive(now, "o", limit, given, instances)
				}
				continue
			}
			cost := float64(rapid.IntRange(1, int(largest)).Draw(t, "cost"))
			if ok, _, _ := ledgers[from].Take(now, "o", limit, cost, instances); ok {
				sum += cost
			}
			require.LessOrEqual(t, sum, limit.PerSecond*(now-full).Seconds()+limit.Burst+instances*largest)
		}
	})
}
