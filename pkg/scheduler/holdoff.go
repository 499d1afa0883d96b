package scheduler

import (
	"slices"
	"time"
)

// hold is an entry from which an upstream wants no request until a time.
type hold struct {
	entry uint64
	until time.Duration
}

// holdsOff returns the time until which the upstream wants no request from an entry; it is
// not after now if it takes them.
func (u *upstream) holdsOff(entry uint64) time.Duration {
	for i := range u.holds {
		if u.holds[i].entry == entry {
			return u.holds[i].until
		}
	}
	return 0
}

// holdOff records that an upstream wants no request from an entry for a time, and sheds the
// entry's waiting requests that can not start in time because of that.
func (p *Pool) holdOff(now time.Duration, u *upstream, entry uint64, duration time.Duration) {
	if duration <= 0 {
		return
	}
	until := max(now+duration, u.holdsOff(entry))
	u.holds = slices.DeleteFunc(u.holds, func(h hold) bool { return h.entry == entry || h.until <= now })
	u.holds = append(u.holds, hold{entry, until})
	p.holdsUntil = max(p.holdsUntil, until)
	p.shedHeldOff(now, entry)
}

// dropHolds forgets the holds of an entry that has ended.
func (u *upstream) dropHolds(entry uint64) {
	u.holds = slices.DeleteFunc(u.holds, func(h hold) bool { return h.entry == entry })
}

// heldOffUntil returns the earliest time at which an upstream of a class takes a request of an
// entry, as far as holds are concerned; it is not after now if one does.
func (p *Pool) heldOffUntil(now time.Duration, class uint32, entry uint64) (earliest time.Duration) {
	if now >= p.holdsUntil {
		return 0
	}
	for _, index := range p.classes[class].upstreams {
		u := p.upstreams[index]
		if !u.present || u.Leaving || u.exhausted() {
			continue
		}
		until := u.holdsOff(entry)
		if until <= now {
			return until
		}
		if earliest == 0 || until < earliest {
			earliest = until
		}
	}
	return earliest
}

// shedHeldOff sheds the waiting requests of an entry which every upstream of their class
// holds off until after their latest start.
func (p *Pool) shedHeldOff(now time.Duration, entry uint64) {
	var shed []*request
	for _, s := range p.requests.slots {
		if r := s.value; r != nil && r.ID.Entry == entry && r.state == stateWaiting &&
			p.heldOffUntil(now, r.Class, entry) > r.latestStart {
			shed = append(shed, r)
		}
	}
	for _, r := range shed {
		d := r.Descriptor
		p.discard(r)
		p.reportHeldOff(now, d)
	}
}

const (
	// The retry delays of requests that are held off are spread by up to holdSpreadFraction,
	// and at most maxHoldSpread, so that their callers do not all return at once.
	holdSpreadFraction = 0.25
	maxHoldSpread      = time.Second
)

// reportHeldOff reports the shed of a request, which may be sent again once an upstream takes it.
func (p *Pool) reportHeldOff(now time.Duration, d Descriptor) {
	wait := max(p.heldOffUntil(now, d.Class, d.ID.Entry)-now, minRetryAfter)
	spread := min(time.Duration(holdSpreadFraction*float64(wait)), maxHoldSpread)
	wait += time.Duration(hashID(d.ID) % uint64(spread+1))
	p.pendingSheds = append(p.pendingSheds, Decision{ID: d.ID, Attempt: d.Attempt, Reason: HeldOff, RetryAfter: wait})
}

// nextHoldEnd returns when the next hold ends, or Never.
func (p *Pool) nextHoldEnd(now time.Duration) time.Duration {
	next := Never
	if now >= p.holdsUntil {
		return next
	}
	for _, u := range p.upstreams {
		for i := range u.holds {
			if until := u.holds[i].until; until > now {
				next = min(next, until)
			}
		}
	}
	return next
}
