package scheduler

// Flows exist while they have work, and a little longer for their tags: a flow
// that has run ahead of the virtual time keeps its record until the virtual
// time has caught up, or until maxIdleFlows newer ones are idle.

func (p *Pool) kindState(kind uint32) *limitState[*kindQueue] {
	state := p.kindStates.get(kind)
	if state == nil {
		state = p.freeKindStates.get()
		parked := state.parked[:0]
		*state = limitState[*kindQueue]{number: kind, limit: p.kindLimit(kind), parked: parked}
		p.kindStates.put(kind, state)
	}
	return state
}

func (p *Pool) orgState(org uint32) *limitState[*orgQueue] {
	state := p.orgStates.get(org)
	if state == nil {
		state = p.freeOrgStates.get()
		parked := state.parked[:0]
		*state = limitState[*orgQueue]{number: org, limit: p.orgLimit(org), parked: parked}
		p.orgStates.put(org, state)
	}
	return state
}

func (p *Pool) kindLimit(kind uint32) FlowLimit {
	if p.topology.Kinds == nil {
		return FlowLimit{}
	}
	return p.topology.Kinds(kind)
}

func (p *Pool) orgLimit(org uint32) FlowLimit {
	if p.topology.Orgs == nil {
		return FlowLimit{}
	}
	return p.topology.Orgs(org)
}

func (p *Pool) kindFlowFor(tier uint8, kind uint32) *kindFlow {
	key := kindKey{tier, kind}
	flow := p.kindFlows.get(key)
	if flow == nil {
		flow = p.freeKindFlows.get()
		state := p.kindState(kind)
		state.refs++
		*flow = kindFlow{
			key: key, state: state, weight: weightOf(state.limit),
			tag: p.tiers[tier].virtual, queues: flow.queues[:0],
		}
		p.kindFlows.put(key, flow)
	}
	return flow
}

func (p *Pool) orgFlowFor(tier uint8, kind, org uint32) *orgFlow {
	key := orgKey{tier, kind, org}
	flow := p.orgFlows.get(key)
	if flow == nil {
		flow = p.freeOrgFlows.get()
		parent := p.kindFlowFor(tier, kind)
		parent.orgs++
		state := p.orgState(org)
		state.refs++
		*flow = orgFlow{
			key: key, kind: parent, state: state, weight: weightOf(state.limit),
			tag: parent.virtual, queues: flow.queues[:0],
		}
		p.orgFlows.put(key, flow)
	}
	return flow
}

func (p *Pool) orgQueueFor(flow *orgFlow, class uint32) *orgQueue {
	for _, queue := range flow.queues {
		if queue.kind.class == class {
			return queue
		}
	}
	queue := p.freeOrgQueues.get()
	*queue = orgQueue{flow: flow, kind: p.kindQueueFor(flow.kind, class), position: -1}
	flow.queues = append(flow.queues, queue)
	return queue
}

func (p *Pool) kindQueueFor(flow *kindFlow, class uint32) *kindQueue {
	for _, queue := range flow.queues {
		if queue.class == class {
			return queue
		}
	}
	queue := p.freeKindQueues.get()
	*queue = kindQueue{flow: flow, class: class, position: -1, orgs: minHeap[*orgQueue]{entries: queue.orgs.entries[:0]}}
	flow.queues = append(flow.queues, queue)
	return queue
}

// rest must be called when a request has left a flow. A flow without work is
// listed as idle.
func (p *Pool) rest(flow *orgFlow) {
	if flow.waiting > 0 || flow.inFlight > 0 {
		return
	}
	if flow.idleListed {
		return
	}
	flow.idleListed = true
	if p.idleOrgs.tail != nil {
		p.idleOrgs.tail.idleNext = flow
	} else {
		p.idleOrgs.head = flow
	}
	p.idleOrgs.tail = flow
	p.idleOrgs.count++
}

// idleList is a first-in, first-out list of flows that were idle when added.
type idleList struct {
	head, tail *orgFlow
	count      int
}

func (l *idleList) pop() *orgFlow {
	flow := l.head
	l.head = flow.idleNext
	if l.head == nil {
		l.tail = nil
	}
	l.count--
	flow.idleNext, flow.idleListed = nil, false
	return flow
}

// sweepIdle looks at the two oldest idle flows and forgets those whose tags no
// longer matter. Two for each submission, which adds at most one, keep the
// list short without a scan.
func (p *Pool) sweepIdle() {
	for range 2 {
		if p.idleOrgs.head == nil {
			return
		}
		full := p.idleOrgs.count > maxIdleFlows
		flow := p.idleOrgs.pop()
		if flow.waiting > 0 || flow.inFlight > 0 {
			continue
		}
		if full || flow.tag <= flow.kind.virtual && flow.kind.tag <= p.tiers[flow.key.tier].virtual {
			p.forgetOrg(flow)
		} else {
			p.rest(flow)
		}
	}
}

func (p *Pool) forgetOrg(flow *orgFlow) {
	p.orgFlows.remove(flow.key)
	for _, queue := range flow.queues {
		p.freeOrgQueues.put(queue)
	}
	flow.queues = flow.queues[:0]
	flow.state.refs--
	if flow.state.refs == 0 {
		p.orgStates.remove(flow.state.number)
		p.freeOrgStates.put(flow.state)
	}
	parent := flow.kind
	p.freeOrgFlows.put(flow)
	parent.orgs--
	if parent.orgs == 0 {
		p.forgetKind(parent)
	}
}

func (p *Pool) forgetKind(flow *kindFlow) {
	p.kindFlows.remove(flow.key)
	for _, queue := range flow.queues {
		if queue.parked {
			flow.state.parked = without(flow.state.parked, queue)
		}
		p.freeKindQueues.put(queue)
	}
	flow.queues = flow.queues[:0]
	flow.state.refs--
	if flow.state.refs == 0 {
		p.kindStates.remove(flow.state.number)
		p.freeKindStates.put(flow.state)
	}
	p.freeKindFlows.put(flow)
}
