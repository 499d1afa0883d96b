package membership

import (
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// joinInterval is the time between attempts to join.
const joinInterval = 250 * time.Millisecond

// joinFanout is the number of addresses tried at once. One is enough when all
// is well; three tolerate dead entries in a lagging list.
const joinFanout = 3

// joiner finds the members of the cell.
type joiner struct {
	startedAt time.Duration
	next      time.Duration
	joined    bool
	// addresses are those of the instance list, without this instance.
	addresses []string
	// cells holds the cells of addresses in other cells.
	cells map[string]string
}

// maxForeign bounds the remembered addresses in other cells.
const maxForeign = 8192

// noteForeign remembers the cells of instances in other cells, so that they are
// not asked to join again while their cell has its contacts.
func (v *View) noteForeign(updates []*pb.MemberUpdate) {
	if v.join.cells == nil || len(v.join.cells) >= maxForeign {
		v.join.cells = map[string]string{}
	}
	for _, u := range updates {
		switch {
		case u.GetPeerAddress() == "" || u.GetCell() == "":
		case u.Cell == v.self.Cell:
			delete(v.join.cells, u.PeerAddress)
		default:
			v.join.cells[u.PeerAddress] = u.Cell
		}
	}
}

// Settled reports whether the instance found its cell, or has good reason to
// believe that it is the first.
func (v *View) Settled(now time.Duration) bool {
	return v.join.joined || v.started && now-v.join.startedAt >= settleTime
}

func (v *View) tickJoin(now time.Duration) {
	if v.join.joined || now < v.join.next {
		return
	}
	v.join.next = now + joinInterval
	addresses := append(append([]string(nil), v.cfg.Seeds...), v.join.addresses...)
	v.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	sent := 0
	for _, address := range addresses {
		if address != v.self.PeerAddress && sent < joinFanout {
			v.sendJoin(0, address)
			sent++
		}
	}
}

func (v *View) sendJoin(to uint64, address string) {
	v.send(to, address, &pb.PeerMessage{Body: &pb.PeerMessage_Join{
		Join: &pb.Join{Self: healthUpdate(v.self.Member)}}})
}

// rejoin contacts one listed instance that is not a live member. It heals a
// partition that lasted longer than tombstones.
func (v *View) rejoin() {
	known := map[string]bool{v.self.PeerAddress: true}
	v.Live(func(m Member) { known[m.PeerAddress] = true })
	for _, m := range v.contacts.all() {
		known[m.PeerAddress] = true
	}
	var unknown []string
	for _, address := range append(slices.Clone(v.join.addresses), v.cfg.Seeds...) {
		cell, foreign := v.join.cells[address]
		if !known[address] && !(foreign && v.contacts.count(cell) >= contactsPerCell) {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) > 0 {
		v.sendJoin(0, unknown[v.random.IntN(len(unknown))])
	}
}

// OnJoin answers an instance that looks for its cell.
func (v *View) OnJoin(now time.Duration, from uint64, join *pb.Join) {
	if join.Self == nil || join.Self.Incarnation != from || from == v.self.Incarnation {
		return
	}
	v.apply(now, join.Self)
	reply := &pb.JoinReply{Members: updatesOf(v.self.Member)}
	if join.Self.Cell == v.self.Cell {
		for _, id := range v.order {
			reply.Members = append(reply.Members, updatesOf(v.members[id].Member)...)
		}
		reply.Members = append(reply.Members, v.leaving.updates()...)
	} else {
		for _, m := range v.pick(contactsPerCell, from) {
			reply.Members = append(reply.Members, updatesOf(m.Member)...)
		}
	}
	for _, m := range v.contacts.all() {
		reply.Members = append(reply.Members, updatesOf(m)...)
	}
	v.send(from, join.Self.PeerAddress, &pb.PeerMessage{Body: &pb.PeerMessage_JoinReply{JoinReply: reply}})
}

// OnJoinReply merges the members that another instance knows. A reply from
// another cell may name members of this one, which are then joined directly.
func (v *View) OnJoinReply(now time.Duration, from uint64, reply *pb.JoinReply) {
	v.noteForeign(reply.Members)
	v.Apply(now, reply.Members)
	if _, sameCell := v.members[from]; sameCell {
		if !v.join.joined {
			// All members must agree on the new owners at once; gossip would
			// leave two owners for about a second.
			v.join.joined = true
			v.broadcast(healthUpdate(v.self.Member))
		}
		return
	}
	if !v.join.joined {
		for _, m := range v.pick(joinFanout, 0) {
			v.sendJoin(m.Incarnation, m.PeerAddress)
		}
	}
}
