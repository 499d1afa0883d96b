package scheduler

// transitAllowance is the number of requests that a plain service may be granted beyond
// its slots. A permit also covers the messages between owner, entry and upstream, so that
// with permits for its slots only, a service with short calls has idle slots while
// requests wait. Services that report no slots get no allowance.
type transitAllowance struct{ extra float64 }

const (
	// transitGrowth is added for each answer that reports an idle slot while all permits
	// are in use, and transitShrink subtracted for each that reports more than
	// maxWaitingInTransit requests waiting at the upstream.
	transitGrowth, transitShrink = 1.0 / 16, 1.0 / 4
	maxWaitingInTransit          = 1
	// maxTransitFraction bounds the allowance as a fraction of the slots: the remaining
	// requests wait at the owner, in order of urgency.
	maxTransitFraction = 0.5
)

// observe adapts the allowance to a report; saturated is true if all permits are in use.
func (a *transitAllowance) observe(r SlotReport, saturated bool, slots float64) {
	switch {
	case r.Free < -maxWaitingInTransit:
		a.extra = max(0, a.extra-transitShrink)
	case r.Free > 0 && saturated:
		a.extra = min(maxTransitFraction*slots, a.extra+transitGrowth)
	}
}

// observeSlots adapts the limit of a plain service to what it reports of its slots.
func (p *Pool) observeSlots(u *upstream, r SlotReport) {
	if !u.Service || !r.Known {
		return
	}
	u.transit.observe(r, u.inFlight >= p.limitOf(u), u.limit)
}
