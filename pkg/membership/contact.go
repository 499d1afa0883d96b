package membership

import (
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// contactsPerCell is the number of contacts that an instance keeps in each other cell.
const contactsPerCell = 2

// contactInterval is the time between pings to contacts. One contact is pinged
// per interval, whatever the number of cells.
const contactInterval = time.Second

// maxMissedPings is the number of consecutive pings that a contact may leave
// unanswered before it is removed.
const maxMissedPings = 2

// contact is an instance of another cell that this instance pings.
type contact struct {
	Member
	// missed counts the pings and joins sent since the contact was last heard from.
	missed int
}

// contactList holds the contacts in other cells, ordered by cell and incarnation.
type contactList struct {
	contacts   []*contact
	nextPing   time.Duration
	roundRobin int
}

func (l *contactList) all() []Member {
	members := make([]Member, 0, len(l.contacts))
	for _, c := range l.contacts {
		members = append(members, c.Member)
	}
	return members
}

func (l *contactList) get(incarnation uint64) *contact {
	for _, c := range l.contacts {
		if c.Incarnation == incarnation {
			return c
		}
	}
	return nil
}

func (l *contactList) find(incarnation uint64) (Member, bool) {
	if c := l.get(incarnation); c != nil {
		return c.Member, true
	}
	return Member{}, false
}

// heard records that a frame of a contact arrived, with its configuration revision.
func (l *contactList) heard(from, configRevision uint64) {
	if c := l.get(from); c != nil {
		c.missed = 0
		c.ConfigRevision = max(c.ConfigRevision, configRevision)
	}
}

// answered records that a contact answered a ping.
func (l *contactList) answered(incarnation uint64) {
	if c := l.get(incarnation); c != nil {
		c.missed = 0
	}
}

// count returns the number of contacts in a cell.
func (l *contactList) count(cell string) int {
	count := 0
	for _, c := range l.contacts {
		if c.Cell == cell {
			count++
		}
	}
	return count
}

func (l *contactList) remove(incarnation uint64) {
	l.contacts = slices.DeleteFunc(l.contacts, func(c *contact) bool { return c.Incarnation == incarnation })
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
		v.contacts.remove(u.Incarnation)
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

// tickContacts handles the next contact in turn. It removes one that does not
// answer; if its cell has too few contacts, it joins through the contact to
// learn of others; otherwise it pings it.
func (v *View) tickContacts(now time.Duration) {
	if now < v.contacts.nextPing || len(v.contacts.contacts) == 0 {
		return
	}
	v.contacts.nextPing = now + contactInterval
	v.contacts.roundRobin++
	c := v.contacts.contacts[v.contacts.roundRobin%len(v.contacts.contacts)]
	if c.missed >= maxMissedPings {
		v.contacts.remove(c.Incarnation)
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
