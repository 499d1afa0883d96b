package scheduler

import "time"

// Constants of straggler detection. Together they detect a straggler within
// 2 s: a report at most 0.5 s after the change, suspectTime, and one check.
const (
	stragglerCheckInterval = 100 * time.Millisecond
	// suspectTime is how long the evidence must last.
	suspectTime = 500 * time.Millisecond
	// slowRatio is the ratio of observed to expected inter-token time.
	slowRatio = 1.8
	// overdueFirstToken and overdueFactor bound the time without a first token.
	overdueFirstToken = 1200 * time.Millisecond
	overdueFactor     = 2
	// deadAfterBroken broken requests without an answer between them
	// mark an upstream as dead.
	deadAfterBroken = 2
	// probeInterval separates probes. A probe that is overdue by overdueProbe
	// may use the top tier.
	probeInterval = time.Second
	// maxProbeInterval bounds the interval, which doubles with each slow probe.
	// A refused probe costs nothing and does not prolong it.
	maxProbeInterval = 8 * time.Second
	overdueProbe     = 5 * time.Second
	// recoveredRatio is the ratio of observed to expected inter-token time up to
	// which the quarantine of an upstream ends.
	recoveredRatio = 1.4
	// recoveredLimitFraction is the fraction of the earlier limit that a
	// recovered upstream starts with.
	recoveredLimitFraction = 0.25
)

// stragglerState is the state of straggler detection for one upstream.
type stragglerState struct {
	// quarantined upstreams only receive probes.
	quarantined bool
	// suspectSince is the time of the first evidence, 0 if there is none.
	suspectSince time.Duration
	// lastProgress is the last time at which the upstream was seen to work normally.
	lastProgress time.Duration
	// brokenStreams counts broken requests since the last answer.
	brokenStreams int
	nextProbe     time.Duration
	// probeWait is the present interval between probes.
	probeWait    time.Duration
	probeRequest *request
}

// updateSuspicion updates the suspicion of an upstream after a report. It uses recent
// reports, because the smoothed time takes longer than 2 s to show a slowdown. Entries
// report slow and stalled streams at once, so that streams without a recent report count
// as sound: a single slow stream is no straggler.
func (p *Pool) updateSuspicion(now time.Duration, u *upstream) {
	if u.Service || u.quarantined {
		return
	}
	e := u.evidenceAt(now, p.slowFrom(now, u, slowRatio))
	all := max(e.streams, u.inFlight)
	slow := e.slow > 0 && 2*e.slow >= all
	stalls := e.streams >= 2 && 2*e.stalled >= all
	switch {
	case !slow && !stalls:
		u.suspectSince = 0
		u.lastProgress = now
	case u.suspectSince == 0:
		u.suspectSince = max(now, 1)
	}
}

// slowFrom returns the inter-token time in nanoseconds above which streams at an upstream
// are slow: one that misses the target, and ratio times the expected one.
func (p *Pool) slowFrom(now time.Duration, u *upstream, ratio float64) float64 {
	return max(float64(p.config.TargetInterToken), ratio*u.slowdown.expected(now)*u.expectedInterToken(u.inFlight))
}

// checkStragglers quarantines upstreams for which the evidence of slowness has lasted.
func (p *Pool) checkStragglers(now time.Duration) {
	p.checkFailing(now)
	for _, u := range p.upstreams {
		if u.Service || u.quarantined {
			continue
		}
		lasting := u.suspectSince != 0 && now-u.suspectSince >= suspectTime
		if lasting || p.firstTokenOverdue(now, u) {
			p.quarantineOrCutLimit(now, u)
		}
	}
}

// firstTokenOverdue reports whether the oldest request without a first token is
// overdue and the upstream has shown no other progress for a while.
func (p *Pool) firstTokenOverdue(now time.Duration, u *upstream) bool {
	oldest := u.awaitHead
	if oldest == nil {
		return false
	}
	expected := time.Duration(u.slowdown.expected(now) * u.prefill.firstToken(oldest.prefillAhead))
	age := now - max(oldest.grantedAt, u.lastProgress)
	return age > max(overdueFirstToken, overdueFactor*expected)
}

// quarantineOrCutLimit quarantines a straggler, unless no other healthy upstream
// would remain in one of its classes or half of the pool is in quarantine
// already; then it only halves the limit, if that is learned.
func (p *Pool) quarantineOrCutLimit(now time.Duration, u *upstream) {
	if u.quarantined || !u.present {
		return
	}
	if p.canQuarantine(u) {
		p.quarantine(now, u)
		return
	}
	if !u.hasFixedLimit() { // else the limit is configured
		u.limit = max(1, u.limit/2)
	}
	u.resetWindow(now)
	u.lastProgress = now
	p.refreshFree(u)
}

