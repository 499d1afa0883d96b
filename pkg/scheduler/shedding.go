package scheduler

import "time"

const (
	// limitRetryAfter is the retry delay after a refusal by a limit.
	limitRetryAfter = time.Second
	// The expected wait of a new request may take burstFraction of its slack
	// when an overload begins, falling to steadyFraction in lasting overload. A
	// long queue helps in a burst, since the work can be done later. In lasting
	// overload it only makes every answer later, and a request that starts at
	// its latest start time misses its deadline one time in ten.
	burstFraction  = 0.5
	steadyFraction = 0.05
	// Below the top tier, the wait may take waitFraction of the slack that
	// remains after serviceMargin times the service time: work with a long
	// deadline can still be done when the overload ends.
	waitFraction  = 0.5
	serviceMargin = 1.0
	// selectiveFraction is the fraction of the time until its latest start during
	// which a request accepts only upstreams where its prompt fits.
	selectiveFraction = 0.5
	// overloadRise and overloadFall are the times after which a queue counts as
	// lastingly overloaded, and as no longer overloaded.
	overloadRise = 4 * time.Second
	overloadFall = 10 * time.Second
	// overloadStep bounds the time by which one submission extends an overload.
	overloadStep = 500 * time.Millisecond
	// shedRetryAfter is the least retry delay after a shed.
	shedRetryAfter          = time.Second
	minRetryAfter           = 100 * time.Millisecond
	maxRetryAfter           = 30 * time.Second
	minCapacityFraction     = 0.02
	latestStartMeanFraction = 0.5
)

// newRequest records a descriptor that is not in any queue yet.
func (p *Pool) newRequest(now time.Duration, d Descriptor) *request {
	r := p.freeRequests.get()
	*r = request{Descriptor: d, submittedAt: now, position: -1}
	r.cost = costOf(d.PromptLength, d.MeanOutput)
	p.requests.store(d.ID, r)
	return r
}

// admit queues a new request, or sheds it if it cannot start in time.
func (p *Pool) admit(now time.Duration, d Descriptor) {
	c := &p.classes[d.Class]
	idle := c.idle.serviceTime(d.PromptLength, d.MeanOutput)
	loaded := c.loaded.serviceTime(d.PromptLength, max(d.MeanOutput, d.HighOutput))
	p.learnRequiredFraction(&d, d.Deadline-now, c.loaded.perPrompt)
	slack := d.Deadline - now - idle
	if slack < 0 {
		p.reportShed(d, Infeasible, 0)
		return
	}
	// With a long tail of output lengths the high quantile may not fit although
	// the mean does; such a request may wait for latestStartMeanFraction of its
	// slack.
	latestStart := max(d.Deadline-loaded, now+time.Duration(float64(slack)*latestStartMeanFraction))
	latestStart = min(latestStart, d.Deadline-idle)
	if d.StartBy > 0 {
		latestStart = max(now, min(latestStart, d.StartBy))
	}
	if p.heldOffUntil(now, d.Class, d.ID.Entry) > latestStart {
		p.reportHeldOff(now, d)
		return
	}
	retry := p.retries.claim(now, &d)
	wait := p.expectedWait(now, &d, c, false)
	margin := time.Duration(serviceMargin * float64(loaded))
	if d.Tier == 0 {
		margin = Never // the top tier does not queue in lasting overload
	}
	allowed := p.tiers[d.Tier].classQueues[d.Class].allowedWait(now, latestStart-now, margin, wait > 0)
	if d.StartBy > 0 {
		// StartBy says how long a wait is useful, so all of that time is allowed.
		allowed = latestStart - now
	}
	if retry && wait > allowed {
		wait = p.expectedWait(now, &d, c, true)
	}
	if wait > allowed || p.higherTierJustShed(now, &d, c) ||
		p.waiting >= p.config.MaxQueue && !p.evictForAdmission(now, d) {
		p.notAdmitted = append(p.notAdmitted, refusal{d, wait})
		return
	}
	r := p.newRequest(now, d)
	r.latestStart, r.retry = latestStart, retry
	r.anyUpstreamFrom = now + time.Duration(float64(latestStart-now)*selectiveFraction)
	p.tiers[d.Tier].classQueues[d.Class].arrivals.add(now, float64(r.cost))
	p.enqueue(r)
}

// higherTierJustShed reports whether work of a higher tier that shares an upstream
// was shed so recently that this request may already have been waiting at its entry.
func (p *Pool) higherTierJustShed(now time.Duration, d *Descriptor, c *class) bool {
	for tier := range int(d.Tier) {
		for _, o := range c.overlaps {
			if now < p.tiers[tier].classQueues[o.class].shedUntil {
				return true
			}
		}
	}
	return false
}

