package scheduler

import (
	"math"
	"time"
)

// Defaults of a Config.
const (
	defaultTargetTTFT       = 980 * time.Millisecond
	defaultTargetInterToken = 54 * time.Millisecond
	defaultMaxQueue         = 8192
	defaultTransit          = 10 * time.Millisecond
)

// Never is returned by NextWake when nothing is due.
const Never = time.Duration(math.MaxInt64)

// Pool schedules the requests of one pool of upstreams. It is used by one
// goroutine. All times are on one monotonic clock and must not decrease.
type Pool struct {
	config    Config
	topology  Topology
	upstreams []*upstream
	classes   []class
	// groups holds the allowances of the groups of upstreams; nil without groups.
	groups map[uint32]*group
	hints  hintTable

	requests   table[GlobalID, request]
	kindStates table[uint32, limitState[*kindQueue]]
	orgStates  table[uint32, limitState[*orgQueue]]
	kindFlows  table[kindKey, kindFlow]
	orgFlows   table[orgKey, orgFlow]
	idleOrgs   idleList

	tiers   [MaxTiers]tierState
	waiting int
	nextTie uint64
	// expiry orders waiting requests by latest start; lapse orders requests in
	// flight by the time at which their permit lapses.
	expiry, lapse minHeap[*request]
	// pendingSheds holds shed decisions that Step has not returned yet.
	pendingSheds []Decision
	// notAdmitted holds new requests that were not admitted since the last Step.
	notAdmitted []refusal

	// targetFraction is the fraction of Config.TargetInterToken that is aimed at;
	// late answers lower it.
	targetFraction float64
	// requiredFraction is the fraction that the deadlines of the top tier require.
	requiredFraction   float64
	cautiousUntil      time.Duration
	nextStragglerCheck time.Duration
	nextCapacityUpdate time.Duration
	// nextAnyUpstream is when a request that waits for an upstream where its
	// prompt fits accepts any; 0 if none waits for that.
	nextAnyUpstream time.Duration
	quarantined     int
	// holdsUntil is when the last hold of an upstream ends.
	holdsUntil time.Duration
	retries    retrySchedule

	freeRequests   freeList[request]
	freeKindStates freeList[limitState[*kindQueue]]
	freeOrgStates  freeList[limitState[*orgQueue]]
	freeKindFlows  freeList[kindFlow]
	freeOrgFlows   freeList[orgFlow]
	freeKindQueues freeList[kindQueue]
	freeOrgQueues  freeList[orgQueue]
}

// New returns a pool without upstreams. Zero fields of the configuration take
// defaults.
func New(config Config) *Pool {
	if config.TargetTTFT <= 0 {
		config.TargetTTFT = defaultTargetTTFT
	}
	if config.TargetInterToken <= 0 {
		config.TargetInterToken = defaultTargetInterToken
	}
	if config.MaxQueue <= 0 {
		config.MaxQueue = defaultMaxQueue
	}
	if config.Transit <= 0 {
		config.Transit = defaultTransit
	}
	config.LimitDivisor = max(1, config.LimitDivisor)
	return &Pool{
		config:           config,
		targetFraction:   1,
		requiredFraction: 1,
		hints:            newHintTable(config.Seed),
		retries:          newRetrySchedule(),
		requests:         newTable[GlobalID, request](hashID),
		kindStates:       newTable[uint32, limitState[*kindQueue]](hashUint32),
		orgStates:        newTable[uint32, limitState[*orgQueue]](hashUint32),
		kindFlows:        newTable[kindKey, kindFlow](hashKind),
		orgFlows:         newTable[orgKey, orgFlow](hashOrg),
	}
}

// Submit adds a waiting request. A repeated submission of the same attempt is
// ignored. A later attempt replaces an earlier one: a waiting request keeps its
// position, and a permit of the earlier attempt ends as unused, because an entry
// submits again only if it dispatched nothing.
func (p *Pool) Submit(now time.Duration, d Descriptor) {
	p.sweepIdle()
	if known := p.requests.get(d.ID); known != nil {
		if d.Attempt <= known.Attempt {
			return
		}
		if known.state == stateWaiting {
			known.Attempt = d.Attempt
			return
		}
		p.Release(now, Completion{ID: d.ID, Outcome: Unused})
	}
	if d.Tier >= MaxTiers || int(d.Class) >= len(p.classes) || !p.classes[d.Class].usable {
		p.reportShed(d, NoUpstream, 0)
		return
	}
	if state := p.kindStates.get(d.Kind); state != nil && queueFull(state.limit, state.queued) {
		p.reportShed(d, LimitQueue, limitRetryAfter)
		return
	}
	if state := p.orgStates.get(d.Org); state != nil && queueFull(state.limit, state.queued) {
		p.reportShed(d, LimitQueue, limitRetryAfter)
		return
	}
	p.admit(now, d)
}

