// Package simtest simulates a deployment in virtual time. It provides an event
// loop, a fake model engine, a fake plain service, a fake platform (object store
// and instance list), and World, which runs node state machines against them over
// a network with delay, loss and broken paths. No real sockets or processes are
// involved, and a run is determined by its seed.
package simtest

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Loop runs functions in the order of their virtual time. Functions due at the
// same time run in the order in which they were added, so a run is determined by
// its seed. A Loop must be used by one goroutine only.
type Loop struct {
	// Rand is the loop's random source.
	Rand *rand.Rand

	now      time.Duration
	sequence uint64
	events   eventHeap
}

// NewLoop returns a loop at virtual time 0.
func NewLoop(seed uint64) *Loop {
	return &Loop{Rand: NewRand(seed, 0)}
}

// NewRand returns a random source that is determined by seed and stream; equal
// seeds with different streams give different sequences.
func NewRand(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// Now returns the virtual time.
func (l *Loop) Now() time.Duration { return l.now }

// At schedules fn for time t, or for the current time if t has passed.
func (l *Loop) At(t time.Duration, fn func()) {
	l.sequence++
	heap.Push(&l.events, loopEvent{at: max(t, l.now), sequence: l.sequence, fn: fn})
}

// After schedules fn to run once d has passed.
func (l *Loop) After(d time.Duration, fn func()) { l.At(l.now+d, fn) }

// Every runs fn once per interval, first after one interval, until fn returns false.
func (l *Loop) Every(interval time.Duration, fn func() bool) {
	l.After(interval, func() {
		if fn() {
			l.Every(interval, fn)
		}
	})
}

// RunUntil runs all functions due up to and including t and advances the time to t.
func (l *Loop) RunUntil(t time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= t {
		event := heap.Pop(&l.events).(loopEvent)
		l.now = event.at
		event.fn()
	}
	l.now = max(l.now, t)
}

// Pending returns the number of functions that have not run yet.
func (l *Loop) Pending() int { return len(l.events) }

type loopEvent struct {
	at       time.Duration
	sequence uint64
	fn       func()
}

type eventHeap []loopEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(loopEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = loopEvent{}
	*h = old[:len(old)-1]
	return last
}
