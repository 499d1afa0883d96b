package membership

import (
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// indirectPings is the number of members asked to ping one that does not answer,
// so that one broken path alone does not make a member suspect.
const indirectPings = 2

// relayTimeout is how long a relayed ping waits for its answer.
const relayTimeout = 2 * time.Second

// relay is a ping sent on behalf of another member; sequence is the requester's.
type relay struct {
	requester uint64
	sequence  uint32
	expires   time.Duration
}

// prober is the state of failure detection, which pings one member per interval.
type prober struct {
	sequence  uint32
	nextProbe time.Duration
	// round is the shuffled order of the current round; every member is pinged
	// once per round, which bounds the detection time.
	round []uint64

	// target is the member being probed, 0 if none; indirect is true once other
	// members were asked to ping it.
	target       uint64
	sentSequence uint32
	sentAt       time.Duration
	indirect     bool

	relays map[uint32]relay
}

func (p *prober) nextSequence() uint32 {
	p.sequence++
	return p.sequence
}

// cancel ends the current probe; its target is no longer awaited.
func (p *prober) cancel() { p.target = 0 }

// Ping sends a ping to a member outside the regular round, to check whether the
// owner of a pool can be reached. It carries no updates, since it may be
// sent ten times a second; neither does its answer.
func (v *View) Ping(incarnation uint64) {
	if m, ok := v.members[incarnation]; ok {
		v.send(m.Incarnation, m.PeerAddress, &pb.PeerMessage{Body: &pb.PeerMessage_Ping{
			Ping: &pb.Ping{Sequence: v.probe.nextSequence(), Target: incarnation}}})
	}
}

// PingIndirectly asks other members to ping one that does not answer. It
// returns false if there is no other live member.
func (v *View) PingIndirectly(incarnation uint64) bool {
	sequence := v.probe.nextSequence()
	peers := v.sampleLive(indirectPings, incarnation)
	for _, m := range peers {
		v.send(m.Incarnation, m.PeerAddress, &pb.PeerMessage{Body: &pb.PeerMessage_PingRequest{
			PingRequest: &pb.PingRequest{Sequence: sequence, Target: incarnation}}})
	}
	return len(peers) > 0
}

// LastIndirectAck returns when another member last relayed an answer of a member; 0
// if never.
func (v *View) LastIndirectAck(incarnation uint64) time.Duration {
	if m, ok := v.members[incarnation]; ok {
		return m.relayed
	}
	return 0
}

func (v *View) ping(m *member, sequence uint32) {
	v.send(m.Incarnation, m.PeerAddress, &pb.PeerMessage{Body: &pb.PeerMessage_Ping{Ping: &pb.Ping{
		Sequence: sequence, Target: m.Incarnation, Updates: v.piggyback(m.Incarnation)}}})
}

// tickProbe asks other members to ping the target halfway through the ping
// interval. At the end of the interval it fails an unanswered probe and starts
// the next one.
func (v *View) tickProbe(now time.Duration) {
	if v.probe.target != 0 && !v.probe.indirect && now-v.probe.sentAt >= v.cfg.PingInterval/2 {
		v.probeIndirectly()
	}
	if now < v.probe.nextProbe {
		return
	}
	v.probe.nextProbe += v.cfg.PingInterval
	if v.probe.nextProbe < now {
		// Ticks were late. The next target must have a full interval to answer.
		v.probe.nextProbe = now + v.cfg.PingInterval
	}
	v.failProbe(now)
	v.expireRelays(now)
	v.pingDead()
	if m := v.nextTarget(); m != nil {
		v.probe.target, v.probe.sentSequence = m.Incarnation, v.probe.nextSequence()
		v.probe.sentAt, v.probe.indirect = now, false
		v.ping(m, v.probe.sentSequence)
	}
}

// deadPingsPerInterval is the number of dead members that are pinged per ping
// interval. One that answers was only cut off: the ping carries its recorded
// state, and it refutes. Until then both sides own the same pools.
const deadPingsPerInterval = 2

func (v *View) pingDead() {
	var dead []*member
	for _, id := range v.order {
		if m := v.members[id]; m.State == Dead {
			dead = append(dead, m)
		}
	}
	v.random.Shuffle(len(dead), func(i, j int) { dead[i], dead[j] = dead[j], dead[i] })
	for _, m := range dead[:min(deadPingsPerInterval, len(dead))] {
		v.ping(m, v.probe.nextSequence())
	}
}

// probeIndirectly asks other members to ping the target that has not answered.
func (v *View) probeIndirectly() {
	v.probe.indirect = true
	for _, m := range v.sampleLive(indirectPings, v.probe.target) {
		v.send(m.Incarnation, m.PeerAddress, &pb.PeerMessage{Body: &pb.PeerMessage_PingRequest{
			PingRequest: &pb.PingRequest{Sequence: v.probe.sentSequence, Target: v.probe.target}}})
	}
}

// failProbe marks the target as suspect if it answered neither the direct nor
// the indirect pings, and tells it.
func (v *View) failProbe(now time.Duration) {
	m, ok := v.members[v.probe.target]
	v.probe.cancel()
	if !ok || m.State != Alive {
		return
	}
	v.Suspect(now, m.Incarnation)
	v.ping(m, v.probe.nextSequence())
}

func (v *View) expireRelays(now time.Duration) {
	for sequence, r := range v.probe.relays {
		if now >= r.expires {
			delete(v.probe.relays, sequence)
		}
	}
}

// nextTarget returns the next member of the round that is not dead, and starts a
// new round after the last; nil if there is none.
func (v *View) nextTarget() *member {
	for range 2 {
		for len(v.probe.round) > 0 {
			id := v.probe.round[0]
			v.probe.round = v.probe.round[1:]
			if m, ok := v.members[id]; ok && m.State != Dead {
				return m
			}
		}
		v.probe.round = slices.Clone(v.order)
		v.random.Shuffle(len(v.probe.round), func(i, j int) {
			v.probe.round[i], v.probe.round[j] = v.probe.round[j], v.probe.round[i]
		})
	}
	return nil
}

// OnPing answers a ping. A ping for another incarnation at this address is not
// answered, so that the death of the process that ran there before is detected.
func (v *View) OnPing(now time.Duration, from uint64, ping *pb.Ping) {
	v.Apply(now, ping.Updates)
	if ping.Target != v.self.Incarnation {
		return
	}
	address := v.addressOf(from)
	if address == "" {
		// The sender is in another cell and has this instance as a contact, but
		// is not a contact of this one.
		address = addressIn(ping.Updates, from)
	}
	if address == "" {
		return
	}
	ack := &pb.Ack{Sequence: ping.Sequence, Target: v.self.Incarnation}
	if len(ping.Updates) > 0 {
		ack.Updates = v.piggyback(from)
	}
	v.send(from, address, &pb.PeerMessage{Body: &pb.PeerMessage_Ack{Ack: ack}})
}

// addressIn returns the address of an instance in its own updates.
func addressIn(updates []*pb.MemberUpdate, incarnation uint64) string {
	for _, u := range updates {
		if u.GetIncarnation() == incarnation {
			return u.GetPeerAddress()
		}
	}
	return ""
}

func (v *View) addressOf(incarnation uint64) string {
	m, _ := v.Find(incarnation)
	return m.PeerAddress
}

// OnPingRequest pings a member on behalf of another.
func (v *View) OnPingRequest(now time.Duration, from uint64, request *pb.PingRequest) {
	m, ok := v.members[request.Target]
	if !ok {
		return
	}
	sequence := v.probe.nextSequence()
	v.probe.relays[sequence] = relay{requester: from, sequence: request.Sequence, expires: now + relayTimeout}
	v.ping(m, sequence)
}

// OnAck handles the answer to a ping, and relays it to the requester if the ping
// was sent on behalf of another member.
func (v *View) OnAck(now time.Duration, from uint64, ack *pb.Ack) {
	v.Apply(now, ack.Updates)
	if ack.Target == from {
		v.restoreTrust(ack.Sequence)
		v.Answered(now, from)
	} else if m, ok := v.members[ack.Target]; ok {
		m.relayed = now
	}
	v.contacts.answered(ack.Target)
	if r, ok := v.probe.relays[ack.Sequence]; ok && ack.Target == from {
		delete(v.probe.relays, ack.Sequence)
		if address := v.addressOf(r.requester); address != "" {
			v.send(r.requester, address, &pb.PeerMessage{Body: &pb.PeerMessage_Ack{Ack: &pb.Ack{
				Sequence: r.sequence, Target: ack.Target}}})
		}
		return
	}
	if ack.Target == v.probe.target && ack.Sequence == v.probe.sentSequence {
		v.probe.cancel()
	}
}
