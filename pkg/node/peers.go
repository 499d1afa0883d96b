package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/scheduler"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// frameReceived handles the messages of another instance in their order.
func (n *Node) frameReceived(frame *pb.Frame) {
	from := frame.GetFrom()
	if from == 0 || from == n.self {
		return
	}
	n.lastFrameAt = n.now
	n.view.Heard(n.now, from, frame.ConfigRevision)
	for _, message := range frame.Messages {
		n.messageReceived(from, message)
	}
	if frame.ConfigRevision > n.revision() && !n.cfg.ExternalConfig {
		n.configs.OnPeerRevision(n.now, from, frame.ConfigRevision)
	}
	n.updateOwnership()
}

func (n *Node) messageReceived(from uint64, message *pb.PeerMessage) {
	switch m := message.GetBody().(type) {
	case *pb.PeerMessage_Ping:
		n.view.OnPing(n.now, from, m.Ping)
	case *pb.PeerMessage_Ack:
		n.view.OnAck(n.now, from, m.Ack)
	case *pb.PeerMessage_PingRequest:
		n.view.OnPingRequest(n.now, from, m.PingRequest)
	case *pb.PeerMessage_Join:
		n.view.OnJoin(n.now, from, m.Join)
	case *pb.PeerMessage_JoinReply:
		n.view.OnJoinReply(n.now, from, m.JoinReply)
	case *pb.PeerMessage_MemberUpdates:
		n.view.OnUpdates(n.now, m.MemberUpdates)
	case *pb.PeerMessage_ConfigPull:
		n.onConfigPull(from, m.ConfigPull)
	case *pb.PeerMessage_ConfigPush:
		n.configs.OnPush(n.now, from, m.ConfigPush)
	case *pb.PeerMessage_BindingCall:
		n.onBindingCall(from, m.BindingCall)
	case *pb.PeerMessage_QuotaRequest:
		n.onQuotaRequest(from, m.QuotaRequest)
	case *pb.PeerMessage_QuotaTransfer:
		n.onQuotaTransfer(m.QuotaTransfer)
	case *pb.PeerMessage_CopyQuery:
		n.onCopyQuery(from, m.CopyQuery)
	case *pb.PeerMessage_CopyState:
		n.onCopyState(m.CopyState)
	case *pb.PeerMessage_PromptParts:
		n.onPromptParts(m.PromptParts)
	case *pb.PeerMessage_RolloutState:
		n.onRolloutState(m.RolloutState)
	case *pb.PeerMessage_BindingReply:
		n.onBindingReply(from, m.BindingReply)
	default:
		n.schedulingReceived(from, message)
	}
}

// schedulingReceived handles the messages between entries and owners.
func (n *Node) schedulingReceived(from uint64, message *pb.PeerMessage) {
	// Updates of members that came earlier in the same frame may have made this
	// instance the owner.
	n.updateOwnership()
	switch m := message.GetBody().(type) {
	case *pb.PeerMessage_Submit:
		n.onSubmit(from, m.Submit)
	case *pb.PeerMessage_Withdraw:
		n.onWithdraw(from, m.Withdraw)
	case *pb.PeerMessage_Grant:
		n.onGrant(from, m.Grant)
	case *pb.PeerMessage_Shed:
		n.onShed(from, m.Shed)
	case *pb.PeerMessage_NotOwner:
		n.onNotOwner(from, m.NotOwner)
	case *pb.PeerMessage_FirstToken:
		n.onFirstToken(from, m.FirstToken)
	case *pb.PeerMessage_Progress:
		n.onProgress(from, m.Progress)
	case *pb.PeerMessage_Release:
		n.onRelease(from, m.Release)
	case *pb.PeerMessage_Digest:
		n.onDigest(from, m.Digest)
	case *pb.PeerMessage_SyncRequest:
		n.onSyncRequest(from, m.SyncRequest)
	case *pb.PeerMessage_Sync:
		n.onSync(from, m.Sync)
	}
}

