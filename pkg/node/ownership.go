package node

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/scheduler"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// ownershipState follows the owners of all pools.
type ownershipState struct {
	// epoch, revision and leaving are what owners was computed from.
	epoch, revision, leaving uint64
	owners                   map[routing.PoolID]uint64
	// pingedAt is when an owner was last pinged for an answer.
	pingedAt map[uint64]time.Duration
	// localSince is when the local pool took over.
	localSince map[routing.PoolID]time.Duration
	// dead holds the members whose requests were dropped.
	dead map[uint64]bool
}

// updateOwnership follows changes of the members, of the configuration and of
// leaving upstreams.
func (n *Node) updateOwnership() {
	if n.set == nil {
		return
	}
	epoch, leaving := n.view.Epoch(), n.view.UpstreamsVersion()
	o := &n.ownership
	if o.owners != nil && o.epoch == epoch && o.leaving == leaving && o.revision == n.set.Revision {
		n.regainTrust()
		return
	}
	refresh := o.leaving != leaving || o.revision != n.set.Revision
	o.epoch, o.leaving, o.revision = epoch, leaving, n.set.Revision
	if o.pingedAt == nil {
		o.pingedAt = map[uint64]time.Duration{}
		o.localSince = map[routing.PoolID]time.Duration{}
	}
	clear(o.pingedAt)
	before := o.owners
	o.owners = map[routing.PoolID]uint64{}
	for _, def := range n.routes.Pools() {
		owner := n.view.Owner(uint64(def.ID))
		o.owners[def.ID] = owner
		n.countOwnerChange(before[def.ID], owner)
	}
	n.dropPools()
	if refresh {
		for _, h := range n.pools.list {
			// A stalled pool keeps its definition until it decides again: a new
			// one makes it shed what it has refused so far, and lower tiers
			// that are reported before these decisions go out would be missed.
			if h.outdated = n.stalled(h); !h.outdated {
				n.setTopology(h, n.routes.Pool(h.id))
			}
		}
	}
	n.hostPools()
	n.noteDeaths()
	n.stopAwaiting()
	for _, pool := range n.table.Pools() {
		n.refreshRoute(routing.PoolID(pool))
	}
	n.regainTrust()
}

// countOwnerChange counts a pool that has another owner than before; 0 is none.
func (n *Node) countOwnerChange(before, owner uint64) {
	switch {
	case before == owner || before == 0:
	case owner == n.self:
		n.count("owner_changes", "to_this_instance")
	case before == n.self:
		n.count("owner_changes", "from_this_instance")
	default:
		n.count("owner_changes", "between_others")
	}
}

// dropPools gives up pools that this instance does not own any more. Waiting
// requests of other entries are answered NotOwner at once, also during the
// first seconds after the change: two owners that both decide could shed a
// higher tier at one while the other keeps a lower one (P2).
func (n *Node) dropPools() {
	for _, h := range slices.Clone(n.pools.list) {
		owner, exists := n.ownership.owners[h.id]
		if exists && (h.local || owner == n.self) {
			continue
		}
		n.pools.remove(h)
		for _, id := range h.ledger.order {
			if it := h.ledger.get(id); it != nil && !it.granted && id.Entry != n.self {
				h.ledger.remove(id)
				n.sendNotOwner(id.Entry, uint64(h.id), id.Sequence, it.descriptor.Attempt)
			}
		}
	}
}

// sendNotOwner answers a descriptor, together with what this instance knows of
// the owner, so that the entry's view catches up without waiting for gossip.
func (n *Node) sendNotOwner(to, pool, sequence uint64, attempt uint32) {
	n.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_NotOwner{NotOwner: &pb.NotOwner{
		Sequence: sequence, Pool: pool, Attempt: attempt}}})
	if updates := n.view.Updates(); len(updates) > 0 {
		n.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_MemberUpdates{MemberUpdates: &pb.MemberUpdates{Updates: updates}}})
	}
}

// hostPools starts the pools that this instance owns now.
func (n *Node) hostPools() {
	for _, def := range n.routes.Pools() {
		if n.ownership.owners[def.ID] == n.self && n.pools.get(def.ID, false) == nil {
			h := n.newHostedPool(def, false)
			n.pools.add(h)
			n.beginSync(h)
		}
	}
}

// beginSync asks all live entries for their requests in a pool. The answers of
// suspect members are welcome but not waited for: a takeover mostly happens
// because such a member does not answer.
func (n *Node) beginSync(h *hostedPool) {
	h.awaited = h.awaited[:0]
	n.view.Live(func(m membership.Member) {
		n.askEntry(h, m.Incarnation)
		if m.State == membership.Alive {
			h.awaited = append(h.awaited, m.Incarnation)
		}
	})
	if len(h.awaited) == 0 {
		n.catchUp(h)
		return
	}
	h.syncing, h.syncUntil, h.holdUntil = true, n.now+syncTime, n.now+holdTime
	h.sched.SetCautious(n.now, h.syncUntil)
}

func (n *Node) askEntry(h *hostedPool, entry uint64) {
	h.askedAt[entry] = n.now
	n.send(entry, &pb.PeerMessage{Body: &pb.PeerMessage_SyncRequest{SyncRequest: &pb.SyncRequest{Pool: uint64(h.id)}}})
}

