package simtest

import (
	"time"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// Outcome is what the caller of a request saw.
type Outcome uint8

// Outcomes of requests.
const (
	// OutcomeNone means that the request had not ended.
	OutcomeNone Outcome = iota
	OutcomeAnswered
	OutcomeRefused
	// OutcomeLost means that the caller's connection broke.
	OutcomeLost
	// OutcomeGone means that the caller left.
	OutcomeGone
)

// Request is the trace of one request.
type Request struct {
	ID                scheduler.GlobalID
	Spec              Spec
	Instance, Address string
	Submitted         time.Duration
	// Dispatches lists what the node decided; Receipts say what upstreams saw.
	Dispatches []Receipt

	Ended   time.Duration
	Outcome Outcome
	// Code, Ran and Reason are those of a refusal.
	Code, Ran, Reason string
	// Ends counts how often the caller was answered.
	Ends int
	// AnsweredWith is the id that the relayed answer carried; zero for replies from a record.
	AnsweredWith scheduler.GlobalID
	// RecordedBody is the body of a reply from a record.
	RecordedBody string
	// Tokens is the length of an engine's answer.
	Tokens uint32
	// FirstAt is when its first event came, LongestGap the longest pause between
	// two, lastAt when the newest came.
	FirstAt, LongestGap time.Duration
	lastAt              time.Duration
	// RetryAfter is what a refusal advised.
	RetryAfter time.Duration
}

func (r *Request) end(now time.Duration, outcome Outcome, refusal node.Refuse) {
	r.Ends++
	if r.Outcome == OutcomeNone {
		r.Ended, r.Outcome = now, outcome
		r.Code, r.Ran, r.Reason = refusal.Code, string(refusal.Ran), refusal.Reason
		r.RetryAfter = refusal.RetryAfter
	}
}

// event records that an event came.
func (r *Request) event(now time.Duration) {
	if r.FirstAt == 0 {
		r.FirstAt = now
	} else {
		r.LongestGap = max(r.LongestGap, now-r.lastAt)
	}
	r.lastAt = now
}

// Receipt is a request that was handed to an upstream.
type Receipt struct {
	At       time.Duration
	ID       scheduler.GlobalID
	Upstream string
	Address  string
	// Origin is the request that this one was forwarded for; zero if none.
	Origin scheduler.GlobalID
	// Key is the idempotency key, if any.
	Key string
}

// Disturbance is a fault that hit one process.
type Disturbance struct {
	At      time.Duration
	Address string
	What    string
}

// InForce is a revision that came into force, or the end of a drain.
type InForce struct {
	At       time.Duration
	Instance uint64
	Revision uint64
}

// ChangeResult is the answer to an operator.
type ChangeResult struct {
	At       time.Duration
	Instance uint64
	Done     node.ChangeDone
}

// OrderRun is an order that an upstream carried out.
type OrderRun struct {
	At       time.Duration
	Upstream string
	Number   uint64
	Instance uint64
}

// Trace records what callers, upstreams and operators saw.
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

func (t *Trace) add(r *Request) {
	if t.byID == nil {
		t.byID = map[scheduler.GlobalID]*Request{}
	}
	t.Requests = append(t.Requests, r)
	t.byID[r.ID] = r
}

// Find returns the trace of a request, or nil.
func (t *Trace) Find(id scheduler.GlobalID) *Request { return t.byID[id] }

// forwarded finds the request that another instance forwarded. A key and the
// number of the request there tell it, since callers use a key rarely twice.
func (t *Trace) forwarded(key string, sequence, home uint64) scheduler.GlobalID {
	for _, r := range t.Requests {
		if r.Spec.Key == key && r.ID.Sequence == sequence && r.ID.Entry != home {
			return r.ID
		}
	}
	return scheduler.GlobalID{}
}

func (t *Trace) dispatched(id scheduler.GlobalID, upstream string, now time.Duration) {
	if r := t.byID[id]; r != nil {
		r.Dispatches = append(r.Dispatches, Receipt{At: now, ID: id, Upstream: upstream})
	}
}

func (t *Trace) count(c node.Count) {
	if t.Counts == nil {
		t.Counts = map[node.Count]int{}
	}
	t.Counts[c]++
}
