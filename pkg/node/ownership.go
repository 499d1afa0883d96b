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

// ownershipState tracks the owners of all pools.
type ownershipState struct {
	// epoch, revision and upstreamsVersion are the versions of the members, the
	// configuration and the leaving upstreams that owners was computed from.
	epoch, revision, upstreamsVersion uint64
	owners                            map[routing.PoolID]uint64
	// pingedAt is when an owner was last pinged for an answer.
	pingedAt map[uint64]time.Duration
	// localSince is when the local pool of each pool was started.
	localSince map[routing.PoolID]time.Duration
	// dead holds the members whose requests were dropped.
	dead map[uint64]bool
}

// updateOwnership recomputes the owners of all pools after a change of the members,
// of the configuration or of leaving upstreams, and applies the result.
func (n *Node) updateOwnership() {
	if n.set == nil {
		return
	}
	epoch, upstreamsVersion := n.view.Epoch(), n.view.UpstreamsVersion()
	o := &n.ownership
	if o.owners != nil && o.epoch == epoch && o.upstreamsVersion == upstreamsVersion && o.revision == n.set.Revision {
		n.resyncAfterPause()
		return
	}
	refresh := o.upstreamsVersion != upstreamsVersion || o.revision != n.set.Revision
	o.epoch, o.upstreamsVersion, o.revision = epoch, upstreamsVersion, n.set.Revision
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
	n.dropUnownedPools()
	if refresh {
		for _, h := range n.pools.list {
			n.refreshTopology(h)
		}
	}
	n.startOwnedPools()
	n.dropDeadEntries()
	n.stopAwaitingNotAlive()
	for _, pool := range n.table.Pools() {
		n.updateTableOwner(routing.PoolID(pool))
	}
	n.resyncAfterPause()
}

// refreshTopology gives a pool its definition in force. A pool whose decisions are blocked keeps
// its definition until it decides again: a new one makes the scheduler shed the requests not
// admitted so far, which would miss lower-tier requests that are reported before these decisions
// are sent.
func (n *Node) refreshTopology(h *hostedPool) {
	if h.topologyOutdated = n.decisionsBlocked(h); !h.topologyOutdated {
		n.setTopology(h, n.routes.Pool(h.id))
	}
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

// dropUnownedPools gives up pools that this instance does not own any more. Waiting
// requests of other entries are answered NotOwner at once, also during the
// first seconds after the change: of two owners that both decide, one could shed
// a higher tier while the other keeps a lower one.
func (n *Node) dropUnownedPools() {
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

// startOwnedPools starts the pools that this instance owns now.
func (n *Node) startOwnedPools() {
	for _, def := range n.routes.Pools() {
		if n.ownership.owners[def.ID] == n.self && n.pools.get(def.ID, false) == nil {
			h := n.newHostedPool(def, false)
			n.pools.add(h)
			n.beginSync(h)
		}
	}
}

// beginSync asks all live entries for their requests in a pool. The answers of
// suspect members are used but not waited for: a takeover usually happens because
// such a member does not answer.
func (n *Node) beginSync(h *hostedPool) {
	h.awaited = h.awaited[:0]
	n.view.EachLive(func(m membership.Member) {
		n.requestSync(h, m.Incarnation)
		if m.State == membership.Alive {
			h.awaited = append(h.awaited, m.Incarnation)
		}
	})
	if len(h.awaited) == 0 {
		n.applyOutdatedTopology(h)
		return
	}
	h.syncing, h.syncUntil, h.blockedUntil = true, n.now+syncTimeout, n.now+syncBlockTime
	h.sched.HalveLimitsUntil(n.now, h.syncUntil)
}

// requestSync asks an entry for all its requests in a pool.
func (n *Node) requestSync(h *hostedPool, entry uint64) {
	h.askedAt[entry] = n.now
	n.send(entry, &pb.PeerMessage{Body: &pb.PeerMessage_SyncRequest{SyncRequest: &pb.SyncRequest{Pool: uint64(h.id)}}})
}

// resyncAfterPause synchronises again after a pause, once a member has answered.
func (n *Node) resyncAfterPause() {
	if !n.untrusted || !n.view.Trusted() {
		return
	}
	n.untrusted, n.trustedAt = false, n.now
	n.restartDeciders()
	for _, h := range n.pools.list {
		h.dirty = true
		if !h.local {
			n.beginSync(h)
		}
	}
	for _, pool := range n.table.Pools() {
		n.syncToOwner(routing.PoolID(pool))
	}
}

// updateTableOwner tells the dispatch table which instance owns a pool.
func (n *Node) updateTableOwner(pool routing.PoolID) {
	owner, ok := n.ownership.owners[pool]
	if !ok {
		return
	}
	if n.table.SetOwner(n.now, uint64(pool), owner) {
		n.endLocalPool(pool)
		n.syncToOwner(pool)
	}
}

// syncToOwner reports all requests of a pool to its owner: waiting ones to be
// queued, dispatched ones to be counted.
func (n *Node) syncToOwner(pool routing.PoolID) {
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

// adoptOwn merges this instance's own requests into a pool that it hosts.
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

// dropDeadEntries drops the requests of entries that were declared dead. The
// scheduler keeps their permits for a grace period, since an upstream notices
// closed connections only after a while.
func (n *Node) dropDeadEntries() {
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

// stopAwaitingNotAlive gives up on reports of members that are not alive any more.
func (n *Node) stopAwaitingNotAlive() {
	for _, h := range n.pools.list {
		for _, entry := range slices.Clone(h.awaited) {
			if m, known := n.view.Find(entry); !known || m.State != membership.Alive {
				n.markReported(h, entry)
			}
		}
	}
}

// dropEntry drops all items of a dead entry from a pool.
func (n *Node) dropEntry(h *hostedPool, entry uint64) {
	if items := h.ledger.idsOf(entry); len(items) > 0 {
		h.sched.DropEntry(n.now, entry)
		h.dirty = true
		for _, id := range items {
			it := h.ledger.get(id)
			it.endUnknown = true
			h.onEnd(it, scheduler.Completion{ID: id, Outcome: scheduler.Canceled}, false)
			h.ledger.remove(id)
		}
	}
	delete(h.agreedAt, entry)
	n.markReported(h, entry)
}

// markReported records that an entry has answered a SyncRequest or will not.
func (n *Node) markReported(h *hostedPool, entry uint64) {
	h.awaited = slices.DeleteFunc(h.awaited, func(id uint64) bool { return id == entry })
	if h.syncing && len(h.awaited) == 0 {
		n.endSync(h)
	}
}

// tickPools ends synchronisations and audits items whose entries have been
// silent about them.
func (n *Node) tickPools() {
	limitDivisor := n.view.LiveCount()
	for _, h := range n.pools.list {
		if h.syncing && n.now >= h.syncUntil {
			n.endSync(h)
		}
		if h.local {
			n.setLimitDivisor(h, limitDivisor)
			continue
		}
		n.audit(h)
	}
}

// audit asks entries about items that they have not mentioned for a long time.
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
		it.auditAt = n.now + firstAuditAge<<it.audits
		n.requestSync(h, id.Entry)
	}
}
