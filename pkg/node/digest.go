package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/routing"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Frames may be lost. While its requests wait, an entry therefore sends the
// owner of their pool a small digest of all its requests there. An owner whose
// ledger does not agree asks for a Sync, which repairs lost submissions,
// withdrawals, decisions and releases alike.
const (
	// digestInterval is the time between digests while requests wait. A lost
	// submission could let lower tiers overtake it (P2), so it is short.
	digestInterval = 250 * time.Millisecond
	// digestRest is the time between digests while requests are only in
	// progress: a lost release then wastes one permit until the next digest.
	digestRest = 10 * time.Second
	// digestAskInterval bounds how often an owner asks one entry for a Sync.
	digestAskInterval = 100 * time.Millisecond
	// digestTail is how often an empty digest is sent after the last request.
	digestTail = 3
)

// digestState is when the next digest of a pool is due.
type digestState struct {
	sent time.Duration
	// tail counts the empty digests still to be sent.
	tail int
}

func (n *Node) tickDigests() {
	for _, pool := range n.table.Pools() {
		if n.digests[pool] == nil {
			n.digests[pool] = &digestState{sent: n.now}
			n.digestPools = append(n.digestPools, pool)
		}
	}
	kept := n.digestPools[:0]
	for _, pool := range n.digestPools {
		if n.sendDigest(pool, n.digests[pool]) {
			kept = append(kept, pool)
			continue
		}
		delete(n.digests, pool)
	}
	n.digestPools = kept
}

// sendDigest sends a digest if it is due. It returns false when no more are needed.
func (n *Node) sendDigest(pool uint64, state *digestState) bool {
	owner, known := n.ownership.owners[routing.PoolID(pool)]
	if !known || owner == n.self {
		return false
	}
	count, waiting, hash := n.table.Digest(pool, owner)
	if count > 0 {
		state.tail = digestTail
	}
	interval := digestRest
	if waiting || count == 0 {
		interval = digestInterval
	}
	if n.now-state.sent < interval {
		return true
	}
	state.sent = n.now
	n.send(owner, &pb.PeerMessage{Body: &pb.PeerMessage_Digest{Digest: &pb.Digest{Pool: pool, Count: count, Hash: hash}}})
	if count == 0 {
		state.tail--
	}
	return state.tail > 0
}

// onDigest compares an entry's digest with the ledger.
func (n *Node) onDigest(from uint64, m *pb.Digest) {
	h := n.pools.get(routing.PoolID(m.Pool), false)
	if h == nil {
		return
	}
	theirs := entryDigest{m.Count, m.Hash}
	// A digest that crossed a grant agrees with what was before it. Without the
	// comparison a Sync followed about every second grant. A lost grant shows
	// in the next digest.
	if theirs == h.ledger.digests[from] || theirs == h.ledger.digestBeforeGrants(n.now, from) {
		h.agreedAt[from] = n.now
		return
	}
	if n.now-h.askedAt[from] >= digestAskInterval {
		n.count("permits", "digest_mismatch")
		n.askEntry(h, from)
	}
}
