package node

import (
	"maps"
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
)

const (
	// refusalRetention is how long after its deadline the refusal of a forwarded
	// call is remembered, for repetitions that were delayed in transit.
	refusalRetention = time.Minute
	// refusalSweepInterval is the time between two removals of old refusals.
	refusalSweepInterval = time.Second
	// maxRefusals bounds the refusals remembered, to a few megabytes.
	maxRefusals = 16_384
)

// refusedForwards remembers forwarded calls that were refused as not run. The
// instance that forwarded such a call may have told its caller so, while a
// repetition of the forward is still in transit; that one must not run.
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
	s.byOrigin[key] = refusedForward{refusal, deadline + refusalRetention}
}

// full reports whether no further refusal can be remembered, so that no further
// forwarded call may be accepted.
func (s *refusedForwards) full() bool { return len(s.byOrigin) >= maxRefusals }

func (s *refusedForwards) sweep(now time.Duration) {
	if now-s.sweptAt < refusalSweepInterval {
		return
	}
	s.sweptAt = now
	maps.DeleteFunc(s.byOrigin, func(_ originKey, r refusedForward) bool { return r.keepUntil <= now })
}
