package experiment

import (
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/ingress"
)

const (
	// heedShare is the part of the time left for which a caller heeds the advice
	// when to come back.
	heedShare = 1.0 / 3
	// defaultPause is the pause before a second attempt without advice.
	defaultPause = 200 * time.Millisecond
	// pollEvery is how often a caller looks at its request.
	pollEvery = 10 * time.Millisecond
	// maxAttempts is how often a caller sends its request.
	maxAttempts = 2
)

// caller wants one piece of work answered.
type caller struct {
	run *run
	work
	route    *ingress.Route
	attempts []*simtest.Request
}

// send sends an attempt to an instance drawn by chance.
func (c *caller) send() {
	now := c.run.world.Loop.Now()
	k := kinds[c.kind]
	within := time.Duration(c.run.policy.StartShare * float64(c.route.Goal))
	instance := c.run.anyInstance()
	c.attempts = append(c.attempts, instance.Submit(simtest.Spec{
		Kind: ingress.KindName(c.route, c.route.Priority), Organisation: organisationName(c.organisation), Model: ingress.AnyModel,
		Labels: map[string]string{ingress.LabelService: service}, Prompt: c.prompt, Output: c.events,
		Remaining: c.at + k.deadline - now, QuotaCost: c.cost(), MaxSends: uint32(k.maxSends), Repeatable: c.route.Repeatable(),
		StartWithin: within,
	}))
	c.watch(instance)
}

// watch looks at the newest attempt until it has ended or is given up.
func (c *caller) watch(instance *simtest.Instance) {
	loop := c.run.world.Loop
	r := c.attempts[len(c.attempts)-1]
	loop.Every(pollEvery, func() bool {
		now := loop.Now()
		switch {
		case r.Outcome != simtest.OutcomeNone:
			c.ended(r)
			return false
		case now-c.at >= kinds[c.kind].deadline, r.FirstAt == 0 && now-r.Submitted >= c.route.Patience():
			instance.CallerLeaves(r)
			return false
		}
		return true
	})
}

// ended decides whether to come back after an attempt.
func (c *caller) ended(r *simtest.Request) {
	now := c.run.world.Loop.Now()
	left := c.at + kinds[c.kind].deadline - now
	if r.Outcome != simtest.OutcomeRefused || r.FirstAt != 0 || len(c.attempts) == maxAttempts || left <= 0 {
		return
	}
	pause := defaultPause
	if r.RetryAfter > 0 {
		pause = min(r.RetryAfter, time.Duration(heedShare*float64(left)))
	}
	c.run.world.Loop.After(pause, c.send)
}

// served reports whether the caller got the whole answer, and whether in time.
func (c *caller) served() (whole, inTime bool) {
	r := c.attempts[len(c.attempts)-1]
	if r.Outcome != simtest.OutcomeAnswered {
		return false, false
	}
	return true, r.FirstAt-c.at <= c.route.Goal && r.LongestGap <= c.route.GapGoal
}

// cameBack reports whether the caller came back after a refusal.
func (c *caller) cameBack() bool { return len(c.attempts) > 1 }

// overQuota reports whether the last answer was a refusal by the quota.
func (c *caller) overQuota() bool { return c.attempts[len(c.attempts)-1].Code == "limit_rate" }
