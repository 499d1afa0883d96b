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

// host is one incarnation with what a node does around Home and Claims.
type host struct {
	incarnation uint64
	dead        bool
	home        *Home
	claims      *Claims
	network     storetest.Network
	// running are the waiters that were told to run and were not dispatched;
	// dispatched are those whose call has reached the service.
	running, dispatched []Waiter
}

// request is one attempt of a caller.
type request struct {
	call    Call
	at      *host
	waiter  Waiter
	forward bool
	// ran is set when the attempt was dispatched.
	ran      bool
	answered bool
	answer   Decision
}

// fleet is a few hosts around one store and one service that counts effects.
type fleet struct {
	t        require.TestingT
	now      time.Duration
	store    *storetest.Fake
	hosts    []*host
	next     uint64
	requests map[Waiter]*request
	// effects counts how often the call of a key ran at the service, and with what answer.
	effects map[string]int
	answers map[string]string
}

func newFleet(t require.TestingT, n int) *fleet {
	f := &fleet{t: t, store: storetest.New(), requests: map[Waiter]*request{}, effects: map[string]int{}, answers: map[string]string{}}
	for range n {
		f.hosts = append(f.hosts, f.newHost())
	}
	return f
}

func (f *fleet) newHost() *host {
	f.next++
	id := 1000 + f.next
	return &host{
		incarnation: id,
		home: NewHome(HomeConfig{Incarnation: id, MACKey: []byte(fmt.Sprint("key", id)), TicketTTL: 20 * time.Second,
			RecordTTL: 40 * time.Second, MaxRecords: 8, MaxRecordsPerOrganisation: 6}),
		claims: NewClaims(ClaimsConfig{Incarnation: id, IDs: &store.IDSource{}, Seed: id, RecordTTL: 30 * time.Second,
			MaxRecords: 8, MaxRecordsPerOrganisation: 6}),
		network: storetest.Network{Store: f.store},
	}
}

func (f *fleet) unix() int64 { return 1_000_000 + int64(f.now/time.Second) }

// submit sends an attempt to a host.
func (f *fleet) submit(h *host, c Call) *request {
	f.next++
	r := &request{call: c, at: h, waiter: Waiter(f.next)}
	f.requests[r.waiter] = r
	f.place(r, h)
	return r
}

func (f *fleet) place(r *request, h *host) {
	r.at = h
	kind, _ := Classify(r.call.Key)
	var d Decision
	if kind == KeyTicket {
		d = h.home.Submit(f.now, r.waiter, r.call)
	} else {
		d = h.claims.Submit(f.now, f.unix(), r.waiter, r.call)
	}
	f.decide(h, r, d)
	f.collect(h)
}

// collect takes the outputs of a host's claims.
func (f *fleet) collect(h *host) {
	calls, decided := h.claims.Take()
	h.network.Send(calls)
	f.decideAll(h, decided)
}

func (f *fleet) decideAll(h *host, decided []Decided) {
	for _, d := range decided {
		f.decide(h, f.requests[d.Waiter], d.Decision)
	}
}

