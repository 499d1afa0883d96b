package membership

import "time"

// deadShare is how long a member that is taken for dead, or one that this
// process has not heard of since its start, still counts among those that share
// a limit, while most members are alive. A member that was only cut off goes on
// using its share.
const deadShare = 5 * time.Second

// SharingCount returns the number of instances that a limit is divided among,
// at least 1. Where most members are taken for dead, this instance is probably
// the one that is cut off, and the others keep their shares. That holds also
// for a process that starts while it is cut off: instances on the platform's
// list that it has not heard of count as members taken for dead at its start.
func (v *View) SharingCount(now time.Duration) int {
	live, lately, dead := 1, 0, 0
	known := map[string]bool{v.self.PeerAddress: true}
	v.Live(func(m Member) {
		live++
		known[m.PeerAddress] = true
	})
	silent := func(since time.Duration) {
		dead++
		if now-since < deadShare {
			lately++
		}
	}
	for _, id := range v.order {
		if m := v.members[id]; m.State == Dead && !m.Leaving && !known[m.PeerAddress] {
			known[m.PeerAddress] = true
			silent(m.since)
		}
	}
	for _, address := range v.join.addresses {
		if _, foreign := v.join.cells[address]; !known[address] && !foreign {
			known[address] = true
			silent(v.join.startedAt)
		}
	}
	if live > dead {
		return live + lately
	}
	return live + dead
}
