package membership

import "time"

// LastHeard returns when a frame of the member last arrived.
func (v *View) LastHeard(incarnation uint64) (time.Duration, bool) {
	m, ok := v.members[incarnation]
	if !ok {
		return 0, false
	}
	return m.heard, true
}

// Heard records that a frame of an instance arrived, whatever its content. A
// member recorded as dead is told so, at most once per ping interval.
func (v *View) Heard(now time.Duration, from uint64, configRevision uint64) {
	if m, ok := v.members[from]; ok {
		m.heard = now
		v.updateConfigRevision(m, configRevision)
		if m.State == Dead && now-m.notified >= v.cfg.PingInterval {
			// The ping carries the member's recorded state, so that it refutes.
			m.notified = now
			v.ping(m, v.probe.nextSequence())
		}
		return
	}
	v.contacts.heard(from, configRevision)
}

// Answered records that a member answered something that this instance sent,
// which shows that messages pass in both directions.
func (v *View) Answered(now time.Duration, from uint64) {
	if m, ok := v.members[from]; ok {
		m.answered = now
	}
}

// LastAnswer returns when a member last answered; 0 if never.
func (v *View) LastAnswer(incarnation uint64) time.Duration {
	if m, ok := v.members[incarnation]; ok {
		return m.answered
	}
	return 0
}

// Suspect marks a member as suspect that answered neither this instance nor the
// members that it asked, and tells every member of the cell, so that all agree on
// the next owner without waiting for gossip. Receivers do not broadcast it again,
// so the messages per failure grow linearly with the cell's size, not
// quadratically.
func (v *View) Suspect(now time.Duration, incarnation uint64) {
	m, ok := v.members[incarnation]
	if !ok || m.State != Alive {
		return
	}
	v.setState(now, m, Suspect)
	v.broadcast(healthUpdate(m.Member))
}
