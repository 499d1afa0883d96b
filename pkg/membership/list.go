package membership

import (
	"strconv"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Listed is one entry of the platform's instance list: an instance, or an
// upstream if Upstream is true.
type Listed struct {
	Name, Incarnation string
	Upstream          bool
	PeerAddress       string
	Leaving           bool
}

// announcementTimeout is how long a member goes without a reader's announcement
// before it reads the list itself. With the reader's interval of 1 s and one
// lost announcement this stays below 3 s, after which a leaving upstream must
// receive no new work.
const announcementTimeout = 1500 * time.Millisecond

// maxListBackoff is the longest time between reads while the platform does not
// answer. It is short since leaving upstreams must be noticed within 3 s of
// the platform's return.
const maxListBackoff = 1500 * time.Millisecond

// listTimeout is the time after which an unanswered read is repeated.
const listTimeout = time.Second

// firstReadSpread spreads the first reads of instances to which the platform
// answers again at the same time.
const firstReadSpread = 100 * time.Millisecond

// unsettledListInterval is the time between reads of an instance that has found no
// other one and is not settled yet.
const unsettledListInterval = 500 * time.Millisecond

// incarnationDigits is the number of hexadecimal digits with which instances
// announce their incarnations.
const incarnationDigits = 16

// listReader is the state of reading the platform's list.
type listReader struct {
	// freshAt is when the list was last read, by this instance or by a member
	// that announced it.
	freshAt  time.Duration
	nextRead time.Duration
	failures int
	// reads counts this instance's own reads that succeeded; the first was at
	// firstReadAt.
	reads       uint64
	firstReadAt time.Duration
	// bound maps the name and platform incarnation of an entry to the
	// incarnation of a member.
	bound map[string]uint64
	// boundMembers are the incarnations that bound refers to.
	boundMembers map[uint64]bool
}

// WantsList reports whether the instance list should be read now. The caller
// then reads it and passes the result to OnList.
func (v *View) WantsList(now time.Duration) bool {
	if !v.started || now < v.list.nextRead {
		return false
	}
	if !v.Reader() && v.join.joined && now-v.list.freshAt < announcementTimeout {
		return false
	}
	switch {
	case v.ListRead() && !v.Settled(now):
		v.list.nextRead = now + min(v.cfg.ListInterval, unsettledListInterval)
	case v.Reader():
		v.list.nextRead = now + v.cfg.ListInterval
	default:
		v.list.nextRead = now + max(v.cfg.ListInterval, listTimeout)
	}
	return true
}

// OnList merges the instance list. ok is false if the platform did not answer.
func (v *View) OnList(now time.Duration, ok bool, listed []Listed) {
	if !ok {
		v.list.failures = min(v.list.failures+1, 8)
		wait := min(v.cfg.ListInterval<<v.list.failures/2, maxListBackoff)
		v.list.nextRead = now + wait/2 + v.jitter(wait/2)
		return
	}
	v.list.failures = 0
	v.list.freshAt = now
	v.list.reads++
	if v.list.reads == 1 {
		v.list.firstReadAt = now
	}
	addresses := make([]string, 0, len(listed))
	versionBefore := v.leaving.version
	announced := v.applyUpstreamEntries(now, listed)
	for _, entry := range listed {
		if entry.Upstream {
			continue
		}
		if entry.PeerAddress != "" && entry.PeerAddress != v.self.PeerAddress && !entry.Leaving {
			addresses = append(addresses, entry.PeerAddress)
		}
		v.applyInstanceEntry(entry)
	}
	v.join.setAddresses(now, addresses)
	v.pruneBindings()
	if v.join.joined {
		v.rejoin()
	}
	// After an outage a member that is not a reader may be the first to see a
	// leave. Gossip alone could arrive later than the owner's next grant.
	if v.Reader() || v.leaving.version != versionBefore {
		v.announce(announced, true)
	}
}

// OnUpstreamList merges a list of upstreams that was read without the list of
// instances. It says nothing about which instances there are.
func (v *View) OnUpstreamList(now time.Duration, listed []Listed) {
	versionBefore := v.leaving.version
	announced := v.applyUpstreamEntries(now, listed)
	if v.leaving.version != versionBefore {
		v.announce(announced, false)
	}
}

// applyUpstreamEntries applies the listed upstreams and returns the updates to
// announce.
func (v *View) applyUpstreamEntries(now time.Duration, listed []Listed) (announced []*pb.MemberUpdate) {
	for _, entry := range listed {
		if entry.Upstream {
			announced = append(announced, v.applyUpstreamEntry(now, entry)...)
		}
	}
	return announced
}

// PlatformAnswered records that the platform answered another call. If no read of
// the list has succeeded yet, it is read soon instead of after the backoff: until
// then this instance does not know which others there are.
func (v *View) PlatformAnswered(now time.Duration) {
	if !v.ListRead() && v.list.failures > 0 {
		v.list.failures = 0
		v.list.nextRead = min(v.list.nextRead, now+v.jitter(firstReadSpread))
	}
}

// ListRead reports whether this instance has read the platform's list itself.
func (v *View) ListRead() bool { return v.list.reads > 0 }

// announce tells every member of the cell all leaving incarnations that the list
// still shows, and whether the list of instances was read. They are repeated in
// every announcement, since one may be lost.
func (v *View) announce(updates []*pb.MemberUpdate, listRead bool) {
	message := &pb.MemberUpdates{Updates: updates, ListRead: listRead}
	v.EachLive(func(m Member) {
		v.send(m.Incarnation, m.PeerAddress, &pb.PeerMessage{Body: &pb.PeerMessage_MemberUpdates{MemberUpdates: message}})
	})
}

// OnUpdates merges updates that were sent outside pings.
func (v *View) OnUpdates(now time.Duration, updates *pb.MemberUpdates) {
	if updates.ListRead {
		v.list.freshAt = now
	}
	v.Apply(now, updates.Updates)
}

// applyInstanceEntry applies a listed instance. A platform incarnation is bound
// to the member at its address when it is first seen, so that a stale entry of a
// predecessor at the same address does not mark its successor as leaving.
func (v *View) applyInstanceEntry(entry Listed) {
	m := v.memberOfEntry(entry)
	if m == nil || !entry.Leaving {
		return
	}
	if m == v.self {
		v.refute(leavingUpdate(v.self.Member))
		return
	}
	v.markLeaving(m)
}

// memberOfEntry returns the member that an entry describes, nil if none is known.
func (v *View) memberOfEntry(entry Listed) *member {
	if incarnation, err := strconv.ParseUint(entry.Incarnation, 16, 64); err == nil {
		if m := v.memberOrSelf(incarnation); m != nil {
			return m
		}
		if len(entry.Incarnation) == incarnationDigits {
			// An instance's own incarnation that is not known, perhaps that of the
			// process that ran at this address before.
			return nil
		}
	}
	if v.list.bound == nil {
		v.list.bound, v.list.boundMembers = map[string]uint64{}, map[uint64]bool{}
	}
	id := entry.Name + "/" + entry.Incarnation
	if incarnation, ok := v.list.bound[id]; ok {
		return v.memberOrSelf(incarnation)
	}
	m := v.memberAt(entry.PeerAddress)
	if m == nil || v.list.boundMembers[m.Incarnation] {
		return nil
	}
	v.list.bound[id] = m.Incarnation
	v.list.boundMembers[m.Incarnation] = true
	return m
}

// pruneBindings removes the bindings of members that are no longer remembered.
func (v *View) pruneBindings() {
	for id, incarnation := range v.list.bound {
		if v.memberOrSelf(incarnation) == nil {
			delete(v.list.bound, id)
			delete(v.list.boundMembers, incarnation)
		}
	}
}

func (v *View) memberOrSelf(incarnation uint64) *member {
	if incarnation == v.self.Incarnation {
		return v.self
	}
	return v.members[incarnation]
}

func (v *View) memberAt(address string) *member {
	if address == v.self.PeerAddress {
		return v.self
	}
	for _, id := range v.order {
		if m := v.members[id]; m.PeerAddress == address && m.State != Dead {
			return m
		}
	}
	return nil
}
