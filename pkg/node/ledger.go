package node

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// item is what an owner knows of one descriptor.
type item struct {
	descriptor scheduler.Descriptor
	granted    bool
	upstream   uint32
	// since is when the item was submitted, granted or adopted.
	since time.Duration
	// auditAt is when the entry is asked about the item.
	auditAt time.Duration
	audits  uint8
	// postponed is the reason of a shed that waits for the end of the
	// synchronisation; 0 if none.
	postponed scheduler.ShedReason
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
	// recent lists the grants of the last grantCrossing, oldest first.
	recent []recentGrant
}

// recentGrant is a grant that its entry may not have received yet.
type recentGrant struct {
	id scheduler.GlobalID
	at time.Duration
}

// grantCrossing is how long a digest may be on its way together with a grant.
const grantCrossing = 100 * time.Millisecond

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

// compact removes ended ids from the order, and repetitions of those that
// ended and came again.
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
	it.granted, it.upstream = true, upstream
	it.since, it.auditAt = now, now+auditBase
	d.hash ^= it.hash()
	l.digests[entry] = d
	l.dropRecent(now)
	l.recent = append(l.recent, recentGrant{it.descriptor.ID, now})
}

func (l *ledger) dropRecent(now time.Duration) {
	kept := 0
	for kept < len(l.recent) && now-l.recent[kept].at >= grantCrossing {
		kept++
	}
	l.recent = slices.Delete(l.recent, 0, kept)
}

// digestBeforeGrants returns the digest of an entry that has not received its
// recent grants yet.
func (l *ledger) digestBeforeGrants(now time.Duration, entry uint64) entryDigest {
	l.dropRecent(now)
	d := l.digests[entry]
	for _, g := range l.recent {
		if it := l.items[g.id]; g.id.Entry == entry && it != nil && it.granted && it.since == g.at {
			d.hash ^= it.hash()
			d.hash ^= dispatch.HashRequest(g.id.Sequence, it.descriptor.Attempt, false)
		}
	}
	return d
}

// of lists the items of an entry in order of arrival.
func (l *ledger) of(entry uint64) []scheduler.GlobalID {
	l.compact()
	var ids []scheduler.GlobalID
	for _, id := range l.order {
		if id.Entry == entry {
			ids = append(ids, id)
		}
	}
	return ids
}
