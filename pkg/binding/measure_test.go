package binding

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/lease"
	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

var (
	measureFlag = flag.Bool("measure", false, "print the figures of docs/design.md section 12 on non-idempotent calls")
	measureSeed = flag.Uint64("measure.seed", 1, "seed of -measure")
)

const (
	measureInstances = 8
	measureShards    = 64
	measureTick      = 5 * time.Millisecond
	measureService   = 50 * time.Millisecond
	measureTimeout   = 5 * time.Second

	// The store is unreachable from outageStart to outageEnd; one instance fails at
	// failureAt.
	outageStart = 60 * time.Second
	outageEnd   = 120 * time.Second
	failureAt   = 150 * time.Second
	// repeatEnd is the end of the run; callers repeat calls until then.
	repeatEnd = 210 * time.Second
)

// variant is one of the variants of section 7 of the design for binding a key to the
// instance that runs it.
type variant struct {
	name string
	// newEngine returns the engine of one instance.
	newEngine func(incarnation uint64, s *storetest.Fake) engine
}

// engine decides on bookings at one instance. A store call takes one tick, and the
// calls are limited by the call budget of an instance.
type engine interface {
	// submit decides on a booking; false means that step returns the decision later.
	submit(now time.Duration, b *booking) (Decision, bool)
	finish(now time.Duration, b *booking)
	// step returns decisions on bookings submitted earlier.
	step(now time.Duration, outage bool) []WaiterDecision
}

type booking struct {
	id       Waiter
	key      string
	instance int
	arrived  time.Duration
	doneAt   time.Duration
	running  bool
	verdict  Verdict
	refusal  Refusal
	// repeated is true for the repetition of an earlier booking.
	repeated bool
}

func (b *booking) call(now time.Duration) Call {
	return Call{Organisation: "o", Kind: "book", Key: b.key, Body: []byte(b.key), Deadline: now + measureTimeout}
}

// storeLink passes the store calls of one instance to the store, within its budget.
type storeLink struct {
	budget   *store.Budget
	fake     *storetest.Fake
	inFlight []store.Call
}

func newStoreLink(seed uint64, fake *storetest.Fake) *storeLink {
	return &storeLink{budget: store.NewBudget(store.BudgetConfig{Seed: seed}), fake: fake}
}

func (l *storeLink) step(now time.Duration, outage bool, calls []store.Call, deliver func(store.CallID, store.Result)) {
	for _, c := range l.inFlight {
		fault := storetest.None
		if outage {
			fault = storetest.Outage
		}
		r := l.fake.Execute(c.Op, fault)
		l.budget.OnResult(now, r.Status)
		deliver(c.ID, r)
	}
	for _, c := range calls {
		l.budget.Submit(now, c)
	}
	start, rejected := l.budget.Step(now)
	l.inFlight = start
	for _, c := range rejected {
		deliver(c.ID, store.Result{Status: store.Unavailable})
	}
}

// claimEngine is variant (a): each key is claimed in the store.
type claimEngine struct {
	claims *Claims
	link   *storeLink
}

func (e *claimEngine) submit(now time.Duration, b *booking) (Decision, bool) {
	d := e.claims.Submit(now, int64(now/time.Second), b.id, b.call(now))
	return d, d.Verdict != Pending
}

func (e *claimEngine) finish(now time.Duration, b *booking) {
	e.claims.Finish(now, b.id, &pb.BindingOutcome{HttpStatus: 200, Body: []byte(b.key)}, Refusal{})
}

func (e *claimEngine) step(now time.Duration, outage bool) []WaiterDecision {
	e.claims.Step(now, int64(now/time.Second))
	calls, decided := e.claims.TakeOutputs()
	e.link.step(now, outage, calls, func(id store.CallID, r store.Result) { e.claims.OnStoreResult(now, id, r) })
	return decided
}

// ticketEngine is variant (b): each key carries a ticket of the instance.
type ticketEngine struct{ home *Home }

func (e *ticketEngine) submit(now time.Duration, b *booking) (Decision, bool) {
	d := e.home.Submit(now, b.id, b.call(now))
	return d, d.Verdict != Pending
}

func (e *ticketEngine) finish(now time.Duration, b *booking) {
	e.home.Finish(now, b.id, &pb.BindingOutcome{HttpStatus: 200, Body: []byte(b.key)}, Refusal{})
}

func (e *ticketEngine) step(now time.Duration, _ bool) []WaiterDecision {
	e.home.Step(now)
	return nil
}

