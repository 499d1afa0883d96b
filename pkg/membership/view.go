// Package membership keeps an instance's view of the other instances of its
// cell (alive, suspect, leaving or dead), of two contacts in each other cell
// and of leaving upstreams, and derives the owners of pools from it. It does no
// I/O and reads no clock.
//
// Invariants:
//   - the messages sent per ping interval do not depend on the cell's size,
//     except for a reader's announcements and for rare events: a join, a leave,
//     a suspicion by the first member to detect it, and its refutation;
//   - leaving is sticky: once known for an incarnation it is never undone;
//   - a member's sequence number never decreases, and only the member itself
//     raises it.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// State is the state of a member, apart from leaving.
type State uint8

// States of a member.
const (
	Alive State = iota + 1
	Suspect
	Dead
)

// String returns the state's name in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Member describes one instance as far as this one knows it.
type Member struct {
	Incarnation uint64
	// Sequence orders updates of the same incarnation.
	Sequence uint32
	State    State
	Leaving  bool

	PeerAddress, CallerAddress, AdminAddress string
	FailureDomain, Cell                      string
	// ConfigRevision is the configuration revision last reported by the member.
	ConfigRevision uint64
	// Behind is true while the member cannot read the store. It may then know
	// fewer upstreams than other members, so it owns pools only if all are behind.
	Behind bool
}

// Config holds the settings of a View.
type Config struct {
	// Self describes this instance; its State is ignored.
	Self Member
	// PingInterval is the time between probes, DeadAfter the time from suspicion
	// to death, and ListInterval the time between a reader's reads of the
	// platform's list.
	PingInterval, DeadAfter, ListInterval time.Duration
	// Seeds are peer addresses to join through.
	Seeds []string
	// AwaitList is true if this instance can find the others only on the platform's
	// list, so that it does not settle before it has read it.
	AwaitList bool
	// Seed makes random choices repeatable.
	Seed uint64
	// IgnoreLeaving injects a fault for tests: leaving upstreams stay usable.
	IgnoreLeaving bool
}

// Message is one message to another instance.
type Message struct {
	// To is 0 if the incarnation at the address is not known.
	To      uint64
	Address string
	Body    *pb.PeerMessage
}

// settleTime is how long an instance that knows whom to join waits for an answer
// before it assumes that it is the first of its cell, and how long an instance
// waits for an answer after a pause before it trusts its view again.
const settleTime = 2 * time.Second

// tombstoneTime is how long a dead member is remembered, so that late gossip
// does not add it again. Gossip of an update ends after a few ping intervals.
const tombstoneTime = time.Minute

// member is a Member with the local times of failure detection.
type member struct {
	Member
	// since is when State was entered.
	since time.Duration
	// heard is when a frame of the member last arrived; answered is when it
	// last answered something that this instance sent.
	heard, answered time.Duration
	// relayed is when another member last relayed an answer of this one.
	relayed time.Duration
	// notified is when a dead member that sends was last told that it is
	// considered dead.
	notified time.Duration
}

// View is one instance's view of its cell. It is not safe for concurrent use.
type View struct {
	cfg     Config
	random  *rand.Rand
	self    *member
	members map[uint64]*member
	// order lists the incarnations of members in ascending order, so that
	// iteration does not depend on map order.
	order    []uint64
	contacts contactList
	gossip   gossipQueue
	probe    prober
	join     joiner
	list     listReader
	// sharers is the last count of LimitSharers.
	sharers   sharerCount
	reader    perEpoch[bool]
	liveCount perEpoch[int]
	// leaving holds the upstreams that were seen leaving.
	leaving  upstreamRecords
	outbox   []Message
	epoch    uint64
	started  bool
	lastTick time.Duration
	pausedAt time.Duration
	paused   bool
	// trustFromSequence is the sequence number of the first ping after the pause.
	trustFromSequence uint32
}

// New returns a View that knows only the instance itself.
func New(cfg Config) *View {
	self := &member{Member: cfg.Self}
	self.State = Alive
	v := &View{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		self:     self,
		members:  map[uint64]*member{},
		contacts: contactList{},
		leaving:  newUpstreamRecords(),
		epoch:    1,
	}
	v.probe.relays = map[uint32]relay{}
	return v
}

// Self returns the instance's own entry.
func (v *View) Self() Member { return v.self.Member }

