package rollout

import (
	"math"
	"time"
)

const (
	// judgingPart is the part of the exposure bound that may be reserved in Judging, and
	// judgingMost the number of requests that suffice for it. The rest is for a version that
	// becomes bad in the shift, until its answers show it.
	judgingPart = 0.55
	judgingMost = 300
	// rehearsalPart is added in the last rehearsal before the shift, in which more upstreams of
	// the version are used, for versions that are bad under the full load only. It is as long
	// as two answers take, between rehearsalLeast and rehearsalMost.
	rehearsalPart  = 0.2
	rehearsalLeast = 400 * time.Millisecond
	rehearsalMost  = 1500 * time.Millisecond
	// rehearsalUpstreams is the part of the upstreams of the version that the rehearsal uses at
	// least. The bound does not keep all of them as busy as after the shift.
	rehearsalUpstreams = 0.1
	// firstPart is the part of ExposeSlack that may be used at the start; the rest follows evenly
	// up to the shift, since some versions become bad later.
	firstPart = 0.4
	// undecided is the logarithm of the likelihood ratio above which the latencies leave open
	// whether the version is slow or its upstreams in use are of a slow kind. One more is then
	// used for each answersPerUpstream answers.
	undecided          = -2.0
	answersPerUpstream = 20
	// busier is the factor by which an upstream is to be busier in Judging than the mean of all
	// after the shift.
	busier = 1.3
	// reserveEvery is the least time between two raises of the reservation.
	reserveEvery = 250 * time.Millisecond
	// groupWait is how long requests are held back to be granted together if one upstream is
	// more than they keep busy, so that it is at times as busy as it will be after the shift.
	groupWait = 1500 * time.Millisecond
)

// exposure counts what the version gets.
type exposure struct {
	// arrived counts the requests of the service up to the deadline. spent counts those sent to
	// the version, with all that earlier owners or writers reserved; granted those of this owner.
	arrived, spent, granted uint64
	targetInFlight          int
	lastGrant               time.Duration
	// crossed is set once the requests of the version have reached the bound.
	crossed bool
}

// bound is the exposure bound at the number of requests seen so far.
func (r *Rollout) bound() float64 {
	return r.bounds.ExposeShare*float64(r.arrived) + r.bounds.ExposeSlack
}

// rehearsing reports whether the shift is near enough to use all upstreams of the version.
func (r *Rollout) rehearsing() bool {
	length := min(max(2*r.durations.typical(), rehearsalLeast), rehearsalMost)
	return r.elapsed(r.now) >= r.shiftAt()-length
}

// reservable returns how many requests the version may have been sent in Judging by now.
func (r *Rollout) reservable() uint64 {
	if r.phase != Judging || r.rec.Hold || r.next != 0 || r.up.Target == 0 {
		return 0
	}
	part := r.judgingPart()
	if r.rehearsing() || r.taken.Reserved > 0 {
		part += rehearsalPart
	}
	progress := float64(r.elapsed(r.now)) / float64(max(r.shiftAt(), 1))
	slack := r.bounds.ExposeSlack * (firstPart + (1-firstPart)*min(1, progress))
	return uint64(part * (r.bounds.ExposeShare*float64(r.arrived) + slack))
}

// judgingUpstreams returns how many upstreams of the version Judging uses.
func (r *Rollout) judgingUpstreams() int {
	undecidedSlow := r.evidence.slow.allOdds > undecided
	share := r.bounds.ExposeShare * r.judgingPart()
	upstreams := max(1, int(math.Round(share*float64(r.up.Target))))
	if r.rehearsing() {
		if undecidedSlow {
			return -1
		}
		upstreams = max(upstreams, int(math.Ceil(rehearsalUpstreams*float64(r.up.Target))))
	}
	if undecidedSlow {
		upstreams += int(r.evidence.target.answers / answersPerUpstream)
	}
	return min(upstreams, r.up.Target)
}

// judgingPart returns the part of the exposure bound for Judging. What an earlier owner reserved
// gave this one no evidence.
func (r *Rollout) judgingPart() float64 {
	return min(judgingPart, (judgingMost+float64(r.taken.Reserved))/max(r.bound(), 1))
}

// allowance returns how many requests may be granted to the version now, within the reservation
// that the store has acknowledged and the slots of the upstreams in use.
func (r *Rollout) allowance() int {
	if r.stored.Order != r.order.ID || r.stored.Reserved <= r.spent || r.up.Target == 0 {
		return 0
	}
	left := int(min(r.stored.Reserved-r.spent, math.MaxInt32))
	used := r.judgingUpstreams()
	if used < 0 {
		used = r.up.Target
	}
	slots := max(1, r.up.TargetSlots*used/r.up.Target)
	if used == 1 && r.granted > 0 && r.targetInFlight == 0 && left < min(slots, r.expectedLoad()) && r.now-r.lastGrant < groupWait {
		return 0
	}
	return max(0, min(left, slots-r.targetInFlight))
}

// expectedLoad returns how many requests each upstream of the version will have after the shift.
func (r *Rollout) expectedLoad() int {
	return int(math.Ceil(busier * float64(r.currentInFlight) / float64(r.up.Target)))
}

// crossesBound reports, once, that the requests of the version have reached the bound.
func (r *Rollout) crossesBound() bool {
	if r.crossed || float64(r.spent) < r.bound() {
		return false
	}
	r.crossed = true
	return true
}
