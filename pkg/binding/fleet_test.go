package binding

import (
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// testInstance is one incarnation: a Home, a Claims, and what the node does around them.
type testInstance struct {
	incarnation uint64
	dead        bool
	home        *Home
	claims      *Claims
	network     storetest.CallsInFlight
	// running holds the waiters that were told to run and are not dispatched yet;
	// dispatched holds those whose call has reached the service.
	running, dispatched []Waiter
}

// request is one attempt of a caller to make a call.
type request struct {
	call     Call
	instance *testInstance
	waiter   Waiter
	// forward is true once the attempt was forwarded to the holder of its key.
	forward bool
	// ran is true once the attempt was dispatched.
	ran      bool
	answered bool
	answer   Decision
}

// fleet is a group of instances with one store and one service that counts how often
// each call ran.
type fleet struct {
	t         require.TestingT
	now       time.Duration
	store     *storetest.Fake
	instances []*testInstance
	nextID    uint64
	requests  map[Waiter]*request
	// effects counts by key how often the call ran at the service.
	effects map[string]int
	answers map[string]string
}

func newFleet(t require.TestingT, n int) *fleet {
	f := &fleet{t: t, store: storetest.New(), requests: map[Waiter]*request{}, effects: map[string]int{}, answers: map[string]string{}}
	for range n {
		f.instances = append(f.instances, f.newInstance())
	}
	return f
}

func (f *fleet) newInstance() *testInstance {
	f.nextID++
	id := 1000 + f.nextID
	return &testInstance{
		incarnation: id,
		home: NewHome(HomeConfig{Incarnation: id, MACKey: []byte(fmt.Sprint("key", id)), TicketTTL: 20 * time.Second,
			RecordTTL: 40 * time.Second, MaxRecords: 8, MaxRecordsPerOrganisation: 6}),
		claims: NewClaims(ClaimsConfig{Incarnation: id, IDs: &store.IDSource{}, Seed: id, RecordTTL: 30 * time.Second,
			MaxRecords: 8, MaxRecordsPerOrganisation: 6}),
		network: storetest.CallsInFlight{Store: f.store},
	}
}

func (f *fleet) unix() int64 { return 1_000_000 + int64(f.now/time.Second) }

// submit sends an attempt to an instance.
func (f *fleet) submit(h *testInstance, c Call) *request {
	f.nextID++
	r := &request{call: c, instance: h, waiter: Waiter(f.nextID)}
	f.requests[r.waiter] = r
	f.submitTo(r, h)
	return r
}

func (f *fleet) submitTo(r *request, h *testInstance) {
	r.instance = h
	kind, _ := Classify(r.call.Key)
	var d Decision
	if kind == KeyTicket {
		d = h.home.Submit(f.now, r.waiter, r.call)
	} else {
		d = h.claims.Submit(f.now, f.unix(), r.waiter, r.call)
	}
	f.decide(h, r, d)
	f.collectOutputs(h)
}

// collectOutputs processes the store calls and decisions of an instance's claims.
func (f *fleet) collectOutputs(h *testInstance) {
	calls, decided := h.claims.TakeOutputs()
	h.network.Send(calls)
	f.decideAll(h, decided)
}

func (f *fleet) decideAll(h *testInstance, decided []WaiterDecision) {
	for _, d := range decided {
		f.decide(h, f.requests[d.Waiter], d.Decision)
	}
}

func (f *fleet) decide(h *testInstance, r *request, d Decision) {
	require.False(f.t, h.dead)
	require.Equal(f.t, h, r.instance)
	switch d.Verdict {
	case Pending:
	case Run:
		h.running = append(h.running, r.waiter)
	case Forward:
		f.forward(r, d.Holder)
	default:
		f.answer(r, d)
	}
}

// forward passes an attempt to the instance that holds its key, at most once per
// attempt.
func (f *fleet) forward(r *request, holder uint64) {
	for _, h := range f.instances {
		if h.incarnation == holder && !r.forward {
			r.forward = true
			f.submitTo(r, h)
			return
		}
	}
	f.answer(r, refuse("ticket_home_gone", RanUnknown, "", ""))
}

func effectKey(c Call) string { return c.Organisation + "|" + c.Key }

func expectedBody(c Call) string {
	return c.Organisation + "|" + c.Key + "|" + c.Kind + "|" + string(c.Body)
}

// answer checks an answer against what happened at the service.
func (f *fleet) answer(r *request, d Decision) {
	require.False(f.t, r.answered, "an attempt must be answered only once")
	r.answered, r.answer = true, d
	switch {
	case d.Verdict == Reply:
		require.Equal(f.t, expectedBody(r.call), string(d.Outcome.Body), "the answer must belong to the request")
		require.Equal(f.t, 1, f.effects[effectKey(r.call)])
	case d.Refusal.Ran == RanNo:
		require.False(f.t, r.ran, "the caller was told ran: no (%s), but the call ran", d.Refusal.Code)
	}
}

// dispatch lets the call of a waiter that was told to run reach the service.
func (f *fleet) dispatch(h *testInstance, i int) {
	w := h.running[i]
	h.running = append(h.running[:i:i], h.running[i+1:]...)
	r := f.requests[w]
	r.ran = true
	f.effects[effectKey(r.call)]++
	require.Equal(f.t, 1, f.effects[effectKey(r.call)], "the call of a key must run at most once: %s", effectKey(r.call))
	h.dispatched = append(h.dispatched, w)
}

// notRun ends an attempt that was told to run, before its dispatch.
func (f *fleet) notRun(h *testInstance, i int) {
	w := h.running[i]
	h.running = append(h.running[:i:i], h.running[i+1:]...)
	refusal := Refusal{Code: "shed_overload", Ran: RanNo}
	r := f.requests[w]
	f.decideAll(h, f.owner(h, r).NotRun(f.now, w, refusal))
	f.answer(r, Decision{Verdict: Refuse, Refusal: refusal})
	f.collectOutputs(h)
}

// finish ends a dispatched call, with its outcome known or unknown.
func (f *fleet) finish(h *testInstance, i int, known bool) {
	w := h.dispatched[i]
	h.dispatched = append(h.dispatched[:i:i], h.dispatched[i+1:]...)
	r := f.requests[w]
	refusal := Refusal{Code: "upstream_broke", Ran: RanUnknown}
	var outcome *pb.BindingOutcome
	d := Decision{Verdict: Refuse, Refusal: refusal}
	if known {
		outcome = &pb.BindingOutcome{HttpStatus: 200, Body: []byte(expectedBody(r.call))}
		d = Decision{Verdict: Reply, Outcome: outcome}
	}
	f.answer(r, d)
	f.decideAll(h, f.owner(h, r).Finish(f.now, w, outcome, refusal))
	f.collectOutputs(h)
}

// withdraw ends an attempt whose caller has disconnected, unless it was told to run.
func (f *fleet) withdraw(r *request) {
	if r.answered || slices.Contains(r.instance.running, r.waiter) || slices.Contains(r.instance.dispatched, r.waiter) {
		return
	}
	r.answered = true
	if kind, _ := Classify(r.call.Key); kind == KeyTicket {
		r.instance.home.Withdraw(r.waiter)
	} else {
		r.instance.claims.Withdraw(f.now, r.waiter)
	}
	f.collectOutputs(r.instance)
}

type attemptEnder interface {
	Finish(time.Duration, Waiter, *pb.BindingOutcome, Refusal) []WaiterDecision
	NotRun(time.Duration, Waiter, Refusal) []WaiterDecision
}

func (f *fleet) owner(h *testInstance, r *request) attemptEnder {
	if kind, _ := Classify(r.call.Key); kind == KeyTicket {
		return h.home
	}
	return h.claims
}

// kill ends an instance and starts a new one in its place. Store calls that it sent
// may still take effect. Its unanswered attempts end as unknown; one that it
// forwarded is still answered by the other instance, although no caller is left.
func (f *fleet) kill(i int) {
	h := f.instances[i]
	h.dead = true
	for _, c := range h.network.Calls {
		if !c.Executed {
			f.store.Execute(c.Call.Op, storetest.Late)
		}
	}
	for _, r := range f.requests {
		if r.instance == h && !r.answered {
			f.answer(r, refuse("ticket_home_gone", RanUnknown, "", ""))
		}
	}
	f.instances[i] = f.newInstance()
}

func (f *fleet) step(h *testInstance) {
	h.home.Step(f.now)
	h.claims.Step(f.now, f.unix())
	f.collectOutputs(h)
}

func (f *fleet) advance(h *testInstance, call int, fault storetest.Fault) {
	if id, r, deliver := h.network.Advance(call, fault); deliver {
		require.True(f.t, h.claims.OnStoreResult(f.now, id, r))
		f.collectOutputs(h)
	}
}

// settle runs the fleet for 30 s without faults, so that every attempt is answered.
func (f *fleet) settle() {
	for range 60 {
		for f.store.LateCount() > 0 {
			f.store.RunLate(0)
		}
		f.now += 500 * time.Millisecond
		for _, h := range f.instances {
			for len(h.network.Calls) > 0 {
				f.advance(h, 0, storetest.None)
			}
			for len(h.running) > 0 {
				f.dispatch(h, 0)
			}
			for len(h.dispatched) > 0 {
				f.finish(h, 0, true)
			}
			f.step(h)
		}
	}
}
