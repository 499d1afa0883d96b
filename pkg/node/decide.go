package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/scheduler"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// stepPools runs the scheduler of every pool whose input changed or whose wake
// time has come, and reports whether any decided. The effects of a decision
// follow later, so the set of pools does not change here.
func (n *Node) stepPools() (decided bool) {
	for _, h := range n.pools.list {
		if !h.dirty && n.now < h.sched.NextWake(n.now) {
			continue
		}
		if n.decisionsBlocked(h) {
			continue
		}
		h.dirty = false
		n.decisions = h.sched.Step(n.now, n.decisions[:0])
		n.countRetries(h.sched.TakeRetryCounts())
		for _, d := range n.decisions {
			n.applyDecision(h, d)
			decided = true
		}
	}
	return decided
}

// countRetries counts the returns of refused callers that were booked and that came.
func (n *Node) countRetries(counts scheduler.RetryCounts) {
	for range counts.Booked {
		n.count("retry_schedule", "booked")
	}
	for range counts.Claimed {
		n.count("retry_schedule", "claimed")
	}
}

// decisionsBlocked reports whether a pool must decide nothing now. After a pause
// nothing is granted until a member has answered. During a synchronisation,
// until blockedUntil or while a shed is postponed, a grant could serve a lower tier
// than that of requests that entries have not reported yet.
func (n *Node) decisionsBlocked(h *hostedPool) bool {
	if h.local {
		return false
	}
	return !n.view.Trusted() || h.syncing && (n.now < h.blockedUntil || len(h.postponed) > 0)
}

// applyDecision passes a pool's decision on to the entry.
func (n *Node) applyDecision(h *hostedPool, d scheduler.Decision) {
	it := h.ledger.get(d.ID)
	// A shed that the scheduler had already decided when a later attempt
	// arrived must not remove that attempt: its entry would ignore the shed, and
	// the request would wait unknown to the owner.
	if it == nil || it.granted || it.descriptor.Attempt != d.Attempt {
		if d.Reason == 0 {
			h.sched.Release(n.now, scheduler.Completion{ID: d.ID, Outcome: scheduler.Unused})
		}
		return
	}
	if d.Reason == 0 {
		h.ledger.grant(n.now, it, d.Upstream)
		n.noteRolloutGrant(h, it)
		n.grant(h, d.ID, it)
		return
	}
	if h.postpone(d, it) {
		return
	}
	h.ledger.remove(d.ID)
	if it.postponed != 0 && d.Reason == scheduler.Infeasible {
		// It became infeasible only because the decision was postponed.
		d.Reason = it.postponed
	}
	n.shed(h, d)
}

// postpone withholds a shed during synchronisation: until all entries have
// reported, there may be unknown lower-tier requests, which must be shed first.
func (h *hostedPool) postpone(d scheduler.Decision, it *item) bool {
	if !h.syncing || d.Reason != scheduler.Overload && d.Reason != scheduler.Expired {
		return false
	}
	if it.postponed == 0 {
		it.postponed = d.Reason
	}
	h.postponed = append(h.postponed, d.ID)
	return true
}

// endSync submits postponed requests again, now that all requests of the pool
// are known.
func (n *Node) endSync(h *hostedPool) {
	if !h.syncing {
		return
	}
	h.syncing, h.awaited = false, nil
	h.sched.HalveLimitsUntil(n.now, n.now)
	n.inheritLimits(h)
	h.dirty = true
	postponed := h.postponed
	h.postponed = nil
	for _, id := range postponed {
		if it := h.ledger.get(id); it != nil && !it.granted {
			h.sched.Submit(n.now, it.descriptor)
		}
	}
	n.applyOutdatedTopology(h)
}

// applyOutdatedTopology applies a definition that changed while the decisions of
// the pool were blocked.
func (n *Node) applyOutdatedTopology(h *hostedPool) {
	if def := n.routes.Pool(h.id); h.topologyOutdated && def != nil {
		h.topologyOutdated = false
		n.setTopology(h, def)
	}
}

// inheritLimits starts from the limits that the former owner had learned, as
// far as the work in flight shows them.
func (n *Node) inheritLimits(h *hostedPool) {
	inFlight := make([]uint32, len(h.def.Upstreams))
	for _, it := range h.ledger.items {
		if it.granted && it.upstream != noUpstream {
			inFlight[it.upstream]++
		}
	}
	for upstream, count := range inFlight {
		h.sched.RaiseLimit(n.now, uint32(upstream), count)
	}
}

// grant passes a grant to the entry. The permit is released if its upstream
// left the pool or the entry is not known.
func (n *Node) grant(h *hostedPool, id scheduler.GlobalID, it *item) {
	if it.upstream == noUpstream {
		h.drop(n.now, id, scheduler.Unused)
		return
	}
	name := h.def.Upstreams[it.upstream].Name
	if id.Entry == n.self {
		n.table.Grant(n.now, n.decisionAt(h, id, it.descriptor.Attempt), n.permitFor(name))
		return
	}
	sent := n.send(id.Entry, &pb.PeerMessage{Body: &pb.PeerMessage_Grant{Grant: &pb.Grant{
		Sequence: id.Sequence, Pool: uint64(h.id), Upstream: name, Attempt: it.descriptor.Attempt, Address: n.addressOf(name)}}})
	if !sent {
		h.drop(n.now, id, scheduler.Unused)
	}
}

