package measurement

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
	"github.com/citrongate/citrongate/pkg/scheduler/predict"
)

const (
	startConcurrency = 16
	maxConcurrency   = 96
)

// poolHost runs one scheduler.Pool on the loop: it steps the pool after each
// event and at the times that the pool asks for.
type poolHost struct {
	r    *run
	pool *scheduler.Pool
	// known holds the calls that wait in the pool.
	known   map[scheduler.GlobalID]*call
	decide  func(c *call, d scheduler.Decision)
	out     []scheduler.Decision
	wakeAt  time.Duration
	stopped bool
}

func newPoolHost(r *run, share int, concurrency, maximum uint32, decide func(*call, scheduler.Decision)) *poolHost {
	h := &poolHost{
		r: r, known: map[scheduler.GlobalID]*call{}, decide: decide, wakeAt: scheduler.Never,
		pool: scheduler.New(scheduler.Config{
			TargetTTFT: targetTTFT, TargetInterToken: targetInterToken, Seed: 1, Share: share,
		}),
	}
	var t scheduler.Topology
	for _, config := range r.d.engines {
		t.Upstreams = append(t.Upstreams, scheduler.Upstream{
			Name: config.Name, Concurrency: concurrency, MaxConcurrency: maximum,
		})
	}
	for _, config := range r.d.services {
		t.Upstreams = append(t.Upstreams, scheduler.Upstream{
			Name: config.Name, Service: true, Concurrency: uint32(config.Concurrency), MaxConcurrency: uint32(config.Concurrency),
		})
	}
	for _, members := range r.d.classes {
		t.Classes = append(t.Classes, scheduler.Class{Upstreams: members})
	}
	h.pool.SetTopology(r.loop.Now(), t)
	return h
}

// timed runs fn on the pool, then steps it. The time counts as decision time.
func (h *poolHost) timed(fn func(now time.Duration)) {
	if h.stopped {
		return
	}
	now := h.r.loop.Now()
	started := time.Now()
	if fn != nil {
		fn(now)
	}
	h.out = h.pool.Step(now, h.out[:0])
	wake := h.pool.NextWake(now)
	h.r.stats.decisionTime += time.Since(started)
	h.r.stats.decisions += len(h.out)
	// A refused connection steps the pool again within this loop.
	for _, d := range slices.Clone(h.out) {
		h.decided(d)
	}
	if wake < h.wakeAt {
		h.wakeAt = wake
		h.r.loop.At(wake, func() {
			if h.wakeAt == wake {
				h.wakeAt = scheduler.Never
				h.timed(nil)
			}
		})
	}
}

func (h *poolHost) decided(d scheduler.Decision) {
	c := h.known[d.ID]
	delete(h.known, d.ID)
	h.r.atDecision.leaves(c, 0)
	switch d.Reason {
	case 0:
		h.r.atDecision.dispatched(c, d.Upstream, h.r.loop.Now())
	case scheduler.Overload, scheduler.Expired:
		h.r.atDecision.shed(c, 0)
	}
	h.decide(c, d)
}

func (h *poolHost) submit(c *call, estimate predict.Estimate) {
	if h.stopped {
		return
	}
	h.known[c.id] = c
	h.r.atDecision.waits(c, 0, h.r.loop.Now())
	h.timed(func(now time.Duration) { h.pool.Submit(now, descriptor(c, estimate)) })
}

func descriptor(c *call, estimate predict.Estimate) scheduler.Descriptor {
	d := scheduler.Descriptor{
		ID: c.id, Attempt: c.attempt, Tier: c.spec.tier, Kind: uint32(c.kind), Org: c.org, Class: c.spec.class,
		Deadline: c.deadline,
	}
	if !c.spec.service {
		d.Prompt, d.Prefix = c.prompt, c.prefix
		d.OutMean, d.OutHigh = estimate.Mean, estimate.High
	}
	return d
}

func (h *poolHost) withdraw(c *call) {
	if h.stopped || h.known[c.id] == nil {
		return
	}
	h.r.atDecision.leaves(c, 0)
	delete(h.known, c.id)
	h.timed(func(now time.Duration) { h.pool.Withdraw(now, c.id) })
}

func (h *poolHost) adopt(c *call, estimate predict.Estimate) {
	h.timed(func(now time.Duration) {
		h.pool.Adopt(now, scheduler.InFlight{
			Descriptor: descriptor(c, estimate), Upstream: c.upstream, OutputTokens: c.tokens, Age: now - c.dispatchedAt,
		})
	})
}

func (h *poolHost) firstToken(c *call, ttft time.Duration) {
	h.timed(func(now time.Duration) { h.pool.FirstToken(now, c.id, ttft) })
}

func (h *poolHost) release(c *call, done scheduler.Completion) {
	h.timed(func(now time.Duration) { h.pool.Release(now, done) })
}

func (h *poolHost) progress(o scheduler.Observation) {
	h.timed(func(now time.Duration) { h.pool.Progress(now, o) })
}

func completion(c *call, outcome scheduler.Outcome) scheduler.Completion {
	done := scheduler.Completion{ID: c.id, Attempt: c.attempt, Outcome: outcome, OutputTokens: c.tokens, CachedPrompt: c.cached}
	if c.firstAt > 0 {
		done.TTFT = c.firstAt - c.dispatchedAt
		if c.tokens > 1 {
			done.InterToken = (c.endedAt - c.firstAt) / time.Duration(c.tokens-1)
		}
	}
	return done
}
