package node

import (
	"maps"
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
)

const (
	// refusedKeep is how long after its deadline the refusal of a forwarded call
	// is remembered, for repetitions that were delayed on the way.
	refusedKeep = time.Minute
	// refusedSweep is the time between two removals of old refusals.
	refusedSweep = time.Second
	// maxRefused bounds the refusals remembered, to a few megabytes.
	maxRefused = 16_384
)

// refusedForwards remembers forwarded calls that were refused as not run. The
// instance that forwarded such a call may have told its caller so, while a
// repetition of the forward is still on the way; that one must not run.
type refusedForwards struct {
	byOrigin map[originKey]refusedForward
	sweptAt  time.Duration
}

type refusedForward struct {
	refusal   dispatch.Refusal
	keepUntil time.Duration
}

func (s *refusedForwards) add(key originKey, refusal dispatch.Refusal, deadline time.Duration) {
	if s.byOrigin == nil {
		s.byOrigin = map[originKey]refusedForward{}
	}
	s.byOrigin[key] = refusedForward{refusal, deadline + refusedKeep}
}

// full reports whether no further refusal can be remembered, so that no further
// forwarded call may be accepted.
func (s *refusedForwards) full() bool { return len(s.byOrigin) >= maxRefused }

func (s *refusedForwards) sweep(now time.Duration) {
	if now-s.sweptAt < refusedSweep {
		return
	}
	s.sweptAt = now
	maps.DeleteFunc(s.byOrigin, func(_ originKey, r refusedForward) bool { return r.keepUntil <= now })
}
