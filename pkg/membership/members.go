package membership

import (
	"slices"
	"time"
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
