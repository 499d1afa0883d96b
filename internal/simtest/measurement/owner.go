package measurement

import (
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/pkg/scheduler"
	"github.com/citrongate/citrongate/pkg/scheduler/predict"
)

// ownerPolicy is the chosen design: one owner queues the descriptors of all
// entries and grants permits. Messages between an entry and the owner are delayed.
type ownerPolicy struct {
	r          *run
	owner      int
	host       *poolHost // nil while no owner is known
	localPools []*poolHost
	predictors []*predict.Predictor
	sizes      messageSizes
}

func newOwnerPolicy(r *run) policy {
	p := &ownerPolicy{r: r, owner: ownerEntry, predictors: newPredictors(r), sizes: measureSizes()}
	p.host = newPoolHost(r, 1, startConcurrency, maxConcurrency, p.sendDecision)
	return p
}

func newPredictors(r *run) []*predict.Predictor {
	var list []*predict.Predictor
	for range r.d.entries {
		list = append(list, predict.New(predict.Config{}))
	}
	return list
}

// messageSizes are the encoded sizes of the messages between entry and owner.
type messageSizes struct {
	submit, grant, shed, withdraw, firstToken, progress, release int
}

func measureSizes() messageSizes {
	const id = 1 << 62
	return messageSizes{
		submit: proto.Size(&pb.Submit{
			Sequence: 1 << 30, Pool: id, Tier: 1, Kind: "purchasing", Organisation: "organisation-12",
			Class: id, PromptTokens: 1000, OutputMean: 200, OutputHigh: 400, RemainingMs: 20000, Prefix: id, Attempt: 1,
		}),
		grant:      proto.Size(&pb.Grant{Sequence: 1 << 30, Pool: id, Upstream: "engine-10", Attempt: 1}),
		shed:       proto.Size(&pb.Shed{Sequence: 1 << 30, Pool: id, Reason: 1, RetryAfterMs: 1000, Attempt: 1}),
		withdraw:   proto.Size(&pb.Withdraw{Sequence: 1 << 30, Pool: id, Attempt: 1}),
		firstToken: proto.Size(&pb.FirstToken{Sequence: 1 << 30, Pool: id, TtftMs: 300}),
		progress:   proto.Size(&pb.Progress{Pool: id, Upstream: "engine-10", Streams: 10, Stalled: 1, InterTokenUs: 30000}),
		release: proto.Size(&pb.Release{
			Sequence: 1 << 30, Pool: id, Outcome: 2, OutputTokens: 200, TtftMs: 300, InterTokenUs: 30000,
			CachedPromptTokens: 200, Attempt: 1,
		}),
	}
}

// frameOverhead is the size of a message's tag and length in a frame plus a
// fraction of the frame header.
const frameOverhead = 8

// deliver runs fn after the message delay between an entry and the owner and
// counts the message's bytes.
func (p *ownerPolicy) deliver(entry, bytes int, fn func()) {
	if entry == p.owner {
		fn()
		return
	}
	p.r.stats.controlBytes += bytes + frameOverhead
	delay := p.r.d.localDelay
	if entry%p.r.d.domains != p.owner%p.r.d.domains {
		delay = p.r.d.crossDelay
	}
	p.r.loop.After(delay, fn)
}

// callPool calls fn with the pool that serves an entry: the owner's after the
// message delay, or the entry's own while there is no owner. Between the death
// of the owner and the fallback there is no pool, and fn is not called.
func (p *ownerPolicy) callPool(entry, bytes int, fn func(h *poolHost)) {
	switch {
	case p.host != nil:
		host := p.host
		p.deliver(entry, bytes, func() { fn(host) })
	case p.localPools != nil && p.localPools[entry] != nil:
		fn(p.localPools[entry])
	}
}

func (p *ownerPolicy) sendDecision(c *call, d scheduler.Decision) {
	bytes := p.sizes.grant
	if d.Reason != 0 {
		bytes = p.sizes.shed
	}
	p.deliver(c.entry, bytes, func() { p.applyDecision(c, d) })
}

// applyDecision carries out a decision at the call's entry. A grant for a call that
// has ended or for an earlier attempt is returned unused.
func (p *ownerPolicy) applyDecision(c *call, d scheduler.Decision) {
	switch {
	case p.r.dead[c.entry]:
	case d.Reason != 0:
		p.r.refuse(c, d.Reason == scheduler.Overload || d.Reason == scheduler.Expired)
	case c.state != callWaiting || d.Attempt != c.attempt:
		p.callPool(c.entry, p.sizes.release, func(h *poolHost) {
			h.release(c, scheduler.Completion{ID: c.id, Attempt: d.Attempt, Outcome: scheduler.Unused})
		})
	default:
		p.r.dispatch(c, d.Upstream)
	}
}

func (p *ownerPolicy) estimate(c *call) predict.Estimate {
	return p.predictors[c.entry].Predict(uint32(c.kind), c.org)
}

