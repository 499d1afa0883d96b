// Package quota enforces each organisation's quota, which holds over all instances.
// Each instance has a token bucket with its share of the rate and burst, and
// instances transfer tokens to each other. The package does no I/O and reads no
// clock.
//
// Invariants:
//   - over any time span, an instance grants at most its share of the rate times the
//     span, plus its share of the burst, plus the tokens received from other
//     instances, plus one request;
//   - tokens that one instance gives are received by at most one other, at most once;
//   - from when a smaller share takes effect, an instance holds no tokens above it;
//   - an instance holds tokens above its share of the burst for surplusTime at most;
//   - a bucket is empty until the instance starts to serve, and then fills.
package quota

import "time"

// Limit is a quota over all instances, in the unit of Request.Cost.
type Limit struct{ PerSecond, Burst float64 }

// share returns the share of each of n instances.
func (l Limit) share(n int) Limit {
	fraction := 1 / float64(max(1, n))
	return Limit{PerSecond: l.PerSecond * fraction, Burst: l.Burst * fraction}
}

// Tolerance is how far an organisation may exceed its quota over Window: by Over, as
// a fraction of what the quota allows in Window, plus Slack, in the unit of the quota.
type Tolerance struct {
	Window      time.Duration
	Over, Slack float64
}

// toleranceFraction is the fraction of the tolerance that is added to the rate. The
// rest covers instances that disagree about the number of instances.
const toleranceFraction = 0.6

// Widened returns the limit with a fraction of the tolerance added to its rate. Added
// to the burst, it would be available only once during a long overload; in the rate,
// it is available in each window.
func (l Limit) Widened(t Tolerance) Limit {
	window := t.Window.Seconds()
	if window <= 0 {
		return l
	}
	l.PerSecond += toleranceFraction * (t.Over*(l.PerSecond*window+l.Burst) + t.Slack) / window
	return l
}

// transferReserve is the fraction of a full bucket that is not given to other
// instances, so that this instance does not have to ask for tokens itself at once.
const transferReserve = 0.1

// surplusTime is how long after the last transfer an instance keeps tokens above its share
// of the burst. They are meant for requests that come now. Kept for longer, they would add to
// the burst, since the bucket that they came from fills again; and they may have been given
// under a quota that an operator has lowered since.
const surplusTime = 250 * time.Millisecond

// floorFraction is the fraction of a quota that less urgent requests may use although
// the bucket holds less than the reserve for more urgent ones, so that no tier is
// starved.
const floorFraction = 0.1

// The reserve for more urgent requests of an organisation is a fraction of a full
// bucket: urgentReserveStep for each more urgent tier that has had a request within
// urgentReserveTime, and at most maxUrgentReserve.
const (
	urgentReserveStep = 0.25
	maxUrgentReserve  = 0.5
	urgentReserveTime = 2 * time.Second
)

// maxTiers is the number of tiers that are distinguished; lower ones count as the
// last.
const maxTiers = 16

// Request holds the properties of a request that count against its organisation's
// quota.
type Request struct {
	// Cost is in the unit of the quota.
	Cost float64
	// Tier is the rank of the request's tier; 0 is the most urgent.
	Tier uint8
}

// epsilon absorbs rounding errors in sums of costs.
const epsilon = 1e-6

// bucket is the token bucket of one organisation at this instance.
type bucket struct {
	tokens float64
	// floor is the number of tokens that less urgent requests may use even if the
	// reserve for more urgent ones is not met.
	floor    float64
	refilled time.Duration
	// burst is the share of the burst at the last refill.
	burst float64
	// receivedAt is the time of the last transfer from another instance.
	receivedAt time.Duration
	// lastRequest is the time of the last request of each tier; 0 if there was none.
	lastRequest [maxTiers]time.Duration
}

// urgentReserve returns the fraction of a full bucket that a request of the tier must
// leave for more urgent ones.
func (b *bucket) urgentReserve(now time.Duration, tier uint8) float64 {
	fraction := 0.0
	for _, at := range b.lastRequest[:min(tier, maxTiers-1)] {
		if at > 0 && now-at < urgentReserveTime {
			fraction += urgentReserveStep
		}
	}
	return min(fraction, maxUrgentReserve)
}

