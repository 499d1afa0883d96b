package node

import (
	"maps"
	"time"
)

// maxHoldOffs bounds the upstreams that are remembered as holding this instance off. While so
// many do, no further one is remembered; a site has far fewer upstreams.
const maxHoldOffs = 16_384

// holdOffs remembers the upstreams that want no request from this instance for a time. The
// owner of a pool is told as well, but a new owner does not know it, so that each permit is
// checked here. The zero value is empty.
type holdOffs struct {
	// until is the end of the time, by the name of the upstream, which holds its
	// incarnation.
	until map[string]time.Duration
}

// add records that an upstream wants no request for a time. A shorter time than is known
// changes nothing.
func (h *holdOffs) add(now time.Duration, upstream string, duration time.Duration) {
	if h.until == nil {
		h.until = map[string]time.Duration{}
	}
	if len(h.until) >= maxHoldOffs {
		maps.DeleteFunc(h.until, func(_ string, until time.Duration) bool { return until <= now })
	}
	if len(h.until) < maxHoldOffs {
		h.until[upstream] = max(h.until[upstream], now+duration)
	}
}

// left returns how long an upstream still wants no request, or 0.
func (h *holdOffs) left(now time.Duration, upstream string) time.Duration {
	until, known := h.until[upstream]
	if !known {
		return 0
	}
	if until <= now {
		delete(h.until, upstream)
		return 0
	}
	return until - now
}
