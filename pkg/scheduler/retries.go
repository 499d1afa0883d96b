package scheduler

import (
	"slices"
	"time"
)

const (
	// retrySlotWidth is the width of a slot of the retry schedule.
	retrySlotWidth = 50 * time.Millisecond
	// retryHorizonSlots bounds how far ahead retries are booked. 4 s is a third of
	// a deadline of 12 s, the time for which a caller honours Retry-After.
	retryHorizonSlots = 80
	retryHorizon      = retryHorizonSlots * retrySlotWidth
	// A request claims a booking from earlySlots before its slot until lateSlots after it.
	earlySlots = 1
	lateSlots  = 3
	// retryRingSlots is the number of slots that can hold bookings at one time.
	retryRingSlots = retryHorizonSlots + lateSlots + 1
	// maxBookings, maxOrgBookings and maxSlotBookings bound the bookings of the
	// pool, of one organisation and of one slot.
	maxBookings     = 2048
	maxOrgBookings  = 256
	maxSlotBookings = 128
	// retryShare is the fraction of the capacity left by higher tiers that bookings
	// may take. The rest is for newcomers, which can still meet their latency goals
	// where a retry has usually missed its own.
	retryShare = 0.05
	// cautiousRetryFraction is applied to retryShare for one horizon after a takeover.
	cautiousRetryFraction = 0.5
	// honouredFraction is the fraction of the time to its deadline up to which a
	// caller honours Retry-After.
	honouredFraction = 1.0 / 3
	// retryDeadlineTolerance is the difference up to which two deadlines are taken
	// for that of the same caller. Messages vary by some milliseconds; a newcomer's
	// deadline is later than that of a retry by at least minRetryAfter.
	retryDeadlineTolerance = 20 * time.Millisecond
)

// booking is the expected return of a request that was shed.
type booking struct {
	tier             uint8
	kind, org, class uint32
	cost             int64
	// due is when the caller was told to return, at madeAt.
	due, madeAt, deadline time.Duration
}

// sameFlow reports whether a request is of the tier, kind and organisation of the booking.
func (b *booking) sameFlow(d *Descriptor) bool {
	return b.tier == d.Tier && b.kind == d.Kind && b.org == d.Org
}

// retrySlot holds the bookings of one slot.
type retrySlot struct {
	bookings []booking
	// costs holds the sum of the costs of the bookings by tier and class.
	costs []slotCost
}

// slotCost is the sum of the costs of the bookings of one tier and class.
type slotCost struct {
	tier  uint8
	class uint32
	cost  int64
}

// addCost changes the sum of costs of a tier and class.
func (s *retrySlot) addCost(tier uint8, class uint32, cost int64) {
	for i := range s.costs {
		if sum := &s.costs[i]; sum.tier == tier && sum.class == class {
			sum.cost += cost
			return
		}
	}
	s.costs = append(s.costs, slotCost{tier, class, cost})
}

// retrySchedule holds the bookings of a pool by the slot in which they are due.
// Bookings hold no capacity: an unclaimed one lapses after lateSlots and
// delays nobody.
//
// The schedule is not handed over. A new owner starts with an empty one: callers
// that the former owner told to return are newcomers to it. During the
// synchronisation that follows a takeover it books nothing, and for one horizon
// after it began only cautiousRetryFraction of the usual, since callers still
// return that it does not know.
type retrySchedule struct {
	// slots is a ring, allocated by the first booking. Slot n is at n modulo its length.
	slots  []retrySlot
	count  int
	perOrg map[uint32]int
	// oldest is the first slot that may hold bookings.
	oldest int64
	// limit bounds count; 0 turns the schedule off.
	limit int
	// share is the fraction of the capacity that bookings may take.
	share         float64
	cautiousUntil time.Duration
	counts        RetryCounts
}

// RetryCounts counts the returns of refused callers.
type RetryCounts struct {
	// Booked returns were given a time at which there is room, Claimed ones came then.
	Booked, Claimed int
}

// TakeRetryCounts returns the counts since the last call.
func (p *Pool) TakeRetryCounts() RetryCounts {
	counts := p.retries.counts
	p.retries.counts = RetryCounts{}
	return counts
}

