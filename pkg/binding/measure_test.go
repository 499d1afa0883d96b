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
	measureHosts   = 8
	measureShards  = 64
	measureTick    = 5 * time.Millisecond
	measureService = 50 * time.Millisecond
	measureTimeout = 5 * time.Second

	calmEnd   = 60 * time.Second
	outageEnd = 120 * time.Second
	death     = 150 * time.Second
	// repeatEnd is the time for callers to repeat calls; the last entry of the run.
	repeatEnd = 210 * time.Second
)

// way is one of the ways of section 7 to bind a key to the instance that runs it.
type way struct {
	name string
	// start returns the engine of one instance.
	start func(incarnation uint64, s *storetest.Fake) engine
}

// engine decides on bookings at one instance. Store calls take one tick, within
// the call budget of an instance.
type engine interface {
	// submit decides on a booking; false means that the answer follows later.
	submit(now time.Duration, b *booking) (Decision, bool)
	finish(now time.Duration, b *booking)
	// step returns decisions on earlier bookings.
	step(now time.Duration, outage bool) []Decided
}

type booking struct {
	id      Waiter
	key     string
	at      int
	arrived time.Duration
	doneAt  time.Duration
	running bool
	verdict Verdict
	refusal Refusal
	// again is true for a repeated booking.
	again bool
}

func (b *booking) call(now time.Duration) Call {
	return Call{Organisation: "o", Kind: "book", Key: b.key, Body: []byte(b.key), Deadline: now + measureTimeout}
}

// storeLink carries the calls of one instance to the store.
type storeLink struct {
	budget *store.Budget
	fake   *storetest.Fake
	flying []store.Call
}

func newStoreLink(seed uint64, fake *storetest.Fake) *storeLink {
	return &storeLink{budget: store.NewBudget(store.BudgetConfig{Seed: seed}), fake: fake}
}

func (l *storeLink) step(now time.Duration, outage bool, calls []store.Call, deliver func(store.CallID, store.Result)) {
	for _, c := range l.flying {
		fault := storetest.None
		if outage {
			fault = storetest.Outage
		}
		r := l.fake.Do(c.Op, fault)
		l.budget.OnResult(now, r.Status)
		deliver(c.ID, r)
	}
	for _, c := range calls {
		l.budget.Submit(now, c)
	}
	start, rejected := l.budget.Step(now)
	l.flying = start
	for _, c := range rejected {
		deliver(c.ID, store.Result{Status: store.Unavailable})
	}
}

// claimEngine is way (a).
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

func (e *claimEngine) step(now time.Duration, outage bool) []Decided {
	e.claims.Step(now, int64(now/time.Second))
	calls, decided := e.claims.Take()
	e.link.step(now, outage, calls, func(id store.CallID, r store.Result) { e.claims.OnStoreResult(now, id, r) })
	return decided
}

// ticketEngine is way (b).
type ticketEngine struct{ home *Home }

func (e *ticketEngine) submit(now time.Duration, b *booking) (Decision, bool) {
	d := e.home.Submit(now, b.id, b.call(now))
	return d, d.Verdict != Pending
}

func (e *ticketEngine) finish(now time.Duration, b *booking) {
	e.home.Finish(now, b.id, &pb.BindingOutcome{HttpStatus: 200, Body: []byte(b.key)}, Refusal{})
}

func (e *ticketEngine) step(now time.Duration, _ bool) []Decided {
	e.home.Step(now)
	return nil
}

// shardEngine is way (c): the holder of a shard's lease runs its keys from
// memory. It is built on pkg/lease; a booking is an order to its shard.
type shardEngine struct {
	manager *lease.Manager
	link    *storeLink
	outcome map[string]bool
	// blind are shards that were taken over: the earlier holder may have run any key.
	blind map[int]bool
}

func (e *shardEngine) submit(now time.Duration, b *booking) (Decision, bool) {
	if e.outcome[b.key] {
		return reply(&pb.BindingOutcome{}), true
	}
	if e.blind[shardOf(b.key)] {
		return refuse("ticket_home_gone", RanUnknown, "", ""), true
	}
	e.manager.Submit(now, lease.Order{ID: uint64(b.id), Upstream: fmt.Sprint(shardOf(b.key))})
	return Decision{}, false
}

func shardOf(key string) int { return int(keyDigest("", key)[0]) % measureShards }

func (e *shardEngine) finish(_ time.Duration, b *booking) { e.outcome[b.key] = true }

func (e *shardEngine) step(now time.Duration, outage bool) []Decided {
	e.manager.Step(now)
	calls, sends, notSent := e.manager.Take()
	e.link.step(now, outage, calls, func(id store.CallID, r store.Result) { e.manager.OnStoreResult(now, id, r) })
	var out []Decided
	for _, s := range sends {
		out = append(out, Decided{Waiter: Waiter(s.Order.ID), Decision: Decision{Verdict: Run}})
	}
	for _, id := range notSent {
		out = append(out, Decided{Waiter: Waiter(id), Decision: refuse("store_unavailable", RanNo, "", "")})
	}
	return out
}

// trial runs one way at one rate.
type trial struct {
	random   *rand.Rand
	fake     *storetest.Fake
	engines  []engine
	bookings []*booking
	byID     map[Waiter]*booking
	running  []*booking
	dead     int
	sharded  bool
	writes   int
}