func (f *fleet) decide(h *host, r *request, d Decision) {
	require.False(f.t, h.dead)
	require.Equal(f.t, h, r.at)
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

// forward hands an attempt to the host that holds its key, once.
func (f *fleet) forward(r *request, holder uint64) {
	for _, h := range f.hosts {
		if h.incarnation == holder && !r.forward {
			r.forward = true
			f.place(r, h)
			return
		}
	}
	f.answer(r, refuse("ticket_home_gone", RanUnknown, "", ""))
}

func effectKey(c Call) string { return c.Organisation + "|" + c.Key }

func content(c Call) string {
	return c.Organisation + "|" + c.Key + "|" + c.Kind + "|" + string(c.Body)
}

// answer checks an answer against what happened at the service.
func (f *fleet) answer(r *request, d Decision) {
	require.False(f.t, r.answered, "an attempt is answered once")
	r.answered, r.answer = true, d
	switch {
	case d.Verdict == Reply:
		require.Equal(f.t, content(r.call), string(d.Outcome.Body), "an answer belongs to the request")
		require.Equal(f.t, 1, f.effects[effectKey(r.call)])
	case d.Refusal.Ran == RanNo:
		require.False(f.t, r.ran, "told not run (%s), but it ran", d.Refusal.Code)
	}
}

// dispatch lets the call of a waiter that was told to run reach the service.
func (f *fleet) dispatch(h *host, i int) {
	w := h.running[i]
	h.running = append(h.running[:i:i], h.running[i+1:]...)
	r := f.requests[w]
	r.ran = true
	f.effects[effectKey(r.call)]++
	require.Equal(f.t, 1, f.effects[effectKey(r.call)], "a key runs at most once: %s", effectKey(r.call))
	h.dispatched = append(h.dispatched, w)
}

// notRun ends a waiter that was told to run, before dispatch.
func (f *fleet) notRun(h *host, i int) {
	w := h.running[i]
	h.running = append(h.running[:i:i], h.running[i+1:]...)
	refusal := Refusal{Code: "shed_overload", Ran: RanNo}
	r := f.requests[w]
	f.decideAll(h, f.owner(h, r).NotRun(f.now, w, refusal))
	f.answer(r, Decision{Verdict: Refuse, Refusal: refusal})
	f.collect(h)
}

// finish ends a dispatched call, with its answer or without.
func (f *fleet) finish(h *host, i int, known bool) {
	w := h.dispatched[i]
	h.dispatched = append(h.dispatched[:i:i], h.dispatched[i+1:]...)
	r := f.requests[w]
	refusal := Refusal{Code: "upstream_broke", Ran: RanUnknown}
	var outcome *pb.BindingOutcome
	d := Decision{Verdict: Refuse, Refusal: refusal}
	if known {
		outcome = &pb.BindingOutcome{HttpStatus: 200, Body: []byte(content(r.call))}
		d = Decision{Verdict: Reply, Outcome: outcome}
	}
	f.answer(r, d)
	f.decideAll(h, f.owner(h, r).Finish(f.now, w, outcome, refusal))
	f.collect(h)
}

// withdraw ends an attempt whose caller is gone and that was not told to run.
func (f *fleet) withdraw(r *request) {
	if r.answered || slices.Contains(r.at.running, r.waiter) || slices.Contains(r.at.dispatched, r.waiter) {
		return
	}
	r.answered = true
	if kind, _ := Classify(r.call.Key); kind == KeyTicket {
		r.at.home.Withdraw(r.waiter)
	} else {
		r.at.claims.Withdraw(f.now, r.waiter)
	}
	f.collect(r.at)
}

type runner interface {
	Finish(time.Duration, Waiter, *pb.BindingOutcome, Refusal) []Decided
	NotRun(time.Duration, Waiter, Refusal) []Decided
}

func (f *fleet) owner(h *host, r *request) runner {
	if kind, _ := Classify(r.call.Key); kind == KeyTicket {
		return h.home
	}
	return h.claims
}

// kill ends a host. Its calls may still reach the store. An attempt that it held
// ends as unknown; one that it forwarded is still answered, to nobody.
func (f *fleet) kill(i int) {
	h := f.hosts[i]
	h.dead = true
	for _, c := range h.network.Calls {
		if !c.Happened {
			f.store.Do(c.Call.Op, storetest.Late)
		}
	}
	for _, r := range f.requests {
		if r.at == h && !r.answered {
			f.answer(r, refuse("ticket_home_gone", RanUnknown, "", ""))
		}
	}
	f.hosts[i] = f.newHost()
}

func (f *fleet) step(h *host) {
	h.home.Step(f.now)
	h.claims.Step(f.now, f.unix())
	f.collect(h)
}

func (f *fleet) advance(h *host, call int, fault storetest.Fault) {
	if id, r, deliver := h.network.Advance(call, fault); deliver {
		require.True(f.t, h.claims.OnStoreResult(f.now, id, r))
		f.collect(h)
	}
}

// settle runs without faults until every attempt is answered.
func (f *fleet) settle() {
	for range 60 {
		for f.store.LateCount() > 0 {
			f.store.RunLate(0)
		}
		f.now += 500 * time.Millisecond
		for _, h := range f.hosts {
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
