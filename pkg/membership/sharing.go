package membership

import "time"

const (
	// shareRetention is how long a member that was declared dead still counts among the
	// instances that share a limit, while most members are alive. A member that was
	// only cut off continues to use its share.
	shareRetention = 5 * time.Second
	// unheardRetention is the same for a listed instance that this process has not heard
	// of yet, from when it found it on the list. Hundreds of instances that start
	// together take several seconds to hear of each other.
	unheardRetention = 15 * time.Second
	// sharersMaxAge bounds the age of the counted number of sharers.
	sharersMaxAge = 100 * time.Millisecond
)

// sharerCount is a number of sharers with the state that it was counted from.
type sharerCount struct {
	sharers   int
	countedAt time.Duration
	epoch     uint64
	lists     uint64
}

// LimitSharers returns the number of instances that a limit is divided among,
// at least 1. If at least half of the members are considered dead, this instance
// is probably the one that is cut off, and the others keep their shares. That
// also holds for a process that starts while it is cut off: instances on the
// platform's list that it has not heard of count as dead.
func (v *View) LimitSharers(now time.Duration) int {
	last := &v.sharers
	if last.sharers == 0 || last.epoch != v.epoch || last.lists != v.list.reads || now-last.countedAt >= sharersMaxAge {
		*last = sharerCount{sharers: v.countSharers(now), countedAt: now, epoch: v.epoch, lists: v.list.reads}
	}
	return last.sharers
}

func (v *View) countSharers(now time.Duration) int {
	live, retained, dead := 1, 0, 0
	known := map[string]bool{v.self.PeerAddress: true}
	v.EachLive(func(m Member) {
		live++
		known[m.PeerAddress] = true
	})
	countDead := func(age, retention time.Duration) {
		dead++
		if age < retention {
			retained++
		}
	}
	for _, id := range v.order {
		if m := v.members[id]; m.State == Dead && !m.Leaving && !known[m.PeerAddress] {
			known[m.PeerAddress] = true
			countDead(now-m.since, shareRetention)
		}
	}
	for _, address := range v.join.addresses {
		if _, inOtherCell := v.join.otherCells[address]; !known[address] && !inOtherCell {
			known[address] = true
			countDead(now-v.join.listedSince[address], unheardRetention)
		}
	}
	if live > dead {
		return live + retained
	}
	return live + dead
}
