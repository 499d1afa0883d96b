package scheduler

// A flow exists while it has waiting or in-flight requests. A flow whose tag is
// ahead of the virtual time is kept until the virtual time has caught up, or
// until maxIdleFlows newer flows are idle.

func (p *Pool) kindState(kind uint32) *limitState[*kindQueue] {
	state := p.kindStates.get(kind)
	if state == nil {
		state = p.freeKindStates.get()
		parked := state.parked[:0]
		*state = limitState[*kindQueue]{id: kind, limit: p.kindLimit(kind), parked: parked}
		p.kindStates.store(kind, state)
	}
	return state
}

func (p *Pool) orgState(org uint32) *limitState[*orgQueue] {
	state := p.orgStates.get(org)
	if state == nil {
		state = p.freeOrgStates.get()
		parked := state.parked[:0]
		*state = limitState[*orgQueue]{id: org, limit: p.orgLimit(org), parked: parked}
		p.orgStates.store(org, state)
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
		p.kindFlows.store(key, flow)
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
		p.orgFlows.store(key, flow)
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

// listIfIdle lists a flow without requests as idle. It must be called when a
// request has left the flow.
func (p *Pool) listIfIdle(flow *orgFlow) {
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

// sweepIdle examines the two oldest idle flows and removes those whose tags no
// longer matter. A submission adds at most one flow to the list, so that two
// examined for each submission keep the list short without a scan.
func (p *Pool) sweepIdle() {
	for range 2 {
		if p.idleOrgs.head == nil {
			return
		}
		overLimit := p.idleOrgs.count > maxIdleFlows
		flow := p.idleOrgs.pop()
		if flow.waiting > 0 || flow.inFlight > 0 {
			continue
		}
		if overLimit || flow.tag <= flow.kind.virtual && flow.kind.tag <= p.tiers[flow.key.tier].virtual {
			p.removeOrgFlow(flow)
		} else {
			p.listIfIdle(flow)
		}
	}
}

func (p *Pool) removeOrgFlow(flow *orgFlow) {
	p.orgFlows.remove(flow.key)
	for _, queue := range flow.queues {
		p.freeOrgQueues.release(queue)
	}
	flow.queues = flow.queues[:0]
	flow.state.refs--
	if flow.state.refs == 0 {
		p.orgStates.remove(flow.state.id)
		p.freeOrgStates.release(flow.state)
	}
	parent := flow.kind
	p.freeOrgFlows.release(flow)
	parent.orgs--
	if parent.orgs == 0 {
		p.removeKindFlow(parent)
	}
}

func (p *Pool) removeKindFlow(flow *kindFlow) {
	p.kindFlows.remove(flow.key)
	for _, queue := range flow.queues {
		if queue.parked {
			flow.state.parked = removeElement(flow.state.parked, queue)
		}
		p.freeKindQueues.release(queue)
	}
	flow.queues = flow.queues[:0]
	flow.state.refs--
	if flow.state.refs == 0 {
		p.kindStates.remove(flow.state.id)
		p.freeKindStates.release(flow.state)
	}
	p.freeKindFlows.release(flow)
}