// SetConfigRevision sets the revision that is reported to other members. With
// its first configuration an instance may become an owner, so it broadcasts it.
func (v *View) SetConfigRevision(revision uint64) {
	first := v.self.ConfigRevision == 0
	v.self.ConfigRevision = revision
	if first && revision > 0 {
		v.advanceEpoch()
		v.broadcast(healthUpdate(v.self.Member))
	}
}

// SetBehind sets whether this instance is unable to read the store, and tells
// all members when that changes, so that they agree on the owners.
func (v *View) SetBehind(behind bool) {
	if v.self.Behind == behind {
		return
	}
	v.self.Sequence++
	v.setBehind(v.self, behind)
	v.broadcast(healthUpdate(v.self.Member))
}

func (v *View) setBehind(m *member, behind bool) {
	if m.Behind == behind {
		return
	}
	m.Behind = behind
	v.advanceEpoch()
	v.gossip.add(healthUpdate(m.Member), v.LiveCount())
}

// updateConfigRevision raises the configuration revision known of a member.
func (v *View) updateConfigRevision(m *member, revision uint64) {
	if m.ConfigRevision == 0 && revision > 0 {
		v.advanceEpoch()
	}
	m.ConfigRevision = max(m.ConfigRevision, revision)
}

// Epoch changes whenever an owner may have changed.
func (v *View) Epoch() uint64 { return v.epoch }

// Members returns all known members of the cell with the instance itself
// first, then the contacts in other cells.
func (v *View) Members() []Member {
	all := []Member{v.self.Member}
	for _, id := range v.order {
		all = append(all, v.members[id].Member)
	}
	return append(all, v.contacts.all()...)
}

// EachLive calls visit for each other member of the cell that is not dead.
func (v *View) EachLive(visit func(Member)) {
	for _, id := range v.order {
		if m := v.members[id]; m.State != Dead {
			visit(m.Member)
		}
	}
}

// LiveCount returns the number of live members that are not leaving, at least 1.
func (v *View) LiveCount() int { return v.liveCount.get(v.epoch, v.countLive) }

func (v *View) countLive() int {
	count := 0
	if !v.self.Leaving {
		count++
	}
	v.EachLive(func(m Member) {
		if !m.Leaving {
			count++
		}
	})
	return max(count, 1)
}

// LiveExcept returns the number of members that are not dead, without this
// instance and the one given.
func (v *View) LiveExcept(incarnation uint64) int {
	count := 0
	v.EachLive(func(m Member) {
		if m.Incarnation != incarnation {
			count++
		}
	})
	return count
}

// Find returns a member of the cell or a contact.
func (v *View) Find(incarnation uint64) (Member, bool) {
	if incarnation == v.self.Incarnation {
		return v.self.Member, true
	}
	if m, ok := v.members[incarnation]; ok {
		return m.Member, true
	}
	return v.contacts.find(incarnation)
}

// LastHeard returns when a frame of the member last arrived.
func (v *View) LastHeard(incarnation uint64) (time.Duration, bool) {
	m, ok := v.members[incarnation]
	if !ok {
		return 0, false
	}
	return m.heard, true
}

// Heard records that a frame of an instance arrived, whatever its content. A
// member recorded as dead is told so, at most once per ping interval.
func (v *View) Heard(now time.Duration, from uint64, configRevision uint64) {
	if m, ok := v.members[from]; ok {
		m.heard = now
		v.updateConfigRevision(m, configRevision)
		if m.State == Dead && now-m.notified >= v.cfg.PingInterval {
			// The ping carries the member's recorded state, so that it refutes.
			m.notified = now
			v.ping(m, v.probe.nextSequence())
		}
		return
	}
	v.contacts.heard(from, configRevision)
}

// Answered records that a member answered something that this instance sent,
// which shows that messages pass in both directions.
func (v *View) Answered(now time.Duration, from uint64) {
	if m, ok := v.members[from]; ok {
		m.answered = now
	}
}

// LastAnswer returns when a member last answered; 0 if never.
func (v *View) LastAnswer(incarnation uint64) time.Duration {
	if m, ok := v.members[incarnation]; ok {
		return m.answered
	}
	return 0
}

// Suspect marks a member as suspect that answered neither this instance nor the
// members that it asked, and tells every member of the cell, so that all agree on
// the next owner without waiting for gossip. Receivers do not broadcast it again,
// so the messages per failure grow linearly with the cell's size, not
// quadratically.
func (v *View) Suspect(now time.Duration, incarnation uint64) {
	m, ok := v.members[incarnation]
	if !ok || m.State != Alive {
		return
	}
	v.setState(now, m, Suspect)
	v.broadcast(healthUpdate(m.Member))
}

