package scheduler

import (
	"math"
	"math/bits"
	"time"
)

// DefaultConcurrency is the initial limit of an upstream without a configured one.
const DefaultConcurrency = 8

// Constants of the adaptive concurrency limit.
const (
	defaultMaxConcurrency = 256
	// A window of the limit ends after windowSamples samples, or after
	// windowTime with at least minWindowSamples.
	windowSamples    = 20
	minWindowSamples = 4
	windowTime       = 500 * time.Millisecond
	// decreaseFactor is applied when more than one sample in 20 missed a target.
	decreaseFactor = 0.95
	// nearTarget is the fraction of a target from which growth is additive. Below
	// it the limit grows by growthFactor, so that a lightly loaded engine reaches
	// its true limit within seconds of a load surge.
	nearTarget   = 0.75
	growthFactor = 1.1
	// headroomFactor is the assumed ratio of true capacity to that at the present
	// limit while the observations are well below the targets, so that the limit
	// still grows fast.
	headroomFactor = 2
	// prefillBudget is the fraction of the target for the first token that
	// prompts waiting at one engine may take.
	prefillBudget = 0.5
	// smoothing is the weight of a new sample in smoothed observations.
	smoothing = 0.2
	// slowSmoothing is the weight of a new sample in learned speeds and costs.
	slowSmoothing          = 0.05
	defaultInterToken      = 30 * time.Millisecond
	defaultPrefillPerToken = 100 * time.Microsecond
	profileBuckets         = 16
)

// upstream is the learned state of one upstream.
type upstream struct {
	Upstream
	index   int
	present bool
	classes []uint32
	// group is nil if the upstream's group is 0.
	group *group
	// free is true if the upstream has a free slot for normal placement; probes
	// do not need one.
	free     bool
	inFlight uint32

	// limit is the concurrency limit before the division by Config.LimitDivisor and the
	// reduction by HalveLimitsUntil.
	limit float64
	// ttftCount and interTokenCount hold the samples of the current window.
	ttftCount, interTokenCount targetCount
	windowStart                time.Duration
	// saturated is true if requests waited in this window while the limit was in use.
	saturated bool
	// hasHeadroom is true if the last window was well within both targets.
	hasHeadroom bool

	// ttft and interToken are smoothed observations in nanoseconds, 0 if none.
	ttft, interToken float64
	reports          []entryReport
	// profile is the smoothed time between tokens by the bit length of the
	// number of requests in flight, in nanoseconds, 0 if unknown.
	profile [profileBuckets]float64
	prefill prefillModel
	// slotCost and slotTime are the average expected cost of a request and the
	// average time in nanoseconds for which it occupies a slot.
	slotCost, slotTime float64
	// capacity is the cost per second at the limit.
	capacity float64

	// awaitHead and awaitTail form the list of requests in flight without a first
	// token, oldest first; pendingPrefill is the sum of their prompt tokens
	// without the probably cached ones.
	awaitHead, awaitTail *request
	pendingPrefill       int64

	stragglerState
	slowdown slowdown
	failures failureCount
	// failing is true while the failure ratio is well above that of the other upstreams.
	failing bool
	// transit is the allowance for requests on their way to or from a plain service.
	transit transitAllowance
	// holds are the entries from which the upstream wants no requests for a time.
	holds []hold
}

// targetCount counts the samples of one target in a window.
type targetCount struct{ samples, missed, near int }

func (c *targetCount) add(value, target float64) {
	c.samples++
	if value > target {
		c.missed++
	}
	if value > nearTarget*target {
		c.near++
	}
}

// exceeded reports whether the 95th percentile misses the target. A single miss
// says nothing about a percentile.
func (c *targetCount) exceeded() bool { return c.missed >= 2 && c.missed*20 > c.samples }

// hasHeadroom reports whether the 95th percentile is well within the target.
func (c *targetCount) hasHeadroom() bool { return c.near*20 <= c.samples }

