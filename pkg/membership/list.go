package membership

import (
	"strconv"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Listed is one line of the platform's instance list.
type Listed struct {
	Name, Incarnation string
	Upstream          bool
	PeerAddress       string
	Leaving           bool
}

// readerSilence is how long a member goes without a reader's announcement
// before it reads the list itself. With the reader's interval of 1 s and one
// lost announcement it stays below the 3 s of promise P6.
const readerSilence = 1500 * time.Millisecond

// listBackoff is the longest time between reads while the platform does not
// answer. It is short since leaving upstreams must be noticed within 3 s of
// the platform's return.
const listBackoff = 1500 * time.Millisecond

// listTimeout is after how long an unanswered read is repeated.
const listTimeout = time.Second

// incarnationDigits is the number of hexadecimal digits with which instances
// announce their incarnations.
const incarnationDigits = 16

// listReader decides when to read the platform's list.
type listReader struct {
	// heardAt is when fresh list content last arrived, read or announced.
	heardAt  time.Duration
	next     time.Duration
	failures int
	// bound maps the platform's incarnation of an entry to ours.
	bound map[string]uint64
}

// WantsList reports whether the instance list should be read now. The caller
// then reads it and passes the result to OnList.
func (v *View) WantsList(now time.Duration) bool {
	if !v.started || now < v.list.next {
		return false
	}
	if !v.Reader() && v.join.joined && now-v.list.heardAt < readerSilence {
		return false
	}
	v.list.next = now + max(v.cfg.ListInterval, listTimeout)
	if v.Reader() {
		v.list.next = now + v.cfg.ListInterval
	}
	return true
}

// OnList merges the instance list. ok is false if the platform did not answer.
func (v *View) OnList(now time.Duration, ok bool, listed []Listed) {
	if !ok {
		v.list.failures = min(v.list.failures+1, 8)
		wait := min(v.cfg.ListInterval<<v.list.failures/2, listBackoff)
		v.list.next = now + wait/2 + v.fraction(wait/2)
		return
	}
	v.list.failures = 0
	v.list.heardAt = now
	v.join.addresses = v.join.addresses[:0]
	leavesKnown := v.leaving.version
	var announced []*pb.MemberUpdate
	for _, line := range listed {
		if line.Upstream {
			announced = append(announced, v.listUpstream(now, line)...)
			continue
		}
		if line.PeerAddress != "" && line.PeerAddress != v.self.PeerAddress && !line.Leaving {
			v.join.addresses = append(v.join.addresses, line.PeerAddress)
		}
		v.listEntry(line)
	}
	v.forgetBound()
	if v.join.joined {
		v.rejoin()
	}
	// After an outage another member than a reader may be the first to see a
	// leave. Gossip alone could take longer than the owner's next grant.
	if v.Reader() || v.leaving.version != leavesKnown {
		v.announce(announced)
	}
}

// announce tells every member of the cell that the list was read, together
// with all leaving incarnations that the list still shows. Repeating them with
// every announcement makes up for a lost one.
func (v *View) announce(updates []*pb.MemberUpdate) {
	message := &pb.MemberUpdates{Updates: updates, ListRead: true}
	v.Live(func(m Member) {
		v.send(m.Incarnation, m.PeerAddress, &pb.PeerMessage{Body: &pb.PeerMessage_MemberUpdates{MemberUpdates: message}})
	})
}

// OnUpdates merges updates that were sent outside pings.
func (v *View) OnUpdates(now time.Duration, updates *pb.MemberUpdates) {
	if updates.ListRead {
		v.list.heardAt = now
	}
	v.Apply(now, updates.Updates)
}

// listEntry applies a listed entry instance. The platform's incarnations are
// bound to ours by address at first sight, so that a stale line of a
// predecessor at the same address does not mark its successor as leaving.
func (v *View) listEntry(line Listed) {
	m := v.listedMember(line)
	if m == nil || !line.Leaving {
		return
	}
	if m == v.self {
		v.refute(leavingUpdate(v.self.Member))
		return
	}
	v.setLeaving(m)
}

func (v *View) listedMember(line Listed) *member {
	if incarnation, err := strconv.ParseUint(line.Incarnation, 16, 64); err == nil {
		if m := v.memberOrSelf(incarnation); m != nil {
			return m
		}
		if len(line.Incarnation) == incarnationDigits {
			// One of ours that is not known, perhaps of the process that ran at
			// this address before.
			return nil
		}
	}
	if v.list.bound == nil {
		v.list.bound = map[string]uint64{}
	}
	id := line.Name + "/" + line.Incarnation
	if incarnation, ok := v.list.bound[id]; ok {
		return v.memberOrSelf(incarnation)
	}
	m := v.memberAt(line.PeerAddress)
	if m == nil || v.isBound(m.Incarnation) {
		return nil
	}
	v.list.bound[id] = m.Incarnation
	return m
}

// forgetBound drops the bindings of members that are no longer remembered.
func (v *View) forgetBound() {
	for id, incarnation := range v.list.bound {
		if v.memberOrSelf(incarnation) == nil {
			delete(v.list.bound, id)
		}
	}
}

func (v *View) isBound(incarnation uint64) bool {
	for _, bound := range v.list.bound {
		if bound == incarnation {
			return true
		}
	}
	return false
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
