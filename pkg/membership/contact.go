package membership

import (
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// contactsPerCell is the number of instances known in each other cell.
const contactsPerCell = 2

// contactInterval is the time between pings to contacts. One contact is pinged
// per interval, whatever the number of cells.
const contactInterval = time.Second

// contactMisses is how many pings in a row a contact may leave unanswered.
const contactMisses = 2

type contact struct {
	Member
	missed int
}

// contactBook holds the contacts in other cells, ordered by cell and incarnation.
type contactBook struct {
	contacts []*contact
	next     time.Duration
	turn     int
}

func (b *contactBook) all() []Member {
	members := make([]Member, 0, len(b.contacts))
	for _, c := range b.contacts {
		members = append(members, c.Member)
	}
	return members
}

func (b *contactBook) get(incarnation uint64) *contact {
	for _, c := range b.contacts {
		if c.Incarnation == incarnation {
			return c
		}
	}
	return nil
}

func (b *contactBook) find(incarnation uint64) (Member, bool) {
	if c := b.get(incarnation); c != nil {
		return c.Member, true
	}
	return Member{}, false
}

func (b *contactBook) heard(from, configRevision uint64) {
	if c := b.get(from); c != nil {
		c.missed = 0
		c.ConfigRevision = max(c.ConfigRevision, configRevision)
	}
}

func (b *contactBook) answered(incarnation uint64) {
	if c := b.get(incarnation); c != nil {
		c.missed = 0
	}
}

func (b *contactBook) count(cell string) int {
	count := 0
	for _, c := range b.contacts {
		if c.Cell == cell {
			count++
		}
	}
	return count
}

func (b *contactBook) drop(incarnation uint64) {
	b.contacts = slices.DeleteFunc(b.contacts, func(c *contact) bool { return c.Incarnation == incarnation })
}

// applyContact merges an update of an instance of another cell.
func (v *View) applyContact(u *pb.MemberUpdate) {
	known := v.contacts.get(u.Incarnation)
	switch u.State {
	case pb.MemberState_MEMBER_STATE_ALIVE:
		if known != nil {
			known.Sequence = max(known.Sequence, u.Sequence)
			known.ConfigRevision = max(known.ConfigRevision, u.ConfigRevision)
			return
		}
		if u.Cell != "" && v.contacts.count(u.Cell) < contactsPerCell {
			v.contacts.contacts = append(v.contacts.contacts, &contact{Member: fromUpdate(u)})
			slices.SortFunc(v.contacts.contacts, compareContacts)
		}
	case pb.MemberState_MEMBER_STATE_DEAD, pb.MemberState_MEMBER_STATE_LEAVING:
		v.contacts.drop(u.Incarnation)
	}
}

func compareContacts(a, b *contact) int {
	if a.Cell != b.Cell {
		if a.Cell < b.Cell {
			return -1
		}
		return 1
	}
	if a.Incarnation < b.Incarnation {
		return -1
	}
	return 1
}

// tickContacts pings the next contact, drops a silent one and looks for a
// replacement through the other contact of its cell.
func (v *View) tickContacts(now time.Duration) {
	if now < v.contacts.next || len(v.contacts.contacts) == 0 {
		return
	}
	v.contacts.next = now + contactInterval
	v.contacts.turn++
	c := v.contacts.contacts[v.contacts.turn%len(v.contacts.contacts)]
	if c.missed >= contactMisses {
		v.contacts.drop(c.Incarnation)
		return
	}
	c.missed++
	if v.contacts.count(c.Cell) < contactsPerCell {
		v.sendJoin(c.Incarnation, c.PeerAddress)
		return
	}
	v.send(c.Incarnation, c.PeerAddress, &pb.PeerMessage{Body: &pb.PeerMessage_Ping{Ping: &pb.Ping{
		Sequence: v.probe.nextSequence(), Target: c.Incarnation, Updates: updatesOf(v.self.Member)}}})
}
