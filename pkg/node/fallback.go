package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/routing"
)

// The local pool.
//
// An entry whose owner does not answer for the owner timeout has two choices. If
// others do not reach the owner either, it suspects it, and the next in rank
// becomes the owner for the whole cell. If others do, only its own path is
// broken, and it uses a pool of its own with a fixed share of every upstream.
//
// The owner does not see the work in a local pool, so tier order over all
// instances (P2) is kept as follows. The local pool sheds its own lower tiers
// first, as any pool does. The entry asks the owner for an answer all the time,
// and once it answers, all work that waits here is withdrawn and handed over in
// the same step, before the local pool decides again. So work waits in a local
// pool only while the owner cannot be reached from here. Each change is counted
// under "fallback".

// ownerPingInterval is the time between pings to an owner that is silent while
// requests wait for it. It gives three tries within the owner timeout.
const ownerPingInterval = 100 * time.Millisecond

// checkOwners finds out whether the owners of pools with waiting requests can
// be reached.
func (n *Node) checkOwners() {
	if !n.view.Trusted() {
		// After a pause the silence is this instance's own.
		return
	}
	for _, id := range n.table.Pools() {
		pool := routing.PoolID(id)
		owner, known := n.ownership.owners[pool]
		if !known || owner == n.self {
			continue
		}
		if n.table.Local(id) {
			n.checkReturn(pool, owner)
			continue
		}
		n.checkSilence(pool, owner)
	}
	n.dropIdleLocal()
}

func (n *Node) checkSilence(pool routing.PoolID, owner uint64) {
	since, waiting := n.table.WaitingSince(uint64(pool))
	if !waiting {
		return
	}
	since = max(since, n.view.LastAnswer(owner), n.trustedAt)
	switch silence := n.now - since; {
	case silence >= n.cfg.OwnerTimeout:
		n.ownerSilent(pool, owner, since)
	case silence >= ownerPingInterval:
		n.pingOwner(owner, silence)
	}
}

// ownerSilent decides between the local pool and the next owner. If another
// member still reaches the owner, only the path from here is broken; with nobody
// to ask, a broken path and a dead owner look alike. Otherwise the owner is
// suspected and the next in rank takes over for the whole cell at once, so that
// one owner sees all work again.
func (n *Node) ownerSilent(pool routing.PoolID, owner uint64, since time.Duration) {
	if n.view.LiveBeside(owner) == 0 || n.view.LastRelayed(owner) > since {
		n.startLocal(pool)
		return
	}
	n.count("fallback", "owner_suspected")
	n.view.Suspect(n.now, owner)
	n.updateOwnership()
	if n.ownership.owners[pool] == owner {
		n.startLocal(pool)
	}
}

func (n *Node) checkReturn(pool routing.PoolID, owner uint64) {
	if n.view.LastAnswer(owner) > n.ownership.localSince[pool] {
		if n.table.SetLocal(n.now, uint64(pool), false) {
			n.reportTo(pool)
		}
		n.endLocal(pool)
		return
	}
	n.pingOwner(owner, 0)
}

// pingOwner asks an owner for an answer, and once a first ping has had time to
// be answered also through others. Pools with the same owner share the pings.
func (n *Node) pingOwner(owner uint64, silence time.Duration) {
	if n.now-n.ownership.pingedAt[owner] < ownerPingInterval {
		return
	}
	n.ownership.pingedAt[owner] = n.now
	n.view.Ping(owner)
	if silence >= ownerPingInterval*3/2 {
		n.view.PingThroughOthers(owner)
	}
}

// startLocal moves a pool's waiting requests to the fixed share.
func (n *Node) startLocal(pool routing.PoolID) {
	def := n.routes.Pool(pool)
	if def == nil {
		return
	}
	n.ownership.localSince[pool] = n.now
	if n.pools.get(pool, true) == nil {
		h := n.newHostedPool(def, true)
		n.setShare(h, n.view.LiveCount())
		n.pools.add(h)
	}
	n.table.SetLocal(n.now, uint64(pool), true)
}

func (n *Node) setShare(h *hostedPool, share int) {
	if h.share != share {
		h.share = share
		h.sched.SetShare(n.now, share)
		h.dirty = true
	}
}

// endLocal drops the local pool. Its permits were reported to the owner.
func (n *Node) endLocal(pool routing.PoolID) {
	if h := n.pools.get(pool, true); h != nil {
		n.pools.remove(h)
	}
}

// dropIdleLocal ends the local mode of pools that have no requests left.
func (n *Node) dropIdleLocal() {
	for _, h := range append([]*hostedPool(nil), n.pools.list...) {
		if h.local && h.ledger.len() == 0 && n.table.Idle(uint64(h.id)) {
			n.table.SetLocal(n.now, uint64(h.id), false)
			n.endLocal(h.id)
		}
	}
}
