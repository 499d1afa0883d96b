package membership

import (
	"math/bits"
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// piggybackLimit bounds the updates in one ping or answer, which keeps a
// message within one datagram.
const piggybackLimit = 8

// gossipFactor times log2 of the cell's size is how often an update is sent.
// Three makes it very unlikely that a member misses it.
const gossipFactor = 3

type queuedUpdate struct {
	update *pb.MemberUpdate
	left   int
}

// gossipQueue holds the updates that still have to be spread.
type gossipQueue struct{ pending []queuedUpdate }

// sameSubject reports whether a newer update replaces an older one.
func sameSubject(a, b *pb.MemberUpdate) bool {
	return a.Incarnation == b.Incarnation && a.Upstream == b.Upstream &&
		a.UpstreamIncarnation == b.UpstreamIncarnation &&
		(a.State == pb.MemberState_MEMBER_STATE_LEAVING) == (b.State == pb.MemberState_MEMBER_STATE_LEAVING)
}

func (q *gossipQueue) add(update *pb.MemberUpdate, cell int) {
	q.pending = slices.DeleteFunc(q.pending, func(r queuedUpdate) bool { return sameSubject(r.update, update) })
	q.pending = append(q.pending, queuedUpdate{update: update, left: gossipFactor * bits.Len(uint(cell+1))})
}

// take returns the updates sent least often and counts them as sent.
func (q *gossipQueue) take(limit int) []*pb.MemberUpdate {
	slices.SortStableFunc(q.pending, func(a, b queuedUpdate) int { return b.left - a.left })
	n := min(limit, len(q.pending))
	updates := make([]*pb.MemberUpdate, 0, n+2)
	for i := range n {
		updates = append(updates, q.pending[i].update)
		q.pending[i].left--
	}
	q.pending = slices.DeleteFunc(q.pending, func(r queuedUpdate) bool { return r.left <= 0 })
	return updates
}

var stateToProto = map[State]pb.MemberState{
	Alive:   pb.MemberState_MEMBER_STATE_ALIVE,
	Suspect: pb.MemberState_MEMBER_STATE_SUSPECT,
	Dead:    pb.MemberState_MEMBER_STATE_DEAD,
}

// healthUpdate describes whether a member is alive, suspect or dead. Leaving is
// spread by an update of its own, since it must survive any change of health.
func healthUpdate(m Member) *pb.MemberUpdate {
	return &pb.MemberUpdate{
		Incarnation:    m.Incarnation,
		Sequence:       m.Sequence,
		State:          stateToProto[m.State],
		PeerAddress:    m.PeerAddress,
		CallerAddress:  m.CallerAddress,
		AdminAddress:   m.AdminAddress,
		FailureDomain:  m.FailureDomain,
		Cell:           m.Cell,
		ConfigRevision: m.ConfigRevision,
		Behind:         m.Behind,
	}
}

func leavingUpdate(m Member) *pb.MemberUpdate {
	update := healthUpdate(m)
	update.State = pb.MemberState_MEMBER_STATE_LEAVING
	return update
}

// updatesOf returns the one or two updates that describe a member in full.
func updatesOf(m Member) []*pb.MemberUpdate {
	updates := []*pb.MemberUpdate{healthUpdate(m)}
	if m.Leaving {
		updates = append(updates, leavingUpdate(m))
	}
	return updates
}

// Updates returns pending updates for a frame that is sent anyway.
func (v *View) Updates() []*pb.MemberUpdate { return v.gossip.take(piggybackLimit) }

// piggyback returns the updates for a ping or an answer to a member: this
// instance's own state, what is held against the receiver, so that it can
// refute, and pending updates.
func (v *View) piggyback(to uint64) []*pb.MemberUpdate {
	updates := updatesOf(v.self.Member)
	if m, ok := v.members[to]; ok && m.State != Alive {
		updates = append(updates, healthUpdate(m.Member))
	}
	return append(updates, v.gossip.take(piggybackLimit)...)
}

// Apply merges updates received from another instance.
func (v *View) Apply(now time.Duration, updates []*pb.MemberUpdate) {
	for _, update := range updates {
		v.apply(now, update)
	}
}

func (v *View) apply(now time.Duration, u *pb.MemberUpdate) {
	switch {
	case u == nil:
	case u.Upstream != "":
		v.applyUpstream(now, u)
	case u.Incarnation == 0 || u.State == pb.MemberState_MEMBER_STATE_UNSPECIFIED:
	case u.Incarnation == v.self.Incarnation:
		v.refute(u)
	case u.Cell != v.self.Cell:
		v.applyContact(u)
	default:
		v.applyMember(now, u)
	}
}

// refute answers an update that says this instance is not well.
func (v *View) refute(u *pb.MemberUpdate) {
	switch u.State {
	case pb.MemberState_MEMBER_STATE_LEAVING:
		if !v.self.Leaving {
			// The platform listed this instance as leaving before it was told to drain.
			v.self.Leaving = true
			v.changed()
			v.gossip.add(leavingUpdate(v.self.Member), v.LiveCount())
		}
	case pb.MemberState_MEMBER_STATE_SUSPECT, pb.MemberState_MEMBER_STATE_DEAD:
		if u.Sequence >= v.self.Sequence {
			v.self.Sequence = u.Sequence + 1
			update := healthUpdate(v.self.Member)
			v.gossip.add(update, v.LiveCount())
			v.broadcast(update)
		}
	}
}

func (v *View) applyMember(now time.Duration, u *pb.MemberUpdate) {
	m, known := v.members[u.Incarnation]
	if !known {
		m = v.add(now, u)
	}
	v.noteRevision(m, u.ConfigRevision)
	switch u.State {
	case pb.MemberState_MEMBER_STATE_LEAVING:
		v.setLeaving(m)
	case pb.MemberState_MEMBER_STATE_DEAD:
		if u.Sequence >= m.Sequence {
			m.Sequence = u.Sequence
			v.setState(now, m, Dead)
		}
	case pb.MemberState_MEMBER_STATE_SUSPECT:
		if u.Sequence > m.Sequence || u.Sequence == m.Sequence && m.State == Alive {
			m.Sequence = u.Sequence
			v.setState(now, m, Suspect)
		}
	case pb.MemberState_MEMBER_STATE_ALIVE:
		if u.Sequence > m.Sequence {
			m.Sequence = u.Sequence
			v.setBehind(m, u.Behind)
			v.setState(now, m, Alive)
		}
	}
}

func (v *View) setLeaving(m *member) {
	if m.Leaving {
		return
	}
	m.Leaving = true
	v.changed()
	v.gossip.add(leavingUpdate(m.Member), v.LiveCount())
}

// add records a member that was not known. Its state follows from the update
// that introduces it.
func (v *View) add(now time.Duration, u *pb.MemberUpdate) *member {
	m := &member{Member: fromUpdate(u), since: now}
	if u.State == pb.MemberState_MEMBER_STATE_DEAD {
		m.State = Dead
	}
	v.members[m.Incarnation] = m
	at, _ := slices.BinarySearch(v.order, m.Incarnation)
	v.order = slices.Insert(v.order, at, m.Incarnation)
	v.changed()
	v.gossip.add(healthUpdate(m.Member), v.LiveCount())
	return m
}

func fromUpdate(u *pb.MemberUpdate) Member {
	return Member{
		Incarnation:    u.Incarnation,
		Sequence:       u.Sequence,
		State:          Alive,
		PeerAddress:    u.PeerAddress,
		CallerAddress:  u.CallerAddress,
		AdminAddress:   u.AdminAddress,
		FailureDomain:  u.FailureDomain,
		Cell:           u.Cell,
		ConfigRevision: u.ConfigRevision,
		Behind:         u.Behind,
	}
}
