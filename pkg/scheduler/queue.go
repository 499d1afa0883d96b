package scheduler

import "time"

// requestState says which structures hold a request.
type requestState uint8

const (
	stateWaiting requestState = iota + 1
	stateInFlight
)

// request is a descriptor with its scheduling state, waiting or in flight.
type request struct {
	Descriptor
	state requestState
	// cost is the expected cost in tokens that the flows are charged for.
	cost int64
	// latestStart is the latest start time while waiting.
	submittedAt, latestStart time.Duration
	// anyUpstreamFrom is when the request accepts any upstream, even one where
	// its prompt does not fit.
	anyUpstreamFrom time.Duration
	// position is the index in Pool.expiry while waiting, in Pool.lapse in flight.
	position int

	orgQueue        *orgQueue
	previous        *request // in the queue of the organisation
	next            *request
	classPrev       *request // in the queue of the tier and class
	classNext       *request
	orgFlow         *orgFlow
	upstream        *upstream
	grantedAt       time.Duration
	started         bool  // the first token was reported
	probe           bool  // sent to a quarantined upstream
	retry           bool  // claimed a booking
	adopted         bool  // granted and charged by an earlier owner
	prefillAhead    int64 // prompt tokens waiting at the upstream when granted, including its own
	prefill         int64 // its own prompt tokens counted in upstream.pendingPrefill
	awaitPrev       *request
	awaitNext       *request
	inFlightAtGrant uint32 // in-flight level of the upstream when granted
	group           *group // whose allowance the permit used; nil if none
}

func (r *request) setPosition(i int) { r.position = i }

// classQueue holds the waiting requests of one tier and class.
type classQueue struct {
	// head and tail form the list in order of arrival.
	head, tail *request
	count      int
	cost       int64
	// kinds holds the kinds that can be granted, ordered by start tag.
	kinds minHeap[*kindQueue]
	// arrivals is the rate of admitted cost per second.
	arrivals rate
	// shedUntil is the time until which lower tiers that share an upstream are
	// refused after a shed in this queue.
	shedUntil time.Duration
	// overloadLevel is 0 without overload and 1 in lasting overload, as of
	// overloadUpdated.
	overloadLevel   float64
	overloadUpdated time.Duration
	// active is the position in tierState.active, -1 if count is 0.
	active int
}

// kindQueue holds the waiting requests of one kind in one classQueue.
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
// first in, first out; retries that claimed a booking precede the others.
type orgQueue struct {
	flow       *orgFlow
	kind       *kindQueue
	position   int
	parked     bool
	head, tail *request
	lastRetry  *request
}

func (q *orgQueue) setPosition(i int) { q.position = i }

// tierState holds the queues of one tier.
type tierState struct {
	classQueues []classQueue
	active      []uint32 // classes with waiting requests
	waiting     int
	// virtual is the virtual time: the greatest start tag granted so far.
	virtual int64
	// weight is the sum of the weights of the kinds with waiting requests.
	weight        float64
	inFlightCount uint32
}

// enqueue adds a request to the queues of its flow.
func (p *Pool) enqueue(r *request) {
	t := &p.tiers[r.Tier]
	flow := p.orgFlowFor(r.Tier, r.Kind, r.Org)
	queue := p.orgQueueFor(flow, r.Class)
	r.state, r.orgFlow, r.orgQueue = stateWaiting, flow, queue
	flow.startWaiting(t, r.cost)
	queue.insert(r)
	p.appendToClassQueue(t, r)
	p.waiting++
	p.nextTie++
	p.expiry.push(int64(r.latestStart), p.nextTie, r)
	if queue.position < 0 && !queue.parked {
		p.activate(queue)
	}
}

// insert puts a request at its place: retries after the other retries, newcomers last.
func (q *orgQueue) insert(r *request) {
	r.previous = q.tail
	if r.retry {
		r.previous, q.lastRetry = q.lastRetry, r
		q.flow.retryCost += r.cost
	}
	r.next = nil
	if r.previous != nil {
		r.next, r.previous.next = r.previous.next, r
	} else {
		r.next, q.head = q.head, r
	}
	if r.next != nil {
		r.next.previous = r
	} else {
		q.tail = r
	}
}