// decisionAt identifies a decision of a pool hosted here on one of this instance's
// own requests.
func (n *Node) decisionAt(h *hostedPool, id scheduler.GlobalID, attempt uint32) dispatch.Decision {
	return dispatch.Decision{ID: dispatch.ID(id.Sequence), Pool: uint64(h.id), Attempt: attempt,
		From: dispatch.Holder{Owner: n.self, Local: h.local}}
}

// permitFor describes a permit for an upstream and says whether it may be used now.
func (n *Node) permitFor(upstream string) dispatch.Permit {
	permit := dispatch.Permit{Upstream: upstream, HoldOff: n.holdOffs.left(n.now, upstream)}
	switch {
	case !n.view.Trusted():
		permit.Use = dispatch.PermitUntrusted
	case n.view.UpstreamLeaving(upstream), n.addressOf(upstream) == "", n.rolloutForbids(upstream):
		permit.Use = dispatch.UpstreamUnavailable
	case permit.HoldOff > 0:
		permit.Use = dispatch.UpstreamHoldsOff
	}
	return permit
}

// shed passes a shed to the entry.
func (n *Node) shed(h *hostedPool, d scheduler.Decision) {
	if d.ID.Entry == n.self {
		n.table.Shed(n.now, n.decisionAt(h, d.ID, d.Attempt), shedRefusal(d.Reason, d.RetryAfter))
		return
	}
	n.send(d.ID.Entry, &pb.PeerMessage{Body: &pb.PeerMessage_Shed{Shed: &pb.Shed{
		Sequence: d.ID.Sequence, Pool: uint64(h.id), Attempt: d.Attempt,
		Reason: shedToProto[d.Reason], RetryAfterMs: milliseconds(d.RetryAfter)}}})
}

var shedToProto = map[scheduler.ShedReason]pb.ShedReason{
	scheduler.Overload:      pb.ShedReason_SHED_REASON_OVERLOAD,
	scheduler.Expired:       pb.ShedReason_SHED_REASON_EXPIRED,
	scheduler.Infeasible:    pb.ShedReason_SHED_REASON_INFEASIBLE,
	scheduler.LimitInFlight: pb.ShedReason_SHED_REASON_LIMIT_IN_FLIGHT,
	scheduler.LimitQueue:    pb.ShedReason_SHED_REASON_LIMIT_QUEUE,
	scheduler.NoUpstream:    pb.ShedReason_SHED_REASON_NO_UPSTREAM,
	scheduler.PartBlocked:   pb.ShedReason_SHED_REASON_PART_BLOCKED,
	scheduler.HeldOff:       pb.ShedReason_SHED_REASON_HELD_OFF,
}

func shedFromProto(reason pb.ShedReason) scheduler.ShedReason {
	for own, other := range shedToProto {
		if other == reason {
			return own
		}
	}
	return scheduler.Overload
}

// shedRefusal explains a shed to the caller.
func shedRefusal(reason scheduler.ShedReason, retryAfter time.Duration) dispatch.Refusal {
	r := dispatch.Refusal{Ran: dispatch.RanNo, RetryAfter: retryAfter}
	switch reason {
	case scheduler.Expired:
		r.Code, r.Reason = "expired_waiting", "the latest start time passed while the request waited"
		r.Remedy = "retry later or send a later deadline"
	case scheduler.Infeasible:
		r.Code, r.Reason = "infeasible_deadline", "the request cannot finish within its deadline even on an idle upstream"
		r.Remedy = "send a later deadline or fewer tokens"
	case scheduler.LimitInFlight:
		r.Code, r.Reason = "limit_in_flight", "the limit of requests in flight is reached"
		r.Remedy = "send fewer requests or ask an operator to raise the limit"
	case scheduler.LimitQueue:
		r.Code, r.Reason = "limit_queue", "the limit of waiting requests is reached"
		r.Remedy = "send fewer requests or ask an operator to raise the limit"
	case scheduler.NoUpstream:
		r.Code, r.Reason = "no_route", "every eligible upstream is leaving or was removed"
		r.Remedy = "run citrongate explain with this kind, organisation and labels"
	case scheduler.HeldOff:
		r.Code, r.Reason = "shed_overload", "every upstream has turned requests of this instance away for longer than the request can wait"
		r.Remedy = "retry after the time given"
	case scheduler.PartBlocked:
		r.Code, r.Reason, r.Remedy = partBlockedCode, "a part of the prompt is blocked, since upstreams ended under it", partBlockedRemedy
	default:
		r.Code, r.Reason = "shed_overload", "there is more work than the upstreams can serve in time"
		r.Remedy = "retry after the time given, or use a more urgent tier"
	}
	return r
}

func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0) / time.Millisecond) }