func queueFull(limit FlowLimit, queued uint32) bool {
	return limit.Queued > 0 && queued >= limit.Queued
}

// Withdraw removes a waiting request that its caller abandoned. It has no effect
// on a request in flight, which its entry ends with Release.
func (p *Pool) Withdraw(_ time.Duration, id GlobalID) {
	if r := p.requests.get(id); r != nil && r.state == stateWaiting {
		p.discard(r)
	}
}

// Step sheds and grants what is due and appends the decisions to out. Shed
// decisions of lower tiers precede those of the tier that caused them.
func (p *Pool) Step(now time.Duration, out []Decision) []Decision {
	if now >= p.nextCapacityUpdate {
		p.updateCapacities(now)
	}
	if p.cautiousUntil != 0 && now >= p.cautiousUntil {
		p.cautiousUntil = 0
		p.refreshAllFree()
	}
	p.nextAnyUpstream = 0
	p.lapsePermits(now)
	p.expire(now)
	p.shedNotAdmitted(now)
	if now >= p.nextStragglerCheck {
		p.nextStragglerCheck = now + stragglerCheckInterval
		p.checkStragglers(now)
	}
	out = append(out, p.pendingSheds...)
	p.pendingSheds = p.pendingSheds[:0]
	for tier := range p.tiers {
		if p.quarantined > 0 && p.tiers[tier].waiting > 0 {
			// Probes come before the tier's grants, which under light load would
			// leave no request for a probe.
			out = p.probe(now, uint8(tier), out)
		}
		out = p.grantTier(now, &p.tiers[tier], out)
	}
	return out
}

// NextWake returns the time at which Step must be called even if nothing is
// submitted or released before, or Never.
func (p *Pool) NextWake(now time.Duration) time.Duration {
	if len(p.pendingSheds) > 0 || len(p.notAdmitted) > 0 {
		return now
	}
	wake := Never
	if p.expiry.len() > 0 {
		// A request is expired once its latest start has passed.
		wake = min(wake, time.Duration(p.expiry.entries[0].key)+1)
	}
	if p.lapse.len() > 0 {
		wake = min(wake, time.Duration(p.lapse.entries[0].key), p.nextStragglerCheck)
	}
	if p.quarantined > 0 && p.waiting > 0 {
		wake = min(wake, p.nextStragglerCheck)
	}
	if p.cautiousUntil != 0 {
		wake = min(wake, p.cautiousUntil)
	}
	if p.nextAnyUpstream != 0 {
		wake = min(wake, p.nextAnyUpstream)
	}
	if p.waiting > 0 {
		wake = min(wake, p.nextHoldEnd(now))
	}
	return max(wake, now)
}

// HalveLimitsUntil halves all limits until the given time. A new owner does so until
// the entries have reported their requests in flight; a call with until not
// after now ends it. Retries are booked with caution for one horizon of the
// schedule after the start.
func (p *Pool) HalveLimitsUntil(now, until time.Duration) {
	p.cautiousUntil = until
	if until <= now {
		p.cautiousUntil = 0
	} else {
		p.retries.cautiousUntil = now + retryHorizon
	}
	p.refreshAllFree()
}

// InFlight returns the number of permits at an upstream.
func (p *Pool) InFlight(upstream uint32) int {
	if int(upstream) >= len(p.upstreams) {
		return 0
	}
	return int(p.upstreams[upstream].inFlight)
}

// SetTargets changes Config.TargetTTFT, Config.TargetInterToken and
// Config.PromptSlowdown; values that are not positive leave theirs unchanged.
func (p *Pool) SetTargets(ttft, interToken time.Duration, promptSlowdown float64) {
	if promptSlowdown > 0 {
		p.config.PromptSlowdown = promptSlowdown
	}
	if ttft > 0 {
		p.config.TargetTTFT = ttft
	}
	if interToken > 0 {
		p.config.TargetInterToken = interToken
	}
	p.refreshAllFree()
}

// SetLimitDivisor changes Config.LimitDivisor.
func (p *Pool) SetLimitDivisor(_ time.Duration, share int) {
	p.config.LimitDivisor = max(1, share)
	p.refreshAllFree()
}

// Summary returns a snapshot for metrics and status. It allocates.
func (p *Pool) Summary() Summary {
	var s Summary
	for i := range p.tiers {
		s.Tiers[i] = TierSummary{Waiting: uint32(p.tiers[i].waiting), InFlight: p.tiers[i].inFlightCount}
	}
	for _, u := range p.upstreams {
		s.Upstreams = append(s.Upstreams, UpstreamSummary{
			Name: u.Name, Limit: p.limitOf(u), InFlight: u.inFlight,
			TTFT: time.Duration(u.ttft), InterToken: time.Duration(u.interToken),
			Straggler: u.quarantined,
		})
	}
	return s
}