// broadcast sends an update to every live member of the cell. It is used for
// rare events only.
func (v *View) broadcast(update *pb.MemberUpdate) {
	v.EachLive(func(m Member) {
		v.send(m.Incarnation, m.PeerAddress, &pb.PeerMessage{Body: &pb.PeerMessage_MemberUpdates{
			MemberUpdates: &pb.MemberUpdates{Updates: []*pb.MemberUpdate{update}}}})
	})
}

// Leave marks this instance as leaving and tells every member of the cell.
func (v *View) Leave(now time.Duration) {
	if v.self.Leaving {
		return
	}
	v.self.Leaving = true
	v.advanceEpoch()
	v.announceSelf()
}

// announceSelf tells every member of the cell that this instance is leaving.
func (v *View) announceSelf() {
	update := leavingUpdate(v.self.Member)
	v.gossip.add(update, v.LiveCount())
	v.broadcast(update)
}

// Outbox returns the messages to send and empties the list.
func (v *View) Outbox() []Message {
	outbox := v.outbox
	v.outbox = nil
	return outbox
}

func (v *View) send(to uint64, address string, body *pb.PeerMessage) {
	v.outbox = append(v.outbox, Message{To: to, Address: address, Body: body})
}

// advanceEpoch marks that an owner may have changed.
func (v *View) advanceEpoch() { v.epoch++ }

// Tick runs all timers. It returns true if the instance was paused, which is
// detected by a gap between ticks above pauseLimit.
func (v *View) Tick(now time.Duration) (paused bool) {
	if !v.started {
		v.started = true
		v.startTimers(now)
	}
	gap := now - v.lastTick
	v.lastTick = now
	if gap > pauseLimit {
		v.recoverFromPause(now, gap)
		paused = true
	}
	if v.paused && now-v.pausedAt >= settleTime {
		// No peer answered: the instance is alone or cut off, which failure
		// detection determines by itself.
		v.paused = false
		v.advanceEpoch()
	}
	v.tickProbe(now)
	v.expireMembers(now)
	v.tickJoin(now)
	v.tickContacts(now)
	return paused
}

func (v *View) startTimers(now time.Duration) {
	v.lastTick = now
	v.join.startedAt = now
	v.list.freshAt = now
	// A random phase spreads the pings of instances that start together.
	v.probe.nextProbe = now + v.jitter(v.cfg.PingInterval)
}

// jitter returns a random duration from 0 to d.
func (v *View) jitter(d time.Duration) time.Duration {
	return time.Duration(v.random.Float64() * float64(d))
}

// expireMembers declares suspects dead after DeadAfter and removes dead members
// after tombstoneTime.
func (v *View) expireMembers(now time.Duration) {
	for _, id := range slices.Clone(v.order) {
		m := v.members[id]
		switch {
		case m.State == Suspect && now-m.since >= v.cfg.DeadAfter:
			v.setState(now, m, Dead)
		case m.State == Dead && now-m.since >= tombstoneTime:
			v.removeMember(id)
		}
	}
}

func (v *View) removeMember(id uint64) {
	delete(v.members, id)
	if at, found := slices.BinarySearch(v.order, id); found {
		v.order = slices.Delete(v.order, at, at+1)
	}
}

// setState changes a member's state and queues the update for gossip.
func (v *View) setState(now time.Duration, m *member, state State) {
	if m.State == state {
		return
	}
	v.advanceEpoch()
	m.State, m.since = state, now
	v.gossip.add(healthUpdate(m.Member), v.LiveCount())
}

// sampleLive returns up to n distinct random members that are neither dead nor
// the excluded one.
func (v *View) sampleLive(n int, excluded uint64) []*member {
	var candidates []*member
	for _, id := range v.order {
		if m := v.members[id]; m.State != Dead && id != excluded {
			candidates = append(candidates, m)
		}
	}
	v.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(n, len(candidates))]
}

// Sample returns up to n distinct random live members.
func (v *View) Sample(n int) []uint64 {
	var ids []uint64
	for _, m := range v.sampleLive(n, 0) {
		ids = append(ids, m.Incarnation)
	}
	return ids
}

// Contacts returns the incarnations of the contacts in other cells.
func (v *View) Contacts() []uint64 {
	var ids []uint64
	for _, m := range v.contacts.all() {
		ids = append(ids, m.Incarnation)
	}
	return ids
}
