package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citrongate/citrongate/pkg/quota"
)

// changingFleet is a set of instances at which changes of a quota take effect at different times, and between
// which tokens are on the way for some time.
type changingFleet struct {
	ledgers  []*quota.Ledger
	limits   []quota.Limit
	onTheWay []delivery
}

// delivery is a transfer that arrives at an instance.
type delivery struct {
	to     int
	amount float64
	at     time.Duration
}

const changingInstances = 4

func newChangingFleet(limit quota.Limit) *changingFleet {
	f := &changingFleet{}
	for range changingInstances {
		f.ledgers = append(f.ledgers, quota.NewLedger(0))
		f.limits = append(f.limits, limit)
	}
	return f
}

// deliver hands over the transfers that have arrived.
func (f *changingFleet) deliver(now time.Duration) {
	var left []delivery
	for _, d := range f.onTheWay {
		if d.at > now {
			left = append(left, d)
			continue
		}
		f.ledgers[d.to].Receive(now, "o", f.limits[d.to], d.amount, changingInstances)
	}
	f.onTheWay = left
}

// charge charges requests of cost 1 at an instance until one is refused, and returns how many were granted.
func (f *changingFleet) charge(now time.Duration, at int) (granted float64) {
	for {
		if ok, _, _ := f.ledgers[at].Charge(now, "o", f.limits[at], quota.Request{Cost: 1}, changingInstances); !ok {
			return granted
		}
		granted++
	}
}

// TestLoweredQuotaHolds guards against more than a lowered quota allows, from one window after the change is in
// force at all instances, whatever changes, transfers, restarts and requests came before: tokens that another instance
// gave under the higher quota, or that were on the way, must not be held and spent later.
func TestLoweredQuotaHolds(t *testing.T) {
	const window, step = 8 * time.Second, 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		drawLimit := func(name string) quota.Limit {
			return quota.Limit{PerSecond: float64(rapid.IntRange(1, 200).Draw(t, name+" rate")), Burst: float64(rapid.IntRange(1, 2000).Draw(t, name+" burst"))}
		}
		f := newChangingFleet(drawLimit("first"))
		now := bucketsFull
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			next := drawLimit("next")
			for _, at := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
				f.limits[at] = next
				for range rapid.IntRange(0, 3).Draw(t, "events") {
					now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
					f.deliver(now)
					from, to := rapid.IntRange(0, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to")
					switch rapid.IntRange(0, 5).Draw(t, "event") {
					case 0:
						f.ledgers[from] = quota.NewLedger(now) // restarted
					case 1:
						f.charge(now, from)
					default:
						amount := float64(rapid.IntRange(1, 2000).Draw(t, "amount"))
						given := f.ledgers[from].Transfer(now, "o", f.limits[from], 0, amount, changingInstances)
						delay := time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond
						f.onTheWay = append(f.onTheWay, delivery{to, given, now + delay})
					}
				}
			}
		}
		last := f.limits[0]
		now += time.Second
		f.deliver(now)
		if rapid.Bool().Draw(t, "demand at once") {
			for end := now + window; now < end; now += step {
				f.charge(now, rapid.IntRange(0, 3).Draw(t, "at"))
			}
		} else {
			now += window
		}
		granted := 0.0
		for start := now; now <= start+window; now += step {
			for at := range changingInstances {
				granted += f.charge(now, at)
			}
		}
		allowed := last.PerSecond*window.Seconds() + last.Burst
		require.LessOrEqual(t, granted, allowed+changingInstances)
	})
}
