package scheduler

import "time"

const (
	// entryGrace is how long the permits of a dead entry count as in flight,
	// because its engines notice the closed connections only after a while.
	entryGrace = 2 * time.Second
	// lapseGrace is how long after its deadline a permit ends if it was never
	// released, for example because a frame was lost.
	lapseGrace = 10 * time.Second
)

// grantTier grants waiting requests of one tier while its classes have free
// upstreams. Because tiers are served in order, a request of a lower tier only
// finds capacity that no waiting request of a higher tier can use.
func (p *Pool) grantTier(now time.Duration, t *tierState, out []Decision) []Decision {
	var passed []*orgQueue
	for t.waiting > 0 {
		r := p.nextRequest(now, t)
		if r == nil {
			break
		}
		u := p.chooseUpstream(now, r)
		if u == nil {
			// Other requests of the tier do not wait for one whose prompt fits no free
			// upstream yet, or whose entry is held off.
			queue := r.orgQueue
			if r, u = p.passBlocked(now, r); u == nil {
				if len(passed) == maxPassedQueues {
					break
				}
				p.deactivate(queue)
				passed = append(passed, queue)
				continue
			}
		}
		out = append(out, p.grant(now, r, u))
	}
	for _, queue := range passed {
		p.activate(queue)
	}
	return out
}

// nextRequest returns the request that the tier grants next, or nil if no class
// has both a free upstream and a request that may start.
func (p *Pool) nextRequest(now time.Duration, t *tierState) *request {
	var best *request
	var bestTag int64
	for _, c := range t.active {
		if p.classes[c].free == 0 {
			continue
		}
		q := &t.classQueues[c]
		r := p.firstEligible(now, q)
		if r == nil {
			continue
		}
		if tag := q.kinds.entries[0].key; best == nil || tag < bestTag {
			best, bestTag = r, tag
		}
	}
	return best
}

// grant moves a waiting request to in flight at an upstream.
func (p *Pool) grant(now time.Duration, r *request, u *upstream) Decision {
	flow := r.orgFlow
	p.dequeue(r)
	flow.charge(&p.tiers[r.Tier], r.cost)
	p.updateHeapKeys(flow)
	hints := p.hints.forRequest(r)
	cachedTokens := hints.cachedTokens(uint32(u.index), r)
	p.hints.learnPrompt(r, u.index)
	p.useAllowance(r, u)
	p.attach(now, r, u, max(0, int64(r.PromptLength)-cachedTokens))
	return Decision{ID: r.ID, Attempt: r.Attempt, Upstream: uint32(u.index)}
}

// attach counts a request in flight at an upstream.
func (p *Pool) attach(now time.Duration, r *request, u *upstream, prefill int64) {
	r.state, r.upstream, r.grantedAt, r.started = stateInFlight, u, now, false
	p.addInFlight(r.orgFlow)
	u.inFlight++
	r.inFlightAtGrant = u.inFlight
	r.prefill = prefill
	u.pendingPrefill += prefill
	r.prefillAhead = u.pendingPrefill
	r.awaitPrev, r.awaitNext = u.awaitTail, nil
	if u.awaitTail != nil {
		u.awaitTail.awaitNext = r
	} else {
		u.awaitHead = r
	}
	u.awaitTail = r
	p.nextTie++
	p.lapse.push(int64(max(r.Deadline, now)+lapseGrace), p.nextTie, r)
	p.refreshFree(u)
}

// markStarted removes a request from the list of those without a first token.
func (u *upstream) markStarted(r *request) {
	if r.started {
		return
	}
	r.started = true
	u.pendingPrefill -= r.prefill
	if r.awaitPrev != nil {
		r.awaitPrev.awaitNext = r.awaitNext
	} else {
		u.awaitHead = r.awaitNext
	}
	if r.awaitNext != nil {
		r.awaitNext.awaitPrev = r.awaitPrev
	} else {
		u.awaitTail = r.awaitPrev
	}
	r.awaitPrev, r.awaitNext = nil, nil
}

// Adopt records a request that an entry dispatched under an earlier owner. It
// replaces a waiting request with the same ID. Reports for an unknown upstream
// or for a request that is known to be in flight are ignored.
func (p *Pool) Adopt(now time.Duration, f InFlight) {
	r := p.requests.get(f.Descriptor.ID)
	if int(f.Upstream) >= len(p.upstreams) || f.Descriptor.Tier >= MaxTiers || r != nil && r.state == stateInFlight {
		return
	}
	if r != nil {
		p.discard(r)
	}
	r = p.newRequest(now, f.Descriptor)
	r.orgFlow = p.orgFlowFor(r.Tier, r.Kind, r.Org)
	u := p.upstreams[f.Upstream]
	p.attach(now, r, u, int64(r.PromptLength))
	r.grantedAt, r.adopted = now-f.Age, true
	if f.OutputTokens > 0 {
		u.markStarted(r)
		p.refreshFree(u)
	}
	p.hints.learnPrompt(r, u.index)
}

// FirstToken reports the first token of a request in flight. The time to first
// token counts from dispatch. slowdownPercent is as in Completion.
func (p *Pool) FirstToken(now time.Duration, id GlobalID, ttft time.Duration, slowdownPercent uint32) {
	r := p.requests.get(id)
	if r == nil || r.state != stateInFlight || r.started {
		return
	}
	r.upstream.slowdown.observe(now, slowdownPercent)
	p.observeFirstToken(now, r, ttft)
}

