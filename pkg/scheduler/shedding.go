package scheduler

import "time"

const (
	// limitRetryAfter is the delay advised after a refusal by a limit.
	limitRetryAfter = time.Second
	// The expected wait of a new request may take burstFraction of its slack
	// after a calm time, falling to steadyFraction in lasting overload. A long
	// queue helps in a burst, since the work can be done later. In lasting
	// overload it only makes every answer later, and a request that starts at
	// its latest start time misses its deadline one time in ten.
	burstFraction  = 0.5
	steadyFraction = 0.05
	// Below the top tier, the wait may take waitFraction of what remains of the
	// slack after serviceMargin times the service time: work with a long
	// deadline can still be done when the overload ends.
	waitFraction  = 0.5
	serviceMargin = 1.0
	// choosyShare is the part of its wait during which a request takes only
	// upstreams that it suits.
	choosyShare = 0.5
	// overloadRise and overloadFall are the times in which a line counts as
	// lastingly overloaded, and as calm again.
	overloadRise = 4 * time.Second
	overloadFall = 10 * time.Second
	// overloadStep bounds the time that one submission accounts for.
	overloadStep = 500 * time.Millisecond
	// shedRetryAfter is the least delay advised after a shed.
	shedRetryAfter          = time.Second
	minRetryAfter           = 100 * time.Millisecond
	maxRetryAfter           = 30 * time.Second
	minCapacityFraction     = 0.02
	latestStartMeanFraction = 0.5
)

// newRequest records a descriptor that is not in any queue yet.
func (p *Pool) newRequest(now time.Duration, d Descriptor) *request {
	r := p.freeRequests.get()
	*r = request{Descriptor: d, submitted: now, position: -1}
	r.cost = costOf(d.Prompt, d.OutMean)
	p.requests.put(d.ID, r)
	return r
}

// admit queues a new request, or sheds it if it cannot start in time.
func (p *Pool) admit(now time.Duration, d Descriptor) {
	c := &p.classes[d.Class]
	idle := c.idle.serviceTime(d.Prompt, d.OutMean)
	loaded := c.loaded.serviceTime(d.Prompt, max(d.OutMean, d.OutHigh))
	p.learnNeed(&d, d.Deadline-now, c.loaded.perPrompt)
	slack := d.Deadline - now - idle
	if slack < 0 {
		p.refuse(d, Infeasible, 0)
		return
	}
	// With a long tail of output lengths the high quantile may not fit although
	// the mean does; such a request may wait for a part of its slack.
	latest := max(d.Deadline-loaded, now+time.Duration(float64(slack)*latestStartMeanFraction))
	latest = min(latest, d.Deadline-idle)
	if d.StartBy > 0 {
		latest = max(now, min(latest, d.StartBy))
	}
	wait := p.expectedWait(now, &d, c)
	margin := time.Duration(serviceMargin * float64(loaded))
	if d.Tier == 0 {
		margin = Never // urgent work does not queue in lasting overload
	}
	allowed := p.tiers[d.Tier].lines[d.Class].allowedWait(now, latest-now, margin, wait > 0)
	if d.StartBy > 0 {
		// The caller says how long a wait is worth while, and the queue is as long.
		allowed = latest - now
	}
	if wait > allowed || p.higherJustShed(now, &d, c) ||
		p.waiting >= p.config.MaxQueue && !p.makeRoom(now, d) {
		p.overloaded = append(p.overloaded, refusal{d, wait})
		return
	}
	r := p.newRequest(now, d)
	r.latest = latest
	r.anyFrom = now + time.Duration(float64(latest-now)*choosyShare)
	p.tiers[d.Tier].lines[d.Class].arrivals.add(now, float64(r.cost))
	p.enqueue(r)
}

// higherJustShed reports whether work of a higher tier that shares an upstream
// was shed so recently that this request may have waited at its entry then.
func (p *Pool) higherJustShed(now time.Duration, d *Descriptor, c *class) bool {
	for tier := range int(d.Tier) {
		for _, o := range c.overlaps {
			if now < p.tiers[tier].lines[o.class].shedUntil {
				return true
			}
		}
	}
	return false
}