// shardEngine is variant (c): keys are divided into shards, and the holder of a
// shard's lease keeps the records of its keys in memory. It uses pkg/lease, with each
// booking as an order to its shard.
type shardEngine struct {
	manager *lease.Manager
	link    *storeLink
	outcome map[string]bool
	// unknownShards are shards taken over from a failed instance, which may have run
	// any of their keys.
	unknownShards map[int]bool
}

func (e *shardEngine) submit(now time.Duration, b *booking) (Decision, bool) {
	if e.outcome[b.key] {
		return replyWithOutcome(&pb.BindingOutcome{}), true
	}
	if e.unknownShards[shardOf(b.key)] {
		return refuse("ticket_home_gone", RanUnknown, "", ""), true
	}
	e.manager.Submit(now, lease.Order{ID: uint64(b.id), Upstream: fmt.Sprint(shardOf(b.key))})
	return Decision{}, false
}

func shardOf(key string) int { return int(keyDigest("", key)[0]) % measureShards }

func (e *shardEngine) finish(_ time.Duration, b *booking) { e.outcome[b.key] = true }

func (e *shardEngine) step(now time.Duration, outage bool) []WaiterDecision {
	e.manager.Step(now)
	calls, sends, notSent := e.manager.TakeOutputs()
	e.link.step(now, outage, calls, func(id store.CallID, r store.Result) { e.manager.OnStoreResult(now, id, r) })
	var out []WaiterDecision
	for _, s := range sends {
		out = append(out, WaiterDecision{Waiter: Waiter(s.Order.ID), Decision: Decision{Verdict: Run}})
	}
	for _, id := range notSent {
		out = append(out, WaiterDecision{Waiter: Waiter(id), Decision: refuse("store_unavailable", RanNo, "", "")})
	}
	return out
}

// trial runs one variant at one rate of bookings.
type trial struct {
	random   *rand.Rand
	fake     *storetest.Fake
	engines  []engine
	bookings []*booking
	byID     map[Waiter]*booking
	running  []*booking
	failed   int
	sharded  bool
	writes   int
}

func runTrial(v variant, perSecond float64, seed uint64) *trial {
	t := &trial{random: rand.New(rand.NewPCG(seed, 7)), fake: storetest.New(), byID: map[Waiter]*booking{}, failed: -1}
	for i := range measureInstances {
		t.engines = append(t.engines, v.newEngine(uint64(i+1), t.fake))
	}
	_, t.sharded = t.engines[0].(*shardEngine)
	next := time.Duration(0)
	for now := time.Duration(0); now < repeatEnd; now += measureTick {
		for ; next <= now; next += time.Duration(t.random.ExpFloat64() / perSecond * float64(time.Second)) {
			t.submit(now, t.newBooking(now))
		}
		if now == failureAt {
			t.kill(now)
		}
		t.step(now)
		if now == outageStart {
			t.writes = t.fake.Writes
		}
	}
	return t
}

func (t *trial) newBooking(now time.Duration) *booking {
	b := &booking{instance: t.liveInstance(), arrived: now, key: fmt.Sprintf("k%d", len(t.bookings))}
	if e, ok := t.engines[b.instance].(*ticketEngine); ok {
		ticket, _ := e.home.Issue(now)
		b.key = ticket + "." + b.key
	}
	return b
}

func (t *trial) liveInstance() int {
	for {
		if i := t.random.IntN(measureInstances); i != t.failed {
			return i
		}
	}
}

func (t *trial) submit(now time.Duration, b *booking) {
	b.id = Waiter(len(t.bookings) + 1)
	t.bookings = append(t.bookings, b)
	t.byID[b.id] = b
	if t.sharded {
		b.instance = shardOf(b.key) % measureInstances
		if b.instance == t.failed {
			b.instance = (b.instance + 1) % measureInstances
		}
	}
	if d, ok := t.engines[b.instance].submit(now, b); ok {
		t.decide(now, b, d)
	}
}

func (t *trial) decide(now time.Duration, b *booking, d Decision) {
	if d.Verdict == Forward && int(d.Holder)-1 != t.failed {
		b.instance = int(d.Holder) - 1
		if d, ok := t.engines[b.instance].submit(now, b); ok {
			t.decide(now, b, d)
		}
		return
	}
	if d.Verdict == Forward {
		d = refuse("ticket_home_gone", RanUnknown, "", "")
	}
	b.verdict, b.refusal = d.Verdict, d.Refusal
	if d.Verdict == Run {
		b.running, b.doneAt = true, now+measureService
		t.running = append(t.running, b)
	}
}

func (t *trial) step(now time.Duration) {
	outage := now >= outageStart && now < outageEnd
	for i, e := range t.engines {
		if i == t.failed {
			continue
		}
		for _, d := range e.step(now, outage) {
			t.decide(now, t.byID[d.Waiter], d.Decision)
		}
	}
	var remaining []*booking
	for _, b := range t.running {
		if b.doneAt > now {
			remaining = append(remaining, b)
			continue
		}
		b.running, b.verdict = false, Reply
		t.engines[b.instance].finish(now, b)
	}
	t.running = remaining
}

