package scheduler

import "time"

// requestState says which structures hold a request.
type requestState uint8

const (
	stateWaiting requestState = iota + 1
	stateInFlight
)

// request is one descriptor, waiting or in flight.
type request struct {
	Descriptor
	state requestState
	// cost is the expected cost in tokens that the flows are charged for.
	cost int64
	// latest is the latest start time while waiting.
	submitted, latest time.Duration
	// anyFrom is when the request takes any upstream, also one that it does not suit.
	anyFrom time.Duration
	// position is the place in Pool.expiry while waiting, in Pool.lapse in flight.
	position int

	orgQueue   *orgQueue
	previous   *request // in the queue of the organisation
	next       *request
	linePrev   *request // in the line of the tier and class
	lineNext   *request
	orgFlow    *orgFlow
	upstream   *upstream
	granted    time.Duration
	started    bool  // the first token was reported
	probe      bool  // sent to a quarantined upstream
	adopted    bool  // granted and charged by an earlier owner
	ahead      int64 // prompt tokens waiting at the upstream when granted, own included
	prefill    int64 // own prompt tokens counted in upstream.pendingPrefill
	awaitPrev  *request
	awaitNext  *request
	inFlightOf uint32 // in-flight level of the upstream when granted
}

func (r *request) setPosition(i int) { r.position = i }

// line holds the waiting requests of one tier and class.
type line struct {
	// head and tail form the list in order of arrival.
	head, tail *request
	count      int
	cost       int64
	// kinds holds the kinds that can be granted, ordered by start tag.
	kinds minHeap[*kindQueue]
	// arrivals is the rate of admitted cost per second.
	arrivals rate
	// shedUntil is the time until which lower tiers that share an upstream are
	// refused after a shed in this line.
	shedUntil time.Duration
	// overload is 0 in calm times and 1 in lasting overload, as of overloadAt.
	overload   float64
	overloadAt time.Duration
	// active is the place in tierState.active, -1 if count is 0.
	active int
}

// kindQueue holds the waiting requests of one kind in one line.
type kindQueue struct {
	flow     *kindFlow
	class    uint32
	position int
	parked   bool
	// orgs holds the organisations that can be granted, ordered by start tag.
	orgs minHeap[*orgQueue]
}

func (q *kindQueue) setPosition(i int) { q.position = i }

// orgQueue holds the waiting requests of one organisation in one kindQueue,
// first in, first out.
type orgQueue struct {
	flow       *orgFlow
	kind       *kindQueue
	position   int
	parked     bool
	head, tail *request
}

func (q *orgQueue) setPosition(i int) { q.position = i }

// tierState holds the lines of one tier.
type tierState struct {
	lines   []line
	active  []uint32 // classes with waiting requests
	waiting int
	// virtual is the greatest start tag granted so far.
	virtual int64
	// weight is the sum of the weights of the kinds that wait.
	weight float64
	flight uint32
}

// enqueue adds a request to the queues of its flow.
func (p *Pool) enqueue(r *request) {
	t := &p.tiers[r.Tier]
	flow := p.orgFlowFor(r.Tier, r.Kind, r.Org)
	queue := p.orgQueueFor(flow, r.Class)
	r.state, r.orgFlow, r.orgQueue = stateWaiting, flow, queue
	flow.startWaiting(t, r.cost)

	r.previous, r.next = queue.tail, nil
	if queue.tail != nil {
		queue.tail.next = r
	} else {
		queue.head = r
	}
	queue.tail = r
	p.appendToLine(t, r)
	p.waiting++
	p.nextTie++
	p.expiry.push(int64(r.latest), p.nextTie, r)
	if queue.position < 0 && !queue.parked {
		p.activate(queue)
	}
}

func (p *Pool) appendToLine(t *tierState, r *request) {
	l := &t.lines[r.Class]
	r.linePrev, r.lineNext = l.tail, nil
	if l.tail != nil {
		l.tail.lineNext = r
	} else {
		l.head = r
		l.active = len(t.active)
		t.active = append(t.active, r.Class)
	}
	l.tail = r
	l.count++
	p.classes[r.Class].waiting++
	l.cost += r.cost
	t.waiting++
}

// activate makes a queue with waiting requests eligible for grants.
func (p *Pool) activate(queue *orgQueue) {
	p.nextTie++
	kind := queue.kind
	kind.orgs.push(queue.flow.tag, p.nextTie, queue)
	if kind.position < 0 && !kind.parked {
		p.nextTie++
		p.tiers[kind.flow.key.tier].lines[kind.class].kinds.push(kind.flow.tag, p.nextTie, kind)
	}
}

// deactivate removes a queue from the heaps, if it is there.
func (p *Pool) deactivate(queue *orgQueue) {
	kind := queue.kind
	if queue.position >= 0 {
		kind.orgs.remove(queue.position)
	}
	if kind.orgs.len() == 0 && kind.position >= 0 {
		p.tiers[kind.flow.key.tier].lines[kind.class].kinds.remove(kind.position)
	}
}

// dequeue removes a waiting request from all queues. The caller must then
// either release its flow or make the request in flight.
func (p *Pool) dequeue(r *request) {
	queue := r.orgQueue
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		queue.head = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	} else {
		queue.tail = r.previous
	}
	r.previous, r.next, r.orgQueue = nil, nil, nil
	t := &p.tiers[r.Tier]
	p.removeFromLine(t, r)
	p.waiting--
	p.expiry.remove(r.position)
	if queue.head == nil {
		p.deactivate(queue)
		if queue.parked {
			queue.parked = false
			queue.flow.state.parked = without(queue.flow.state.parked, queue)
		}
	}
	r.orgFlow.stopWaiting(t, r.cost)
}

func (p *Pool) removeFromLine(t *tierState, r *request) {
	l := &t.lines[r.Class]
	if r.linePrev != nil {
		r.linePrev.lineNext = r.lineNext
	} else {
		l.head = r.lineNext
	}
	if r.lineNext != nil {
		r.lineNext.linePrev = r.linePrev
	} else {
		l.tail = r.linePrev
	}
	r.linePrev, r.lineNext = nil, nil
	l.count--
	p.classes[r.Class].waiting--
	l.cost -= r.cost
	t.waiting--
	if l.count == 0 {
		last := t.active[len(t.active)-1]
		t.active[l.active] = last
		t.lines[last].active = l.active
		t.active = t.active[:len(t.active)-1]
		l.active = -1
	}
}

// first returns the request that a line grants next, or nil. It parks flows
// that are at their in-flight limit until the limit has room again.
func (p *Pool) first(now time.Duration, l *line) *request {
	for l.kinds.len() > 0 {
		kind := l.kinds.entries[0].item
		if state := kind.flow.state; state.atLimit() {
			l.kinds.remove(0)
			kind.parked = true
			state.parked = append(state.parked, kind)
			continue
		}
		queue := kind.orgs.entries[0].item
		if state := queue.flow.state; state.atLimit() {
			p.deactivateParked(queue)
			continue
		}
		return queue.head
	}
	return nil
}

func (p *Pool) deactivateParked(queue *orgQueue) {
	p.deactivate(queue)
	queue.parked = true
	queue.flow.state.parked = append(queue.flow.state.parked, queue)
}

// without returns list with one element removed. The order may change.
func without[T comparable](list []T, element T) []T {
	for i := range list {
		if list[i] == element {
			last := len(list) - 1
			list[i] = list[last]
			var zero T
			list[last] = zero
			return list[:last]
		}
	}
	return list
}
