package node

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// item is an owner's record of one descriptor, waiting or granted.
type item struct {
	descriptor scheduler.Descriptor
	granted    bool
	upstream   uint32
	// since is when the item was submitted, granted or adopted.
	since time.Duration
	// auditAt is when the entry is asked about the item.
	auditAt time.Duration
	audits  uint8
	// firstTokenAt is when the first token was reported; 0 if it was not.
	firstTokenAt time.Duration
	// postponed is the reason of a shed that waits for the end of the
	// synchronisation; 0 if none.
	postponed scheduler.ShedReason
	// sentAt is about when the request was sent to its upstream; 0 if it waits.
	sentAt time.Duration
	// grantedHere is true if this instance granted the request, not an earlier owner.
	grantedHere bool
	// tokenReported is true once the first token was reported to the order of the upstream's
	// service. endUnknown is true if the permit ends without a report of its entry. member is the part in an
	// order of an upstream that left the pool.
	tokenReported, endUnknown bool
	member                    rolloutMember
}

func (it *item) hash() uint64 {
	return dispatch.HashRequest(it.descriptor.ID.Sequence, it.descriptor.Attempt, it.granted)
}

// entryDigest summarises the items of one entry; see Digest in peer.proto.
type entryDigest struct {
	count uint32
	hash  uint64
}

// ledger holds the items of a pool. Digests per entry are kept up to date, so
// that comparing one costs the same however many items there are.
type ledger struct {
	items map[scheduler.GlobalID]*item
	// order lists the ids in order of arrival; ended ones are removed lazily.
	order   []scheduler.GlobalID
	digests map[uint64]entryDigest
	// recentGrants lists the grants of the last maxGrantTransit, oldest first.
	recentGrants []recentGrant
}

// recentGrant is a grant that its entry may not have received yet.
type recentGrant struct {
	id scheduler.GlobalID
	at time.Duration
}

// maxGrantTransit is how long after a grant a digest may arrive that the entry sent
// before it received the grant.
const maxGrantTransit = 100 * time.Millisecond

func newLedger() ledger {
	return ledger{items: map[scheduler.GlobalID]*item{}, digests: map[uint64]entryDigest{}}
}

func (l *ledger) get(id scheduler.GlobalID) *item { return l.items[id] }

func (l *ledger) len() int { return len(l.items) }

// add records an item whose id is not in the ledger.
func (l *ledger) add(it *item) {
	id := it.descriptor.ID
	l.items[id] = it
	l.order = append(l.order, id)
	d := l.digests[id.Entry]
	l.digests[id.Entry] = entryDigest{d.count + 1, d.hash ^ it.hash()}
	if len(l.order) > 2*len(l.items)+64 {
		l.compact()
	}
}

// compact removes ended ids from the order, and duplicates of those that ended
// and were added again.
func (l *ledger) compact() {
	seen := make(map[scheduler.GlobalID]bool, len(l.items))
	l.order = slices.DeleteFunc(l.order, func(id scheduler.GlobalID) bool {
		if l.items[id] == nil || seen[id] {
			return true
		}
		seen[id] = true
		return false
	})
}

// remove ends an item.
func (l *ledger) remove(id scheduler.GlobalID) {
	it := l.items[id]
	if it == nil {
		return
	}
	delete(l.items, id)
	d := l.digests[id.Entry]
	d = entryDigest{d.count - 1, d.hash ^ it.hash()}
	if d.count == 0 {
		delete(l.digests, id.Entry)
		return
	}
	l.digests[id.Entry] = d
}

// grant turns a waiting item into a permit.
func (l *ledger) grant(now time.Duration, it *item, upstream uint32) {
	entry := it.descriptor.ID.Entry
	d := l.digests[entry]
	d.hash ^= it.hash()
	it.granted, it.grantedHere, it.upstream = true, true, upstream
	it.since, it.sentAt, it.auditAt = now, now, now+firstAuditAge
	d.hash ^= it.hash()
	l.digests[entry] = d
	l.expireRecentGrants(now)
	l.recentGrants = append(l.recentGrants, recentGrant{it.descriptor.ID, now})
}

func (l *ledger) expireRecentGrants(now time.Duration) {
	expired := 0
	for expired < len(l.recentGrants) && now-l.recentGrants[expired].at >= maxGrantTransit {
		expired++
	}
	l.recentGrants = slices.Delete(l.recentGrants, 0, expired)
}

// digestBeforeGrants returns the digest of an entry that has not received its
// recent grants yet.
func (l *ledger) digestBeforeGrants(now time.Duration, entry uint64) entryDigest {
	l.expireRecentGrants(now)
	d := l.digests[entry]
	for _, g := range l.recentGrants {
		if it := l.items[g.id]; g.id.Entry == entry && it != nil && it.granted && it.since == g.at {
			d.hash ^= it.hash()
			d.hash ^= dispatch.HashRequest(g.id.Sequence, it.descriptor.Attempt, false)
		}
	}
	return d
}

// idsOf lists the ids of an entry's items in order of arrival.
func (l *ledger) idsOf(entry uint64) []scheduler.GlobalID {
	l.compact()
	var ids []scheduler.GlobalID
	for _, id := range l.order {
		if id.Entry == entry {
			ids = append(ids, id)
		}
	}
	return ids
}