// allowedWait returns the wait that a new request with the given slack may
// expect. It follows how long work has been waiting. In lasting overload it
// leaves the margin of the slack free.
func (l *line) allowedWait(now, slack, margin time.Duration, waits bool) time.Duration {
	elapsed := min(now-l.overloadAt, overloadStep)
	if waits {
		l.overload = min(1, l.overload+float64(elapsed)/float64(overloadRise))
	} else {
		l.overload = max(0, l.overload-float64(now-l.overloadAt)/float64(overloadFall))
	}
	l.overloadAt = now
	steady := max(steadyFraction*float64(slack), waitFraction*float64(slack-margin))
	burst := max(steady, burstFraction*float64(slack))
	return time.Duration(burst - l.overload*(burst-steady))
}

// expectedWait estimates how long a new request would wait: the queued work
// that is served before it, divided by the capacity of its class that higher
// tiers leave.
func (p *Pool) expectedWait(now time.Duration, d *Descriptor, c *class) time.Duration {
	ahead := p.workAhead(d, c)
	if ahead == 0 {
		return 0
	}
	left := c.capacity
	for tier := range int(d.Tier) {
		for _, o := range c.overlaps {
			left -= o.fraction * p.tiers[tier].lines[o.class].arrivals.perSecond(now)
		}
	}
	left = max(left, c.capacity*minCapacityFraction, 1)
	return time.Duration(ahead / left * float64(time.Second))
}

// workAhead returns the queued cost that is served before a new request: all
// of the higher tiers, and of its own tier the part that fair queueing puts
// first.
func (p *Pool) workAhead(d *Descriptor, c *class) float64 {
	var higher, same int64
	for _, o := range c.overlaps {
		for tier := range int(d.Tier) {
			higher += p.tiers[tier].lines[o.class].cost
		}
		same += p.tiers[d.Tier].lines[o.class].cost
	}
	if same == 0 {
		return float64(higher)
	}
	return float64(higher) + min(float64(same), p.fairAhead(d))
}

// fairAhead returns the cost that fair queueing serves in the tier before a new
// request of a flow: the flow's own queue, and as much for each competing flow
// by weight, as far as these have work.
func (p *Pool) fairAhead(d *Descriptor) float64 {
	t := &p.tiers[d.Tier]
	kindWeight, kindWaits := weightOf(p.knownKindLimit(d.Kind)), false
	kind := p.kindFlows.get(kindKey{d.Tier, d.Kind})
	var kindAhead, kindDebt float64
	if kind != nil {
		kindWaits = kind.waiting > 0
		kindDebt = max(0, float64(kind.tag-t.virtual)) / tagUnit * kindWeight
		kindAhead = p.orgAhead(d, kind)
	}
	competing := t.weight
	if kindWaits {
		competing -= kindWeight
	}
	return kindAhead + max(0, competing)*(kindAhead+kindDebt)/kindWeight
}

// orgAhead returns the cost that is served before a new request within its kind.
func (p *Pool) orgAhead(d *Descriptor, kind *kindFlow) float64 {
	org := p.orgFlows.get(orgKey{d.Tier, d.Kind, d.Org})
	if org == nil {
		return 0
	}
	debt := max(0, float64(org.tag-kind.virtual)) / tagUnit * org.weight
	competing := kind.orgWeight
	if org.waiting > 0 {
		competing -= org.weight
	}
	own := float64(org.cost)
	return min(float64(kind.cost), own+max(0, competing)*(own+debt)/org.weight)
}

func (p *Pool) knownKindLimit(kind uint32) FlowLimit {
	if state := p.kindStates.get(kind); state != nil {
		return state.limit
	}
	return p.kindLimit(kind)
}

// makeRoom sheds one waiting request in favour of a new one when the queue is
// full. The victim is the newest of the lowest tier; in the new request's own
// tier it is the newest of the largest organisation flow. It returns false if
// the new request is the one to shed.
func (p *Pool) makeRoom(now time.Duration, d Descriptor) bool {
	lowest := MaxTiers - 1
	for lowest > 0 && p.tiers[lowest].waiting == 0 {
		lowest--
	}
	if lowest < int(d.Tier) {
		return false
	}
	if lowest > int(d.Tier) {
		t := &p.tiers[lowest]
		victim := t.lines[t.active[0]].tail
		p.decideShed(victim, Overload, p.retryAfter(now, &victim.Descriptor))
		return true
	}
	var largest *orgFlow
	own := 0
	p.eachFlow(func(f *orgFlow) {
		if f.key.tier != d.Tier {
			return
		}
		if f.key.kind == d.Kind && f.key.org == d.Org {
			own = f.waiting
		}
		if largest == nil || f.waiting > largest.waiting {
			largest = f
		}
	})
	if largest.waiting <= own+1 {
		return false
	}
	victim := newestOf(largest)
	p.cascade(now, victim.Tier, victim.Class)
	p.decideShed(victim, Overload, p.retryAfter(now, &victim.Descriptor))
	return true
}

