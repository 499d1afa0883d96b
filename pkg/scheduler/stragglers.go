package scheduler

import "time"

// Constants of straggler detection. Together they detect a straggler within
// 2 s: a report at most 0.5 s after the change, suspectTime, and one check.
const (
	stragglerCheckInterval = 100 * time.Millisecond
	// suspectTime is how long the signs must last.
	suspectTime = 500 * time.Millisecond
	// slowRatio is the ratio of observed to expected time between tokens.
	slowRatio = 1.8
	// overdueFirst and overdueFactor bound the time without a first token.
	overdueFirst  = 1200 * time.Millisecond
	overdueFactor = 2
	// brokenInARow streams without a complete answer between them mark an
	// upstream as dead.
	brokenInARow = 2
	// probeInterval separates probes; overdueProbe is the time after which a
	// probe may use the highest tier.
	probeInterval = time.Second
	// maxProbeInterval bounds the interval, which doubles with each slow probe.
	// A refused probe costs nothing and does not prolong it.
	maxProbeInterval = 8 * time.Second
	overdueProbe     = 5 * time.Second
	// recoveredRatio is the ratio of observed to expected time between tokens
	// at which a quarantined upstream is used again.
	recoveredRatio = 1.4
	// recoveredLimit is the part of the earlier limit that a recovered upstream
	// starts with.
	recoveredLimit = 0.25
)

// straggler is the part of an upstream's state that concerns slowness.
type straggler struct {
	// quarantined upstreams only receive probes.
	quarantined bool
	// suspectSince is the time of the first sign, 0 if there is none.
	suspectSince time.Duration
	// lastSign is the time of the last sign of normal work.
	lastSign time.Duration
	// broken counts broken streams since the last complete one.
	broken    int
	nextProbe time.Duration
	// probeWait is the present interval between probes.
	probeWait time.Duration
	probing   *request
}

// suspect updates the suspicion of an upstream after a report. It uses the mean
// of the latest reports; the smoothed one takes longer than 2 s to show a
// slowdown.
func (p *Pool) suspect(now time.Duration, u *upstream, mean float64, streams, stalled uint32) {
	if u.Service || u.quarantined {
		return
	}
	slow := mean > float64(p.config.TargetInterToken) && mean > slowRatio*u.expectedInterToken(u.inFlight)
	stalls := streams >= 2 && 2*stalled >= streams
	switch {
	case !slow && !stalls:
		u.suspectSince = 0
		u.lastSign = now
	case u.suspectSince == 0:
		u.suspectSince = max(now, 1)
	}
}

// checkStragglers quarantines upstreams whose signs of slowness have lasted.
func (p *Pool) checkStragglers(now time.Duration) {
	p.checkFailing(now)
	for _, u := range p.upstreams {
		if u.Service || u.quarantined {
			continue
		}
		lasting := u.suspectSince != 0 && now-u.suspectSince >= suspectTime
		if lasting || p.firstOverdue(now, u) {
			p.slowDown(now, u)
		}
	}
}

// firstOverdue reports whether the oldest request without a first token is
// overdue and nothing else has been heard from the upstream for a while.
func (p *Pool) firstOverdue(now time.Duration, u *upstream) bool {
	oldest := u.awaitHead
	if oldest == nil {
		return false
	}
	expected := time.Duration(float64(oldest.ahead) * u.prefillPerToken)
	age := now - max(oldest.granted, u.lastSign)
	return age > max(overdueFirst, overdueFactor*expected)
}

// slowDown reacts to a straggler: it is quarantined, unless no other healthy
// upstream would remain in one of its classes or half of the pool is in
// quarantine already; then only its limit is cut.
func (p *Pool) slowDown(now time.Duration, u *upstream) {
	if u.quarantined || !u.present {
		return
	}
	if p.canQuarantine(u) {
		p.quarantine(now, u)
		return
	}
	if !u.fixed() { // else the limit is configured
		u.limit = max(1, u.limit/2)
	}
	u.resetWindow(now)
	u.lastSign = now
	p.refresh(u)
}

// quarantine stops normal placement on an upstream. Only probes go there until
// one succeeds. An upstream that refuses connections is always quarantined,
// since a request sent there again at once would be refused again at once.
func (p *Pool) quarantine(now time.Duration, u *upstream) {
	u.probing = nil
	u.probeWait = probeInterval
	u.nextProbe = now + u.probeWait
	if u.quarantined || !u.present {
		return
	}
	u.resetWindow(now)
	u.quarantined = true
	p.quarantined++
	p.refresh(u)
	p.nextCapacities = now
}

func (u *upstream) resetWindow(now time.Duration) {
	u.suspectSince = 0
	u.first, u.gap, u.pressed, u.windowStart = targetCount{}, targetCount{}, false, now
}

func (p *Pool) canQuarantine(u *upstream) bool {
	if 2*(p.quarantined+1) > len(p.upstreams) {
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
// neither leaving nor in quarantine.
func (p *Pool) hasHealthy(c uint32, u *upstream) bool {
	for _, index := range p.classes[c].upstreams {
		if other := p.upstreams[index]; other != u && !other.Leaving && !other.quarantined {
			return true
		}
	}
	return false
}

// probe sends one request of a tier to each quarantined upstream whose probe is
// due. The
// top tier is used only if its class has no other healthy upstream, or if no other
// work could be used for long. A lower tier
// is never used while a higher one waits for the upstream (promise P2).
func (p *Pool) probe(now time.Duration, tier uint8, out []Decision) []Decision {
	for _, u := range p.upstreams {
		if !u.quarantined || u.Leaving || u.probing != nil || now < u.nextProbe {
			continue
		}
		r := p.highestFor(now, u)
		if r == nil || r.Tier != tier || r.Tier == 0 && now < u.nextProbe+overdueProbe && p.hasHealthy(r.Class, u) {
			continue
		}
		out = append(out, p.grant(now, r, u))
		r.probe = true
		u.probing = r
		u.probeWait = min(2*u.probeWait, maxProbeInterval)
		u.nextProbe = now + u.probeWait
	}
	return out
}

// highestFor returns the next request of the highest tier that waits for an
// upstream, or nil.
func (p *Pool) highestFor(now time.Duration, u *upstream) *request {
	for tier := range p.tiers {
		if p.tiers[tier].waiting == 0 {
			continue
		}
		for _, c := range u.classes {
			if r := p.first(now, &p.tiers[tier].lines[c]); r != nil {
				return r
			}
		}
	}
	return nil
}

// observeProbe ends the quarantine if the first token of a probe came in time
// and the time between tokens is normal again.
func (p *Pool) observeProbe(now time.Duration, r *request, inTime bool) {
	u := r.upstream
	if !u.quarantined || !r.probe {
		return
	}
	_, stalled, mean := u.combineReports(now)
	if !inTime || stalled > 0 || mean > recoveredRatio*u.expectedInterToken(u.inFlight) {
		u.probing = nil
		return
	}
	p.recover(now, u)
}

// recover ends a quarantine.
func (p *Pool) recover(now time.Duration, u *upstream) {
	u.quarantined = false
	u.broken, u.probing = 0, nil
	u.lastSign = now
	if !u.fixed() {
		u.limit = max(1, u.limit*recoveredLimit)
	}
	if !u.Service {
		u.interToken = 0
	}
	p.quarantined--
	p.refresh(u)
	p.nextCapacities = now
}

// observeService ends the quarantine of a service that answers: its time to
// answer is not compared with a target.
func (p *Pool) observeService(now time.Duration, u *upstream) {
	if u.Service && u.quarantined {
		p.recover(now, u)
	}
}
