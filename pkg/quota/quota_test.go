package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citrongate/citrongate/pkg/quota"
)

var limit = quota.Limit{PerSecond: 100, Burst: 200}

// bucketsFull is a time at which the buckets of a process started at 0 are full.
const bucketsFull = 10 * time.Second

// TestBurst guards against refusing requests below the quota, and against a retry
// delay after which the request is refused again.
func TestBurst(t *testing.T) {
	l := quota.NewLedger(0)
	ok, _, _ := l.Charge(bucketsFull, "o", limit, quota.Request{Cost: 200}, 1)
	require.True(t, ok)
	ok, missing, after := l.Charge(bucketsFull, "o", limit, quota.Request{Cost: 50}, 1)
	require.False(t, ok)
	require.InDelta(t, 50, missing, 0.001)
	ok, _, _ = l.Charge(bucketsFull+after, "o", limit, quota.Request{Cost: 50}, 1)
	require.True(t, ok, "the retry delay was too short")
}

// TestRestart guards against granting the burst again after each restart: a new
// process does not know what the previous one granted.
func TestRestart(t *testing.T) {
	l := quota.NewLedger(0)
	ok, _, _ := l.Charge(0, "o", limit, quota.Request{Cost: 50}, 1)
	require.False(t, ok)
	ok, _, _ = l.Charge(time.Second, "o", limit, quota.Request{Cost: 50}, 1)
	require.True(t, ok, "a new process grants its share of the rate")
}

// TestLargeRequest guards against always refusing a request that costs more than the
// burst share of one instance.
func TestLargeRequest(t *testing.T) {
	l := quota.NewLedger(0)
	ok, _, _ := l.Charge(bucketsFull, "o", limit, quota.Request{Cost: 300}, 9)
	require.True(t, ok)
	ok, _, _ = l.Charge(bucketsFull, "o", limit, quota.Request{Cost: 1}, 9)
	require.False(t, ok)
}

// TestSumOverInstances guards against exceeding the quota over all instances under
// any order of requests and transfers, some of which are lost.
func TestSumOverInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances, largest = 4, 20.0
		ledgers := make([]*quota.Ledger, instances)
		for i := range ledgers {
			ledgers[i] = quota.NewLedger(0)
		}
		now, sum := bucketsFull, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			from, to := rapid.IntRange(0, instances-1).Draw(t, "from"), rapid.IntRange(0, instances-1).Draw(t, "to")
			if rapid.Bool().Draw(t, "transfer") {
				given := ledgers[from].Transfer(now, "o", limit, uint8(rapid.IntRange(0, 3).Draw(t, "need")), float64(rapid.IntRange(1, 200).Draw(t, "amount")), instances)
				if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
					ledgers[to].Receive(now, "o", limit, given, instances)
				}
				continue
			}
			cost := float64(rapid.IntRange(1, int(largest)).Draw(t, "cost"))
			tier := uint8(rapid.IntRange(0, 3).Draw(t, "tier"))
			if ok, _, _ := ledgers[from].Charge(now, "o", limit, quota.Request{Cost: cost, Tier: tier}, instances); ok {
				sum += cost
			}
			require.LessOrEqual(t, sum, limit.PerSecond*(now-bucketsFull).Seconds()+limit.Burst+instances*largest)
		}
	})
}

// TestUrgentFirst guards against starving the urgent requests of an organisation that
// exceeds its quota, because they are larger than its other requests, and against
// starving the less urgent tier.
func TestUrgentFirst(t *testing.T) {
	l := quota.NewLedger(0)
	used := [2]float64{}
	for now := bucketsFull; now < bucketsFull+20*time.Second; now += 20 * time.Millisecond {
		for tier, cost := range []float64{20, 4} {
			if ok, _, _ := l.Charge(now, "o", limit, quota.Request{Cost: cost, Tier: uint8(tier)}, 1); ok {
				used[tier] += cost
			}
		}
	}
	total := used[0] + used[1]
	require.Greater(t, used[0], 0.8*total, "%v", used)
	require.Greater(t, used[1], 0.05*total, "%v", used)
}