// regainTrust synchronises again after a pause, once a member has answered.
func (n *Node) regainTrust() {
	if !n.untrusted || !n.view.Trusted() {
		return
	}
	n.untrusted, n.trustedAt = false, n.now
	for _, h := range n.pools.list {
		h.dirty = true
		if !h.local {
			n.beginSync(h)
		}
	}
	for _, pool := range n.table.Pools() {
		n.reportTo(routing.PoolID(pool))
	}
}

// refreshRoute tells the dispatch table who owns a pool.
func (n *Node) refreshRoute(pool routing.PoolID) {
	owner, ok := n.ownership.owners[pool]
	if !ok {
		return
	}
	if n.table.SetOwner(n.now, uint64(pool), owner) {
		n.endLocal(pool)
		n.reportTo(pool)
	}
}

// reportTo hands all requests of a pool to its owner: waiting ones to be
// queued, dispatched ones to be counted.
func (n *Node) reportTo(pool routing.PoolID) {
	owner := n.ownership.owners[pool]
	waiting, inFlight := n.table.Sync(n.now, uint64(pool), owner)
	if owner == n.self {
		n.adoptOwn(pool, waiting, inFlight)
		return
	}
	if len(waiting)+len(inFlight) > 0 {
		n.send(owner, &pb.PeerMessage{Body: &pb.PeerMessage_Sync{Sync: n.syncMessage(uint64(pool), waiting, inFlight)}})
	}
}

func (n *Node) syncMessage(pool uint64, waiting, inFlight []*dispatch.Record) *pb.Sync {
	message := &pb.Sync{Pool: pool}
	for _, r := range waiting {
		message.Waiting = append(message.Waiting, n.submitMessage(r))
	}
	for _, r := range inFlight {
		message.InFlight = append(message.InFlight, &pb.InFlight{Request: n.submitMessage(r), Upstream: r.Upstream,
			OutputTokens: r.Tokens, AgeMs: milliseconds(n.now - r.DispatchedAt)})
	}
	return message
}

func (n *Node) adoptOwn(pool routing.PoolID, waiting, inFlight []*dispatch.Record) {
	h := n.pools.get(pool, false)
	if h == nil {
		return
	}
	for _, r := range waiting {
		n.submitOwn(h, r)
	}
	for _, r := range inFlight {
		d, ok := n.descriptorOf(h, r)
		index, known := h.upstreams[r.Upstream]
		if ok && known {
			h.adopt(n.now, scheduler.InFlight{Descriptor: d, Upstream: index, OutputTokens: r.Tokens, Age: n.now - r.DispatchedAt})
		}
	}
}

// noteDeaths drops the requests of entries that were declared dead. The
// scheduler keeps their permits for a grace period, since an upstream notices
// closed connections only after a while.
func (n *Node) noteDeaths() {
	dead := map[uint64]bool{}
	for _, m := range n.view.Members() {
		if m.State != membership.Dead {
			continue
		}
		dead[m.Incarnation] = true
		if n.ownership.dead[m.Incarnation] {
			continue
		}
		for _, h := range n.pools.list {
			n.dropEntry(h, m.Incarnation)
		}
	}
	n.ownership.dead = dead
}

// stopAwaiting gives up on reports of members that are not alive any more.
func (n *Node) stopAwaiting() {
	for _, h := range n.pools.list {
		for _, entry := range slices.Clone(h.awaited) {
			if m, known := n.view.Find(entry); !known || m.State != membership.Alive {
				n.reported(h, entry)
			}
		}
	}
}

func (n *Node) dropEntry(h *hostedPool, entry uint64) {
	if items := h.ledger.of(entry); len(items) > 0 {
		h.sched.DropEntry(n.now, entry)
		h.dirty = true
		for _, id := range items {
			h.ledger.remove(id)
		}
	}
	delete(h.agreedAt, entry)
	n.reported(h, entry)
}

// reported notes that an entry has answered a SyncRequest.
func (n *Node) reported(h *hostedPool, entry uint64) {
	h.awaited = slices.DeleteFunc(h.awaited, func(id uint64) bool { return id == entry })
	if h.syncing && len(h.awaited) == 0 {
		n.endSync(h)
	}
}

// tickPools ends synchronisations and audits items whose entries have been
// silent about them.
func (n *Node) tickPools() {
	share := n.view.LiveCount()
	for _, h := range n.pools.list {
		if h.syncing && n.now >= h.syncUntil {
			n.endSync(h)
		}
		if h.local {
			n.setShare(h, share)
			continue
		}
		n.audit(h)
	}
}

func (n *Node) audit(h *hostedPool) {
	for _, id := range h.ledger.order {
		it := h.ledger.get(id)
		if it == nil || id.Entry == n.self || n.now < it.auditAt {
			continue
		}
		if n.now-h.askedAt[id.Entry] < auditInterval || n.now-max(h.agreedAt[id.Entry], it.since) < auditSilence {
			continue
		}
		it.audits = min(it.audits+1, 6)
		it.auditAt = n.now + auditBase<<it.audits
		n.askEntry(h, id.Entry)
	}
}
