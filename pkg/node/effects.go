package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/scheduler"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// applyEffect performs an effect of the dispatch table: in process if the holder
// is this instance, by a message otherwise.
func (n *Node) applyEffect(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.Offer:
		n.offer(e.Record)
	case dispatch.Withdraw:
		n.withdraw(e)
	case dispatch.Release:
		n.release(e)
	case dispatch.FirstToken:
		n.firstToken(e)
	case dispatch.Send:
		n.emit(Dispatch{ID: RequestID(e.ID), Upstream: e.Upstream, Address: n.addressOf(e.Upstream),
			Remaining: e.Deadline - n.now})
	case dispatch.Cancel:
		n.emit(CancelUpstream{ID: RequestID(e.ID)})
	case dispatch.Ended:
		n.endRequest(e.ID, e.Refusal, e.Silent)
	case dispatch.Count:
		n.count(e.Name, e.Reason)
	}
}

// hostedAt returns the hosted pool of a holder in this instance; here is false if
// the holder is another instance.
func (n *Node) hostedAt(pool uint64, holder dispatch.Holder) (h *hostedPool, here bool) {
	if holder.Owner != n.self {
		return nil, false
	}
	return n.pools.get(routing.PoolID(pool), holder.Local), true
}

func (n *Node) globalID(id dispatch.ID) scheduler.GlobalID {
	return scheduler.GlobalID{Entry: n.self, Sequence: uint64(id)}
}

// offer submits a waiting request to the holder that schedules its pool.
func (n *Node) offer(r *dispatch.Record) {
	if r.State != dispatch.Waiting {
		return
	}
	if part, left, blocked := n.poison.Find(n.now, r.Pool, r.Parts); blocked {
		n.table.Refuse(n.now, r.ID, partRefusal(part, left))
		return
	}
	h, here := n.hostedAt(r.Pool, r.Holder)
	if here {
		if h == nil || !n.submitOwn(h, r) {
			n.table.NotOwner(n.now, dispatch.Decision{ID: r.ID, Pool: r.Pool, Attempt: r.Attempt, From: r.Holder})
		}
		return
	}
	sent := n.send(r.Holder.Owner, &pb.PeerMessage{Body: &pb.PeerMessage_Submit{Submit: n.submitMessage(r)}})
	if !sent {
		n.table.NotOwner(n.now, dispatch.Decision{ID: r.ID, Pool: r.Pool, Attempt: r.Attempt, From: r.Holder})
	}
}

// submitOwn queues one of this instance's own requests in a pool hosted here.
func (n *Node) submitOwn(h *hostedPool, r *dispatch.Record) bool {
	d, ok := n.descriptorOf(h, r)
	if !ok {
		return false
	}
	if part, left, blocked := n.tryParts(h, d); blocked {
		n.table.Refuse(n.now, r.ID, partRefusal(part, left))
		return true
	}
	h.submit(n.now, d)
	return true
}

// descriptorOf returns the descriptor of one of this instance's requests. It fails
// if the pool lacks the class of the request.
func (n *Node) descriptorOf(h *hostedPool, r *dispatch.Record) (scheduler.Descriptor, bool) {
	class, ok := h.def.ClassIndex(routing.ClassID(r.Class))
	if !ok {
		return scheduler.Descriptor{}, false
	}
	return scheduler.Descriptor{
		ID: n.globalID(r.ID), Attempt: r.Attempt, Tier: n.effectiveTier(r.Tier),
		Kind: n.kinds.intern(r.Kind), Org: n.orgs.intern(r.Organisation), Class: class,
		PromptLength: r.PromptLength, MeanOutput: r.MeanOutput, HighOutput: r.HighOutput, Deadline: r.Deadline, Prefix: r.Prefix,
		Shared: r.Shared, Parts: r.Parts, StartBy: r.StartBy,
	}, true
}

// effectiveTier returns the tier under which a request is scheduled.
func (n *Node) effectiveTier(tier uint8) uint8 {
	if n.cfg.Mutations.IgnoreTiers {
		return 0
	}
	return tier
}

func (n *Node) submitMessage(r *dispatch.Record) *pb.Submit {
	return &pb.Submit{
		Sequence: uint64(r.ID), Pool: r.Pool, Tier: uint32(r.Tier), Kind: r.Kind, Organisation: r.Organisation,
		Class: r.Class, PromptTokens: r.PromptLength, OutputMean: r.MeanOutput, OutputHigh: r.HighOutput,
		RemainingMs: milliseconds(r.Deadline - n.now), Prefix: r.Prefix, Attempt: r.Attempt,
		StartWithinMs: startWithin(n.now, r.StartBy), Shared: sharedMessages(r.Shared), Parts: r.Parts,
	}
}