func newestOf(f *orgFlow) *request {
	var newest *request
	for _, queue := range f.queues {
		if r := queue.tail; r != nil && (newest == nil || r.submitted > newest.submitted) {
			newest = r
		}
	}
	return newest
}

// cascade sheds every waiting request of a lower tier that shares an upstream
// with the class (promise P2). Each of these may share another upstream with a
// still lower tier, so what is below a line is shed before the line itself.
func (p *Pool) cascade(now time.Duration, tier uint8, class uint32) {
	p.tiers[tier].lines[class].shedUntil = now + p.config.Transit
	for lower := tier + 1; lower < MaxTiers; lower++ {
		if p.tiers[lower].waiting == 0 {
			continue
		}
		for _, o := range p.classes[class].overlaps {
			l := &p.tiers[lower].lines[o.class]
			if l.count == 0 {
				continue
			}
			p.cascade(now, lower, o.class)
			for l.head != nil {
				p.decideShed(l.head, Overload, p.retryAfter(now, &l.head.Descriptor))
			}
		}
	}
}

// refusal is a new request that was not admitted.
type refusal struct {
	Descriptor
	wait time.Duration
}

// shedOverloaded sheds the requests that were not admitted since the last step.
// The cascade runs here and not at submission, because requests of lower tiers
// may have been submitted in between.
func (p *Pool) shedOverloaded(now time.Duration) {
	for i := range p.overloaded {
		p.cascade(now, p.overloaded[i].Tier, p.overloaded[i].Class)
	}
	for i := range p.overloaded {
		p.refuse(p.overloaded[i].Descriptor, Overload, p.overloaded[i].wait)
	}
	p.overloaded = p.overloaded[:0]
}

// expire sheds waiting requests whose latest start has passed, in time order.
func (p *Pool) expire(now time.Duration) {
	for p.expiry.len() > 0 && time.Duration(p.expiry.entries[0].key) < now {
		r := p.expiry.entries[0].item
		if p.heldBack(r) {
			p.decideShed(r, LimitInFlight, limitRetryAfter)
			continue
		}
		p.cascade(now, r.Tier, r.Class)
		p.decideShed(r, Expired, p.retryAfter(now, &r.Descriptor))
	}
}

// heldBack reports whether an operator's in-flight limit held the request back
// while it waited. Its end is then a refusal by that limit and not shedding.
func (p *Pool) heldBack(r *request) bool {
	return r.orgFlow.state.heldBackSince(r.submitted) || r.orgFlow.kind.state.heldBackSince(r.submitted)
}

// retryAfter estimates when a request like the shed one could be admitted: when
// the work that is served before it now is done.
func (p *Pool) retryAfter(now time.Duration, d *Descriptor) time.Duration {
	return max(shedRetryAfter, p.expectedWait(now, d, &p.classes[d.Class]))
}

// decideShed removes a waiting request and reports it.
func (p *Pool) decideShed(r *request, reason ShedReason, retryAfter time.Duration) {
	d := r.Descriptor
	p.discard(r)
	p.refuse(d, reason, retryAfter)
}

// refuse reports a request that is in no queue.
func (p *Pool) refuse(d Descriptor, reason ShedReason, retryAfter time.Duration) {
	if retryAfter > 0 {
		retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	}
	p.pending = append(p.pending, Decision{ID: d.ID, Attempt: d.Attempt, Reason: reason, RetryAfter: retryAfter})
}

// discard removes a waiting request without a decision.
func (p *Pool) discard(r *request) {
	flow := r.orgFlow
	if r.orgQueue != nil {
		p.dequeue(r)
	}
	p.rest(flow)
	p.forget(r)
}
