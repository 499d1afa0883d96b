package rollout

import "time"

// Rollout decides on one order. It is not safe for concurrent use.
type Rollout struct{}

// New returns the decision on an order of which stored is the newest known record. A record of
// another order counts only for its Revision.
func New(b Bounds, o Order, stored Record, now time.Duration) *Rollout { return &Rollout{} }

// SetUpstreams tells which upstreams accept requests; it is called when that changes, and may be
// called at any time to correct the number in flight.
func (r *Rollout) SetUpstreams(now time.Duration, u Upstreams) {}

// Arrived counts a request of the service that was queued for the first time.
func (r *Rollout) Arrived(now time.Duration) {}

// Granted counts a request that was granted to either version.
func (r *Rollout) Granted(now time.Duration, target bool) {}

// Unused takes back a grant that was returned without a send.
func (r *Rollout) Unused(now time.Duration, target bool) {}

// FirstToken reports the Latency of a stream that has not ended. It is optional; Ended is then
// called with a Latency of 0.
func (r *Rollout) FirstToken(now time.Duration, a Answer) {}

// Ended reports how a request at either version ended.
func (r *Rollout) Ended(now time.Duration, a Answer) {}

// Stored reports the result of a write.
func (r *Rollout) Stored(now time.Duration, w WriteResult) {}

// Command carries out an operator's command. It has no effect in a final phase.
func (r *Rollout) Command(now time.Duration, c Command) {}

// Step returns what the owner of the pool does now.
func (r *Rollout) Step(now time.Duration) Plan {
	return Plan{Phase: Waiting, CurrentOpen: true}
}

// NextWake returns when Step is to be called next if nothing happens before.
func (r *Rollout) NextWake(now time.Duration) time.Duration { return now }

// Status describes the order for operators.
func (r *Rollout) Status() Status { return Status{} }
