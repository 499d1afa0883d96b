package membership

import "time"

// shareRetention is how long a member that was declared dead, or a listed
// instance that this process has not heard of since its start, still counts
// among the instances that share a limit, while most members are alive. A member
// that was only cut off continues to use its share.
const shareRetention = 5 * time.Second

// LimitSharers returns the number of instances that a limit is divided among,
// at least 1. If at least half of the members are considered dead, this instance
// is probably the one that is cut off, and the others keep their shares. That
// also holds for a process that starts while it is cut off: instances on the
// platform's list that it has not heard of count as declared dead at its start.
func (v *View) LimitSharers(now time.Duration) int {
	live, recentlyDead, dead := 1, 0, 0
	known := map[string]bool{v.self.PeerAddress: true}
	v.EachLive(func(m Member) {
		live++
		known[m.PeerAddress] = true
	})
	countDead := func(since time.Duration) {
		dead++
		if now-since < shareRetention {
			recentlyDead++
		}
	}
	for _, id := range v.order {
		if m := v.members[id]; m.State == Dead && !m.Leaving && !known[m.PeerAddress] {
			known[m.PeerAddress] = true
			countDead(m.since)
		}
	}
	for _, address := range v.join.addresses {
		if _, inOtherCell := v.join.otherCells[address]; !known[address] && !inOtherCell {
			known[address] = true
			countDead(v.join.startedAt)
		}
	}
	if live > dead {
		return live + recentlyDead
	}
	return live + dead
}