// descriptorFrom translates a descriptor of another entry. It fails if this
// instance has another configuration revision, which lacks the class.
func (n *Node) descriptorFrom(h *hostedPool, from uint64, m *pb.Submit) (scheduler.Descriptor, bool) {
	class, ok := h.def.ClassIndex(routing.ClassID(m.GetClass()))
	if !ok || m.Tier >= scheduler.MaxTiers {
		return scheduler.Descriptor{}, false
	}
	return scheduler.Descriptor{
		ID: scheduler.GlobalID{Entry: from, Sequence: m.Sequence}, Attempt: m.Attempt, Tier: n.effectiveTier(uint8(m.Tier)),
		Kind: n.kinds.intern(m.Kind), Org: n.orgs.intern(m.Organisation), Class: class,
		PromptLength: m.PromptTokens, MeanOutput: m.OutputMean, HighOutput: m.OutputHigh,
		Deadline: n.now + time.Duration(m.RemainingMs)*time.Millisecond, Prefix: m.Prefix, Shared: sharedParts(m.Shared), Parts: m.Parts,
		StartBy: startBy(n.now, time.Duration(m.StartWithinMs)*time.Millisecond),
	}, true
}

func (n *Node) onSubmit(from uint64, m *pb.Submit) {
	h := n.pools.get(routing.PoolID(m.Pool), false)
	if h == nil {
		n.sendNotOwner(from, m.Pool, m.Sequence, m.Attempt)
		return
	}
	d, ok := n.descriptorFrom(h, from, m)
	if !ok {
		n.count("submits", "unknown_class")
		n.sendNotOwner(from, m.Pool, m.Sequence, m.Attempt)
		return
	}
	if _, left, blocked := n.tryParts(h, d); blocked {
		// The entry does not know of the block yet, or the part is on trial.
		n.shed(h, scheduler.Decision{ID: d.ID, Attempt: d.Attempt, Reason: scheduler.PartBlocked, RetryAfter: left})
		return
	}
	if repeated := h.submit(n.now, d); repeated {
		n.count("retries", dispatch.PermitLost)
		n.grant(h, d.ID, h.ledger.get(d.ID))
	}
}

func (n *Node) onWithdraw(from uint64, m *pb.Withdraw) {
	if h := n.pools.get(routing.PoolID(m.Pool), false); h != nil {
		h.withdraw(n.now, scheduler.GlobalID{Entry: from, Sequence: m.Sequence}, m.Attempt)
	}
}

func decisionFrom(from, pool, sequence uint64, attempt uint32) dispatch.Decision {
	return dispatch.Decision{ID: dispatch.ID(sequence), Pool: pool, Attempt: attempt, From: dispatch.Holder{Owner: from}}
}

func (n *Node) onGrant(from uint64, m *pb.Grant) {
	n.view.Answered(n.now, from)
	n.learnAddress(m.Upstream, m.Address)
	n.notifyOwner(from, m.Upstream)
	n.table.Grant(n.now, decisionFrom(from, m.Pool, m.Sequence, m.Attempt), n.permitFor(m.Upstream))
}

func (n *Node) onShed(from uint64, m *pb.Shed) {
	n.view.Answered(n.now, from)
	refusal := shedRefusal(shedFromProto(m.Reason), time.Duration(m.RetryAfterMs)*time.Millisecond)
	n.table.Shed(n.now, decisionFrom(from, m.Pool, m.Sequence, m.Attempt), refusal)
}

func (n *Node) onNotOwner(from uint64, m *pb.NotOwner) {
	n.view.Answered(n.now, from)
	n.table.NotOwner(n.now, decisionFrom(from, m.Pool, m.Sequence, m.Attempt))
}

func (n *Node) onFirstToken(from uint64, m *pb.FirstToken) {
	if h := n.pools.get(routing.PoolID(m.Pool), false); h != nil {
		n.noteFirstToken(h, scheduler.GlobalID{Entry: from, Sequence: m.Sequence}, time.Duration(m.TtftMs)*time.Millisecond)
		h.sched.FirstToken(n.now, scheduler.GlobalID{Entry: from, Sequence: m.Sequence}, time.Duration(m.TtftMs)*time.Millisecond, m.SlowdownPercent)
		h.dirty = true
	}
}

