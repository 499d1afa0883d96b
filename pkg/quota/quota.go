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

// Widened returns the limit with a part of the tolerance in its rate. In the
// burst it would count once in a long flood; in the rate it counts in each window.
func (l Limit) Widened(t Tolerance) Limit {
	window := t.Window.Seconds()
	if window <= 0 {
		return l
	}
	l.PerSecond += toleranceShare * (t.Over*(l.PerSecond*window+l.Burst) + t.Slack) / window
	return l
}

// reserveShare is the part of a full bucket that is not given away, so that the
// giver does not have to ask for it back at once.
const reserveShare = 0.1

// floorShare is the part of a quota that less urgent requests may use although
// the bucket is below what is kept for more urgent ones, so that no kind of
// request stops altogether.
const floorShare = 0.1

// keptStep and maxKept say which part of a full bucket is kept for more urgent
// requests of the organisation: a step for each tier of these that has had
// requests within keptFor.
const (
	keptStep = 0.25
	maxKept  = 0.5
	keptFor  = 2 * time.Second
)

// maxTiers bounds the tiers that are told apart.
const maxTiers = 16

// Request is what counts of a request against its organisation's quota.
type Request struct {
	// Cost is in the unit of the quota.
	Cost float64
	// Tier is its rank; 0 is the most urgent.
	Tier uint8
}

// epsilon absorbs the rounding of sums of costs.
const epsilon = 1e-6

// bucket is what one organisation has left at this instance.
type bucket struct {
	left float64
	// floor is what less urgent requests may use of left at any time.
	floor    float64
	refilled time.Duration
	// seen holds when each tier last had a request, or 0.
	seen [maxTiers]time.Duration
}

// kept returns the part of a full bucket that a request of the tier leaves to
// more urgent ones.
func (b *bucket) kept(now time.Duration, tier uint8) float64 {
	part := 0.0
	for _, at := range b.seen[:min(tier, maxTiers-1)] {
		if at > 0 && now-at < keptFor {
			part += keptStep
		}
	}
	return min(part, maxKept)
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
	b.floor = min(floorShare*share.Burst, b.floor+floorShare*share.PerSecond*max(0, now-b.refilled).Seconds())
	b.refilled = now
	return b
}

// Take takes the cost of one request, if this instance's bucket allows it.
// Otherwise missing is what the bucket lacks, and after the time in which its
// share of the rate fills it up.
//
// A less urgent request leaves a part of the bucket to more urgent ones of the
// organisation, but for the floor. One that is larger than the whole burst is
// granted when the bucket is full; the bucket then has a debt.
func (l *Ledger) Take(now time.Duration, organisation string, limit Limit, r Request, instances int) (ok bool, missing float64, after time.Duration) {
	share := limit.share(instances)
	b := l.refill(now, organisation, share)
	b.seen[min(r.Tier, maxTiers-1)] = now
	needed := min(r.Cost, max(share.Burst, 1))
	kept := min(b.kept(now, r.Tier)*share.Burst, max(0, share.Burst-needed))
	if b.left >= needed-epsilon && (b.left-needed >= kept || b.floor >= r.Cost) {
		b.left -= r.Cost
		if b.left < kept {
			b.floor -= r.Cost
		}
		return true, 0, 0
	}
	missing = needed + kept - b.left
	if share.PerSecond > 0 {
		after = time.Duration(missing / share.PerSecond * float64(time.Second))
	}
	return false, missing, after
}

// Give takes up to amount out of the bucket for a request of the tier at another
// instance and returns what it took.
func (l *Ledger) Give(now time.Duration, organisation string, limit Limit, tier uint8, amount float64, instances int) float64 {
	share := limit.share(instances)
	b := l.refill(now, organisation, share)
	given := max(0, min(amount, b.left-share.Burst*max(reserveShare, b.kept(now, tier))))
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
