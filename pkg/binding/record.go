package binding

import (
	"container/heap"
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// maxJoined bounds the duplicates that wait for one running call.
	maxJoined = 64
	// maxRecordedBody bounds the body of one recorded answer in memory.
	maxRecordedBody = 64 << 10
)

// recordState says how far the call of a key has come.
type recordState uint8

const (
	// stateClaiming waits for its claim in the store; it has not run.
	stateClaiming recordState = iota + 1
	// stateRunning was told to run.
	stateRunning
	// stateDone has an outcome.
	stateDone
	// stateUnknown was told to run and ended without a known outcome.
	stateUnknown
	// stateNotRun has a claim that is or may be in the store and did not run.
	stateNotRun
)

// record is what is known of one key.
type record struct {
	key          digest
	organisation string
	request      digest
	state        recordState
	// runner is the waiter that runs or will run the call; joined are its duplicates.
	runner  Waiter
	joined  []Waiter
	outcome *pb.BindingOutcome
	refusal Refusal
	// expires is when the record may be dropped; it counts once the call has ended.
	expires time.Duration
	// heapIndex is the position among the expiring records, or -1.
	heapIndex int

	claim claimState
}

// records holds the records of one instance within bounds.
type records struct {
	byKey           map[digest]*record
	byWaiter        map[Waiter]*record
	perOrganisation map[string]int
	expiring        expiryHeap
	outcomeBytes    int

	maxRecords, maxPerOrganisation, maxOutcomeBytes int
}

func newRecords(maxRecords, maxPerOrganisation, maxOutcomeBytes int) records {
	if maxPerOrganisation == 0 {
		// Half, so that one organisation cannot use up the records of all.
		maxPerOrganisation = (maxRecords + 1) / 2
	}
	if maxOutcomeBytes == 0 {
		maxOutcomeBytes = 8 << 20
	}
	return records{
		byKey:              map[digest]*record{},
		byWaiter:           map[Waiter]*record{},
		perOrganisation:    map[string]int{},
		maxRecords:         maxRecords,
		maxPerOrganisation: maxPerOrganisation,
		maxOutcomeBytes:    maxOutcomeBytes,
	}
}

// full refuses a new key if there is no room for its record.
func (r *records) full(now time.Duration, organisation string) (Decision, bool) {
	const remedy = "retry later; an operator can raise binding.max_records or lower binding.record_ttl"
	switch {
	case len(r.byKey) >= r.maxRecords, r.outcomeBytes >= r.maxOutcomeBytes:
		return refuseLater("limit_in_flight", r.roomAfter(now), "this instance holds as many outcomes as it may", remedy), true
	case r.perOrganisation[organisation] >= r.maxPerOrganisation:
		return refuseLater("limit_in_flight", r.roomAfter(now), "this instance holds as many outcomes of the organisation as it may", remedy), true
	}
	return Decision{}, false
}

// roomAfter returns the time until the next record expires, at least 1 s.
func (r *records) roomAfter(now time.Duration) time.Duration {
	if len(r.expiring) == 0 {
		return time.Second
	}
	return max(time.Second, r.expiring[0].expires-now)
}

func (r *records) add(rec *record) {
	rec.heapIndex = -1
	r.byKey[rec.key] = rec
	r.byWaiter[rec.runner] = rec
	r.perOrganisation[rec.organisation]++
}

func (r *records) remove(rec *record) {
	r.keep(rec)
	delete(r.byKey, rec.key)
	r.outcomeBytes -= len(rec.outcome.GetBody())
	r.perOrganisation[rec.organisation]--
	if r.perOrganisation[rec.organisation] == 0 {
		delete(r.perOrganisation, rec.organisation)
	}
}

// expireAt lets a record be dropped at a time.
func (r *records) expireAt(rec *record, at time.Duration) {
	rec.expires = at
	if rec.heapIndex < 0 {
		heap.Push(&r.expiring, rec)
		return
	}
	heap.Fix(&r.expiring, rec.heapIndex)
}

