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
	// drainedName is the instance that stops as planned, leavingName the upstream
	// that is listed as leaving.
	drainedName = "n4"
	leavingName = "e3"
	// discoveryTTL is the TTL of discovery answers in the fixture's settings.
	discoveryTTL = 2 * time.Second
)

// run is one deployment with its workload and what the checks need beside the trace.
type run struct {
	world   *simtest.World
	fixture simtest.Fixture
	random  *rand.Rand
	seed    uint64
	faults  []fault

	instances []*simtest.Instance
	nextID    uint64
	// objectByChange names the object that each submitted change writes, by change id.
	objectByChange map[uint64]string
	// idempotencyKeys are the keys of all orders sent.
	idempotencyKeys []string
	// drainedAt is when the planned stop started; 0 if it has not started.
	drainedAt          time.Duration
	drainedIncarnation uint64
	// discoveryAnswers are the discovery answers 1 s after the planned stop started.
	discoveryAnswers []discoveryAnswer
}

// discoveryAnswer records whether an instance's discovery answer included the
// stopping instance.
type discoveryAnswer struct {
	at              time.Duration
	address         string
	includesDrained bool
}

// mutation selects the check or rule that a mutant disables.
type mutation struct {
	node             node.Mutations
	ignoreVersions   bool
	uncheckedAnswers bool
	ignoreFencing    bool
}

