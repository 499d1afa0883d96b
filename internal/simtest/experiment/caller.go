package experiment

import (
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/ingress"
)

const (
	// maxRetryDelayFraction bounds the retry delay that a caller honours, as a fraction
	// of the time to its deadline. A longer one is shortened to that.
	maxRetryDelayFraction = 1.0 / 3
	// defaultRetryDelay is the delay before the second attempt if the refusal named none.
	defaultRetryDelay = 200 * time.Millisecond
	// pollInterval is the interval at which a caller checks the state of its request.
	pollInterval = 10 * time.Millisecond
	// maxAttempts is the largest number of attempts, the first included.
	maxAttempts = 2
)

// caller is the client of one request: it sends the request, abandons it or retries it.
type caller struct {
	run *run
	arrival
	route    *ingress.Route
	attempts []*simtest.Request
}

// sendAttempt sends an attempt to a randomly chosen instance.
func (c *caller) sendAttempt() {
	now := c.run.world.Loop.Now()
	k := kinds[c.kind]
	within := time.Duration(c.run.policy.MaxWaitFraction * float64(c.route.Goal))
	instance := c.run.anyInstance()
	c.attempts = append(c.attempts, instance.Submit(simtest.Spec{
		Kind: ingress.KindName(c.route, c.route.Priority), Organisation: organisationName(c.organisation), Model: ingress.AnyModel,
		Labels: map[string]string{ingress.LabelService: service}, Prompt: c.prompt, Output: c.events,
		Remaining: c.at + k.deadline - now, QuotaCost: c.cost(), MaxSends: uint32(k.maxSends), Repeatable: c.route.Repeatable(),
		StartWithin: within,
	}))
	c.watch(instance)
}

// watch polls the newest attempt until it has ended. It disconnects at the deadline, or
// if no event has arrived within the route's Patience.
func (c *caller) watch(instance *simtest.Instance) {
	loop := c.run.world.Loop
	r := c.attempts[len(c.attempts)-1]
	loop.Every(pollInterval, func() bool {
		now := loop.Now()
		switch {
		case r.Outcome != simtest.OutcomeNone:
			c.attemptEnded(r)
			return false
		case now-c.at >= kinds[c.kind].deadline, r.FirstAt == 0 && now-r.Submitted >= c.route.AbandonAfter():
			instance.DisconnectCaller(r)
			return false
		}
		return true
	})
}

// attemptEnded schedules a retry after a refusal, if attempts and time are left.
func (c *caller) attemptEnded(r *simtest.Request) {
	now := c.run.world.Loop.Now()
	left := c.at + kinds[c.kind].deadline - now
	if r.Outcome != simtest.OutcomeRefused || r.FirstAt != 0 || len(c.attempts) == maxAttempts || left <= 0 {
		return
	}
	delay := defaultRetryDelay
	if r.RetryAfter > 0 {
		delay = min(r.RetryAfter, time.Duration(maxRetryDelayFraction*float64(left)))
	}
	c.run.world.Loop.After(delay, c.sendAttempt)
}

// served reports whether the caller received a complete answer, and whether its first
// event and its event gaps met the goals.
func (c *caller) served() (complete, inTime bool) {
	r := c.attempts[len(c.attempts)-1]
	if r.Outcome != simtest.OutcomeAnswered {
		return false, false
	}
	return true, r.FirstAt-c.at <= c.route.Goal && r.LongestGap <= c.route.EventGapGoal
}

// retried reports whether the caller sent more than one attempt.
func (c *caller) retried() bool { return len(c.attempts) > 1 }

// refusedByQuota reports whether the last attempt was refused because the organisation
// exceeded its quota.
func (c *caller) refusedByQuota() bool { return c.attempts[len(c.attempts)-1].Code == "limit_rate" }
