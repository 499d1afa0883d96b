package simtest

import (
	"time"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// Outcome is how a request ended for its caller.
type Outcome uint8

// Outcomes of requests.
const (
	// OutcomeNone means that the request has not ended.
	OutcomeNone Outcome = iota
	OutcomeAnswered
	OutcomeRefused
	// OutcomeLost means that the caller's connection broke or could not be opened
	// because the process had ended.
	OutcomeLost
	// OutcomeDisconnected means that the caller closed its connection.
	OutcomeDisconnected
)

// Request records the history of one request.
type Request struct {
	ID                scheduler.GlobalID
	Spec              Spec
	Instance, Address string
	Submitted         time.Duration
	// Dispatches lists the node's dispatch decisions. Trace.Received lists what
	// upstreams received.
	Dispatches []Receipt

	Ended   time.Duration
	Outcome Outcome
	// Code, Ran and Reason are those of a refusal.
	Code, Ran, Reason string
	// AnswerCount counts how often the request ended; more than once is a fault.
	AnswerCount int
	// AnsweredWith is the request id that the relayed answer carried; zero for a
	// reply from a recorded outcome.
	AnsweredWith scheduler.GlobalID
	// RecordedBody is the body of a reply from a recorded outcome.
	RecordedBody string
	// Tokens is the number of output tokens of an engine's answer.
	Tokens uint32
	// FirstAt is the time of the answer's first event, LongestGap the longest event
	// gap, lastEventAt the time of the latest event.
	FirstAt, LongestGap time.Duration
	lastEventAt         time.Duration
	// RetryAfter is the retry delay that a refusal named.
	RetryAfter time.Duration
}

func (r *Request) recordEnd(now time.Duration, outcome Outcome, refusal node.Refuse) {
	r.AnswerCount++
	if r.Outcome == OutcomeNone {
		r.Ended, r.Outcome = now, outcome
		r.Code, r.Ran, r.Reason = refusal.Code, string(refusal.Ran), refusal.Reason
		r.RetryAfter = refusal.RetryAfter
	}
}

// recordEvent updates the event times for an event of the answer.
func (r *Request) recordEvent(now time.Duration) {
	if r.FirstAt == 0 {
		r.FirstAt = now
	} else {
		r.LongestGap = max(r.LongestGap, now-r.lastEventAt)
	}
	r.lastEventAt = now
}

// Receipt records that a request was dispatched to an upstream or received by it.
type Receipt struct {
	At       time.Duration
	ID       scheduler.GlobalID
	Upstream string
	Address  string
	// Origin is the request at the entry instance that was forwarded as this one;
	// zero if it was not forwarded.
	Origin scheduler.GlobalID
	// Key is the idempotency key, if any.
	Key string
}

// Disturbance records a fault, or the end of one, that affected one process.
type Disturbance struct {
	At      time.Duration
	Address string
	Kind    string
}

// InForce records that a configuration revision came into force at an instance, or
// that the instance finished draining.
type InForce struct {
	At       time.Duration
	Instance uint64
	Revision uint64
}

// ChangeResult is the result of an operator's configuration change.
type ChangeResult struct {
	At       time.Duration
	Instance uint64
	Done     node.ChangeDone
}

// OrderRun records an order that an upstream executed; Number is its fencing number.
type OrderRun struct {
	At       time.Duration
	Upstream string
	Number   uint64
	Instance uint64
}

// Trace records what callers, upstreams and operators observed.
type Trace struct {
	Requests     []*Request
	Received     []Receipt
	Disturbances []Disturbance
	Changes      []ChangeResult
	InForce      []InForce
	Drained      []InForce
	Orders       []OrderRun
	Counts       map[node.Count]int

	byID map[scheduler.GlobalID]*Request
}

func (t *Trace) addRequest(r *Request) {
	if t.byID == nil {
		t.byID = map[scheduler.GlobalID]*Request{}
	}
	t.Requests = append(t.Requests, r)
	t.byID[r.ID] = r
}

// Find returns the record of a request, or nil.
func (t *Trace) Find(id scheduler.GlobalID) *Request { return t.byID[id] }

// findForwarded returns the id, at the entry instance, of a request that is executed
// by the instance with the incarnation executor. It matches the idempotency key and
// the sequence number, which is enough because callers rarely use a key twice.
func (t *Trace) findForwarded(key string, sequence, executor uint64) scheduler.GlobalID {
	for _, r := range t.Requests {
		if r.Spec.Key == key && r.ID.Sequence == sequence && r.ID.Entry != executor {
			return r.ID
		}
	}
	return scheduler.GlobalID{}
}

func (t *Trace) recordDispatch(id scheduler.GlobalID, upstream string, now time.Duration) {
	if r := t.byID[id]; r != nil {
		r.Dispatches = append(r.Dispatches, Receipt{At: now, ID: id, Upstream: upstream})
	}
}

func (t *Trace) addCount(c node.Count) {
	if t.Counts == nil {
		t.Counts = map[node.Count]int{}
	}
	t.Counts[c]++
}
