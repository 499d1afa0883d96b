package scheduler

import "time"

// Fair queueing is start-time fair queueing at two levels: kinds inside a tier
// and organisations inside a kind. A flow's tag is the start tag of its next
// request while it waits, and the finish tag of its last request otherwise.
// Tags are in 1/tagUnit tokens of cost per unit of weight; at ten million
// tokens a second an int64 lasts for decades.
const tagUnit = 256

// maxLag bounds how far a flow's tag can fall behind the virtual time while the
// upstreams of its class are busy or unavailable. Without a bound such a flow
// would delay the rest of its tier for as long as it was blocked.
const maxLag = 1 << 18 * tagUnit

// decodeCost is the cost of one output token in prompt tokens. A decode step
// of a batch of 30 takes about 20 ms and a prompt token 0.05 to 0.1 ms, so one
// output token takes as much of an engine as about 8 prompt tokens.
const decodeCost = 8

// maxIdleFlows bounds the idle flows that are kept only for their tag.
const maxIdleFlows = 1024

type kindKey struct {
	tier uint8
	kind uint32
}

type orgKey struct {
	tier uint8
	kind uint32
	org  uint32
}

func hashKind(k kindKey) uint64 { return mix(uint64(k.tier)<<32 | uint64(k.kind) + 1<<40) }

func hashOrg(k orgKey) uint64 {
	return mix((uint64(k.tier)<<32|uint64(k.kind))*goldenRatio + uint64(k.org))
}

// limitState counts the work of one kind or one organisation over all tiers.
type limitState[Q any] struct {
	id    uint32
	limit FlowLimit
	// refs is the number of flows that refer to this state.
	refs             int
	inFlight, queued uint32
	// parked lists the queues that wait for the in-flight limit.
	parked []Q
	// lastBlocked is the last time at which the limit blocked waiting requests;
	// it is valid if everBlocked is set.
	lastBlocked time.Duration
	everBlocked bool
}

func (s *limitState[Q]) atLimit() bool {
	return s.limit.InFlight > 0 && s.inFlight >= s.limit.InFlight
}

// blockedSince reports whether the limit blocked waiting requests at or after t.
func (s *limitState[Q]) blockedSince(t time.Duration) bool {
	return len(s.parked) > 0 || s.everBlocked && s.lastBlocked >= t
}

// kindFlow is a kind of request in one tier.
type kindFlow struct {
	key    kindKey
	state  *limitState[*kindQueue]
	weight float64
	tag    int64
	// virtual is the virtual time: the greatest start tag granted among the
	// organisations.
	virtual int64
	// orgWeight is the sum of the weights of the organisations with waiting requests.
	orgWeight float64
	waiting   int
	cost      int64
	queues    []*kindQueue
	orgs      int // organisation flows that refer to this flow
}

// orgFlow is an organisation in one kind and tier.
type orgFlow struct {
	key      orgKey
	kind     *kindFlow
	state    *limitState[*orgQueue]
	weight   float64
	tag      int64
	waiting  int
	inFlight int
	cost     int64
	// retryCost is the part of cost that claimed a booking.
	retryCost int64
	queues    []*orgQueue
	// idleNext and idleListed link the flow into Pool.idleOrgs.
	idleNext   *orgFlow
	idleListed bool
}

func weightOf(limit FlowLimit) float64 {
	if limit.Weight <= 0 {
		return 1
	}
	return limit.Weight
}

func tagOf(cost int64, weight float64) int64 {
	return int64(float64(cost) * tagUnit / weight)
}

// startWaiting counts one more waiting request. A flow that had none starts
// at the virtual time, so that it cannot accumulate service while it is idle.
func (f *orgFlow) startWaiting(t *tierState, cost int64) {
	k := f.kind
	if k.waiting == 0 {
		k.tag = max(k.tag, t.virtual)
		t.weight += k.weight
	}
	if f.waiting == 0 {
		f.tag = max(f.tag, k.virtual)
		k.orgWeight += f.weight
	}
	f.waiting++
	k.waiting++
	f.cost += cost
	k.cost += cost
	f.state.queued++
	k.state.queued++
}

func (f *orgFlow) stopWaiting(t *tierState, cost int64) {
	k := f.kind
	f.waiting--
	k.waiting--
	f.cost -= cost
	k.cost -= cost
	f.state.queued--
	k.state.queued--
	if f.waiting == 0 {
		k.orgWeight = clampWeightSum(k.orgWeight-f.weight, k.waiting)
	}
	if k.waiting == 0 {
		t.weight = clampWeightSum(t.weight-k.weight, t.waiting)
	}
}

// clampWeightSum removes rounding errors from a sum of weights once nothing waits.
func clampWeightSum(weight float64, waiting int) float64 {
	if waiting == 0 {
		return 0
	}
	return max(0, weight)
}

// charge advances the tags of a flow whose request was granted.
func (f *orgFlow) charge(t *tierState, cost int64) {
	k := f.kind
	t.virtual = max(t.virtual, k.tag)
	k.tag = max(k.tag, t.virtual-maxLag) + tagOf(cost, k.weight)
	k.virtual = max(k.virtual, f.tag)
	f.tag = max(f.tag, k.virtual-maxLag) + tagOf(cost, f.weight)
}

// correct advances the tags by the difference between the true and the expected cost.
func (f *orgFlow) correct(difference int64) {
	f.kind.tag += tagOf(difference, f.kind.weight)
	f.tag += tagOf(difference, f.weight)
}

// updateHeapKeys restores the heaps after the tags of a flow changed.
func (p *Pool) updateHeapKeys(f *orgFlow) {
	for _, queue := range f.queues {
		if queue.position >= 0 {
			queue.kind.orgs.fix(queue.position, f.tag)
		}
	}
	for _, queue := range f.kind.queues {
		if queue.position >= 0 {
			p.tiers[f.key.tier].classQueues[queue.class].kinds.fix(queue.position, f.kind.tag)
		}
	}
}

// unparkKind makes the queues of a kind eligible again once its limit has a free slot.
func (p *Pool) unparkKind(now time.Duration, s *limitState[*kindQueue]) {
	if len(s.parked) == 0 || s.atLimit() {
		return
	}
	s.lastBlocked, s.everBlocked = now, true
	for _, queue := range s.parked {
		queue.parked = false
		if queue.orgs.len() > 0 {
			t := &p.tiers[queue.flow.key.tier]
			p.nextTie++
			t.classQueues[queue.class].kinds.push(queue.flow.tag, p.nextTie, queue)
		}
	}
	s.parked = s.parked[:0]
}

// unparkOrg makes the queues of an organisation eligible again once its limit has a free slot.
func (p *Pool) unparkOrg(now time.Duration, s *limitState[*orgQueue]) {
	if len(s.parked) == 0 || s.atLimit() {
		return
	}
	s.lastBlocked, s.everBlocked = now, true
	for _, queue := range s.parked {
		queue.parked = false
		p.activate(queue)
	}
	s.parked = s.parked[:0]
}

// addInFlight counts a request in flight against tier, kind and organisation.
func (p *Pool) addInFlight(f *orgFlow) {
	f.inFlight++
	f.state.inFlight++
	f.kind.state.inFlight++
	p.tiers[f.key.tier].inFlightCount++
}

func (p *Pool) removeInFlight(now time.Duration, f *orgFlow) {
	f.inFlight--
	f.state.inFlight--
	f.kind.state.inFlight--
	p.tiers[f.key.tier].inFlightCount--
	p.unparkKind(now, f.kind.state)
	p.unparkOrg(now, f.state)
}