func newUpstream(config Upstream) *upstream {
	u := &upstream{Upstream: config, prefill: newPrefillModel(float64(defaultPrefillPerToken))}
	if config.PrefillTokensPerSecond > 0 {
		u.prefill = newPrefillModel(float64(time.Second) / config.PrefillTokensPerSecond)
	}
	u.limit = float64(config.Concurrency)
	if config.Concurrency == 0 {
		u.limit = DefaultConcurrency
	}
	u.slotTime = u.priorInterToken()
	u.slotCost = decodeCost
	if config.Service {
		u.slotCost = 1
	}
	return u
}

func (u *upstream) priorInterToken() float64 {
	if u.DecodePerToken > 0 {
		return float64(u.DecodePerToken)
	}
	return float64(defaultInterToken)
}

// clampLimit applies the configured bounds after the configuration changed.
func (u *upstream) clampLimit() {
	if u.hasFixedLimit() && u.Concurrency > 0 {
		u.limit = float64(u.Concurrency)
	}
	u.limit = max(1, min(u.limit, u.maxLimit()))
}

// hasFixedLimit reports whether the limit is configured and not learned.
func (u *upstream) hasFixedLimit() bool { return u.Service || u.FixedLimit }

func (u *upstream) maxLimit() float64 {
	if u.MaxConcurrency > 0 {
		return float64(u.MaxConcurrency)
	}
	return defaultMaxConcurrency
}

// limitOf returns the number of requests that the upstream may have in flight.
func (p *Pool) limitOf(u *upstream) uint32 {
	limit := uint32(u.limit + u.transit.extra)
	if p.config.LimitDivisor > 1 {
		limit /= uint32(p.config.LimitDivisor)
	}
	if p.cautiousUntil != 0 {
		limit /= 2
	}
	return max(1, limit)
}

// refreshFree updates whether an upstream can take a request, and the counts of
// the classes that depend on it. It must be called after each change of
// inFlight, limit, quarantine, allowance or configuration.
func (p *Pool) refreshFree(u *upstream) {
	free := u.present && !u.Leaving && !u.quarantined && !u.exhausted() &&
		u.inFlight < p.limitOf(u) && !p.prefillBudgetExceeded(u)
	if free == u.free {
		return
	}
	u.free = free
	change := -1
	if free {
		change = 1
	}
	for _, c := range u.classes {
		p.classes[c].free += change
	}
}

// prefillBudgetExceeded reports whether the prompts that wait at an engine
// already use up their fraction of the target for the first token. The
// concurrency limit alone reacts too late to several long prompts that arrive
// together.
func (p *Pool) prefillBudgetExceeded(u *upstream) bool {
	return u.prefill.prefill(u.pendingPrefill) > prefillBudget*float64(p.config.TargetTTFT)
}

func (p *Pool) refreshAllFree() {
	for _, u := range p.upstreams {
		p.refreshFree(u)
	}
}

// recordSaturation records that the limit is fully used while requests wait for it.
func (p *Pool) recordSaturation(u *upstream) {
	if u.saturated || u.inFlight < p.limitOf(u) || p.waiting == 0 {
		return
	}
	for _, c := range u.classes {
		if p.classes[c].waiting > 0 {
			u.saturated = true
			return
		}
	}
}

// sampleLimit adds one observation of a target to the window of an upstream
// and adjusts its limit at the end of the window.
func (p *Pool) sampleLimit(now time.Duration, u *upstream, count *targetCount, value, target float64) {
	if u.hasFixedLimit() || u.quarantined {
		return
	}
	p.recordSaturation(u)
	count.add(value, target)
	samples := u.ttftCount.samples + u.interTokenCount.samples
	if samples >= windowSamples || samples >= minWindowSamples && now-u.windowStart >= windowTime {
		p.endWindow(now, u)
	}
}

func (p *Pool) endWindow(now time.Duration, u *upstream) {
	slow := u.interToken > p.interTokenTarget()
	u.hasHeadroom = u.ttftCount.hasHeadroom() && u.interTokenCount.hasHeadroom()
	switch {
	case u.ttftCount.exceeded() || u.interTokenCount.exceeded() || slow:
		u.limit = max(1, min(u.limit, float64(u.inFlight)+1)*decreaseFactor)
	case !u.saturated:
	case u.hasHeadroom:
		u.limit = min(max(u.limit*growthFactor, u.limit+1), u.maxLimit())
	default:
		u.limit = min(u.limit+1, u.maxLimit())
	}
	u.ttftCount, u.interTokenCount, u.saturated, u.windowStart = targetCount{}, targetCount{}, false, now
	p.refreshFree(u)
}

