package scheduler

import (
	"math"
	"math/bits"
	"time"
)

// Constants of the adaptive concurrency limit.
const (
	defaultConcurrency    = 8
	defaultMaxConcurrency = 256
	// A window of the limit ends after windowSamples samples, or after
	// windowTime with at least minWindowSamples.
	windowSamples    = 20
	minWindowSamples = 4
	windowTime       = 500 * time.Millisecond
	// decreaseFactor is applied when more than one sample in 20 missed a target.
	decreaseFactor = 0.95
	// nearTarget is the part of a target from which growth is additive. Below
	// it the limit grows by growthFactor, so that an engine that had little to
	// do reaches its limit within seconds of a flood.
	nearTarget   = 0.75
	growthFactor = 1.1
	// relaxedCapacity is the assumed ratio of true capacity to that at the
	// present limit while the limit still grows fast.
	relaxedCapacity = 2
	// prefillBudget is the part of the target for the first token that prompts
	// waiting at one engine may take.
	prefillBudget = 0.5
	// smoothing is the weight of a new sample in smoothed observations.
	smoothing = 0.2
	// slowSmoothing is the weight of a new sample in the speed profile.
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
	// free is true if the upstream can take a request in the normal order.
	free     bool
	inFlight uint32

	// limit is the concurrency limit before Share and caution are applied.
	limit float64
	// The current window of observations.
	first, gap  targetCount
	windowStart time.Duration
	pressed     bool
	// relaxed is true if the last window was well within both targets.
	relaxed bool

	// ttft and interToken are smoothed observations in nanoseconds, 0 if none.
	ttft, interToken float64
	reports          []entryReport
	// profile is the smoothed time between tokens by the bit length of the
	// number of requests in flight, in nanoseconds, 0 if unknown.
	profile [profileBuckets]float64
	// prefillPerToken is in nanoseconds.
	prefillPerToken float64
	// slotCost and slotTime give the cost per second of one slot.
	slotCost, slotTime float64
	// capacity is the cost per second at the limit.
	capacity float64

	// awaiting lists requests in flight without a first token, oldest first.
	awaitHead, awaitTail *request
	pendingPrefill       int64

	straggler
	failures failureCount
	// failing is true while the upstream fails many more requests than others.
	failing bool
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

// exceeded reports whether the 95th percentile misses the target. One miss says
// nothing about a percentile.
func (c *targetCount) exceeded() bool { return c.missed >= 2 && c.missed*20 > c.samples }

// relaxed reports whether the 95th percentile is well within the target.
func (c *targetCount) relaxed() bool { return c.near*20 <= c.samples }

func newUpstream(config Upstream) *upstream {
	u := &upstream{Upstream: config, prefillPerToken: float64(defaultPrefillPerToken)}
	if config.PrefillTokensPerSecond > 0 {
		u.prefillPerToken = float64(time.Second) / config.PrefillTokensPerSecond
	}
	u.limit = float64(config.Concurrency)
	if config.Concurrency == 0 {
		u.limit = defaultConcurrency
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

// bound applies the configured bounds after the configuration changed.
func (u *upstream) bound() {
	if u.fixed() && u.Concurrency > 0 {
		u.limit = float64(u.Concurrency)
	}
	u.limit = max(1, min(u.limit, u.maximum()))
}

// fixed reports whether the limit is configured and not learned.
func (u *upstream) fixed() bool { return u.Service || u.FixedLimit }

func (u *upstream) maximum() float64 {
	if u.MaxConcurrency > 0 {
		return float64(u.MaxConcurrency)
	}
	return defaultMaxConcurrency
}

// limitOf returns the requests that the upstream may have in flight.
func (p *Pool) limitOf(u *upstream) uint32 {
	limit := uint32(u.limit)
	if p.config.Share > 1 {
		limit /= uint32(p.config.Share)
	}
	if p.cautiousUntil != 0 {
		limit /= 2
	}
	return max(1, limit)
}

// refresh updates whether an upstream can take a request, and the counts of
// the classes that depend on it. It must be called after each change of
// inFlight, limit, quarantine or configuration.
func (p *Pool) refresh(u *upstream) {
	free := u.present && !u.Leaving && !u.quarantined && u.inFlight < p.limitOf(u) && !p.prefillFull(u)
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

// prefillFull reports whether the prompts that wait at an engine already take
// their part of the target for the first token. The limit alone reacts too late
// to several long prompts that arrive together.
func (p *Pool) prefillFull(u *upstream) bool {
	return float64(u.pendingPrefill)*u.prefillPerToken > prefillBudget*float64(p.config.TargetTTFT)
}

func (p *Pool) refreshAll() {
	for _, u := range p.upstreams {
		p.refresh(u)
	}
}

// notePressure records that the limit is in use while work waits for it.
func (p *Pool) notePressure(u *upstream) {
	if u.pressed || u.inFlight < p.limitOf(u) || p.waiting == 0 {
		return
	}
	for _, c := range u.classes {
		if p.classes[c].waiting > 0 {
			u.pressed = true
			return
		}
	}
}

// sampleLimit adds one observation of a target to the window of an upstream
// and moves its limit at the end of the window.
func (p *Pool) sampleLimit(now time.Duration, u *upstream, count *targetCount, value, target float64) {
	if u.fixed() || u.quarantined {
		return
	}
	p.notePressure(u)
	count.add(value, target)
	samples := u.first.samples + u.gap.samples
	if samples >= windowSamples || samples >= minWindowSamples && now-u.windowStart >= windowTime {
		p.endWindow(now, u)
	}
}

func (p *Pool) endWindow(now time.Duration, u *upstream) {
	slow := u.interToken > p.gapTarget()
	u.relaxed = u.first.relaxed() && u.gap.relaxed()
	switch {
	case u.first.exceeded() || u.gap.exceeded() || slow:
		u.limit = max(1, min(u.limit, float64(u.inFlight)+1)*decreaseFactor)
	case !u.pressed:
	case u.relaxed:
		u.limit = min(max(u.limit*growthFactor, u.limit+1), u.maximum())
	default:
		u.limit = min(u.limit+1, u.maximum())
	}
	u.first, u.gap, u.pressed, u.windowStart = targetCount{}, targetCount{}, false, now
	p.refresh(u)
}

func bucketOf(inFlight uint32) int { return min(bits.Len32(inFlight), profileBuckets-1) }

func (u *upstream) learnProfile(interToken float64) {
	smooth(&u.profile[bucketOf(u.inFlight)], interToken, slowSmoothing)
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

// smooth moves an average towards a sample; an average of 0 takes the sample.
func smooth(average *float64, sample, weight float64) {
	if *average == 0 {
		*average = sample
		return
	}
	*average += weight * (sample - *average)
}

// learnSlot updates the cost per second that one slot serves. The cost is the
// expected one, since queued work is counted by its expected cost too: where
// predictions are too low on average, both are.
func (u *upstream) learnSlot(cost int64, held time.Duration) {
	smooth(&u.slotCost, float64(cost), slowSmoothing)
	smooth(&u.slotTime, float64(max(held, time.Millisecond)), slowSmoothing)
}

// capacityInterval is how often the capacities of classes are computed.
const capacityInterval = 200 * time.Millisecond

// updateCapacities derives the cost per second that each class can serve, and
// its best speeds.
func (p *Pool) updateCapacities(now time.Duration) {
	p.nextCapacities = now + capacityInterval
	for _, u := range p.upstreams {
		u.capacity = 0
		if !u.Leaving && !u.quarantined {
			u.capacity = float64(p.limitOf(u)) * u.slotCost / u.slotTime * float64(time.Second)
			if u.relaxed {
				u.capacity *= relaxedCapacity
			}
		}
	}
	for c := range p.classes {
		p.updateClass(&p.classes[c])
	}
}

func (p *Pool) updateClass(c *class) {
	c.capacity, c.holdsGap = 0, false
	first, weight := true, 0.0
	var sum speed
	for _, index := range c.upstreams {
		u := p.upstreams[index]
		if u.Leaving {
			continue
		}
		c.capacity += u.capacity
		c.holdsGap = c.holdsGap || !u.quarantined && p.holdsGap(u)
		idle, loaded := u.speedAt(1), u.speedAt(uint32(u.limit))
		if !first {
			idle = idle.least(c.idle)
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

const rateSpan = 3 * time.Second

func (r *rate) add(now time.Duration, amount float64) {
	r.sum = r.decayed(now) + amount
	r.at = now
}

func (r *rate) perSecond(now time.Duration) float64 {
	return r.decayed(now) / rateSpan.Seconds()
}

func (r *rate) decayed(now time.Duration) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-float64(now-r.at)/float64(rateSpan))
}
