package scheduler

import "time"

// RaiseLimit raises an engine's learned limit to the number of requests that
// entries reported in flight there. A new owner does so once the entries have
// reported: the previous owner had found that limit safe, and starting again
// from the configured concurrency would stall the pool. A lower number, and the
// fixed limit, have no effect.
func (p *Pool) RaiseLimit(now time.Duration, upstream uint32, inFlight uint32) {
	if int(upstream) >= len(p.upstreams) {
		return
	}
	u := p.upstreams[upstream]
	if u.hasFixedLimit() || float64(inFlight) <= u.limit {
		return
	}
	u.limit = min(float64(inFlight), u.maxLimit())
	p.refreshFree(u)
	p.nextCapacityUpdate = now
}