func bucketOf(inFlight uint32) int { return min(bits.Len32(inFlight), profileBuckets-1) }

func (u *upstream) learnProfile(now time.Duration, inFlight uint32, interToken float64) {
	smooth(&u.profile[bucketOf(inFlight)], interToken/u.slowdown.usual(now), slowSmoothing)
}

// expectedInterToken returns the time between tokens to expect with the given
// number of requests in flight, from the nearest level that was observed.
func (u *upstream) expectedInterToken(inFlight uint32) float64 {
	bucket := bucketOf(inFlight)
	for distance := range profileBuckets {
		if higher := bucket + distance; higher < profileBuckets && u.profile[higher] > 0 {
			return u.profile[higher]
		}
		if lower := bucket - distance; lower >= 0 && u.profile[lower] > 0 {
			return u.profile[lower]
		}
	}
	return u.priorInterToken()
}

// smooth updates an exponential moving average; an average of 0 takes the sample.
func smooth(average *float64, sample, weight float64) {
	if *average == 0 {
		*average = sample
		return
	}
	*average += weight * (sample - *average)
}

// learnSlotThroughput updates the cost per second that one slot serves. It uses
// the expected cost, since queued work is counted by its expected cost too: if
// predictions are too low on average, both are.
func (u *upstream) learnSlotThroughput(now time.Duration, cost int64, duration time.Duration) {
	smooth(&u.slotCost, float64(cost), slowSmoothing)
	smooth(&u.slotTime, float64(max(duration, time.Millisecond))/u.slowdown.usual(now), slowSmoothing)
}

// capacityInterval is the time between updates of the class capacities.
const capacityInterval = 200 * time.Millisecond

// updateCapacities computes the cost per second that each class can serve, and
// its idle and loaded speeds.
func (p *Pool) updateCapacities(now time.Duration) {
	p.nextCapacityUpdate = now + capacityInterval
	for _, u := range p.upstreams {
		u.capacity = 0
		if !u.Leaving && !u.quarantined && !u.exhausted() {
			u.capacity = float64(p.limitOf(u)) * u.slotCost / (u.slowdown.usual(now) * u.slotTime) * float64(time.Second)
			if u.hasHeadroom {
				u.capacity *= headroomFactor
			}
		}
	}
	for c := range p.classes {
		p.updateClass(now, &p.classes[c])
	}
}

func (p *Pool) updateClass(now time.Duration, c *class) {
	c.capacity, c.meetsInterToken = 0, false
	first, weight := true, 0.0
	onlyLimited := p.onlyLimited(c)
	var sum speed
	for _, index := range c.upstreams {
		u := p.upstreams[index]
		if u.Leaving || u.limited() && !onlyLimited {
			continue
		}
		c.capacity += u.capacity
		c.meetsInterToken = c.meetsInterToken || !u.quarantined && p.meetsInterToken(now, u)
		idle, loaded := u.speedAt(now, 1), u.speedAt(now, uint32(u.limit))
		if !first {
			idle = idle.minimum(c.idle)
		}
		c.idle, first = idle, false
		sum.add(loaded, u.limit)
		weight += u.limit
	}
	if weight > 0 {
		c.loaded = speed{sum.fixed / weight, sum.perPrompt / weight, sum.perOutput / weight}
	}
}

// rate is an exponentially decaying average of an amount per second.
type rate struct {
	sum float64
	at  time.Duration
}

const rateTimeConstant = 3 * time.Second

func (r *rate) add(now time.Duration, amount float64) {
	r.sum = r.decayed(now) + amount
	r.at = now
}

func (r *rate) perSecond(now time.Duration) float64 {
	return r.decayed(now) / rateTimeConstant.Seconds()
}

func (r *rate) decayed(now time.Duration) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-float64(now-r.at)/float64(rateTimeConstant))
}
