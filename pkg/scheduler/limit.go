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
	decreaseFactor = 0.9
	// interTokenMargin is the part of the target that the mean time between
	// tokens may reach, since the 95th percentile lies above the mean.
	interTokenMargin = 0.9
	// slowStartMargin is the part of a target at which the doubling phase ends.
	slowStartMargin = 0.7
	// smoothing is the weight of a new sample in smoothed observations.
	smoothing = 0.2
	// slowSmoothing is the weight of a new sample in the speed profile.
	slowSmoothing = 0.05
	// reportLife bounds how long an entry's report is used.
	reportLife = 10 * time.Second

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
	limit     float64
	slowStart bool
	// The current window of observations.
	samples, missed int
	windowStart     time.Duration
	pressed         bool
	lastCut         time.Duration

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
}

type entryReport struct {
	Observation
	at time.Duration
}

func newUpstream(config Upstream) *upstream {
	u := &upstream{Upstream: config, slowStart: true, prefillPerToken: float64(defaultPrefillPerToken)}
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
	if u.Service && u.Concurrency > 0 {
		u.limit = float64(u.Concurrency)
	}
	u.limit = max(1, min(u.limit, u.maximum()))
}

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
	free := u.present && !u.Leaving && !u.quarantined && u.inFlight < p.limitOf(u)
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
		for tier := range p.tiers {
			if p.tiers[tier].lines[c].count > 0 {
				u.pressed = true
				return
			}
		}
	}
}

// sampleLimit adds one observation of a target to the window of an upstream
// and moves its limit at the end of the window.
func (p *Pool) sampleLimit(now time.Duration, u *upstream, value, target float64) {
	if u.Service || u.quarantined {
		return
	}
	p.notePressure(u)
	u.samples++
	if value > target {
		u.missed++
	}
	if u.slowStart && value > target*slowStartMargin {
		u.slowStart = false
	}
	if u.slowStart && u.pressed {
		u.limit = min(u.limit+1, u.maximum())
		p.refresh(u)
	}
	if u.samples >= windowSamples || u.samples >= minWindowSamples && now-u.windowStart >= windowTime {
		p.endWindow(now, u)
	}
}

func (p *Pool) endWindow(now time.Duration, u *upstream) {
	slow := u.interToken > interTokenMargin*float64(p.config.TargetInterToken)
	switch {
	case u.missed >= 2 && u.missed*20 > u.samples || slow:
		u.slowStart = false
		u.limit = max(1, min(u.limit, float64(u.inFlight)+1)*decreaseFactor)
		u.lastCut = now
	case u.pressed && u.missed*20 <= u.samples:
		u.limit = min(u.limit+1, u.maximum())
	}
	u.samples, u.missed, u.pressed, u.windowStart = 0, 0, false, now
	p.refresh(u)
}

// Progress takes in what an entry saw at one upstream. Entries report when the
// rate changes and when streams stall, so a report holds until the next one.
func (p *Pool) Progress(now time.Duration, o Observation) {
	if int(o.Upstream) >= len(p.upstreams) {
		return
	}
	u := p.upstreams[o.Upstream]
	u.storeReport(now, o)
	streams, stalled, mean := u.combineReports(now)
	if mean > 0 {
		u.interToken = mean
		if !u.quarantined && u.suspectSince == 0 {
			u.learnProfile(mean)
		}
		p.sampleLimit(now, u, mean, float64(p.config.TargetInterToken))
	}
	p.suspect(now, u, streams, stalled)
}

func (u *upstream) storeReport(now time.Duration, o Observation) {
	for i := range u.reports {
		if u.reports[i].Entry == o.Entry {
			u.reports[i] = entryReport{o, now}
			return
		}
	}
	u.reports = append(u.reports, entryReport{o, now})
}

// combineReports returns the streams of all entries, how many of them stall,
// and the mean time between tokens weighted by streams, 0 if unknown.
func (u *upstream) combineReports(now time.Duration) (streams, stalled uint32, mean float64) {
	var sum, weight float64
	kept := u.reports[:0]
	for _, report := range u.reports {
		if report.Streams == 0 || now-report.at > reportLife {
			continue
		}
		kept = append(kept, report)
		streams += report.Streams
		stalled += report.Stalled
		if report.InterToken > 0 {
			sum += float64(report.InterToken) * float64(report.Streams)
			weight += float64(report.Streams)
		}
	}
	u.reports = kept
	if weight > 0 {
		mean = sum / weight
	}
	return streams, stalled, mean
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

// learnSlot updates the cost per second that one slot serves.
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
		}
	}
	for c := range p.classes {
		p.updateClass(&p.classes[c])
	}
}

func (p *Pool) updateClass(c *class) {
	c.capacity = 0
	first := true
	for _, index := range c.upstreams {
		u := p.upstreams[index]
		if u.Leaving {
			continue
		}
		c.capacity += u.capacity
		idle, loaded := u.speedAt(1), u.speedAt(uint32(u.limit))
		if !first {
			idle, loaded = idle.least(c.idle), loaded.least(c.loaded)
		}
		c.idle, c.loaded, first = idle, loaded, false
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