// TestOneTierMayUseAll guards against reserving a fraction of the quota for tiers in
// which an organisation sends no requests.
func TestOneTierMayUseAll(t *testing.T) {
	l := quota.NewLedger(0)
	low := quota.Request{Cost: 10, Tier: 5}
	for range 20 {
		ok, _, _ := l.Charge(bucketsFull, "o", limit, low, 1)
		require.True(t, ok)
	}
	ok, _, _ := l.Charge(bucketsFull, "o", limit, low, 1)
	require.False(t, ok)
}

// TestLargeRequestOfLowTier guards against always refusing a request that costs more
// than the fraction of a bucket that is not reserved for more urgent requests.
func TestLargeRequestOfLowTier(t *testing.T) {
	l := quota.NewLedger(0)
	_, _, _ = l.Charge(bucketsFull, "o", limit, quota.Request{Cost: 1}, 1)
	ok, _, _ := l.Charge(bucketsFull+time.Second, "o", limit, quota.Request{Cost: 190, Tier: 3}, 1)
	require.True(t, ok)
}

// TestWidened guards against a tolerance that applies only in the first seconds of an
// overload, and against limits that grant more in a window than is tolerated.
func TestWidened(t *testing.T) {
	tolerance := quota.Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 140_000}
	stated := quota.Limit{PerSecond: 55_000, Burst: 198_000}
	used := stated.Widened(tolerance)
	window := tolerance.Window.Seconds()
	tolerated := (stated.PerSecond*window+stated.Burst)*(1+tolerance.Over) + tolerance.Slack
	require.LessOrEqual(t, used.Burst+used.PerSecond*window, tolerated)
	require.Equal(t, stated.Burst, used.Burst)
	require.GreaterOrEqual(t, used.PerSecond-stated.PerSecond, (tolerated-stated.Burst-stated.PerSecond*window)/window/2)
	require.Equal(t, stated, stated.Widened(quota.Tolerance{}))
}

// TestSmallerShareCutsTokens guards against tokens that stay although the share is smaller than
// when the bucket filled: more instances share the quota, or the quota was lowered.
func TestSmallerShareCutsTokens(t *testing.T) {
	for name, smaller := range map[string]struct {
		limit     quota.Limit
		instances int
	}{
		"more instances": {limit, 4},
		"lower quota":    {quota.Limit{PerSecond: 25, Burst: 50}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := quota.NewLedger(0)
			l.Receive(bucketsFull, "o", limit, 30, 1)
			granted := 0
			for ok := true; ok; granted++ {
				ok, _, _ = l.Charge(bucketsFull, "o", smaller.limit, quota.Request{Cost: 1}, smaller.instances)
			}
			require.Equal(t, 50, granted-1)
		})
	}
}

// TestLoweredLimit guards against a lower quota that does not take effect, after any sequence of
// requests, transfers and changes of the number of instances: from then on, all
// instances together grant no more than a plain bucket of the lower quota.
func TestLoweredLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, largest = 4, 20.0
		ledgers := make([]*quota.Ledger, most)
		for i := range ledgers {
			ledgers[i] = quota.NewLedger(0)
		}
		now, granted := bucketsFull, 0.0
		step := func(current quota.Limit, instances int) {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			from, to := rapid.IntRange(0, instances-1).Draw(t, "from"), rapid.IntRange(0, instances-1).Draw(t, "to")
			if rapid.IntRange(0, 2).Draw(t, "transfer") == 0 {
				ledgers[to].Receive(now, "o", current, ledgers[from].Transfer(now, "o", current, 0, 50, instances), instances)
				return
			}
			cost := float64(rapid.IntRange(1, int(largest)).Draw(t, "cost"))
			if ok, _, _ := ledgers[from].Charge(now, "o", current, quota.Request{Cost: cost}, instances); ok {
				granted += cost
			}
		}
		for range rapid.IntRange(0, 50).Draw(t, "before") {
			step(limit, rapid.IntRange(1, most).Draw(t, "instances"))
		}
		lower := quota.Limit{PerSecond: limit.PerSecond / 4, Burst: limit.Burst / 4}
		lowered := now
		granted = 0
		for range rapid.IntRange(1, 200).Draw(t, "after") {
			step(lower, most)
			require.LessOrEqual(t, granted, lower.PerSecond*(now-lowered).Seconds()+lower.Burst+most*largest)
		}
	})
}