// allowedWait returns the longest expected wait with which a new request of the
// given slack is admitted. It falls as the overload lasts; in lasting overload
// it keeps the margin of the slack in reserve. waits reports whether the request
// would have to wait at all.
func (q *classQueue) allowedWait(now, slack, margin time.Duration, waits bool) time.Duration {
	elapsed := min(now-q.overloadUpdated, overloadStep)
	if waits {
		q.overloadLevel = min(1, q.overloadLevel+float64(elapsed)/float64(overloadRise))
	} else {
		q.overloadLevel = max(0, q.overloadLevel-float64(now-q.overloadUpdated)/float64(overloadFall))
	}
	q.overloadUpdated = now
	steady := max(steadyFraction*float64(slack), waitFraction*float64(slack-margin))
	burst := max(steady, burstFraction*float64(slack))
	return time.Duration(burst - q.overloadLevel*(burst-steady))
}

// expectedWait estimates how long a new request would wait: the queued work
// that is served before it, divided by the capacity of its class that higher
// tiers leave unused. A retry does not wait for the newcomers of its flow.
func (p *Pool) expectedWait(now time.Duration, d *Descriptor, c *class, retry bool) time.Duration {
	ahead := p.workAhead(d, c, retry)
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead / p.remainingCapacity(now, d.Tier, c) * float64(time.Second))
}

// remainingCapacity returns the cost per second of a class that higher tiers leave unused.
func (p *Pool) remainingCapacity(now time.Duration, below uint8, c *class) float64 {
	remaining := c.capacity
	for tier := range int(below) {
		for _, o := range c.overlaps {
			remaining -= o.fraction * p.tiers[tier].classQueues[o.class].arrivals.perSecond(now)
		}
	}
	return max(remaining, c.capacity*minCapacityFraction, 1)
}

// workAhead returns the queued cost that is served before a new request: all
// of the higher tiers, and of its own tier what fair queueing serves first.
func (p *Pool) workAhead(d *Descriptor, c *class, retry bool) float64 {
	var higher, same int64
	for _, o := range c.overlaps {
		for tier := range int(d.Tier) {
			higher += p.tiers[tier].classQueues[o.class].cost
		}
		same += p.tiers[d.Tier].classQueues[o.class].cost
	}
	if same == 0 {
		return float64(higher)
	}
	return float64(higher) + min(float64(same), p.fairWorkAhead(d, retry))
}

// fairWorkAhead returns the cost that fair queueing serves in the tier before a
// new request of a flow: the flow's own queue, and as much for each competing
// flow by weight, as far as these have work.
func (p *Pool) fairWorkAhead(d *Descriptor, retry bool) float64 {
	t := &p.tiers[d.Tier]
	kindWeight, kindWaits := weightOf(p.knownKindLimit(d.Kind)), false
	kind := p.kindFlows.get(kindKey{d.Tier, d.Kind})
	var kindAhead, kindDebt float64 // debt is service that was received ahead of the virtual time
	if kind != nil {
		kindWaits = kind.waiting > 0
		kindDebt = max(0, float64(kind.tag-t.virtual)) / tagUnit * kindWeight
		kindAhead = p.orgWorkAhead(d, kind, retry)
	}
	competing := t.weight
	if kindWaits {
		competing -= kindWeight
	}
	return kindAhead + max(0, competing)*(kindAhead+kindDebt)/kindWeight
}

// orgWorkAhead returns the cost that is served before a new request within its kind.
func (p *Pool) orgWorkAhead(d *Descriptor, kind *kindFlow, retry bool) float64 {
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
	if retry {
		own = float64(org.retryCost)
	}
	return min(float64(kind.cost), own+max(0, competing)*(own+debt)/org.weight)
}

func (p *Pool) knownKindLimit(kind uint32) FlowLimit {
	if state := p.kindStates.get(kind); state != nil {
		return state.limit
	}
	return p.kindLimit(kind)
}

