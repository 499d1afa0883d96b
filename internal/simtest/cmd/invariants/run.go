package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Times of a run.
const (
	configAt   = 2500 * time.Millisecond
	trafficAt  = 5 * time.Second
	leavingAt  = 11 * time.Second
	drainAt    = 13 * time.Second
	trafficEnd = 18 * time.Second
	runEnd     = 32 * time.Second

	nodes = 4
	// drained is the instance with the planned stop, leaving the upstream that
	// is listed as leaving.
	drained = "n4"
	leaving = "e3"
	// discoveryTTL is that of the fixture's settings.
	discoveryTTL = 2 * time.Second
)

// run is one deployment with its workload.
type run struct {
	world   *simtest.World
	fixture simtest.Fixture
	random  *rand.Rand
	seed    uint64
	faults  []fault

	instances []*simtest.Instance
	nextID    uint64
	// puts are the objects of the changes that were submitted, by change id.
	puts map[uint64]string
	// keys are the idempotency keys in use.
	keys []string
	// drainedAt is when the planned stop started; 0 if it did not.
	drainedAt  time.Duration
	drainedInc uint64
	// listings are observations of the discovery answers after the stop.
	listings []listing
}

// listing says whether an instance's discovery answer named the drained one.
type listing struct {
	at      time.Duration
	address string
	named   bool
}

// mutation breaks a promise on purpose.
type mutation struct {
	node     node.Mutations
	versions bool
	answers  bool
	fencing  bool
}

func newRun(seed uint64, faults []fault, m mutation) *run {
	r := &run{
		world: simtest.NewWorld(seed), random: simtest.NewRand(seed, 1), seed: seed, faults: faults,
		fixture: simtest.Fixture{Engines: 3, Services: 2, Concurrency: 4, ChecksFencing: seed%2 == 0},
		puts:    map[uint64]string{},
	}
	r.world.SwapAnswers = 0.01
	if seed%2 == 1 {
		// In half of the runs frames overtake each other.
		r.world.Jitter = 8 * time.Millisecond
	}
	r.world.Platform.IgnoreVersions = m.versions
	r.world.UncheckedAnswers = m.answers
	r.world.IgnoreFencing = m.fencing
	r.fixture.AddUpstreams(r.world)
	for n := 1; n <= nodes; n++ {
		config := r.fixture.Config(n)
		config.LeaseDuration = time.Second
		config.Mutations = m.node
		r.instances = append(r.instances, r.world.Start(config))
	}
	for _, f := range faults {
		at := faultsFrom + time.Duration(r.random.Float64()*float64(faultsUntil-faultsFrom))
		f.inject(r, r.random, at)
	}
	return r
}

func (r *run) at(t time.Duration, fn func()) { r.world.Loop.At(t, fn) }

// execute runs the workload to its end.
func (r *run) execute() {
	r.at(configAt, func() {
		r.instances[0].Change(node.ApplyChange{Change: r.id(), Puts: r.fixture.Objects()})
	})
	r.at(trafficAt, func() {
		r.arrivals(8, r.urgent)
		r.arrivals(14, r.normal)
		r.arrivals(14, r.batch)
		r.arrivals(3, r.lookup)
		r.arrivals(4, r.order)
		r.arrivals(0.6, func() { r.change(r.anyLive(r.random), "") })
		r.arrivals(4, r.upstreamOrder)
	})
	// A flood of the lowest tier, then of the highest and the lowest together,
	// so that both queue and the order between them shows.
	r.flood(8*time.Second, 10*time.Second, 150, r.batch)
	r.flood(14500*time.Millisecond, 16*time.Second, 150, r.urgent)
	r.flood(14500*time.Millisecond, 16*time.Second, 100, r.batch)
	r.at(leavingAt, func() {
		r.world.SetListed(node.ListedInstance{Name: leaving, Incarnation: "1", Upstream: true, Leaving: true})
	})
	r.at(drainAt, r.drain)
	r.world.Loop.RunUntil(runEnd)
}