// Ledger holds the token buckets of one instance. It is not safe for concurrent use.
type Ledger struct {
	// since is when the instance started to serve.
	since   time.Duration
	buckets map[string]*bucket
}

// NewLedger returns the ledger of an instance that serves from the given time on.
func NewLedger(since time.Duration) *Ledger {
	return &Ledger{since: since, buckets: map[string]*bucket{}}
}

// refill adds the tokens earned since the last call to an organisation's bucket, up
// to its share of the burst. Tokens received above it stay for surplusTime, and only until
// the share becomes smaller, since there are more instances or the limit was lowered.
func (l *Ledger) refill(now time.Duration, organisation string, share Limit) *bucket {
	b := l.buckets[organisation]
	if b == nil {
		// The bucket fills from when the instance started to serve. It is empty then,
		// since it is unknown what the previous process granted; and it does not fill
		// before, since the number of instances that share the quota was not known.
		b = &bucket{refilled: l.since}
		l.buckets[organisation] = b
	}
	if share.Burst < b.burst || now-b.receivedAt > surplusTime {
		b.tokens = min(b.tokens, share.Burst)
	}
	b.burst = share.Burst
	if grown := min(share.Burst, b.tokens+share.PerSecond*max(0, now-b.refilled).Seconds()); grown > b.tokens {
		b.tokens = grown
	}
	b.floor = min(floorFraction*share.Burst, b.floor+floorFraction*share.PerSecond*max(0, now-b.refilled).Seconds())
	b.refilled = now
	return b
}

// Charge takes the cost of one request from this instance's bucket, if it has enough
// tokens. Otherwise missing is the number of tokens that it lacks, and after the time
// in which its share of the rate adds them.
//
// A less urgent request leaves a reserve for more urgent ones of the organisation,
// except for the floor. A request that costs more than the burst is granted when the
// bucket is full; the bucket then has a negative balance.
func (l *Ledger) Charge(now time.Duration, organisation string, limit Limit, r Request, instances int) (ok bool, missing float64, after time.Duration) {
	share := limit.share(instances)
	b := l.refill(now, organisation, share)
	b.lastRequest[min(r.Tier, maxTiers-1)] = now
	needed := min(r.Cost, max(share.Burst, 1))
	urgentReserve := min(b.urgentReserve(now, r.Tier)*share.Burst, max(0, share.Burst-needed))
	if b.tokens >= needed-epsilon && (b.tokens-needed >= urgentReserve || b.floor >= r.Cost) {
		b.tokens -= r.Cost
		if b.tokens < urgentReserve {
			b.floor -= r.Cost
		}
		return true, 0, 0
	}
	missing = needed + urgentReserve - b.tokens
	if share.PerSecond > 0 {
		after = time.Duration(missing / share.PerSecond * float64(time.Second))
	}
	return false, missing, after
}

// Transfer takes up to amount tokens from the bucket, for a request of the tier at
// another instance, and returns the number taken. It leaves transferReserve and the
// reserve for more urgent requests.
func (l *Ledger) Transfer(now time.Duration, organisation string, limit Limit, tier uint8, amount float64, instances int) float64 {
	share := limit.share(instances)
	b := l.refill(now, organisation, share)
	given := max(0, min(amount, b.tokens-share.Burst*max(transferReserve, b.urgentReserve(now, tier))))
	b.tokens -= given
	return given
}

// Receive adds tokens that another instance gave. It may fill the bucket above its
// share of the burst.
func (l *Ledger) Receive(now time.Duration, organisation string, limit Limit, amount float64, instances int) {
	b := l.refill(now, organisation, limit.share(instances))
	b.tokens += max(0, amount)
	b.receivedAt = now
}

// RetainOnly removes the buckets of organisations that have no quota in keep.
func (l *Ledger) RetainOnly(keep map[string]Limit) {
	for organisation := range l.buckets {
		if _, ok := keep[organisation]; !ok {
			delete(l.buckets, organisation)
		}
	}
}
