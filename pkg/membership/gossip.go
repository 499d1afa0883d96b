package membership

import (
	"math/bits"
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// piggybackLimit bounds the pending updates in one ping or ack, so that the
// message fits in one datagram.
const piggybackLimit = 8

// retransmitFactor times log2 of the cell's size is how often an update is
// sent. With 3 it is very unlikely that a member misses the update.
const retransmitFactor = 3

// queuedUpdate is an update and the number of times it is still to be sent.
type queuedUpdate struct {
	update    *pb.MemberUpdate
	remaining int
}

// gossipQueue holds the updates that are still to be disseminated.
type gossipQueue struct{ pending []queuedUpdate }

// sameSubject reports whether two updates describe the same thing, so that the
// newer replaces the older in the queue. Leaving and health are kept apart.
func sameSubject(a, b *pb.MemberUpdate) bool {
	return a.Incarnation == b.Incarnation && a.Upstream == b.Upstream &&
		a.UpstreamIncarnation == b.UpstreamIncarnation &&
		(a.State == pb.MemberState_MEMBER_STATE_LEAVING) == (b.State == pb.MemberState_MEMBER_STATE_LEAVING)
}

func (q *gossipQueue) add(update *pb.MemberUpdate, cellSize int) {
	q.pending = slices.DeleteFunc(q.pending, func(queued queuedUpdate) bool { return sameSubject(queued.update, update) })
	q.pending = append(q.pending, queuedUpdate{update: update, remaining: retransmitFactor * bits.Len(uint(cellSize+1))})
}

// selectForSend returns up to limit updates, those with the most transmissions
// remaining first, and counts one transmission of each.
func (q *gossipQueue) selectForSend(limit int) []*pb.MemberUpdate {
	slices.SortStableFunc(q.pending, func(a, b queuedUpdate) int { return b.remaining - a.remaining })
	n := min(limit, len(q.pending))
	updates := make([]*pb.MemberUpdate, 0, n+2)
	for i := range n {
		updates = append(updates, q.pending[i].update)
		q.pending[i].remaining--
	}
	q.pending = slices.DeleteFunc(q.pending, func(queued queuedUpdate) bool { return queued.remaining <= 0 })
	return updates
}

var stateToProto = map[State]pb.MemberState{
	Alive:   pb.MemberState_MEMBER_STATE_ALIVE,
	Suspect: pb.MemberState_MEMBER_STATE_SUSPECT,
	Dead:    pb.MemberState_MEMBER_STATE_DEAD,
}

// healthUpdate describes whether a member is alive, suspect or dead. Leaving has
// an update of its own, since it must survive any change of health.
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

// leavingUpdate describes a member as leaving.
func leavingUpdate(m Member) *pb.MemberUpdate {
	update := healthUpdate(m)
	update.State = pb.MemberState_MEMBER_STATE_LEAVING
	return update
}

// updatesOf returns the updates that describe a member in full: its health and,
// if it is leaving, that too.
func updatesOf(m Member) []*pb.MemberUpdate {
	updates := []*pb.MemberUpdate{healthUpdate(m)}
	if m.Leaving {
		updates = append(updates, leavingUpdate(m))
	}
	return updates
}

// Updates returns pending updates to piggyback on a frame that is sent anyway.
func (v *View) Updates() []*pb.MemberUpdate { return v.gossip.selectForSend(piggybackLimit) }

// piggyback returns the updates for a ping or an ack to a member: this
// instance's own state, the receiver's state if it is suspect or dead, so that
// it can refute, and pending updates.
func (v *View) piggyback(receiver uint64) []*pb.MemberUpdate {
	updates := updatesOf(v.self.Member)
	if m, ok := v.members[receiver]; ok && m.State != Alive {
		updates = append(updates, healthUpdate(m.Member))
	}
	return append(updates, v.gossip.selectForSend(piggybackLimit)...)
}

// Apply merges updates received from another instance.
func (v *View) Apply(now time.Duration, updates []*pb.MemberUpdate) {
	for _, update := range updates {
		v.apply(now, update)
	}
}

// apply merges one update of an upstream, this instance, a contact or a member.
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

// refute handles an update about this instance from another one. A suspicion or
// death is refuted with a higher sequence number; leaving is adopted.
func (v *View) refute(u *pb.MemberUpdate) {
	switch u.State {
	case pb.MemberState_MEMBER_STATE_LEAVING:
		if !v.self.Leaving {
			// The platform listed this instance as leaving before it was told to drain.
			v.self.Leaving = true
			v.advanceEpoch()
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

// applyMember merges an update of a member of this cell. At the same sequence
// number dead overrides suspect and suspect overrides alive; only a higher
// number makes a member alive again.
func (v *View) applyMember(now time.Duration, u *pb.MemberUpdate) {
	m, known := v.members[u.Incarnation]
	if !known {
		m = v.add(now, u)
	}
	v.updateConfigRevision(m, u.ConfigRevision)
	switch u.State {
	case pb.MemberState_MEMBER_STATE_LEAVING:
		v.markLeaving(m)
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

func (v *View) markLeaving(m *member) {
	if m.Leaving {
		return
	}
	m.Leaving = true
	v.advanceEpoch()
	v.gossip.add(leavingUpdate(m.Member), v.LiveCount())
}

// add adds a member that was not known, dead if the update says so and
// alive otherwise.
func (v *View) add(now time.Duration, u *pb.MemberUpdate) *member {
	m := &member{Member: fromUpdate(u), since: now}
	if u.State == pb.MemberState_MEMBER_STATE_DEAD {
		m.State = Dead
	}
	v.members[m.Incarnation] = m
	at, _ := slices.BinarySearch(v.order, m.Incarnation)
	v.order = slices.Insert(v.order, at, m.Incarnation)
	v.advanceEpoch()
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
