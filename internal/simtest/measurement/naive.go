package measurement

import (
	"cmp"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// staticLimit is the fixed number of requests in flight at an upstream in the
// policies that do not learn it. It suits the mean of the two hardware
// generations.
const staticLimit = 48

// refusalBackoff is how long an entry avoids an upstream that refused a connection.
const refusalBackoff = time.Second

// perEntryPolicy decides at each entry independently, on load reports that lag
// behind the engines. With byTier false it is the baseline: first in, first out,
// least reported load, and a fixed limit for each entry and upstream. With byTier
// true it is the first alternative of docs/design.md, section 5: the same
// information, but the highest tier first and no fixed limit for each entry: an
// entry sends while the reported load plus what it sent since the report is below
// the limit.
type perEntryPolicy struct {
	r            *run
	byTier       bool
	queues       [][]*call
	inFlight     [][]int
	sent         [][]sentSince
	refusedUntil [][]time.Duration
}

// sentSince counts the requests that an entry sent to an engine since the load
// report taken at report.
type sentSince struct {
	report time.Duration
	count  int
}

func newNaivePolicy(r *run) policy { return newPerEntryPolicy(r, false) }

func newIndependentPolicy(r *run) policy { return newPerEntryPolicy(r, true) }

func newPerEntryPolicy(r *run, byTier bool) policy {
	p := &perEntryPolicy{r: r, byTier: byTier, queues: make([][]*call, r.d.entries)}
	upstreams := len(r.d.engines) + len(r.d.services)
	for range r.d.entries {
		p.inFlight = append(p.inFlight, make([]int, upstreams))
		p.sent = append(p.sent, make([]sentSince, upstreams))
		p.refusedUntil = append(p.refusedUntil, make([]time.Duration, upstreams))
	}
	if byTier {
		r.loop.Every(100*time.Millisecond, func() bool {
			for entry := range p.queues {
				p.dispatchQueued(entry)
			}
			return true
		})
	}
	return p
}

func (p *perEntryPolicy) submit(c *call) {
	p.r.decisionObserver.startWaiting(c, 0, p.r.loop.Now())
	p.queues[c.entry] = append(p.queues[c.entry], c)
	if p.byTier {
		slices.SortStableFunc(p.queues[c.entry], func(a, b *call) int { return cmp.Compare(a.spec.tier, b.spec.tier) })
	}
	p.dispatchQueued(c.entry)
}

// dispatchQueued dispatches from the front of the queue. If all upstreams of a
// request are full, later requests of other classes may overtake it.
func (p *perEntryPolicy) dispatchQueued(entry int) {
	var blocked [8]bool
	queue := p.queues[entry]
	for i := 0; i < len(queue); i++ {
		c := queue[i]
		if blocked[c.spec.class] {
			continue
		}
		upstream, ok := p.chooseUpstream(c)
		if !ok {
			blocked[c.spec.class] = true
			continue
		}
		queue = append(queue[:i], queue[i+1:]...)
		p.queues[entry] = queue
		i--
		p.inFlight[entry][upstream]++
		p.sent[entry][upstream].count++
		p.r.decisionObserver.stopWaiting(c, 0)
		p.r.decisionObserver.recordDispatch(c, upstream, p.r.loop.Now())
		p.r.dispatch(c, upstream)
		queue = p.queues[entry]
	}
}

// chooseUpstream returns the upstream with the least load that is below its limit.
func (p *perEntryPolicy) chooseUpstream(c *call) (uint32, bool) {
	best, bestLoad, found := uint32(0), 0, false
	for _, u := range p.r.d.classes[c.spec.class] {
		if p.r.loop.Now() < p.refusedUntil[c.entry][u] {
			continue
		}
		load, free := p.load(c, u)
		if free && (!found || load < bestLoad) {
			best, bestLoad, found = u, load, true
		}
	}
	return best, found
}

func (p *perEntryPolicy) load(c *call, u uint32) (load int, free bool) {
	limit := staticLimit
	if c.spec.service {
		limit = p.r.d.services[int(u)-len(p.r.engines)].Concurrency
	}
	ownInFlight := p.inFlight[c.entry][u]
	if c.spec.service {
		return ownInFlight, ownInFlight < max(1, limit/p.r.d.entries)
	}
	report := p.r.engines[u].Load()
	sent := &p.sent[c.entry][u]
	if sent.report != report.SampledAt {
		*sent = sentSince{report: report.SampledAt}
	}
	load = report.Running + report.Waiting + sent.count
	if p.byTier {
		return load, load < limit
	}
	return load, ownInFlight < limit/p.r.d.entries
}

func (p *perEntryPolicy) withdraw(c *call) {
	queue := p.queues[c.entry]
	if i := slices.Index(queue, c); i >= 0 {
		p.queues[c.entry] = slices.Delete(queue, i, i+1)
		p.r.decisionObserver.stopWaiting(c, 0)
		p.r.decisionObserver.recordShed(c, 0)
	}
}

func (p *perEntryPolicy) firstToken(*call) {}

func (p *perEntryPolicy) ended(c *call, outcome scheduler.Outcome) {
	p.inFlight[c.entry][c.upstream]--
	if outcome == scheduler.ConnectRefused {
		p.refusedUntil[c.entry][c.upstream] = p.r.loop.Now() + refusalBackoff
		return
	}
	p.r.loop.After(0, func() { p.dispatchQueued(c.entry) })
}

func (p *perEntryPolicy) progress(int, scheduler.Observation) {}

func (p *perEntryPolicy) ownerDied() {}