func (n *Node) onRelease(from uint64, m *pb.Release) {
	h := n.pools.get(routing.PoolID(m.Pool), false)
	if h == nil {
		return
	}
	n.releaseAttempt(h, scheduler.Completion{
		ID: scheduler.GlobalID{Entry: from, Sequence: m.Sequence}, Outcome: scheduler.Outcome(m.Outcome),
		OutputTokens: m.OutputTokens, TTFT: time.Duration(m.TtftMs) * time.Millisecond,
		InterToken: time.Duration(m.InterTokenUs) * time.Microsecond, CachedPrompt: m.CachedPromptTokens,
		SlowdownPercent: m.SlowdownPercent, HoldOff: time.Duration(m.HoldOffMs) * time.Millisecond,
		Slots: slotsFromProto(m.FreeSlots),
	}, m.Attempt, m.Returned)
}

// onSyncRequest reports all requests of a pool to an owner. The request shows that
// the sender considers itself the owner, so the ownership is updated first.
func (n *Node) onSyncRequest(from uint64, m *pb.SyncRequest) {
	n.updateOwnership()
	waiting, inFlight := n.table.Sync(n.now, m.Pool, from)
	n.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_Sync{Sync: n.syncMessage(m.Pool, waiting, inFlight)}})
}

// onSync merges an entry's report of all its requests in a pool.
func (n *Node) onSync(from uint64, m *pb.Sync) {
	h := n.pools.get(routing.PoolID(m.Pool), false)
	if h == nil {
		for _, submit := range m.Waiting {
			n.sendNotOwner(from, m.Pool, submit.Sequence, submit.Attempt)
		}
		return
	}
	mentioned := map[uint64]bool{}
	for _, f := range m.InFlight {
		mentioned[f.GetRequest().GetSequence()] = true
		n.adoptFrom(h, from, f)
	}
	for _, submit := range m.Waiting {
		mentioned[submit.Sequence] = true
		n.onSubmit(from, submit)
	}
	n.dropUnmentioned(h, from, mentioned)
	n.inFlightReported(h, from)
	n.markReported(h, from)
}

func (n *Node) adoptFrom(h *hostedPool, from uint64, f *pb.InFlight) {
	if f.GetRequest() == nil {
		return
	}
	d, ok := n.descriptorFrom(h, from, f.Request)
	index, known := h.upstreams[f.Upstream]
	if ok && known {
		h.adopt(n.now, scheduler.InFlight{Descriptor: d, Upstream: index, OutputTokens: f.OutputTokens,
			Age: time.Duration(f.AgeMs) * time.Millisecond})
	}
}

// dropUnmentioned ends the items that an entry was asked about and did not report.
// Items newer than the request are kept, since the report may have crossed them.
func (n *Node) dropUnmentioned(h *hostedPool, from uint64, mentioned map[uint64]bool) {
	asked, ok := h.askedAt[from]
	if !ok {
		return
	}
	for _, id := range h.ledger.idsOf(from) {
		if it := h.ledger.get(id); !mentioned[id.Sequence] && it.since < asked {
			n.count("permits", "audited")
			it.endUnknown = true
			h.drop(n.now, id, scheduler.Canceled)
		}
	}
}

// instanceList passes the platform's list to the membership view.
func (n *Node) instanceList(e InstanceList) {
	n.view.OnList(n.now, e.OK, listedEntries(e.Instances))
	n.updateOwnership()
}

// upstreamList passes a list of upstreams to the membership view.
func (n *Node) upstreamList(e UpstreamList) {
	n.view.OnUpstreamList(n.now, listedEntries(e.Upstreams))
	n.updateOwnership()
}

func listedEntries(instances []ListedInstance) []membership.Listed {
	listed := make([]membership.Listed, 0, len(instances))
	for _, line := range instances {
		listed = append(listed, membership.Listed(line))
	}
	return listed
}

// cacheEvents passes hints about prefix caches to the pools hosted here. Events
// are late and have gaps, so the pools treat them as hints only.
func (n *Node) cacheEvents(e CacheEvents) {
	if e.Gap {
		n.count("cache_events", "gap")
	}
	for _, h := range n.pools.list {
		index, ok := h.upstreams[e.Upstream]
		if !ok {
			continue
		}
		for _, prefix := range e.Cached {
			h.sched.CacheEvent(index, prefix, true)
		}
		for _, prefix := range e.Evicted {
			h.sched.CacheEvent(index, prefix, false)
		}
	}
}
