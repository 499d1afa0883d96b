package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// Silent instances.
//
// Requests that are in progress for long are evidence against a version, except at an
// instance that cannot be heard: its reports are missing. Otherwise, an owner that is cut off
// from the other instances would revert good versions.

const (
	// pingAfter is the silence of an instance with requests at a version after which it is
	// pinged, and nothing is decided until it answers. An answer needs a few milliseconds.
	pingAfter = 60 * time.Millisecond
	// silentAfter is the silence after which its requests in progress are no evidence any more.
	silentAfter = 300 * time.Millisecond
	// silentPingInterval is the time between two pings of a silent instance. They cost at most
	// ten small messages a second for each instance with requests at the version.
	silentPingInterval = 100 * time.Millisecond
)

// heldRequests counts the requests at a version that an instance holds, as its owner knows.
type heldRequests struct {
	requests map[scheduler.GlobalID]*item
	pingedAt time.Duration
}

// hold records that an instance has a request at the version.
func (s *serviceRollout) hold(it *item) {
	id := it.descriptor.ID
	held := s.held[id.Entry]
	if held == nil {
		held = &heldRequests{requests: map[scheduler.GlobalID]*item{}}
		if s.held == nil {
			s.held = map[uint64]*heldRequests{}
		}
		s.held[id.Entry] = held
	}
	held.requests[id] = it
}

// release records that a request at the version has ended, and reports whether it still counted.
func (s *serviceRollout) release(it *item) bool {
	held := s.held[it.descriptor.ID.Entry]
	if held == nil || held.requests[it.descriptor.ID] != it {
		return false
	}
	delete(held.requests, it.descriptor.ID)
	if len(held.requests) == 0 {
		delete(s.held, it.descriptor.ID.Entry)
	}
	return true
}

// awaitsReports reports whether an instance with requests at the version has just become silent,
// so that nothing can be concluded from them yet. Those of instances that stay silent are taken
// for ended in an unknown way.
func (n *Node) awaitsReports(s *serviceRollout, h *hostedPool) (awaits bool) {
	for _, entry := range slices.Sorted(maps.Keys(s.held)) {
		if entry == n.self {
			continue
		}
		held := s.held[entry]
		heard, _ := n.view.LastHeard(entry)
		switch silence := n.now - heard; {
		case silence < pingAfter:
			continue
		case silence >= silentAfter:
			n.discount(s, h, held)
			continue
		}
		awaits = true
		if n.now-held.pingedAt >= silentPingInterval {
			held.pingedAt = n.now
			n.view.Ping(entry)
		}
	}
	return awaits
}

// discount ends the requests of a silent instance for the evidence. Failures that it reports later
// still count.
func (n *Node) discount(s *serviceRollout, h *hostedPool, held *heldRequests) {
	for _, id := range slices.SortedFunc(maps.Keys(held.requests), bySequence) {
		it := held.requests[id]
		s.release(it)
		s.decider.Ended(n.now, h.rolloutAnswer(it, rolloutMember{s, true}))
	}
}

func bySequence(a, b scheduler.GlobalID) int { return cmp.Compare(a.Sequence, b.Sequence) }
