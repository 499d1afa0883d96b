package measurement

import (
	"cmp"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// staticLimit is the fixed number of requests in flight at an upstream in the
// policies that do not learn it. It suits the mean of the two generations.
const staticLimit = 48

// probeDelay keeps an upstream that refused a connection out of the naive choice.
const probeDelay = time.Second

// naivePolicy decides at each entry by itself, on load reports that are late.
// With byTier false it is the baseline: first in, first out, least reported
// load, and a fixed limit for each entry and upstream. With byTier true it is
// the first alternative of section 5: the same information, but the highest
// tier first and no fixed division: an entry sends while the reported load plus
// what it sent since the report is below the limit.
type naivePolicy struct {
	r       *run
	byTier  bool
	queues  [][]*call
	flight  [][]int
	sent    [][]sentSince
	refused [][]time.Duration
}

// sentSince counts what an entry sent to an engine since a load report.
type sentSince struct {
	report time.Duration
	count  int
}

func naive(r *run) policy { return newNaive(r, false) }

func independent(r *run) policy { return newNaive(r, true) }

func newNaive(r *run, byTier bool) policy {
	p := &naivePolicy{r: r, byTier: byTier, queues: make([][]*call, r.d.entries)}
	upstreams := len(r.d.engines) + len(r.d.services)
	for range r.d.entries {
		p.flight = append(p.flight, make([]int, upstreams))
		p.sent = append(p.sent, make([]sentSince, upstreams))
		p.refused = append(p.refused, make([]time.Duration, upstreams))
	}
	if byTier {
		r.loop.Every(100*time.Millisecond, func() bool {
			for entry := range p.queues {
				p.next(entry)
			}
			return true
		})
	}
	return p
}

func (p *naivePolicy) submit(c *call) {
	p.r.atDecision.waits(c, 0, p.r.loop.Now())
	p.queues[c.entry] = append(p.queues[c.entry], c)
	if p.byTier {
		slices.SortStableFunc(p.queues[c.entry], func(a, b *call) int { return cmp.Compare(a.spec.tier, b.spec.tier) })
	}
	p.next(c.entry)
}

// next dispatches from the front of the queue. A request whose upstreams are
// all full lets later ones of other classes pass.
func (p *naivePolicy) next(entry int) {
	var blocked [8]bool
	queue := p.queues[entry]
	for i := 0; i < len(queue); i++ {
		c := queue[i]
		if blocked[c.spec.class] {
			continue
		}
		upstream, ok := p.choose(c)
		if !ok {
			blocked[c.spec.class] = true
			continue
		}
		queue = append(queue[:i], queue[i+1:]...)
		p.queues[entry] = queue
		i--
		p.flight[entry][upstream]++
		p.sent[entry][upstream].count++
		p.r.atDecision.leaves(c, 0)
		p.r.atDecision.dispatched(c, upstream, p.r.loop.Now())
		p.r.dispatch(c, upstream)
		queue = p.queues[entry]
	}
}

// choose returns the upstream with the least load that has room.
func (p *naivePolicy) choose(c *call) (uint32, bool) {
	best, bestLoad, found := uint32(0), 0, false
	for _, u := range p.r.d.classes[c.spec.class] {
		if p.r.loop.Now() < p.refused[c.entry][u] {
			continue
		}
		load, room := p.load(c, u)
		if room && (!found || load < bestLoad) {
			best, bestLoad, found = u, load, true
		}
	}
	return best, found
}

func (p *naivePolicy) load(c *call, u uint32) (load int, room bool) {
	limit := staticLimit
	if c.spec.service {
		limit = p.r.d.services[int(u)-len(p.r.engines)].Concurrency
	}
	own := p.flight[c.entry][u]
	if c.spec.service {
		return own, own < max(1, limit/p.r.d.entries)
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
	return load, own < limit/p.r.d.entries
}

func (p *naivePolicy) withdraw(c *call) {
	queue := p.queues[c.entry]
	if i := slices.Index(queue, c); i >= 0 {
		p.queues[c.entry] = slices.Delete(queue, i, i+1)
		p.r.atDecision.leaves(c, 0)
		p.r.atDecision.shed(c, 0)
	}
}

func (p *naivePolicy) firstToken(*call) {}

func (p *naivePolicy) ended(c *call, outcome scheduler.Outcome) {
	p.flight[c.entry][c.upstream]--
	if outcome == scheduler.ConnectRefused {
		p.refused[c.entry][c.upstream] = p.r.loop.Now() + probeDelay
		return
	}
	p.r.loop.After(0, func() { p.next(c.entry) })
}

func (p *naivePolicy) progress(int, scheduler.Observation) {}

func (p *naivePolicy) ownerDied() {}