func sharedMessages(parts scheduler.SharedPrefixes) (list []*pb.SharedPart) {
	for _, part := range parts {
		if part.Digest != 0 {
			list = append(list, &pb.SharedPart{Digest: part.Digest, Tokens: part.Tokens})
		}
	}
	return list
}

func sharedParts(list []*pb.SharedPart) (parts scheduler.SharedPrefixes) {
	for i, m := range list[:min(len(list), len(parts))] {
		parts[i] = scheduler.SharedPrefix{Digest: m.GetDigest(), Tokens: m.GetTokens()}
	}
	return parts
}

// startWithin returns the milliseconds left until startBy, at least 1, or 0 if
// only the deadline counts.
func startWithin(now, startBy time.Duration) uint32 {
	if startBy == 0 {
		return 0
	}
	return max(1, milliseconds(startBy-now))
}

// withdraw takes a waiting attempt back from the holder that it was offered to.
func (n *Node) withdraw(e dispatch.Withdraw) {
	if h, here := n.hostedAt(e.Pool, e.Holder); here {
		if h != nil {
			h.withdraw(n.now, n.globalID(e.ID), e.Attempt)
		}
		return
	}
	n.send(e.Holder.Owner, &pb.PeerMessage{Body: &pb.PeerMessage_Withdraw{Withdraw: &pb.Withdraw{
		Sequence: uint64(e.ID), Pool: e.Pool, Attempt: e.Attempt}}})
}

// withdraw ends a waiting attempt, or its permit if the grant crossed the
// withdrawal: the entry returns that grant unused.
func (h *hostedPool) withdraw(now time.Duration, id scheduler.GlobalID, attempt uint32) {
	if it := h.ledger.get(id); it != nil && it.descriptor.Attempt <= attempt {
		h.drop(now, id, scheduler.Unused)
	}
}

// release reports the end of a dispatched attempt to the holder of its permit.
func (n *Node) release(e dispatch.Release) {
	c := scheduler.Completion{
		ID: n.globalID(e.ID), Outcome: e.Outcome, OutputTokens: e.OutputTokens,
		TTFT: e.TTFT, InterToken: e.InterToken, CachedPrompt: e.CachedPrompt,
		SlowdownPercent: e.SlowdownPercent, Slots: e.Slots, HoldOff: e.HoldOff,
	}
	if h, here := n.hostedAt(e.Pool, e.Holder); here {
		if h != nil {
			n.releaseAttempt(h, c, e.Attempt, e.Returned)
		}
		return
	}
	n.send(e.Holder.Owner, &pb.PeerMessage{Body: &pb.PeerMessage_Release{Release: &pb.Release{
		Sequence: uint64(e.ID), Pool: e.Pool, Attempt: e.Attempt, Outcome: pb.ReleaseOutcome(e.Outcome),
		OutputTokens: e.OutputTokens, TtftMs: milliseconds(e.TTFT),
		InterTokenUs: uint32(e.InterToken / time.Microsecond), CachedPromptTokens: e.CachedPrompt,
		SlowdownPercent: e.SlowdownPercent, HoldOffMs: milliseconds(e.HoldOff + time.Millisecond - 1),
		FreeSlots: slotsToProto(e.Slots), Returned: e.Returned}}})
}

func slotsToProto(s scheduler.SlotReport) *int32 {
	if !s.Known {
		return nil
	}
	return &s.Free
}

func slotsFromProto(free *int32) scheduler.SlotReport {
	if free == nil {
		return scheduler.SlotReport{}
	}
	return scheduler.SlotReport{Known: true, Free: *free}
}

// releaseAttempt ends the permit of an attempt; returned is as in hostedPool.onEnd.
func (n *Node) releaseAttempt(h *hostedPool, c scheduler.Completion, attempt uint32, returned bool) {
	if it := h.ledger.get(c.ID); it != nil && it.descriptor.Attempt <= attempt {
		n.noteRelease(h, it, c.Outcome)
		h.release(n.now, c, returned)
	}
}

// firstToken reports the time to first token to the holder of the permit.
func (n *Node) firstToken(e dispatch.FirstToken) {
	if h, here := n.hostedAt(e.Pool, e.Holder); here {
		if h != nil {
			n.noteFirstToken(h, n.globalID(e.ID), e.TTFT)
			h.sched.FirstToken(n.now, n.globalID(e.ID), e.TTFT, e.SlowdownPercent)
		}
		return
	}
	n.send(e.Holder.Owner, &pb.PeerMessage{Body: &pb.PeerMessage_FirstToken{FirstToken: &pb.FirstToken{
		Sequence: uint64(e.ID), Pool: e.Pool, TtftMs: milliseconds(e.TTFT)}}})
}