// evictForAdmission sheds one waiting request in favour of a new one when the
// queue is full. The victim is the newest of the lowest tier; in the new
// request's own tier it is the newest of the largest organisation flow. It
// returns false if the new request is the one to shed.
func (p *Pool) evictForAdmission(now time.Duration, d Descriptor) bool {
	lowest := MaxTiers - 1
	for lowest > 0 && p.tiers[lowest].waiting == 0 {
		lowest--
	}
	if lowest < int(d.Tier) {
		return false
	}
	if lowest > int(d.Tier) {
		t := &p.tiers[lowest]
		victim := t.classQueues[t.active[0]].tail
		p.shedWaiting(victim, Overload, p.retryAfter(now, &victim.Descriptor))
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
	p.shedLowerTiers(now, victim.Tier, victim.Class)
	p.shedWaiting(victim, Overload, p.retryAfter(now, &victim.Descriptor))
	return true
}

func newestOf(f *orgFlow) *request {
	var newest *request
	for _, queue := range f.queues {
		if r := queue.tail; r != nil && (newest == nil || r.submittedAt > newest.submittedAt) {
			newest = r
		}
	}
	return newest
}

// shedLowerTiers sheds every waiting request of a lower tier that shares an
// upstream with the class, so that a higher tier is never shed while a lower one
// is kept. Each of these may share another upstream with a still lower tier, so
// what is below a queue is shed before the queue itself.
func (p *Pool) shedLowerTiers(now time.Duration, tier uint8, class uint32) {
	p.tiers[tier].classQueues[class].shedUntil = now + p.config.Transit
	for lower := tier + 1; lower < MaxTiers; lower++ {
		if p.tiers[lower].waiting == 0 {
			continue
		}
		for _, o := range p.classes[class].overlaps {
			q := &p.tiers[lower].classQueues[o.class]
			if q.count == 0 {
				continue
			}
			p.shedLowerTiers(now, lower, o.class)
			for q.head != nil {
				p.shedWaiting(q.head, Overload, p.retryAfter(now, &q.head.Descriptor))
			}
		}
	}
}

// refusal is a new request that was not admitted.
type refusal struct {
	Descriptor
	wait time.Duration
}

// shedNotAdmitted sheds the requests that were not admitted since the last step.
// Lower tiers are shed here and not at submission, because their requests may
// have been submitted in between.
func (p *Pool) shedNotAdmitted(now time.Duration) {
	for i := range p.notAdmitted {
		p.shedLowerTiers(now, p.notAdmitted[i].Tier, p.notAdmitted[i].Class)
	}
	for i := range p.notAdmitted {
		refused := &p.notAdmitted[i]
		p.reportShed(refused.Descriptor, Overload, p.bookRetry(now, &refused.Descriptor, refused.wait, 0))
	}
	p.notAdmitted = p.notAdmitted[:0]
}

// expire sheds waiting requests whose latest start has passed, in time order.
func (p *Pool) expire(now time.Duration) {
	for p.expiry.len() > 0 && time.Duration(p.expiry.entries[0].key) < now {
		r := p.expiry.entries[0].item
		if p.blockedByLimit(r) {
			p.shedWaiting(r, LimitInFlight, limitRetryAfter)
			continue
		}
		p.shedLowerTiers(now, r.Tier, r.Class)
		p.shedWaiting(r, Expired, p.retryAfter(now, &r.Descriptor))
	}
}

// blockedByLimit reports whether an operator's in-flight limit blocked the request
// while it waited. It then ends as a refusal by that limit and not as a shed.
func (p *Pool) blockedByLimit(r *request) bool {
	return r.orgFlow.state.blockedSince(r.submittedAt) || r.orgFlow.kind.state.blockedSince(r.submittedAt)
}

// retryAfter estimates when a request like the shed one could be admitted, not before
// the work that is now ahead of it is done, and books its return.
func (p *Pool) retryAfter(now time.Duration, d *Descriptor) time.Duration {
	return p.bookRetry(now, d, p.expectedWait(now, d, &p.classes[d.Class], false), shedRetryAfter)
}

// shedWaiting removes a waiting request and reports the shed.
func (p *Pool) shedWaiting(r *request, reason ShedReason, retryAfter time.Duration) {
	d := r.Descriptor
	p.discard(r)
	p.reportShed(d, reason, retryAfter)
}

// reportShed reports the shed of a request that is in no queue.
func (p *Pool) reportShed(d Descriptor, reason ShedReason, retryAfter time.Duration) {
	if retryAfter > 0 {
		retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	}
	p.pendingSheds = append(p.pendingSheds,
		Decision{ID: d.ID, Attempt: d.Attempt, Reason: reason, RetryAfter: retryAfter})
}

// discard removes a waiting request without a decision.
func (p *Pool) discard(r *request) {
	flow := r.orgFlow
	if r.orgQueue != nil {
		p.dequeue(r)
	}
	p.listIfIdle(flow)
	p.freeRequest(r)
}
