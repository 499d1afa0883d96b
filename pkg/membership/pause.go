package membership

import "time"

// pauseLimit is how late a tick may be before the instance no longer trusts
// its view, since others may have declared it dead in the meantime.
const pauseLimit = time.Second

// Trusted reports whether the view may be relied on for ownership. It is false
// after a pause, until another member has answered.
func (v *View) Trusted() bool { return !v.paused }

// resume handles the end of a pause: timers that ran out during the pause say
// nothing about the others, and the others may have declared this one dead.
func (v *View) resume(now, gap time.Duration) {
	v.probe.cancel()
	for _, id := range v.order {
		v.members[id].since += gap
	}
	if v.liveOthers() == 0 {
		return
	}
	v.paused, v.pausedAt = true, now
	v.trustFrom = v.probe.sequence + 1
	v.changed()
	for _, m := range v.pick(3, 0) {
		v.ping(m, v.probe.nextSequence())
	}
}

func (v *View) liveOthers() int {
	count := 0
	v.Live(func(Member) { count++ })
	return count
}

// trustAnswer ends the distrust if a ping sent after the pause was answered.
// Answers to earlier pings waited at this instance during the pause and show
// nothing about the present.
func (v *View) trustAnswer(sequence uint32) {
	if v.paused && sequence >= v.trustFrom {
		v.paused = false
		v.changed()
	}
}
