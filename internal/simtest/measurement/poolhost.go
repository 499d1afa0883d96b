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

// poolHost runs one scheduler.Pool on the event loop: it steps the pool after each
// event and at the wake-up times that the pool requests.
type poolHost struct {
	r    *run
	pool *scheduler.Pool
	// waiting holds the calls that wait in the pool.
	waiting        map[scheduler.GlobalID]*call
	onDecision     func(c *call, d scheduler.Decision)
	decisionBuffer []scheduler.Decision
	wakeAt         time.Duration
	stopped        bool
}

func newPoolHost(r *run, share int, concurrency, maximum uint32, onDecision func(*call, scheduler.Decision)) *poolHost {
	h := &poolHost{
		r: r, waiting: map[scheduler.GlobalID]*call{}, onDecision: onDecision, wakeAt: scheduler.Never,
		pool: scheduler.New(scheduler.Config{
			TargetTTFT: targetTTFT, TargetInterToken: targetInterToken, Seed: 1, LimitDivisor: share,
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

// runAndStep runs fn on the pool, then steps it. The wall-clock time of both counts
// as decision time.
func (h *poolHost) runAndStep(fn func(now time.Duration)) {
	if h.stopped {
		return
	}
	now := h.r.loop.Now()
	started := time.Now()
	if fn != nil {
		fn(now)
	}
	h.decisionBuffer = h.pool.Step(now, h.decisionBuffer[:0])
	wake := h.pool.NextWake(now)
	h.r.stats.decisionTime += time.Since(started)
	h.r.stats.decisions += len(h.decisionBuffer)
	// A refused connection steps the pool again, and overwrites h.decisionBuffer, within
	// this loop.
	for _, d := range slices.Clone(h.decisionBuffer) {
		h.handleDecision(d)
	}
	if wake < h.wakeAt {
		h.wakeAt = wake
		h.r.loop.At(wake, func() {
			if h.wakeAt == wake {
				h.wakeAt = scheduler.Never
				h.runAndStep(nil)
			}
		})
	}
}

func (h *poolHost) handleDecision(d scheduler.Decision) {
	c := h.waiting[d.ID]
	delete(h.waiting, d.ID)
	h.r.decisionObserver.stopWaiting(c, 0)
	switch d.Reason {
	case 0:
		h.r.decisionObserver.recordDispatch(c, d.Upstream, h.r.loop.Now())
	case scheduler.Overload, scheduler.Expired:
		h.r.decisionObserver.recordShed(c, 0)
	}
	h.onDecision(c, d)
}

func (h *poolHost) submit(c *call, estimate predict.Estimate) {
	if h.stopped {
		return
	}
	h.waiting[c.id] = c
	h.r.decisionObserver.startWaiting(c, 0, h.r.loop.Now())
	h.runAndStep(func(now time.Duration) { h.pool.Submit(now, descriptor(c, estimate)) })
}

func descriptor(c *call, estimate predict.Estimate) scheduler.Descriptor {
	d := scheduler.Descriptor{
		ID: c.id, Attempt: c.attempt, Tier: c.spec.tier, Kind: uint32(c.kind), Org: c.org, Class: c.spec.class,
		Deadline: c.deadline,
	}
	if !c.spec.service {
		d.PromptLength, d.Prefix = c.prompt, c.prefix
		d.MeanOutput, d.HighOutput = estimate.Mean, estimate.High
	}
	return d
}

func (h *poolHost) withdraw(c *call) {
	if h.stopped || h.waiting[c.id] == nil {
		return
	}
	h.r.decisionObserver.stopWaiting(c, 0)
	delete(h.waiting, c.id)
	h.runAndStep(func(now time.Duration) { h.pool.Withdraw(now, c.id) })
}

func (h *poolHost) adopt(c *call, estimate predict.Estimate) {
	h.runAndStep(func(now time.Duration) {
		h.pool.Adopt(now, scheduler.InFlight{
			Descriptor: descriptor(c, estimate), Upstream: c.upstream, OutputTokens: c.tokens, Age: now - c.dispatchedAt,
		})
	})
}

func (h *poolHost) firstToken(c *call, ttft time.Duration) {
	h.runAndStep(func(now time.Duration) { h.pool.FirstToken(now, c.id, ttft, 0) })
}

func (h *poolHost) release(c *call, done scheduler.Completion) {
	h.runAndStep(func(now time.Duration) { h.pool.Release(now, done) })
}

func (h *poolHost) progress(o scheduler.Observation) {
	h.runAndStep(func(now time.Duration) { h.pool.Progress(now, o) })
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