func newRun(seed uint64, faults []fault, m mutation) *run {
	r := &run{
		world: simtest.NewWorld(seed), random: simtest.NewRand(seed, 1), seed: seed, faults: faults,
		fixture:        simtest.Fixture{Engines: 3, Services: 2, Concurrency: 4, ChecksFencing: seed%2 == 0},
		objectByChange: map[uint64]string{},
	}
	r.world.SwapAnswers = 0.01
	if seed%2 == 1 {
		// In half of the runs frames are reordered.
		r.world.Jitter = 8 * time.Millisecond
	}
	r.world.Platform.IgnoreVersions = m.ignoreVersions
	r.world.UncheckedAnswers = m.uncheckedAnswers
	r.world.IgnoreFencing = m.ignoreFencing
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

// execute runs the workload until runEnd.
func (r *run) execute() {
	r.at(configAt, func() {
		r.instances[0].Change(node.ApplyChange{Change: r.newID(), Puts: r.fixture.Objects()})
	})
	r.at(trafficAt, func() {
		r.startArrivals(8, r.submitUrgent)
		r.startArrivals(14, r.submitNormal)
		r.startArrivals(14, r.submitBatch)
		r.startArrivals(3, r.submitLookup)
		r.startArrivals(4, r.submitOrder)
		r.startArrivals(0.6, func() { r.submitChange(r.randomLive(r.random), "") })
		r.startArrivals(4, r.submitUpstreamOrder)
	})
	// A flood of the lowest tier, then of the highest and the lowest tier together,
	// so that requests of both tiers wait and their order can be checked.
	r.startFlood(8*time.Second, 10*time.Second, 150, r.submitBatch)
	r.startFlood(14500*time.Millisecond, 16*time.Second, 150, r.submitUrgent)
	r.startFlood(14500*time.Millisecond, 16*time.Second, 100, r.submitBatch)
	r.at(leavingAt, func() {
		r.world.SetListed(node.ListedInstance{Name: leavingName, Incarnation: "1", Upstream: true, Leaving: true})
	})
	r.at(drainAt, r.startPlannedStop)
	r.world.Loop.RunUntil(runEnd)
}

// startArrivals calls fn as a Poisson process with rate calls per second until trafficEnd.
func (r *run) startArrivals(rate float64, fn func()) {
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

func (r *run) startFlood(from, until time.Duration, rate float64, fn func()) {
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

func (r *run) newID() uint64 {
	r.nextID++
	return r.nextID
}

// submitModelCall submits a model call. The lower the tier, the longer its
// deadline, so that lower tiers still wait while higher ones are shed.
func (r *run) submitModelCall(kind string, tier int) {
	i := r.pickEntry()
	if i == nil {
		return
	}
	request := i.Submit(simtest.Spec{Kind: kind, Tier: tier, Model: simtest.Model, Organisation: "small",
		Prompt: uint32(50 + r.random.IntN(800)), Output: uint32(10 + r.random.IntN(60)),
		Remaining: randomMillis(r.random, 1500, 4000) + time.Duration(tier)*2*time.Second})
	if r.random.Float64() < 0.03 {
		r.world.Loop.After(randomMillis(r.random, 10, 500), func() { i.DisconnectCaller(request) })
	}
}

func (r *run) submitUrgent() { r.submitModelCall("urgent", 0) }
func (r *run) submitNormal() { r.submitModelCall("normal", 1) }
func (r *run) submitBatch()  { r.submitModelCall("batch", 2) }

func (r *run) submitLookup() {
	if i := r.pickEntry(); i != nil {
		i.Submit(simtest.Spec{Kind: "lookup", Tier: 1, Organisation: "small", Remaining: 3 * time.Second})
	}
}

// pickEntry picks a running instance, as a caller does. It excludes the stopping
// instance once no caller can still use an old discovery answer.
func (r *run) pickEntry() *simtest.Instance {
	live := r.world.Live()
	i := live[r.random.IntN(len(live))]
	if i.Incarnation == r.drainedIncarnation && r.world.Loop.Now() > r.drainedAt+discoveryTTL-100*time.Millisecond {
		return nil
	}
	return i
}

// submitOrder sends a non-idempotent call, often several copies at once and again
// if it was not answered, always under the same key.
func (r *run) submitOrder() {
	key := fmt.Sprintf("plain-%d-%d", r.seed, r.newID())
	if issuer := r.randomLive(r.random); !issuer.Paused && r.random.Float64() < 0.6 {
		if ticket, _ := issuer.Node.IssueTicket(r.world.Loop.Now()); ticket != "" {
			key = fmt.Sprintf("%s.%d", ticket, r.newID())
		}
	}
	r.idempotencyKeys = append(r.idempotencyKeys, key)
	copies := 1 + r.random.IntN(3)
	for range copies {
		r.sendOrderAttempt(key, 3, copies == 1)
	}
}

func (r *run) sendOrderAttempt(key string, retries int, firstAttempt bool) {
	i := r.pickEntry()
	if i == nil {
		return
	}
	request := i.Submit(simtest.Spec{Kind: "order", Tier: 1, Organisation: "large", Key: key, FirstAttempt: firstAttempt,
		Remaining: 3 * time.Second})
	r.world.Loop.After(randomMillis(r.random, 200, 4000), func() {
		if request.Outcome != simtest.OutcomeAnswered && retries > 0 {
			r.sendOrderAttempt(key, retries-1, false)
		}
	})
}

// submitChange submits an operator's change: it creates an object of its own, or
// updates a shared object on condition that its version is unchanged.
func (r *run) submitChange(i *simtest.Instance, shared string) {
	id := r.newID()
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
	r.objectByChange[id] = name
	i.Change(node.ApplyChange{Change: id, Puts: []*pb.Object{o}, Conditional: true})
}

func (r *run) submitUpstreamOrder() {
	r.randomLive(r.random).Order(node.OrderUpstream{Order: r.newID(), Upstream: "e1", Verb: "load", Argument: "m2"})
}

// startPlannedStop starts the planned stop, unless the instance is paused or not
// running, and schedules the observation of discovery answers.
func (r *run) startPlannedStop() {
	for _, i := range r.world.Live() {
		if i.Name != drainedName || i.Paused {
			continue
		}
		r.drainedAt, r.drainedIncarnation = r.world.Loop.Now(), i.Incarnation
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
		l := discoveryAnswer{at: r.world.Loop.Now(), address: i.Address}
		for _, address := range i.Node.Discovery() {
			l.includesDrained = l.includesDrained || address == "10.0.0.4:80"
		}
		r.discoveryAnswers = append(r.discoveryAnswers, l)
	}
}
