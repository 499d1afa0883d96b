package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// settleTime is how long an upstream is watched after a broken answer before it
	// counts as ended.
	settleTime = 150 * time.Millisecond
	// lifeDelay is how long after a broken answer a sign of life may still be one from
	// before it, on its way from another instance.
	lifeDelay = 100 * time.Millisecond
	// watchTime is how long after a broken answer an upstream may be found to have ended,
	// or to be alive.
	watchTime = 3 * time.Second
	// youngTime is how long after its first token an answer that broke may have ended
	// its upstream. An answer that lasted longer did not.
	youngTime = 500 * time.Millisecond
	// silentTime is how long an upstream must be silent to count as ended after two broken
	// answers, if fewer than endedShare broke.
	silentTime = time.Second
	// endedShare is the share of the requests at an upstream that break when it ends.
	// The rest may be those of instances that do not report.
	endedShare = 0.75
	// maxWatched bounds the upstreams that are watched.
	maxWatched = 4096
)

// Young reports whether an answer that breaks at now, and whose first token came at
// firstToken, 0 if none, had hardly begun.
func Young(now, firstToken time.Duration) bool { return firstToken == 0 || now-firstToken < youngTime }

// Ending is an upstream that ended, with the parts of the requests there that had hardly
// begun to be answered.
type Ending struct {
	Upstream uint64
	// At is when the first answer broke.
	At    time.Duration
	Young [][]uint64
}

// Watch finds the ends of the upstreams of one pool from how requests end there. It is not
// safe for concurrent use.
type Watch struct{ upstreams map[uint64]*watched }

// watched is an upstream with an answer that broke.
type watched struct {
	since            time.Duration
	inFlight, broken int
	young            [][]uint64
	// refused is true once a connection to the upstream was refused.
	refused bool
	ended   bool
}

// Broke records a broken answer of an upstream. inFlight returns the number of requests
// there, including this one; parts are those of the request's prompt if it is young.
func (w *Watch) Broke(now time.Duration, upstream uint64, inFlight func() int, parts []uint64) {
	u := w.upstreams[upstream]
	if u == nil {
		if len(w.upstreams) >= maxWatched {
			return
		}
		if w.upstreams == nil {
			w.upstreams = map[uint64]*watched{}
		}
		u = &watched{since: now, inFlight: inFlight()}
		w.upstreams[upstream] = u
	}
	u.broken++
	if len(parts) > 0 && !u.ended {
		u.young = append(u.young, parts)
	}
}

// Refused records that an upstream refused a connection.
func (w *Watch) Refused(upstream uint64) {
	if u := w.upstreams[upstream]; u != nil {
		u.refused = true
	}
}

// Alive records that an upstream answered. It returns true if the upstream had been
// reported as ended.
func (w *Watch) Alive(now time.Duration, upstream uint64) (revoked bool) {
	u := w.upstreams[upstream]
	if u == nil || now-u.since < lifeDelay {
		return false
	}
	delete(w.upstreams, upstream)
	return u.ended
}

// Idle reports whether no upstream is watched.
func (w *Watch) Idle() bool { return len(w.upstreams) == 0 }

// Step returns the upstreams that are found to have ended.
func (w *Watch) Step(now time.Duration) []Ending {
	if len(w.upstreams) == 0 {
		return nil
	}
	var endings []Ending
	for _, upstream := range slices.Sorted(maps.Keys(w.upstreams)) {
		u := w.upstreams[upstream]
		if now-u.since >= watchTime {
			delete(w.upstreams, upstream)
		}
		if !u.ended && u.hasEnded(now) {
			u.ended = true
			endings = append(endings, Ending{Upstream: upstream, At: u.since, Young: u.young})
		}
	}
	return endings
}

// hasEnded reports whether an upstream has ended, as far as is known.
func (u *watched) hasEnded(now time.Duration) bool {
	age := now - u.since
	mostBroke := float64(u.broken) >= endedShare*float64(u.inFlight)
	return age >= settleTime && (u.refused || mostBroke) || age >= silentTime && u.broken > 1
}