// keep takes a record out of those that expire.
func (r *records) keep(rec *record) {
	if rec.heapIndex >= 0 {
		heap.Remove(&r.expiring, rec.heapIndex)
	}
}

// dropExpired removes the records whose time has passed.
func (r *records) dropExpired(now time.Duration) {
	for len(r.expiring) > 0 && r.expiring[0].expires <= now {
		r.remove(r.expiring[0])
	}
}

// join lets a waiter wait for the end of a running call.
func (r *records) join(rec *record, w Waiter) Decision {
	if len(rec.joined) >= maxJoined {
		return refuse("limit_in_flight", RanUnknown, "too many duplicates of this call wait for it", "repeat the call with the same key later")
	}
	rec.joined = append(rec.joined, w)
	r.byWaiter[w] = rec
	return Decision{Verdict: Pending}
}

// repeat decides on a call whose key has a record.
func (r *records) repeat(rec *record, w Waiter, request digest) Decision {
	if rec.request != request {
		return refuseReuse()
	}
	switch rec.state {
	case stateDone:
		return reply(rec.outcome)
	case stateUnknown:
		return Decision{Verdict: Refuse, Refusal: rec.refusal}
	}
	return r.join(rec, w)
}

// finish ends the running call of a waiter; nil if there is none.
func (r *records) finish(w Waiter, outcome *pb.BindingOutcome, refusal Refusal) *record {
	rec := r.byWaiter[w]
	if rec == nil || rec.runner != w || rec.state != stateRunning {
		return nil
	}
	delete(r.byWaiter, w)
	rec.state = stateUnknown
	rec.refusal = refusal
	if refusal.Ran != RanYes {
		rec.refusal.Ran = RanUnknown
	}
	if outcome != nil {
		rec.state = stateDone
		rec.outcome = r.bounded(outcome)
		r.outcomeBytes += len(rec.outcome.Body)
	}
	return rec
}

// bounded returns the outcome without its body if that is too large.
func (r *records) bounded(o *pb.BindingOutcome) *pb.BindingOutcome {
	if len(o.GetBody()) <= maxRecordedBody && r.outcomeBytes+len(o.GetBody()) <= r.maxOutcomeBytes {
		return o
	}
	return withoutBody(o)
}

func withoutBody(o *pb.BindingOutcome) *pb.BindingOutcome {
	return &pb.BindingOutcome{HttpStatus: o.GetHttpStatus(), ContentType: o.GetContentType(), BodyOmitted: true}
}

// release gives all joined waiters a decision and forgets them.
func (r *records) release(rec *record, d Decision) []Decided {
	out := make([]Decided, 0, len(rec.joined))
	for _, w := range rec.joined {
		delete(r.byWaiter, w)
		out = append(out, Decided{Waiter: w, Decision: d})
	}
	rec.joined = nil
	return out
}

// answerJoined answers the joined waiters of a call that has ended. They get
// the whole outcome, even if its body is too large to be kept.
func (r *records) answerJoined(rec *record, outcome *pb.BindingOutcome) []Decided {
	if outcome != nil {
		return r.release(rec, Decision{Verdict: Reply, Outcome: outcome})
	}
	return r.release(rec, Decision{Verdict: Refuse, Refusal: rec.refusal})
}

// withdraw forgets a joined waiter; it returns false if w did not join a call.
func (r *records) withdraw(w Waiter) bool {
	rec := r.byWaiter[w]
	if rec == nil || rec.runner == w {
		return false
	}
	delete(r.byWaiter, w)
	rec.joined = slices.DeleteFunc(rec.joined, func(other Waiter) bool { return other == w })
	return true
}

// expiryHeap orders records by expiry.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push is called by container/heap.
func (h *expiryHeap) Push(x any) {
	rec := x.(*record)
	rec.heapIndex = len(*h)
	*h = append(*h, rec)
}

// Pop is called by container/heap.
func (h *expiryHeap) Pop() any {
	old := *h
	rec := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	rec.heapIndex = -1
	return rec
}