func newRetrySchedule() retrySchedule {
	return retrySchedule{limit: maxBookings, share: retryShare}
}

func retrySlotOf(t time.Duration) int64 { return int64(t / retrySlotWidth) }

func (s *retrySchedule) slot(n int64) *retrySlot { return &s.slots[n%retryRingSlots] }

// lapse removes the bookings whose slot is too long ago to be claimed.
func (s *retrySchedule) lapse(now time.Duration) {
	first := retrySlotOf(now) - lateSlots
	for ; s.count > 0 && s.oldest < first; s.oldest++ {
		slot := s.slot(s.oldest)
		for i := range slot.bookings {
			s.forget(&slot.bookings[i])
		}
		slot.bookings, slot.costs = slot.bookings[:0], slot.costs[:0]
	}
	s.oldest = max(s.oldest, first)
}

// forget removes a booking from the counts.
func (s *retrySchedule) forget(b *booking) {
	s.count--
	s.perOrg[b.org]--
	if s.perOrg[b.org] == 0 {
		delete(s.perOrg, b.org)
	}
}

func (s *retrySchedule) add(n int64, b booking) {
	if s.slots == nil {
		s.slots = make([]retrySlot, retryRingSlots)
		s.perOrg = map[uint32]int{}
	}
	slot := s.slot(n)
	slot.bookings = append(slot.bookings, b)
	slot.addCost(b.tier, b.class, b.cost)
	s.count++
	s.counts.Booked++
	s.perOrg[b.org]++
}

// find returns the place of the booking for a request in the slots from first to last,
// both included: the one whose deadline is closest, so that callers of one
// organisation rarely take each other's booking.
func (s *retrySchedule) find(d *Descriptor, first, last int64) (n int64, i int, found bool) {
	if s.count == 0 || s.perOrg[d.Org] == 0 {
		return 0, 0, false
	}
	closest := retryDeadlineTolerance + 1
	for slotNumber := max(first, s.oldest); slotNumber <= last; slotNumber++ {
		bookings := s.slot(slotNumber).bookings
		for j := range bookings {
			if distance := (bookings[j].deadline - d.Deadline).Abs(); distance < closest && bookings[j].sameFlow(d) {
				n, i, closest, found = slotNumber, j, distance, true
			}
		}
	}
	return n, i, found
}

// claim reports whether a request is the retry of a booked one that returns when it
// was told to, and removes the booking. A booking for later is not claimed, so
// that a caller that returns early is a newcomer.
func (s *retrySchedule) claim(now time.Duration, d *Descriptor) bool {
	if s.count == 0 {
		return false
	}
	s.lapse(now)
	current := retrySlotOf(now)
	n, i, found := s.find(d, current-lateSlots, current+earlySlots)
	if !found {
		return false
	}
	slot := s.slot(n)
	b := &slot.bookings[i]
	slot.addCost(b.tier, b.class, -b.cost)
	s.forget(b)
	slot.bookings = slices.Delete(slot.bookings, i, i+1)
	s.counts.Claimed++
	return true
}

// remap follows a change of the topology. Bookings of removed classes end.
func (s *retrySchedule) remap(remap []int32, classes int) {
	if s.count == 0 {
		return
	}
	for i := range s.slots {
		slot := &s.slots[i]
		kept := slot.bookings[:0]
		slot.costs = slot.costs[:0]
		for _, b := range slot.bookings {
			class, known := remapClass(b.class, remap, classes)
			if !known {
				s.forget(&b)
				continue
			}
			b.class = class
			kept = append(kept, b)
			slot.addCost(b.tier, b.class, b.cost)
		}
		slot.bookings = kept
	}
}

