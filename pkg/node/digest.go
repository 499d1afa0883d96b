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
	// waitingDigestInterval is the time between digests while requests wait. It
	// is short, since lower tiers could overtake a request whose submission was
	// lost.
	waitingDigestInterval = 250 * time.Millisecond
	// inFlightDigestInterval is the time between digests while requests are only in
	// progress: a lost release then wastes one permit until the next digest.
	inFlightDigestInterval = 10 * time.Second
	// digestAskInterval bounds how often an owner asks one entry for a Sync.
	digestAskInterval = 100 * time.Millisecond
	// emptyDigestCount is the number of empty digests sent after the last request.
	emptyDigestCount = 3
)

// digestState is the digest schedule of a pool.
type digestState struct {
	sent time.Duration
	// emptyLeft counts the empty digests still to be sent.
	emptyLeft int
}

// tickDigests sends the digests that are due, and drops the schedules of pools that
// require none any more.
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
		state.emptyLeft = emptyDigestCount
	}
	interval := inFlightDigestInterval
	if waiting || count == 0 {
		interval = waitingDigestInterval
	}
	if n.now-state.sent < interval {
		return true
	}
	state.sent = n.now
	n.send(owner, &pb.PeerMessage{Body: &pb.PeerMessage_Digest{Digest: &pb.Digest{Pool: pool, Count: count, Hash: hash}}})
	if count == 0 {
		state.emptyLeft--
	}
	return state.emptyLeft > 0
}

// onDigest compares an entry's digest with the ledger.
func (n *Node) onDigest(from uint64, m *pb.Digest) {
	h := n.pools.get(routing.PoolID(m.Pool), false)
	if h == nil {
		return
	}
	received := entryDigest{m.Count, m.Hash}
	// A digest that crossed a grant agrees with the ledger before that grant.
	// Without this comparison a Sync followed about every second grant. A lost
	// grant is detected by the next digest.
	if received == h.ledger.digests[from] || received == h.ledger.digestBeforeGrants(n.now, from) {
		h.agreedAt[from] = n.now
		return
	}
	if n.now-h.askedAt[from] >= digestAskInterval {
		n.count("permits", "digest_mismatch")
		n.requestSync(h, from)
	}
}
