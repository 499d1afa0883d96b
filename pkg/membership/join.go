package membership

import (
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// joinInterval is the time between attempts to join.
const joinInterval = 250 * time.Millisecond

// joinFanout is the number of addresses tried at once. One is enough without
// faults; three tolerate entries of dead instances in a list that lags behind.
const joinFanout = 3

// joiner is the state of joining the cell.
type joiner struct {
	startedAt   time.Duration
	nextAttempt time.Duration
	joined      bool
	// addresses are the peer addresses on the instance list, except those of
	// this instance and of leaving ones.
	addresses []string
	// listedSince is when each of addresses was first listed without a break.
	listedSince map[string]time.Duration
	// otherCells maps peer addresses in other cells to the names of their cells.
	otherCells map[string]string
	// otherCellOrder lists the keys of otherCells, the oldest first.
	otherCellOrder []string
}

// setAddresses replaces the listed addresses.
func (j *joiner) setAddresses(now time.Duration, addresses []string) {
	since := make(map[string]time.Duration, len(addresses))
	for _, address := range addresses {
		since[address] = now
		if at, listed := j.listedSince[address]; listed {
			since[address] = at
		}
	}
	j.addresses, j.listedSince = addresses, since
}

// maxOtherCellAddresses bounds the remembered addresses in other cells.
const maxOtherCellAddresses = 8192

// recordOtherCellAddresses remembers which addresses are in other cells, so that
// no join is sent to them while enough contacts are known in their cell.
func (v *View) recordOtherCellAddresses(updates []*pb.MemberUpdate) {
	for _, u := range updates {
		switch {
		case u.GetPeerAddress() == "" || u.GetCell() == "":
		case u.Cell == v.self.Cell:
			v.join.forgetOtherCell(u.PeerAddress)
		default:
			v.join.rememberOtherCell(u.PeerAddress, u.Cell)
		}
	}
}

// rememberOtherCell records that an address is in another cell. Beyond
// maxOtherCellAddresses it forgets the address that was recorded first.
func (j *joiner) rememberOtherCell(address, cell string) {
	if j.otherCells == nil {
		j.otherCells = map[string]string{}
	}
	if _, known := j.otherCells[address]; !known {
		if len(j.otherCellOrder) >= maxOtherCellAddresses {
			j.forgetOtherCell(j.otherCellOrder[0])
		}
		j.otherCellOrder = append(j.otherCellOrder, address)
	}
	j.otherCells[address] = cell
}

func (j *joiner) forgetOtherCell(address string) {
	if _, known := j.otherCells[address]; !known {
		return
	}
	delete(j.otherCells, address)
	i := slices.Index(j.otherCellOrder, address)
	j.otherCellOrder = slices.Delete(j.otherCellOrder, i, i+1)
}

// Settled reports whether the instance joined its cell, or waited settleTime
// without an answer and assumes that it is the first. With AwaitList the wait begins
// with the first read of the list: before it, the instance has asked nobody.
func (v *View) Settled(now time.Duration) bool {
	switch {
	case v.join.joined:
		return true
	case v.cfg.AwaitList:
		return v.ListRead() && now-v.list.firstReadAt >= settleTime
	}
	return v.started && now-v.join.startedAt >= settleTime
}

func (v *View) tickJoin(now time.Duration) {
	if v.join.joined || now < v.join.nextAttempt {
		return
	}
	v.join.nextAttempt = now + joinInterval
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

// rejoin sends a join to one random address, listed or a seed, that belongs to
// no live member. This heals a partition that lasted longer than tombstoneTime.
func (v *View) rejoin() {
	known := map[string]bool{v.self.PeerAddress: true}
	v.EachLive(func(m Member) { known[m.PeerAddress] = true })
	for _, m := range v.contacts.all() {
		known[m.PeerAddress] = true
	}
	var unknown []string
	for _, address := range append(slices.Clone(v.join.addresses), v.cfg.Seeds...) {
		cell, inOtherCell := v.join.otherCells[address]
		if !known[address] && !(inOtherCell && v.contacts.count(cell) >= contactsPerCell) {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) > 0 {
		v.sendJoin(0, unknown[v.random.IntN(len(unknown))])
	}
}

// OnJoin answers a join with the members of the cell, or with contacts in this
// cell if the sender is in another.
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
		reply.Members = append(reply.Members, v.leaving.updates(now)...)
	} else {
		for _, m := range v.sampleLive(contactsPerCell, from) {
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
	v.recordOtherCellAddresses(reply.Members)
	v.Apply(now, reply.Members)
	if _, sameCell := v.members[from]; sameCell {
		if !v.join.joined {
			// All members must agree on the new owners at once; with gossip alone
			// pools would have two owners for about a second.
			v.join.joined = true
			v.broadcast(healthUpdate(v.self.Member))
		}
		return
	}
	if !v.join.joined {
		for _, m := range v.sampleLive(joinFanout, 0) {
			v.sendJoin(m.Incarnation, m.PeerAddress)
		}
	}
}
