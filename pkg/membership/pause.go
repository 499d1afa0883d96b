package membership

import "time"

// pauseLimit is how late a tick may be before the instance no longer trusts
// its view, since its peers may have declared it dead in the meantime.
const pauseLimit = time.Second

// Trusted reports whether the view may be relied on for ownership. It is false
// after a pause, until another member has answered.
func (v *View) Trusted() bool { return !v.paused }

// recoverFromPause handles the end of a pause. Timers that expired during the
// pause are no evidence about the peers, so they are extended by the gap. The
// peers may have declared this instance dead, so the view is not trusted until
// one of them has answered a new ping.
func (v *View) recoverFromPause(now, gap time.Duration) {
	v.probe.cancel()
	for _, id := range v.order {
		v.members[id].since += gap
	}
	if v.livePeerCount() == 0 {
		return
	}
	v.paused, v.pausedAt = true, now
	v.trustFromSequence = v.probe.sequence + 1
	v.advanceEpoch()
	for _, m := range v.sampleLive(3, 0) {
		v.ping(m, v.probe.nextSequence())
	}
}

// livePeerCount returns the number of other members that are not dead.
func (v *View) livePeerCount() int {
	count := 0
	v.EachLive(func(Member) { count++ })
	return count
}

// restoreTrust marks the view as trusted if a ping sent after the pause was
// answered. Answers to earlier pings were queued at this instance during the
// pause and are no evidence of the present state.
func (v *View) restoreTrust(sequence uint32) {
	if v.paused && sequence >= v.trustFromSequence {
		v.paused = false
		v.advanceEpoch()
	}
}