func (p *ownerPolicy) submit(c *call) {
	estimate := p.estimate(c)
	p.callPool(c.entry, p.sizes.submit, func(h *poolHost) { h.submit(c, estimate) })
}

func (p *ownerPolicy) withdraw(c *call) {
	p.callPool(c.entry, p.sizes.withdraw, func(h *poolHost) { h.withdraw(c) })
}

func (p *ownerPolicy) firstToken(c *call) {
	ttft := c.firstAt - c.dispatchedAt
	p.callPool(c.entry, p.sizes.firstToken, func(h *poolHost) { h.firstToken(c, ttft) })
}

func (p *ownerPolicy) ended(c *call, outcome scheduler.Outcome) {
	if outcome == scheduler.Complete && !c.spec.service {
		p.predictors[c.entry].Observe(uint32(c.kind), c.org, c.tokens)
	}
	done := completion(c, outcome)
	p.callPool(c.entry, p.sizes.release, func(h *poolHost) { h.release(c, done) })
}

func (p *ownerPolicy) progress(entry int, o scheduler.Observation) {
	p.callPool(entry, p.sizes.progress, func(h *poolHost) { h.progress(o) })
}

// ownerDied lets the entries fall back to their own pools, and report to the next
// owner once the membership has changed (docs/design.md, sections 5 and 9).
func (p *ownerPolicy) ownerDied() {
	p.stopPool(p.host)
	p.host = nil
	p.r.loop.After(fallbackAfter, func() {
		p.localPools = make([]*poolHost, p.r.d.entries)
		for entry := range p.localPools {
			if !p.r.dead[entry] {
				p.localPools[entry] = newPoolHost(p.r, p.r.d.entries-1, startConcurrency, maxConcurrency, p.applyDecision)
			}
		}
		p.resubmit()
	})
	p.r.loop.After(takeoverAfter, func() {
		for _, h := range p.localPools {
			if h != nil {
				p.stopPool(h)
			}
		}
		p.owner, p.localPools = nextOwner, nil
		p.host = newPoolHost(p.r, 1, startConcurrency, maxConcurrency, p.sendDecision)
		now := p.r.loop.Now()
		p.host.pool.HalveLimitsUntil(now, now+cautiousPeriod)
		p.resubmit()
	})
}

// stopPool stops a pool; its waiting calls are in no pool until they are resubmitted.
func (p *ownerPolicy) stopPool(h *poolHost) {
	h.stopped = true
	for _, c := range h.waiting {
		p.r.decisionObserver.stopWaiting(c, 0)
	}
}

// resubmit reports all requests of the live entries to their new pool.
func (p *ownerPolicy) resubmit() {
	for _, c := range p.r.calls {
		if p.r.dead[c.entry] {
			continue
		}
		estimate := p.estimate(c)
		switch c.state {
		case callWaiting:
			c.attempt++
			p.submit(c)
		case callDispatched:
			p.callPool(c.entry, p.sizes.submit, func(h *poolHost) { h.adopt(c, estimate) })
		}
	}
}

// fixedSharesPolicy splits each upstream's concurrency limit into equal fixed
// shares: each entry runs a pool of its own.
type fixedSharesPolicy struct {
	r          *run
	pools      []*poolHost
	predictors []*predict.Predictor
}

func newFixedSharesPolicy(r *run) policy {
	p := &fixedSharesPolicy{r: r, predictors: newPredictors(r)}
	for range r.d.entries {
		p.pools = append(p.pools, newPoolHost(r, r.d.entries, staticLimit, maxConcurrency, p.applyDecision))
	}
	return p
}

func (p *fixedSharesPolicy) applyDecision(c *call, d scheduler.Decision) {
	switch {
	case d.Reason != 0:
		p.r.refuse(c, d.Reason == scheduler.Overload || d.Reason == scheduler.Expired)
	default:
		p.r.dispatch(c, d.Upstream)
	}
}

func (p *fixedSharesPolicy) submit(c *call) {
	p.pools[c.entry].submit(c, p.predictors[c.entry].Predict(uint32(c.kind), c.org))
}

func (p *fixedSharesPolicy) withdraw(c *call) { p.pools[c.entry].withdraw(c) }

func (p *fixedSharesPolicy) firstToken(c *call) {
	p.pools[c.entry].firstToken(c, c.firstAt-c.dispatchedAt)
}

func (p *fixedSharesPolicy) ended(c *call, outcome scheduler.Outcome) {
	if outcome == scheduler.Complete && !c.spec.service {
		p.predictors[c.entry].Observe(uint32(c.kind), c.org, c.tokens)
	}
	p.pools[c.entry].release(c, completion(c, outcome))
}

func (p *fixedSharesPolicy) progress(entry int, o scheduler.Observation) { p.pools[entry].progress(o) }

func (p *fixedSharesPolicy) ownerDied() {}
