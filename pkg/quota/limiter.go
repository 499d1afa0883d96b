package quota

import (
	"sync"
	"time"
)

// Limiter holds the buckets of one instance. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// NewLimiter returns a limiter without buckets.
func NewLimiter() *Limiter { return &Limiter{buckets: map[string]*bucket{}} }

// Take takes the cost of one request of an organisation, if this instance's
// share allows it. instances is the number of instances that share the quota.
// If it is refused, after is the time until it would be granted.
//
// A request that is larger than the whole burst is granted when the bucket is
// full; the bucket then has a debt.
func (l *Limiter) Take(now time.Duration, organisation string, limit Limit, cost float64, instances int) (ok bool, after time.Duration) {
	share := 1 / float64(max(1, instances))
	rate, burst := limit.PerSecond*share, limit.Burst*share
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[organisation]
	if b == nil {
		b = &bucket{left: burst, refilled: now}
		l.buckets[organisation] = b
	}
	b.left = min(burst, b.left+rate*max(0, now-b.refilled).Seconds())
	b.refilled = now
	needed := min(cost, burst)
	if b.left >= needed {
		b.left -= cost
		return true, 0
	}
	return false, time.Duration((needed - b.left) / rate * float64(time.Second))
}
