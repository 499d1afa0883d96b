// Package quota bounds what each organisation may use of a quota that all
// instances share. Each instance has a token bucket with its share of rate and
// burst, and instances hand parts of their buckets to each other. It does no
// I/O and reads no clock.
//
// Invariants:
//   - over any span, an instance grants at most its share of rate times span
//     plus burst, plus what others gave it, plus one request;
//   - what one instance gives, another gets at most once;
//   - a bucket is empty at the start of a run.
package quota

import "time"

// Limit is a quota over all instances, in the unit of the cost.
type Limit struct{ PerSecond, Burst float64 }

// share is the part of one of n instances.
func (l Limit) share(n int) Limit {
	part := 1 / float64(max(1, n))
	return Limit{PerSecond: l.PerSecond * part, Burst: l.Burst * part}
}

// Tolerance is how far an organisation may exceed its quota over Window: by the
// part Over, and by Slack in the unit of the quota.
type Tolerance struct {
	Window      time.Duration
	Over, Slack float64
}

// toleranceShare is the part of the tolerance that is used. The rest covers
// instances that do not agree on how many they are.
const toleranceShare = 0.6

// Widened returns the limit with a part of the tolerance in its burst:
// instances that take requests by chance need some more than their exact share.
func (l Limit) Widened(t Tolerance) Limit {
	l.Burst += toleranceShare * (t.Over*(l.PerSecond*t.Window.Seconds()+l.Burst) + t.Slack)
	return l
}

// reserveShare is the part of a full bucket that is not given away, so that the
// giver does not have to ask for it back at once.
const reserveShare = 0.1

// epsilon absorbs the rounding of sums of costs.
const epsilon = 1e-6

// bucket is what one organisation has left at this instance.
type bucket struct {
	left     float64
	refilled time.Duration
}

// Ledger holds the buckets of one instance. It is not safe for concurrent use.
type Ledger struct {
	started time.Duration
	buckets map[string]*bucket
}

// NewLedger returns the ledger of a run that starts at the given time.
func NewLedger(started time.Duration) *Ledger {
	return &Ledger{started: started, buckets: map[string]*bucket{}}
}

// refill brings an organisation's bucket up to date.
func (l *Ledger) refill(now time.Duration, organisation string, share Limit) *bucket {
	b := l.buckets[organisation]
	if b == nil {
		// Filled since the start of this run, which does not know what the one
		// before it granted.
		b = &bucket{refilled: l.started}
		l.buckets[organisation] = b
	}
	if grown := min(share.Burst, b.left+share.PerSecond*max(0, now-b.refilled).Seconds()); grown > b.left {
		b.left = grown
	}
	b.refilled = now
	return b
}

// Take takes the cost of one request, if this instance's bucket allows it.
// Otherwise missing is what the bucket lacks, and after the time in which its
// share of the rate fills it up.
//
// A request that is larger than the whole burst is granted when the bucket is
// full; the bucket then has a debt.
func (l *Ledger) Take(now time.Duration, organisation string, limit Limit, cost float64, instances int) (ok bool, missing float64, after time.Duration) {
	share := limit.share(instances)
	b := l.refill(now, organisation, share)
	needed := min(cost, max(share.Burst, 1))
	if b.left >= needed-epsilon {
		b.left -= cost
		return true, 0, 0
	}
	missing = needed - b.left
	if share.PerSecond > 0 {
		after = time.Duration(missing / share.PerSecond * float64(time.Second))
	}
	return false, missing, after
}

// Give takes up to amount out of the bucket for another instance and returns
// what it took.
func (l *Ledger) Give(now time.Duration, organisation string, limit Limit, amount float64, instances int) float64 {
	share := limit.share(instances)
	b := l.refill(now, organisation, share)
	given := max(0, min(amount, b.left-share.Burst*reserveShare))
	b.left -= given
	return given
}

// Receive adds what another instance gave. It may fill the bucket above its burst.
func (l *Ledger) Receive(now time.Duration, organisation string, limit Limit, amount float64, instances int) {
	b := l.refill(now, organisation, limit.share(instances))
	b.left += max(0, amount)
}

// Forget drops the buckets of organisations without a quota.
func (l *Ledger) Forget(keep map[string]Limit) {
	for organisation := range l.buckets {
		if _, ok := keep[organisation]; !ok {
			delete(l.buckets, organisation)
		}
	}
}