func (p *Pool) observeFirstToken(now time.Duration, r *request, ttft time.Duration) {
	u := r.upstream
	u.markStarted(r)
	u.lastProgress = now
	if u.Service {
		p.observeServiceAnswer(now, u)
		return
	}
	defer p.refreshFree(u)
	smooth(&u.ttft, float64(ttft), smoothing)
	if r.prefillAhead > 0 && !u.quarantined {
		u.prefill.observe(float64(r.prefillAhead), float64(ttft)/u.slowdown.expected(now))
	}
	p.sampleLimit(now, u, &u.ttftCount, float64(ttft), float64(p.config.TargetTTFT))
	p.observeProbe(now, r, ttft <= p.config.TargetTTFT)
}

// Release ends a permit and corrects the cost charged for it by the true number of tokens.
func (p *Pool) Release(now time.Duration, c Completion) {
	r := p.requests.get(c.ID)
	if r == nil || r.state != stateInFlight || c.Attempt != 0 && c.Attempt < r.Attempt {
		return
	}
	u := r.upstream
	p.recordSaturation(u)
	p.learnOutcome(now, r, c)
	if c.Outcome == Unused {
		p.returnAllowance(r)
	}
	p.endPermit(now, r, p.trueCost(r, c))
}

func (p *Pool) trueCost(r *request, c Completion) int64 {
	switch c.Outcome {
	case Unused, ConnectRefused, Refused:
		return 0
	}
	prompt := uint32(0)
	if r.started || c.OutputTokens > 0 {
		prompt = r.PromptLength - min(c.CachedPrompt, r.PromptLength)
	}
	return costOf(prompt, c.OutputTokens)
}

func costOf(prompt, output uint32) int64 {
	return max(1, int64(prompt)+decodeCost*int64(output))
}

// learnOutcome updates the learned state of the upstream.
func (p *Pool) learnOutcome(now time.Duration, r *request, c Completion) {
	u := r.upstream
	p.holdOff(now, u, c.ID.Entry, c.HoldOff)
	u.slowdown.observe(now, c.SlowdownPercent)
	p.observeSlots(u, c.Slots)
	switch c.Outcome {
	case Complete, Late:
		u.lastProgress = now
		u.brokenStreams = 0
		u.failures.observe(now, false)
		p.observeServiceAnswer(now, u)
		u.learnSlotThroughput(now, r.cost, now-r.grantedAt)
		if !u.Service {
			p.adjustTargetFraction(r.Tier, c.Outcome == Late)
		}
		if !r.started && c.TTFT > 0 {
			p.observeFirstToken(now, r, c.TTFT)
		}
		if c.InterToken > 0 && !u.Service {
			p.observeInterToken(now, r, float64(c.InterToken))
		}
		if c.CachedPrompt > 0 {
			p.hints.learn(r.Prefix, u.index, c.CachedPrompt)
		}
	case Failed:
		// How long a failure takes says nothing about the upstream's speed.
		u.lastProgress = now
		u.brokenStreams = 0
		u.failures.observe(now, true)
	case ConnectRefused:
		p.quarantine(now, u)
	case Refused:
		// An upstream that answers is alive, also if it is full. One that refuses more
		// than the others is chosen last.
		u.lastProgress = now
		u.failures.observe(now, true)
	case Broken:
		u.brokenStreams++
		if u.brokenStreams >= deadAfterBroken {
			p.quarantineOrCutLimit(now, u)
		}
	}
	if r.probe && c.Outcome != Complete {
		u.probeRequest = nil
	}
}

func (p *Pool) observeInterToken(now time.Duration, r *request, interToken float64) {
	u := r.upstream
	if u.interToken == 0 || len(u.reports) == 0 {
		smooth(&u.interToken, interToken, smoothing)
	}
	if !u.quarantined && u.suspectSince == 0 {
		u.learnProfile(now, r.inFlightAtGrant, interToken)
	}
	p.sampleLimit(now, u, &u.interTokenCount, interToken, p.interTokenTarget())
}

// endPermit removes a request in flight from all counts.
func (p *Pool) endPermit(now time.Duration, r *request, cost int64) {
	u, flow := r.upstream, r.orgFlow
	u.markStarted(r)
	u.inFlight--
	if u.probeRequest == r {
		u.probeRequest = nil
	}
	p.lapse.remove(r.position)
	if !r.adopted {
		flow.correct(cost - r.cost)
		p.updateHeapKeys(flow)
	}
	p.removeInFlight(now, flow)
	p.listIfIdle(flow)
	p.freeRequest(r)
	p.refreshFree(u)
}

// freeRequest frees the record of a request that no structure refers to any more.
func (p *Pool) freeRequest(r *request) {
	p.requests.remove(r.ID)
	*r = request{position: -1}
	p.freeRequests.release(r)
}

// lapsePermits ends permits that should have been released long ago.
func (p *Pool) lapsePermits(now time.Duration) {
	for p.lapse.len() > 0 && time.Duration(p.lapse.entries[0].key) <= now {
		r := p.lapse.entries[0].item
		p.endPermit(now, r, r.cost)
	}
}

// DropEntry drops the waiting requests of a dead entry. Its permits count as in
// flight for entryGrace.
func (p *Pool) DropEntry(now time.Duration, entry uint64) {
	var dropped []*request
	for _, s := range p.requests.slots {
		if s.value != nil && s.key.Entry == entry {
			dropped = append(dropped, s.value)
		}
	}
	for _, r := range dropped {
		if r.state == stateWaiting {
			p.discard(r)
		} else {
			p.lapse.fix(r.position, int64(now+entryGrace))
		}
	}
	for _, u := range p.upstreams {
		u.dropHolds(entry)
		for i := range u.reports {
			if u.reports[i].Entry == entry {
				u.reports = append(u.reports[:i], u.reports[i+1:]...)
				break
			}
		}
	}
}
