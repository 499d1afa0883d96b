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
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

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

// Epoch changes whenever an owner may have changed.
func (v *View) Epoch() uint64 { return v.epoch }

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