// quarantine stops normal placement on an upstream. Only probes go there until
// one succeeds. An upstream that refuses connections is always quarantined,
// since a request sent there again at once would be refused again at once.
func (p *Pool) quarantine(now time.Duration, u *upstream) {
	u.probeRequest = nil
	u.probeWait = probeInterval
	u.nextProbe = now + u.probeWait
	if u.quarantined || !u.present {
		return
	}
	u.resetWindow(now)
	u.quarantined = true
	p.quarantined++
	p.refreshFree(u)
	p.nextCapacityUpdate = now
}

func (u *upstream) resetWindow(now time.Duration) {
	u.suspectSince = 0
	u.ttftCount, u.interTokenCount, u.saturated, u.windowStart = targetCount{}, targetCount{}, false, now
}

func (p *Pool) canQuarantine(u *upstream) bool {
	// The allowance already bounds what a limited upstream gets, and it is in use to find
	// out how the upstream behaves.
	if quarantined, total := p.quarantineShare(); u.limited() || 2*(quarantined+1) > total {
		return false
	}
	for _, c := range u.classes {
		if !p.hasHealthy(c, u) {
			return false
		}
	}
	return true
}

// hasHealthy reports whether a class has an upstream other than u that is
// neither leaving, limited nor in quarantine.
func (p *Pool) hasHealthy(c uint32, u *upstream) bool {
	for _, index := range p.classes[c].upstreams {
		if other := p.upstreams[index]; other != u && !other.Leaving && !other.limited() && !other.quarantined {
			return true
		}
	}
	return false
}

// probe sends one request of a tier to each quarantined upstream whose probe is
// due. The top tier is used only if its class has no other healthy upstream, or
// if the probe is overdue by overdueProbe because no other work could be used, or if the
// upstream is limited, so that its allowance is meant for any work. A
// lower tier is never used while a higher one waits for the upstream.
func (p *Pool) probe(now time.Duration, tier uint8, out []Decision) []Decision {
	for _, u := range p.upstreams {
		if !u.quarantined || u.Leaving || u.exhausted() || u.probeRequest != nil || now < u.nextProbe {
			continue
		}
		r := p.highestTierRequest(now, u)
		if r == nil || r.Tier != tier || u.holdsOff(r.ID.Entry) > now ||
			r.Tier == 0 && !u.limited() && now < u.nextProbe+overdueProbe && p.hasHealthy(r.Class, u) {
			continue
		}
		out = append(out, p.grant(now, r, u))
		r.probe = true
		u.probeRequest = r
		u.probeWait = min(2*u.probeWait, maxProbeInterval)
		u.nextProbe = now + u.probeWait
	}
	return out
}

// highestTierRequest returns the next request of the highest tier that waits for
// an upstream, or nil.
func (p *Pool) highestTierRequest(now time.Duration, u *upstream) *request {
	for tier := range p.tiers {
		if p.tiers[tier].waiting == 0 {
			continue
		}
		for _, c := range u.classes {
			if r := p.firstEligible(now, &p.tiers[tier].classQueues[c]); r != nil {
				return r
			}
		}
	}
	return nil
}

// observeProbe ends the quarantine if the first token of a probe came in time
// and the inter-token time is normal again.
func (p *Pool) observeProbe(now time.Duration, r *request, inTime bool) {
	u := r.upstream
	if !u.quarantined || !r.probe {
		return
	}
	e := u.evidenceAt(now, recoveredRatio*u.slowdown.expected(now)*u.expectedInterToken(u.inFlight))
	if !inTime || e.stalled > 0 || 2*e.slow > e.streams {
		u.probeRequest = nil
		return
	}
	p.endQuarantine(now, u)
}

// endQuarantine ends a quarantine.
func (p *Pool) endQuarantine(now time.Duration, u *upstream) {
	u.quarantined = false
	u.brokenStreams, u.probeRequest = 0, nil
	u.lastProgress = now
	if !u.hasFixedLimit() {
		u.limit = max(1, u.limit*recoveredLimitFraction)
	}
	if !u.Service {
		u.interToken = 0
	}
	p.quarantined--
	p.refreshFree(u)
	p.nextCapacityUpdate = now
}

// observeServiceAnswer ends the quarantine of a plain service that answers: its
// response time is not compared with a target.
func (p *Pool) observeServiceAnswer(now time.Duration, u *upstream) {
	if u.Service && u.quarantined {
		p.endQuarantine(now, u)
	}
}
