package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/routing"
)

// Fallback to a local pool.
//
// An entry whose owner does not answer for the owner timeout has two choices. If
// the peers do not reach the owner either, the entry suspects it, and the next in
// rank becomes the owner for the whole cell. If a peer does, only the path from
// the entry is broken, and the entry uses a local pool with a fixed share of
// every upstream.
//
// The owner does not see the requests in a local pool, so the rule that a higher
// tier is never shed while a lower tier is kept holds over all instances as
// follows. The local pool sheds its own lower tiers first, as any pool does. The
// entry keeps pinging the owner, and once the owner answers, all requests that
// wait here are withdrawn and handed over in the same step, before the local
// pool decides again. So requests wait in a local pool only while the owner
// cannot be reached from here. Each change is counted under "fallback".

// ownerPingInterval is the time between pings to an owner that does not answer
// while requests wait for it. It gives three tries within the owner timeout.
const ownerPingInterval = 100 * time.Millisecond

// checkOwners finds out whether the owners of pools with waiting requests can
// be reached.
func (n *Node) checkOwners() {
	if !n.view.Trusted() {
		// After a pause, missing answers are due to this instance itself.
		return
	}
	for _, id := range n.table.Pools() {
		pool := routing.PoolID(id)
		owner, known := n.ownership.owners[pool]
		if !known || owner == n.self {
			continue
		}
		if n.table.Local(id) {
			n.checkOwnerReturn(pool, owner)
			continue
		}
		n.checkOwnerSilence(pool, owner)
	}
	n.dropIdleLocalPools()
}

// checkOwnerSilence pings an owner that has not answered since requests wait for it,
// and, after the owner timeout, suspects it or starts the fallback.
func (n *Node) checkOwnerSilence(pool routing.PoolID, owner uint64) {
	since, waiting := n.table.WaitingSince(uint64(pool))
	if !waiting {
		return
	}
	since = max(since, n.view.LastAnswer(owner), n.trustedAt)
	switch silence := n.now - since; {
	case silence >= n.cfg.OwnerTimeout:
		n.handleSilentOwner(pool, owner, since)
	case silence >= ownerPingInterval:
		n.pingOwner(owner, silence)
	}
}

// handleSilentOwner decides between the local pool and the next owner. If another
// member still reaches the owner, only the path from here is broken; with no
// other member to ask, a broken path cannot be told from a dead owner, and the
// local pool is used as well. Otherwise the owner is suspected and the next in
// rank takes over for the whole cell at once, so that one owner sees all requests
// again.
func (n *Node) handleSilentOwner(pool routing.PoolID, owner uint64, since time.Duration) {
	if n.view.LiveExcept(owner) == 0 || n.view.LastIndirectAck(owner) > since {
		n.startLocalPool(pool)
		return
	}
	n.count("fallback", "owner_suspected")
	n.view.Suspect(n.now, owner)
	n.updateOwnership()
	if n.ownership.owners[pool] == owner {
		n.startLocalPool(pool)
	}
}

// checkOwnerReturn ends the fallback of a pool once its owner has answered.
func (n *Node) checkOwnerReturn(pool routing.PoolID, owner uint64) {
	if n.view.LastAnswer(owner) > n.ownership.localSince[pool] {
		if n.table.SetLocal(n.now, uint64(pool), false) {
			n.syncToOwner(pool)
		}
		n.endLocalPool(pool)
		return
	}
	n.pingOwner(owner, 0)
}

// pingOwner pings an owner and, once a first ping has had time to be answered,
// also pings it indirectly through other members. Pools with the same owner share
// the pings.
func (n *Node) pingOwner(owner uint64, silence time.Duration) {
	if n.now-n.ownership.pingedAt[owner] < ownerPingInterval {
		return
	}
	n.ownership.pingedAt[owner] = n.now
	n.view.Ping(owner)
	if silence >= ownerPingInterval*3/2 {
		n.view.PingIndirectly(owner)
	}
}

// startLocalPool moves a pool's waiting requests to a local pool with a fixed
// share of the limits.
func (n *Node) startLocalPool(pool routing.PoolID) {
	def := n.routes.Pool(pool)
	if def == nil {
		return
	}
	n.ownership.localSince[pool] = n.now
	if n.pools.get(pool, true) == nil {
		h := n.newHostedPool(def, true)
		n.setLimitDivisor(h, n.view.LiveCount())
		n.pools.add(h)
	}
	n.table.SetLocal(n.now, uint64(pool), true)
}

// setLimitDivisor sets the number of entries among which a local pool divides the
// limits.
func (n *Node) setLimitDivisor(h *hostedPool, limitDivisor int) {
	if h.limitDivisor != limitDivisor {
		h.limitDivisor = limitDivisor
		h.sched.SetLimitDivisor(n.now, limitDivisor)
		h.dirty = true
	}
}

// endLocalPool drops the local pool. Its permits were reported to the owner.
func (n *Node) endLocalPool(pool routing.PoolID) {
	if h := n.pools.get(pool, true); h != nil {
		n.pools.remove(h)
	}
}

// dropIdleLocalPools ends the fallback of pools that have no requests left.
func (n *Node) dropIdleLocalPools() {
	for _, h := range append([]*hostedPool(nil), n.pools.list...) {
		if h.local && h.ledger.len() == 0 && n.table.Idle(uint64(h.id)) {
			n.table.SetLocal(n.now, uint64(h.id), false)
			n.endLocalPool(h.id)
		}
	}
}
