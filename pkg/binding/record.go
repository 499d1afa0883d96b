package binding

import (
	"container/heap"
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// maxJoined limits the duplicate calls that wait for one running call.
	maxJoined = 64
	// maxRecordedBody limits the response body of one record in memory, in bytes.
	maxRecordedBody = 64 << 10
)

// recordState is the progress of the call with a key.
type recordState uint8

const (
	// stateClaiming: the call waits for its claim in the store and has not run.
	stateClaiming recordState = iota + 1
	// stateRunning: the call was told to run.
	stateRunning
	// stateDone: the call has ended with an outcome.
	stateDone
	// stateUnknown: the call was told to run and ended without a known outcome.
	stateUnknown
	// stateNotRun: the call did not run, but its claim is or may be in the store.
	stateNotRun
)

// record is what this instance knows about one key.
type record struct {
	key          digest
	organisation string
	request      digest
	state        recordState
	// runner is the waiter on whose behalf the call runs or will run; joined are
	// the waiters of duplicate calls.
	runner  Waiter
	joined  []Waiter
	outcome *pb.BindingOutcome
	refusal Refusal
	// expires is when the record may be dropped; it applies once the call has ended.
	expires time.Duration
	// heapIndex is the position in records.expiring, or -1 if the record does not expire.
	heapIndex int

	claim claimState
}

// records holds the records of one instance and enforces the limits on their number
// and size.
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
		// Half, so that one organisation cannot use up the records of all others.
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

// full refuses a new key if a limit on the records has been reached.
func (r *records) full(now time.Duration, organisation string) (Decision, bool) {
	const remedy = "retry later; an operator can raise binding.max_records or lower binding.record_ttl"
	switch {
	case len(r.byKey) >= r.maxRecords, r.outcomeBytes >= r.maxOutcomeBytes:
		return refuseWithRetry("limit_in_flight", r.retryDelay(now), "this instance holds the maximum number or size of recorded outcomes", remedy), true
	case r.perOrganisation[organisation] >= r.maxPerOrganisation:
		return refuseWithRetry("limit_in_flight", r.retryDelay(now), "this instance holds the maximum number of recorded outcomes of the organisation", remedy), true
	}
	return Decision{}, false
}

// retryDelay returns the time until the next record expires, at least 1 s.
func (r *records) retryDelay(now time.Duration) time.Duration {
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
	r.cancelExpiry(rec)
	delete(r.byKey, rec.key)
	r.outcomeBytes -= len(rec.outcome.GetBody())
	r.perOrganisation[rec.organisation]--
	if r.perOrganisation[rec.organisation] == 0 {
		delete(r.perOrganisation, rec.organisation)
	}
}

// scheduleExpiry sets the time at which a record is dropped.
func (r *records) scheduleExpiry(rec *record, at time.Duration) {
	rec.expires = at
	if rec.heapIndex < 0 {
		heap.Push(&r.expiring, rec)
		return
	}
	heap.Fix(&r.expiring, rec.heapIndex)
}

// cancelExpiry removes a record from those that expire.
func (r *records) cancelExpiry(rec *record) {
	if rec.heapIndex >= 0 {
		heap.Remove(&r.expiring, rec.heapIndex)
	}
}

// dropExpired removes the records that have expired.
func (r *records) dropExpired(now time.Duration) {
	for len(r.expiring) > 0 && r.expiring[0].expires <= now {
		r.remove(r.expiring[0])
	}
}

// join adds a waiter that is answered when the record's call ends.
func (r *records) join(rec *record, w Waiter) Decision {
	if len(rec.joined) >= maxJoined {
		return refuse("limit_in_flight", RanUnknown, "too many duplicates of this call wait for it", "repeat the call with the same key later")
	}
	rec.joined = append(rec.joined, w)
	r.byWaiter[w] = rec
	return Decision{Verdict: Pending}
}

// decideRepeat decides on a call whose key already has a record.
func (r *records) decideRepeat(rec *record, w Waiter, request digest) Decision {
	if rec.request != request {
		return refuseReusedKey()
	}
	switch rec.state {
	case stateDone:
		return replyWithOutcome(rec.outcome)
	case stateUnknown:
		return Decision{Verdict: Refuse, Refusal: rec.refusal}
	}
	return r.join(rec, w)
}

// finish ends the running call of a waiter and returns its record; nil if there is
// none.
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
		rec.outcome = r.limitBody(outcome)
		r.outcomeBytes += len(rec.outcome.Body)
	}
	return rec
}

// limitBody returns the outcome, without its body if a limit would be exceeded.
func (r *records) limitBody(o *pb.BindingOutcome) *pb.BindingOutcome {
	if len(o.GetBody()) <= maxRecordedBody && r.outcomeBytes+len(o.GetBody()) <= r.maxOutcomeBytes {
		return o
	}
	return withoutBody(o)
}

func withoutBody(o *pb.BindingOutcome) *pb.BindingOutcome {
	return &pb.BindingOutcome{HttpStatus: o.GetHttpStatus(), ContentType: o.GetContentType(), BodyOmitted: true}
}

// decideJoined gives all joined waiters of a record a decision and removes them.
func (r *records) decideJoined(rec *record, d Decision) []WaiterDecision {
	out := make([]WaiterDecision, 0, len(rec.joined))
	for _, w := range rec.joined {
		delete(r.byWaiter, w)
		out = append(out, WaiterDecision{Waiter: w, Decision: d})
	}
	rec.joined = nil
	return out
}

// answerJoined answers the joined waiters of a call that has ended. They receive the
// complete outcome, even if its body is too large to be recorded.
func (r *records) answerJoined(rec *record, outcome *pb.BindingOutcome) []WaiterDecision {
	if outcome != nil {
		return r.decideJoined(rec, Decision{Verdict: Reply, Outcome: outcome})
	}
	return r.decideJoined(rec, Decision{Verdict: Refuse, Refusal: rec.refusal})
}

// withdraw removes a joined waiter; it returns false if w has not joined a call.
func (r *records) withdraw(w Waiter) bool {
	rec := r.byWaiter[w]
	if rec == nil || rec.runner == w {
		return false
	}
	delete(r.byWaiter, w)
	rec.joined = slices.DeleteFunc(rec.joined, func(other Waiter) bool { return other == w })
	return true
}

// expiryHeap is a min-heap of records by expiry; see container/heap.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	rec := x.(*record)
	rec.heapIndex = len(*h)
	*h = append(*h, rec)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	rec := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	rec.heapIndex = -1
	return rec
}