// remove takes a request out of the queue.
func (q *orgQueue) remove(r *request) {
	if r.retry {
		q.flow.retryCost -= r.cost
	}
	if q.lastRetry == r {
		q.lastRetry = r.previous
	}
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		q.head = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	} else {
		q.tail = r.previous
	}
	r.previous, r.next, r.orgQueue = nil, nil, nil
}

func (p *Pool) appendToClassQueue(t *tierState, r *request) {
	q := &t.classQueues[r.Class]
	r.classPrev, r.classNext = q.tail, nil
	if q.tail != nil {
		q.tail.classNext = r
	} else {
		q.head = r
		q.active = len(t.active)
		t.active = append(t.active, r.Class)
	}
	q.tail = r
	q.count++
	p.classes[r.Class].waiting++
	q.cost += r.cost
	t.waiting++
}

// activate makes a queue with waiting requests eligible for grants.
func (p *Pool) activate(queue *orgQueue) {
	p.nextTie++
	kind := queue.kind
	kind.orgs.push(queue.flow.tag, p.nextTie, queue)
	if kind.position < 0 && !kind.parked {
		p.nextTie++
		p.tiers[kind.flow.key.tier].classQueues[kind.class].kinds.push(kind.flow.tag, p.nextTie, kind)
	}
}

// deactivate removes a queue from the heaps, if it is there.
func (p *Pool) deactivate(queue *orgQueue) {
	kind := queue.kind
	if queue.position >= 0 {
		kind.orgs.remove(queue.position)
	}
	if kind.orgs.len() == 0 && kind.position >= 0 {
		p.tiers[kind.flow.key.tier].classQueues[kind.class].kinds.remove(kind.position)
	}
}

// dequeue removes a waiting request from all queues. The caller must then call
// listIfIdle for its flow or make the request in flight.
func (p *Pool) dequeue(r *request) {
	queue := r.orgQueue
	queue.remove(r)
	t := &p.tiers[r.Tier]
	p.removeFromClassQueue(t, r)
	p.waiting--
	p.expiry.remove(r.position)
	if queue.head == nil {
		p.deactivate(queue)
		if queue.parked {
			queue.parked = false
			queue.flow.state.parked = removeElement(queue.flow.state.parked, queue)
		}
	}
	r.orgFlow.stopWaiting(t, r.cost)
}

func (p *Pool) removeFromClassQueue(t *tierState, r *request) {
	q := &t.classQueues[r.Class]
	if r.classPrev != nil {
		r.classPrev.classNext = r.classNext
	} else {
		q.head = r.classNext
	}
	if r.classNext != nil {
		r.classNext.classPrev = r.classPrev
	} else {
		q.tail = r.classPrev
	}
	r.classPrev, r.classNext = nil, nil
	q.count--
	p.classes[r.Class].waiting--
	q.cost -= r.cost
	t.waiting--
	if q.count == 0 {
		last := t.active[len(t.active)-1]
		t.active[q.active] = last
		t.classQueues[last].active = q.active
		t.active = t.active[:len(t.active)-1]
		q.active = -1
	}
}

// firstEligible returns the request that a class queue grants next, or nil. It
// parks flows that are at their in-flight limit until the limit has a free slot.
func (p *Pool) firstEligible(now time.Duration, q *classQueue) *request {
	for q.kinds.len() > 0 {
		kind := q.kinds.entries[0].item
		if state := kind.flow.state; state.atLimit() {
			q.kinds.remove(0)
			kind.parked = true
			state.parked = append(state.parked, kind)
			continue
		}
		queue := kind.orgs.entries[0].item
		if state := queue.flow.state; state.atLimit() {
			p.parkOrgQueue(queue)
			continue
		}
		return queue.head
	}
	return nil
}

func (p *Pool) parkOrgQueue(queue *orgQueue) {
	p.deactivate(queue)
	queue.parked = true
	queue.flow.state.parked = append(queue.flow.state.parked, queue)
}

// removeElement returns list without one element. The order may change.
func removeElement[T comparable](list []T, element T) []T {
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
