package account

import (
	"cmp"
	"slices"
	"time"
)

// waitGrace is the part of a wait that a free place does not shorten: the way
// to the instance that grants it and back.
const waitGrace = 20 * time.Millisecond

// Engines is the size of a group of model engines.
type Engines struct {
	Count int
	// Slots is the number of requests that one runs at once.
	Slots int
}

// SlotTime is what became of the time of the engines' places, in seconds.
type SlotTime struct {
	// Had is the number of places times the length of the day.
	Had float64
	// By holds the time of sends by the outcome of their attempts. The time of
	// sends before the last one of an attempt is Again.
	By    map[Outcome]float64
	Again float64
	// IdleWhileWaiting is the time of free places while attempts waited.
	IdleWhileWaiting float64
	// PeakPrompt is the largest sum of prompts, in tokens, that ran on one engine.
	PeakPrompt uint64
}

// Slots computes it. Upstreams that relayed an event count as engines, routes of
// the kinds that they answered as theirs.
func Slots(attempts []*Attempt, engines Engines) SlotTime {
	t := SlotTime{By: map[Outcome]float64{}}
	ours, kinds := engineSide(attempts)
	var busy, waiting []step
	prompts := map[string][]step{}
	var start, end time.Time
	for _, a := range attempts {
		if !kinds[a.Kind] {
			continue
		}
		if start.IsZero() {
			start = a.Arrived
		}
		waiting = appendWait(waiting, a)
		for i, s := range a.Sends {
			if !ours[s.Upstream] {
				continue
			}
			if s.End.After(end) {
				end = s.End
			}
			held := s.End.Sub(s.At).Seconds()
			if i == len(a.Sends)-1 {
				t.By[a.Outcome] += held
			} else {
				t.Again += held
			}
			busy = appendSpan(busy, s.At, s.End, 1)
			prompts[s.Upstream] = appendSpan(prompts[s.Upstream], s.At, s.End, int64(a.Prompt))
		}
	}
	if end.After(start) {
		t.Had = float64(engines.Count*engines.Slots) * end.Sub(start).Seconds()
	}
	t.IdleWhileWaiting = idle(busy, waiting, int64(engines.Count*engines.Slots))
	for _, steps := range prompts {
		t.PeakPrompt = max(t.PeakPrompt, uint64(peak(steps)))
	}
	return t
}

// engineSide returns the upstreams that stream events, and the kinds of
// attempts that they answered.
func engineSide(attempts []*Attempt) (upstreams map[string]bool, kinds map[Kind]bool) {
	upstreams, kinds = map[string]bool{}, map[Kind]bool{}
	for _, a := range attempts {
		if n := len(a.Sends); a.Events > 0 && n > 0 {
			upstreams[a.Sends[n-1].Upstream] = true
			kinds[a.Kind] = true
		}
	}
	return upstreams, kinds
}

// step is a change of a number at a time.
type step struct {
	at    time.Time
	delta int64
}

func appendSpan(steps []step, from, to time.Time, n int64) []step {
	return append(steps, step{from, n}, step{to, -n})
}

// appendWait adds the time until the first send or the refusal.
func appendWait(steps []step, a *Attempt) []step {
	from, to := a.Arrived.Add(waitGrace), a.Ended
	if len(a.Sends) > 0 {
		to = a.Sends[0].At
	}
	if to.After(from) {
		return appendSpan(steps, from, to, 1)
	}
	return steps
}

func inOrder(steps []step) []step {
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return steps
}

// peak returns the largest value of the sum.
func peak(steps []step) (most int64) {
	sum := int64(0)
	for _, s := range inOrder(steps) {
		sum += s.delta
		most = max(most, sum)
	}
	return most
}

// idle integrates the smaller of free places and waiting attempts, in seconds.
func idle(busy, waiting []step, places int64) (seconds float64) {
	var running, queued int64
	var last time.Time
	busy, waiting = inOrder(busy), inOrder(waiting)
	for len(busy) > 0 || len(waiting) > 0 {
		var s step
		fromBusy := len(waiting) == 0 || len(busy) > 0 && busy[0].at.Before(waiting[0].at)
		if fromBusy {
			s, busy = busy[0], busy[1:]
		} else {
			s, waiting = waiting[0], waiting[1:]
		}
		if n := min(places-running, queued); n > 0 && !last.IsZero() {
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