// kill ends one instance. Callers repeat the bookings of the last minute that it did
// not refuse.
func (t *trial) kill(now time.Duration) {
	t.failed = 0
	if t.sharded {
		successor := t.engines[1].(*shardEngine)
		for shard := 0; shard < measureShards; shard += measureInstances {
			successor.unknownShards[shard] = true
		}
	}
	t.running = withoutInstance(t.running, t.failed)
	for _, b := range t.bookings {
		if b.instance != t.failed || b.arrived < now-time.Minute || b.verdict == Refuse {
			continue
		}
		t.submit(now, &booking{instance: t.liveInstance(), key: b.key, arrived: now, repeated: true})
	}
}

func withoutInstance(running []*booking, failed int) []*booking {
	var out []*booking
	for _, b := range running {
		if b.instance != failed {
			out = append(out, b)
		}
	}
	return out
}

// percentage returns the percentage of the selected bookings that have a property.
func (t *trial) percentage(selected, property func(b *booking) bool) float64 {
	all, with := 0, 0
	for _, b := range t.bookings {
		if selected(b) {
			all++
			if property(b) {
				with++
			}
		}
	}
	return 100 * float64(with) / float64(max(1, all))
}

func served(b *booking) bool         { return b.verdict == Reply }
func outcomeUnknown(b *booking) bool { return b.verdict == Refuse && b.refusal.Ran == RanUnknown }

func arrivedIn(from, to time.Duration, repeated bool) func(b *booking) bool {
	return func(b *booking) bool { return b.arrived >= from && b.arrived < to && b.repeated == repeated }
}

func measuredVariants() []variant {
	return []variant{
		{"a-claims", func(id uint64, s *storetest.Fake) engine {
			return &claimEngine{NewClaims(ClaimsConfig{Incarnation: id, IDs: &store.IDSource{}, Seed: id, MaxRecordsPerOrganisation: 20_000}), newStoreLink(id, s)}
		}},
		{"b-tickets", func(id uint64, s *storetest.Fake) engine {
			return &ticketEngine{NewHome(HomeConfig{Incarnation: id, MACKey: []byte{byte(id)}, TicketTTL: 10 * time.Minute, RecordTTL: time.Hour,
				MaxRecords: 20_000, MaxRecordsPerOrganisation: 20_000})}
		}},
		{"c-shards", func(id uint64, s *storetest.Fake) engine {
			return &shardEngine{lease.New(lease.Config{Incarnation: id, IDs: &store.IDSource{}, Seed: id, OrderTimeout: measureTimeout, MaxOrders: 10_000}),
				newStoreLink(id, s), map[string]bool{}, map[int]bool{}}
		}},
	}
}

// TestMeasureNonIdempotentCalls prints, with -measure, the figures that section 7 of
// the design is based on. It guards against a dependency of variant (b) on the store:
// during an outage it must serve every booking, and it must never write.
func TestMeasureNonIdempotentCalls(t *testing.T) {
	rates := []float64{1}
	if *measureFlag {
		rates = []float64{1, 10, 100}
	}
	for _, v := range measuredVariants() {
		for _, rate := range rates {
			r := runTrial(v, rate, *measureSeed)
			beforeOutage := arrivedIn(0, outageStart-measureTimeout, false)
			servedBeforeOutage := 0
			for _, b := range r.bookings {
				if beforeOutage(b) && served(b) {
					servedBeforeOutage++
				}
			}
			outage := r.percentage(arrivedIn(outageStart, outageEnd, false), served)
			if v.name == "b-tickets" {
				require.Zero(t, r.fake.Writes)
				require.Equal(t, 100.0, outage)
			}
			if !*measureFlag {
				continue
			}
			fmt.Printf("measure bindings %s rate=%v served_calm_pct=%.1f served_outage_pct=%.1f writes_per_booking=%.2f repeated_unknown_pct=%.1f new_unknown_pct=%.1f new_served_after_death_pct=%.1f\n",
				v.name, rate, r.percentage(beforeOutage, served), outage, float64(r.writes)/float64(max(1, servedBeforeOutage)),
				r.percentage(arrivedIn(failureAt, failureAt+1, true), outcomeUnknown),
				r.percentage(arrivedIn(failureAt+measureTick, repeatEnd-measureTimeout, false), outcomeUnknown),
				r.percentage(arrivedIn(failureAt+measureTick, repeatEnd-measureTimeout, false), served))
		}
	}
}