// bookRetry returns the retry delay of a request that is shed for lack of capacity,
// and books its return in the first slot that is after both wait, the expected wait,
// and least, and has room: capacity left by more urgent work and earlier bookings.
// least is 0 for a request that is refused on arrival. The delay is cut to what the
// caller can use, unless wait alone exceeds that. Callers for which no slot has room
// return as newcomers, spread over the time that they can use, in which a burst may end.
func (p *Pool) bookRetry(now time.Duration, d *Descriptor, wait, least time.Duration) time.Duration {
	s := &p.retries
	delay := max(wait, least)
	// Decisions during synchronisation are postponed and made again. The local
	// pool of an entry does not see the retries that go to other entries.
	if s.limit == 0 || p.cautiousUntil != 0 || p.config.LimitDivisor > 1 {
		return delay
	}
	latest := p.latestUsefulRetry(now, d)
	if max(wait, minRetryAfter) > latest {
		return delay
	}
	s.lapse(now)
	current := retrySlotOf(now)
	if n, i, found := s.find(d, current, current+retryHorizonSlots); found && least == 0 {
		// A caller that returned early and was refused on arrival keeps its booking and
		// gets no second one. Newcomers with that deadline arrived when it was made.
		b := &s.slot(n).bookings[i]
		if now-b.madeAt > 2*retryDeadlineTolerance && b.due-now >= minRetryAfter {
			return b.due - now
		}
	}
	earliest := now + min(max(delay, minRetryAfter), latest)
	n, found := p.freeRetrySlot(now, d, retrySlotOf(earliest), retrySlotOf(now+latest))
	if !found {
		return p.spreadRetry(d.ID, earliest, now+latest) - now
	}
	due := p.spreadRetry(d.ID, max(earliest, time.Duration(n)*retrySlotWidth),
		min(now+latest, time.Duration(n+1)*retrySlotWidth-1))
	s.add(n, booking{
		tier: d.Tier, kind: d.Kind, org: d.Org, class: d.Class, cost: costOf(d.PromptLength, d.MeanOutput),
		due: due, madeAt: now, deadline: d.Deadline,
	})
	return due - now
}

// spreadRetry returns a time between from and to that depends on the request.
func (p *Pool) spreadRetry(id GlobalID, from, to time.Duration) time.Duration {
	return from + time.Duration(mix(hashID(id)^p.config.Seed)%uint64(to-from+1))
}

// latestUsefulRetry returns the longest delay that the caller honours and after which
// its request can still be answered, within the horizon. StartBy does not bound it, since each
// attempt gets a new one.
func (p *Pool) latestUsefulRetry(now time.Duration, d *Descriptor) time.Duration {
	left := d.Deadline - now
	idle := p.classes[d.Class].idle.serviceTime(d.PromptLength, d.MeanOutput)
	return min(time.Duration(honouredFraction*float64(left)), left-idle, retryHorizon)
}

// freeRetrySlot returns the first slot from first to last with room for a request.
// What exceeds the room of a slot is carried into the next one.
func (p *Pool) freeRetrySlot(now time.Duration, d *Descriptor, first, last int64) (int64, bool) {
	s := &p.retries
	current := retrySlotOf(now)
	if s.count >= s.limit || s.perOrg[d.Org] >= maxOrgBookings {
		return 0, false
	}
	if s.count == 0 {
		return first, true
	}
	c := &p.classes[d.Class]
	room := s.share * p.remainingCapacity(now, d.Tier, c) * retrySlotWidth.Seconds()
	if now < s.cautiousUntil {
		room *= cautiousRetryFraction
	}
	cost := float64(costOf(d.PromptLength, d.MeanOutput))
	carried := 0.0
	for n := current; n <= last; n++ {
		booked := carried + s.bookedCost(n, d.Tier, c)
		// A request larger than the room of a slot fits in an empty one.
		if n >= first && (booked == 0 || booked+cost <= room) && len(s.slot(n).bookings) < maxSlotBookings {
			return n, true
		}
		carried = max(0, booked-room)
	}
	return 0, false
}

// bookedCost returns the cost of the bookings of a slot that take capacity of a
// class from a request of a tier.
func (s *retrySchedule) bookedCost(n int64, tier uint8, c *class) float64 {
	sum := 0.0
	for _, booked := range s.slot(n).costs {
		if booked.tier > tier {
			continue
		}
		for _, o := range c.overlaps {
			if o.class == booked.class {
				sum += o.fraction * float64(booked.cost)
				break
			}
		}
	}
	return sum
}
