package node

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/rollout"
	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// bindRollouts finds the orders that name upstreams of a pool.
func (n *Node) bindRollouts(h *hostedPool, def *routing.Pool) {
	h.members, h.rollouts = nil, nil
	if len(n.rollouts.members) == 0 {
		return
	}
	for i, u := range def.Upstreams {
		m := n.rollouts.members[u.Name]
		if m.rollout == nil {
			continue
		}
		if h.members == nil {
			h.members = make([]rolloutMember, len(def.Upstreams))
		}
		h.members[i] = m
		if !slices.Contains(h.rollouts, m.rollout) {
			h.rollouts = append(h.rollouts, m.rollout)
		}
	}
}

func (h *hostedPool) hasRollout(s *serviceRollout) bool { return slices.Contains(h.rollouts, s) }

// memberOf returns the part that the upstream of a permit has in an order; the zero value if it
// has none. The upstream may have left the pool since.
func (h *hostedPool) memberOf(it *item) rolloutMember {
	if it.upstream == noUpstream {
		return it.member
	}
	if h.members == nil {
		return rolloutMember{}
	}
	return h.members[it.upstream]
}

// decidedMember is memberOf for a pool that this instance decides for.
func (h *hostedPool) decidedMember(it *item) (m rolloutMember, decided bool) {
	if h.local || !it.granted {
		return rolloutMember{}, false
	}
	m = h.memberOf(it)
	return m, m.rollout != nil && m.rollout.decider != nil
}

// noteRolloutGrant counts a grant. A request counts as one of the service when it is granted for
// the first time: one that is shed reaches none of its upstreams.
func (n *Node) noteRolloutGrant(h *hostedPool, it *item) {
	m, decided := h.decidedMember(it)
	if !decided {
		return
	}
	s := m.rollout
	if it.descriptor.Attempt <= 1 {
		s.decider.Arrived(n.now)
	}
	s.decider.Granted(n.now, m.target)
	if m.target {
		s.hold(it)
	}
	s.dirty = true
}

// noteRolloutToken reports the first token of a stream.
func (n *Node) noteRolloutToken(h *hostedPool, id scheduler.GlobalID, ttft time.Duration) {
	it := h.ledger.get(id)
	if it == nil || it.tokenReported || !it.streams() {
		return
	}
	if m, decided := h.decidedMember(it); decided {
		it.tokenReported = true
		a := h.rolloutAnswer(it, m)
		a.Latency = ttft
		m.rollout.decider.FirstToken(n.now, a)
		m.rollout.dirty = true
	}
}

// streams reports whether the answer to a request is a stream.
func (it *item) streams() bool { return it.descriptor.HighOutput > 0 }

func (h *hostedPool) rolloutAnswer(it *item, m rolloutMember) rollout.Answer {
	a := rollout.Answer{Target: m.target, Route: it.descriptor.Kind, Size: it.descriptor.PromptLength}
	if it.upstream != noUpstream {
		a.Upstream = h.upstreamDigest(it)
	}
	return a
}

// noteRolloutEnd reports how a permit ended. returned is true if its entry returned it without
// a dispatch.
func (n *Node) noteRolloutEnd(h *hostedPool, it *item, c scheduler.Completion, returned bool) {
	m, decided := h.decidedMember(it)
	if !decided {
		return
	}
	s := m.rollout
	s.dirty = true
	discounted := m.target && !s.release(it) && it.grantedHere
	if discounted && !it.failed(c) {
		return
	}
	if returned || c.Outcome == scheduler.Unused && !it.endUnknown {
		s.decider.Unused(n.now, m.target)
		return
	}
	a := h.rolloutAnswer(it, m)
	a.Failed = it.failed(c)
	if it.sentAt > 0 {
		a.Duration = n.now - it.sentAt
	}
	switch {
	case it.endUnknown, c.Outcome == scheduler.Refused, c.Outcome == scheduler.ConnectRefused, a.Failed && !it.streams():
	case !it.streams():
		a.Latency = a.Duration
	case !it.tokenReported && c.TTFT > 0:
		a.Latency = c.TTFT
	case !it.tokenReported && c.Outcome == scheduler.Canceled:
		a.Latency = a.Duration // it would have taken at least as long
	}
	s.decider.Ended(n.now, a)
}

// failed reports whether the end of a permit is a failure of the upstream. An upstream that
// states that it did not run a request, or whose caller disconnected, has not failed; neither
// has a stream whose deadline passed after it had begun.
func (it *item) failed(c scheduler.Completion) bool {
	switch c.Outcome {
	case scheduler.Broken, scheduler.Failed, scheduler.ConnectRefused:
		return true
	case scheduler.Late:
		return !it.streams() || c.TTFT == 0
	}
	return false
}