func runTrial(w way, perSecond float64, seed uint64) *trial {
	t := &trial{random: rand.New(rand.NewPCG(seed, 7)), fake: storetest.New(), byID: map[Waiter]*booking{}, dead: -1}
	for i := range measureHosts {
		t.engines = append(t.engines, w.start(uint64(i+1), t.fake))
	}
	_, t.sharded = t.engines[0].(*shardEngine)
	next := time.Duration(0)
	for now := time.Duration(0); now < repeatEnd; now += measureTick {
		for ; next <= now; next += time.Duration(t.random.ExpFloat64() / perSecond * float64(time.Second)) {
			t.submit(now, t.newBooking(now))
		}
		if now == death {
			t.kill(now)
		}
		t.step(now)
		if now == calmEnd {
			t.writes = t.fake.Writes
		}
	}
	return t
}

func (t *trial) newBooking(now time.Duration) *booking {
	b := &booking{at: t.liveHost(), arrived: now, key: fmt.Sprintf("k%d", len(t.bookings))}
	if e, ok := t.engines[b.at].(*ticketEngine); ok {
		ticket, _ := e.home.Issue(now)
		b.key = ticket + "." + b.key
	}
	return b
}

func (t *trial) liveHost() int {
	for {
		if i := t.random.IntN(measureHosts); i != t.dead {
			return i
		}
	}
}

func (t *trial) submit(now time.Duration, b *booking) {
	b.id = Waiter(len(t.bookings) + 1)
	t.bookings = append(t.bookings, b)
	t.byID[b.id] = b
	if t.sharded {
		b.at = shardOf(b.key) % measureHosts
		if b.at == t.dead {
			b.at = (b.at + 1) % measureHosts
		}
	}
	if d, ok := t.engines[b.at].submit(now, b); ok {
		t.decide(now, b, d)
	}
}

func (t *trial) decide(now time.Duration, b *booking, d Decision) {
	if d.Verdict == Forward && int(d.Holder)-1 != t.dead {
		b.at = int(d.Holder) - 1
		if d, ok := t.engines[b.at].submit(now, b); ok {
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
	outage := now >= calmEnd && now < outageEnd
	for i, e := range t.engines {
		if i == t.dead {
			continue
		}
		for _, d := range e.step(now, outage) {
			t.decide(now, t.byID[d.Waiter], d.Decision)
		}
	}
	var still []*booking
	for _, b := range t.running {
		if b.doneAt > now {
			still = append(still, b)
			continue
		}
		b.running, b.verdict = false, Reply
		t.engines[b.at].finish(now, b)
	}
	t.running = still
}

// kill ends one instance. Callers repeat the bookings that it ran in the last minute.
func (t *trial) kill(now time.Duration) {
	t.dead = 0
	if t.sharded {
		heir := t.engines[1].(*shardEngine)
		for shard := 0; shard < measureShards; shard += measureHosts {
			heir.blind[shard] = true
		}
	}
	t.running = deleteAt(t.running, t.dead)
	for _, b := range t.bookings {
		if b.at != t.dead || b.arrived < now-time.Minute || b.verdict == Refuse {
			continue
		}
		t.submit(now, &booking{at: t.liveHost(), key: b.key, arrived: now, again: true})
	}
}

func deleteAt(running []*booking, host int) []*booking {
	var out []*booking
	for _, b := range running {
		if b.at != host {
			out = append(out, b)
		}
	}
	return out
}

// share returns the part of the bookings in a selection that have a property.
func (t *trial) share(selected, property func(b *booking) bool) float64 {
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

func served(b *booking) bool  { return b.verdict == Reply }
func unknown(b *booking) bool { return b.verdict == Refuse && b.refusal.Ran == RanUnknown }

func arrivedIn(from, to time.Duration, again bool) func(b *booking) bool {
	return func(b *booking) bool { return b.arrived >= from && b.arrived < to && b.again == again }
}

func measuredWays() []way {
	return []way{
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

// TestMeasureNonIdempotentCalls prints the figures behind section 7. It guards
// against a way (b) that needs the store: it must serve every booking in an
// outage with no write.
func TestMeasureNonIdempotentCalls(t *testing.T) {
	rates := []float64{1}
	if *measureFlag {
		rates = []float64{1, 10, 100}
	}
	for _, w := range measuredWays() {
		for _, rate := range rates {
			r := runTrial(w, rate, *measureSeed)
			calm := arrivedIn(0, calmEnd-measureTimeout, false)
			inCalm := 0
			for _, b := range r.bookings {
				if calm(b) && served(b) {
					inCalm++
				}
			}
			outage := r.share(arrivedIn(calmEnd, outageEnd, false), served)
			if w.name == "b-tickets" {
				require.Zero(t, r.fake.Writes)
				require.Equal(t, 100.0, outage)
			}
			if !*measureFlag {
				continue
			}
			fmt.Printf("measure bindings %s rate=%v served_calm_pct=%.1f served_outage_pct=%.1f writes_per_booking=%.2f repeated_unknown_pct=%.1f new_unknown_pct=%.1f new_served_after_death_pct=%.1f\n",
				w.name, rate, r.share(calm, served), outage, float64(r.writes)/float64(max(1, inCalm)),
				r.share(arrivedIn(death, death+1, true), unknown),
				r.share(arrivedIn(death+measureTick, repeatEnd-measureTimeout, false), unknown),
				r.share(arrivedIn(death+measureTick, repeatEnd-measureTimeout, false), served))
		}
	}
}
