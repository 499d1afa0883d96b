package account

import (
	"cmp"
	"slices"
	"time"
)

// grantRoundTrip is the part of each wait that a free slot cannot shorten: the
// round trip to the instance that grants the slot. It does not count as waiting.
const grantRoundTrip = 20 * time.Millisecond

// Engines describes the size of a group of identical model engines.
type Engines struct {
	Count int
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
}

// SlotTime is the use of the engines' slots over a period, in seconds of one slot.
type SlotTime struct {
	// Available is the time available: the number of slots times the length of the
	// period.
	Available float64
	// ByOutcome is the time of the last send of each attempt, by the outcome of the
	// attempt. Repeated is the time of all earlier sends of attempts that were sent
	// more than once.
	ByOutcome map[Outcome]float64
	Repeated  float64
	// IdleWhileWaiting is the time of free slots while attempts waited, counting at
	// most one slot per waiting attempt.
	IdleWhileWaiting float64
	// PeakPrompt is the largest sum of prompt tokens of the requests that ran
	// concurrently on one engine.
	PeakPrompt uint64
}

// Slots computes the use of the engines' slots from the attempts. Upstreams that
// answered with events count as engines; attempts of other kinds than those that
// they answered are left out.
func Slots(attempts []*Attempt, engines Engines) SlotTime {
	t := SlotTime{ByOutcome: map[Outcome]float64{}}
	engineIDs, kinds := engineUpstreams(attempts)
	var busy, waiting []countChange
	prompts := map[string][]countChange{}
	var start, end time.Time
	for _, a := range attempts {
		if !kinds[a.RouteClass] {
			continue
		}
		if start.IsZero() {
			start = a.Arrived
		}
		waiting = appendWait(waiting, a)
		for i, s := range a.Sends {
			if !engineIDs[s.Upstream] {
				continue
			}
			if s.End.After(end) {
				end = s.End
			}
			occupied := s.End.Sub(s.At).Seconds()
			if i == len(a.Sends)-1 {
				t.ByOutcome[a.Outcome] += occupied
			} else {
				t.Repeated += occupied
			}
			busy = appendSpan(busy, s.At, s.End, 1)
			prompts[s.Upstream] = appendSpan(prompts[s.Upstream], s.At, s.End, int64(a.Prompt))
		}
	}
	if end.After(start) {
		t.Available = float64(engines.Count*engines.Slots) * end.Sub(start).Seconds()
	}
	t.IdleWhileWaiting = idleWhileWaiting(busy, waiting, int64(engines.Count*engines.Slots))
	for _, changes := range prompts {
		t.PeakPrompt = max(t.PeakPrompt, uint64(peak(changes)))
	}
	return t
}

// engineUpstreams returns the upstreams that answered with events, and the kinds of
// the attempts that they answered.
func engineUpstreams(attempts []*Attempt) (upstreams map[string]bool, kinds map[RouteClass]bool) {
	upstreams, kinds = map[string]bool{}, map[RouteClass]bool{}
	for _, a := range attempts {
		if n := len(a.Sends); a.Events > 0 && n > 0 {
			upstreams[a.Sends[n-1].Upstream] = true
			kinds[a.RouteClass] = true
		}
	}
	return upstreams, kinds
}

// countChange is a change of a count or sum at a point in time.
type countChange struct {
	at    time.Time
	delta int64
}

// appendSpan adds n for the time between from and to.
func appendSpan(changes []countChange, from, to time.Time, n int64) []countChange {
	return append(changes, countChange{from, n}, countChange{to, -n})
}

// appendWait adds the time that an attempt waited: until its first send, or until
// its end if it was never sent.
func appendWait(changes []countChange, a *Attempt) []countChange {
	from, to := a.Arrived.Add(grantRoundTrip), a.Ended
	if len(a.Sends) > 0 {
		to = a.Sends[0].At
	}
	if to.After(from) {
		return appendSpan(changes, from, to, 1)
	}
	return changes
}

func sortByTime(changes []countChange) []countChange {
	slices.SortFunc(changes, func(a, b countChange) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return changes
}

// peak returns the largest value that the sum of the changes reaches.
func peak(changes []countChange) (largest int64) {
	sum := int64(0)
	for _, s := range sortByTime(changes) {
		sum += s.delta
		largest = max(largest, sum)
	}
	return largest
}

// idleWhileWaiting integrates the smaller of the numbers of free slots and waiting
// attempts over time, in seconds.
func idleWhileWaiting(busy, waiting []countChange, slots int64) (seconds float64) {
	var running, queued int64
	var last time.Time
	busy, waiting = sortByTime(busy), sortByTime(waiting)
	for len(busy) > 0 || len(waiting) > 0 {
		var s countChange
		fromBusy := len(waiting) == 0 || len(busy) > 0 && busy[0].at.Before(waiting[0].at)
		if fromBusy {
			s, busy = busy[0], busy[1:]
		} else {
			s, waiting = waiting[0], waiting[1:]
		}
		if n := min(slots-running, queued); n > 0 && !last.IsZero() {
			seconds += float64(n) * s.at.Sub(last).Seconds()
		}
		last = s.at
		if fromBusy {
			running += s.delta
		} else {
			queued += s.delta
		}
	}
	return seconds
}