// arrivals starts a Poisson process with a rate per second.
func (r *run) arrivals(rate float64, fn func()) {
	var next func()
	next = func() {
		if r.world.Loop.Now() >= trafficEnd {
			return
		}
		fn()
		r.world.Loop.After(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

func (r *run) flood(from, until time.Duration, rate float64, fn func()) {
	var next func()
	next = func() {
		if r.world.Loop.Now() >= until {
			return
		}
		fn()
		r.world.Loop.After(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	r.at(from, next)
}

func (r *run) id() uint64 {
	r.nextID++
	return r.nextID
}

// model sends a model call. The lower the tier, the longer its deadline, so that
// lower tiers wait while higher ones are shed.
func (r *run) model(kind string, rank int) {
	i := r.entry()
	if i == nil {
		return
	}
	request := i.Submit(simtest.Spec{Kind: kind, Tier: rank, Model: simtest.Model, Organisation: "small",
		Prompt: uint32(50 + r.random.IntN(800)), Output: uint32(10 + r.random.IntN(60)),
		Remaining: between(r.random, 1500, 4000) + time.Duration(rank)*2*time.Second})
	if r.random.Float64() < 0.03 {
		r.world.Loop.After(between(r.random, 10, 500), func() { i.CallerLeaves(request) })
	}
}

func (r *run) urgent() { r.model("urgent", 0) }
func (r *run) normal() { r.model("normal", 1) }
func (r *run) batch()  { r.model("batch", 2) }

func (r *run) lookup() {
	if i := r.entry(); i != nil {
		i.Submit(simtest.Spec{Kind: "lookup", Tier: 1, Organisation: "small", Remaining: 3 * time.Second})
	}
}

// entry picks an instance as a caller does: any that runs, but a stopping one
// only as long as callers may hold an old discovery answer.
func (r *run) entry() *simtest.Instance {
	live := r.world.Live()
	i := live[r.random.IntN(len(live))]
	if i.Incarnation == r.drainedInc && r.world.Loop.Now() > r.drainedAt+discoveryTTL-100*time.Millisecond {
		return nil
	}
	return i
}

// order sends a non-idempotent call, often twice at once and again when its
// fate is not known, always under the same key.
func (r *run) order() {
	key := fmt.Sprintf("plain-%d-%d", r.seed, r.id())
	if home := r.anyLive(r.random); !home.Paused && r.random.Float64() < 0.6 {
		if ticket, _ := home.Node.IssueTicket(r.world.Loop.Now()); ticket != "" {
			key = fmt.Sprintf("%s.%d", ticket, r.id())
		}
	}
	r.keys = append(r.keys, key)
	copies := 1 + r.random.IntN(3)
	for range copies {
		r.sendOrder(key, 3, copies == 1)
	}
}

func (r *run) sendOrder(key string, tries int, first bool) {
	i := r.entry()
	if i == nil {
		return
	}
	request := i.Submit(simtest.Spec{Kind: "order", Tier: 1, Organisation: "large", Key: key, FirstAttempt: first,
		Remaining: 3 * time.Second})
	r.world.Loop.After(between(r.random, 200, 4000), func() {
		if request.Outcome != simtest.OutcomeAnswered && tries > 0 {
			r.sendOrder(key, tries-1, false)
		}
	})
}

// change submits an operator's change: it creates an object of its own, or
// changes a shared one under the condition that nobody else did.
func (r *run) change(i *simtest.Instance, shared string) {
	id := r.id()
	name := shared
	if name == "" {
		name = fmt.Sprintf("org-%d", id)
	}
	o := &pb.Object{Meta: &pb.ObjectMeta{Kind: configstate.KindOrganisation, Name: name,
		Labels: map[string]string{"change": fmt.Sprint(id)}},
		Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{}}}
	if set := i.Node.ConfigSet(); set != nil {
		o.Meta.Version = set.Organisations[name].GetMeta().GetVersion()
	}
	r.puts[id] = name
	i.Change(node.ApplyChange{Change: id, Puts: []*pb.Object{o}, Conditional: true})
}

func (r *run) upstreamOrder() {
	r.anyLive(r.random).Order(node.OrderUpstream{Order: r.id(), Upstream: "e1", Verb: "load", Argument: "m2"})
}

// drain starts the planned stop and watches the discovery answers.
func (r *run) drain() {
	for _, i := range r.world.Live() {
		if i.Name != drained || i.Paused {
			continue
		}
		r.drainedAt, r.drainedInc = r.world.Loop.Now(), i.Incarnation
		i.Drain()
		r.world.Loop.After(time.Second, r.observeDiscovery)
		return
	}
}

func (r *run) observeDiscovery() {
	for _, i := range r.world.Live() {
		if i.Paused {
			continue
		}
		l := listing{at: r.world.Loop.Now(), address: i.Address}
		for _, address := range i.Node.Discovery() {
			l.named = l.named || address == "10.0.0.4:80"
		}
		r.listings = append(r.listings, l)
	}
}
