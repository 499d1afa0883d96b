package main

import (
	"math/rand/v2"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/quota"
	"github.com/citrongate/citrongate/pkg/refresh"
)

// Times and bounds of a run of gateways.
const (
	gatewayTrafficAt  = 6 * time.Second
	gatewayChangeAt   = 12 * time.Second
	gatewayTrafficEnd = 26 * time.Second
	gatewayRunEnd     = 45 * time.Second
	gatewayNodes      = 4

	storeTimeout   = 500 * time.Millisecond
	gatewayReturn  = 6 * time.Second
	quotaPerSecond = 20
	// quotaBurst is large enough that one more burst after a restart exceeds the
	// tolerance.
	quotaBurst = 60
)

var (
	gatewayBounds = ingress.Bounds{Apply: 2 * time.Second, Revoke: 5 * time.Second}
	tolerance     = quota.Tolerance{Window: 8 * time.Second, Over: 0.25}
)

// Organisations of the run, each with a key of the same name.
const (
	steady  = "steady"
	revoked = "revoked"
	added   = "added"
	flooded = "flooded"
	modest  = "modest"
	nobody  = "nobody"
)

// arrival is one request as a gateway judged it.
type arrival struct {
	// sent is when the caller sent it, at when the gateway judged it.
	sent, at time.Duration
	instance *simtest.Instance
	key      string
	path     string
	verdict  ingress.Verdict
	version  uint64
	// listed is whether the gateway had been shown servers.
	listed bool
	// request is nil unless it was admitted.
	request *simtest.Request
}

// gatewayRun is one deployment of gateways with its workload.
type gatewayRun struct {
	world  *simtest.World
	random *rand.Rand
	seed   uint64
	faults []string
	mutant string
	store  *configStore
	gates  map[*simtest.Instance]*gate
	// disturbedUntil is when the last fault ends.
	disturbedUntil time.Duration
	arrivals       []arrival
	// started counts the processes, for names of newcomers.
	started int
}

func newGatewayRun(seed uint64, faultNames []string, mutant string) *gatewayRun {
	r := &gatewayRun{
		world: simtest.NewWorld(seed), random: simtest.NewRand(seed, 1), seed: seed, faults: faultNames, mutant: mutant,
		gates: map[*simtest.Instance]*gate{},
	}
	r.store = newConfigStore(r.world.Loop)
	r.world.BeforeSend = r.mayBeSent
	r.world.ReadStore = func(i *simtest.Instance, a node.ReadStore) { r.gates[i].read(a.Part) }
	r.world.CopyConfirmed = func(i *simtest.Instance, a node.CopyConfirmed) { r.gates[i].confirmed(a) }
	for _, name := range serverNames {
		r.world.Services[name+"/1"] = simtest.NewService(r.world.Loop, simtest.ServiceConfig{
			Name: name + "/1", Duration: 60 * time.Millisecond, Concurrency: serverSlots})
	}
	for range gatewayNodes {
		r.start()
	}
	for _, name := range faultNames {
		for _, f := range gatewayFaults {
			if f.name == name {
				f.inject(r, gatewayFaultsFrom+time.Duration(r.random.Float64()*float64(gatewayFaultsUntil-gatewayFaultsFrom)))
			}
		}
	}
	return r
}

// start starts a gateway with a name of its own.
func (r *gatewayRun) start() *simtest.Instance {
	r.started++
	config := simtest.Fixture{}.Config(r.started)
	config.ExternalConfig = true
	config.RefreshWithin = gatewayBounds.Apply
	config.Mutations = node.Mutations{QuotaFullAtStart: r.mutant == "quota-full-at-start"}
	return r.attach(r.world.Start(config))
}

func (r *gatewayRun) restart(i *simtest.Instance) { r.attach(r.world.Restart(i)) }

// attach gives a process its side of the configuration.
func (r *gatewayRun) attach(i *simtest.Instance) *simtest.Instance {
	r.gates[i] = &gate{run: r, instance: i, state: ingress.NewState()}
	return i
}

// read reads a part of the store, as the gateway does.
func (g *gate) read(p refresh.Part) {
	if g.ended {
		return
	}
	store, started := g.run.store, g.run.world.Loop.Now()
	if p == refresh.Config {
		read(store, g.instance, func() *ingress.Config { return store.config(g.instance) },
			func(c *ingress.Config, ok bool) {
				g.finish(p, started, ok, func() (uint64, bool) { return g.observeConfig(started, c) })
			})
		return
	}
	read(store, g.instance, store.upstreams, func(list []ingress.Upstream, ok bool) {
		g.finish(p, started, ok, func() (uint64, bool) { return g.observeUpstreams(started, list) })
	})
}

// finish takes in the end of a read once the process runs.
func (g *gate) finish(p refresh.Part, started time.Duration, ok bool, observe func() (uint64, bool)) {
	g.instance.Do(func() {
		done := node.StoreRead{Part: p, Started: started}
		if ok {
			done.Version, done.OK = observe()
		} else {
			g.ended = g.ended || g.run.mutant == "reads-end-at-failure"
		}
		g.instance.Deliver(done)
	})
}

func (g *gate) observeConfig(started time.Duration, config *ingress.Config) (version uint64, ok bool) {
	if g.run.mutant == "oldest-wins" {
		g.state.Tracker = ingress.Tracker{}
	}
	version, changed, ok := g.state.ObserveConfig(started, config)
	g.publishIf(changed)
	g.table, g.confirmation = g.state.Tracker.Table(), g.state.Tracker.Confirmation()
	return version, ok
}

func (g *gate) observeUpstreams(started time.Duration, upstreams []ingress.Upstream) (digest uint64, ok bool) {
	if g.run.mutant == "lapsed-are-gone" {
		g.state.Registry = ingress.NewRegistry()
	}
	g.listed = g.listed || len(upstreams) > 0
	digest, changed := g.state.ObserveUpstreams(started, g.run.world.Loop.Now(), upstreams)
	g.publishIf(changed)
	return digest, true
}

// confirmed takes in that the store had this process' copy of a part.
func (g *gate) confirmed(c node.CopyConfirmed) {
	if c.Part == refresh.Upstreams {
		changed, _ := g.state.ConfirmUpstreams(c.At, g.run.world.Loop.Now(), c.Version)
		g.publishIf(changed)
		return
	}
	if g.state.Tracker.Confirm(c.At, c.Version) {
		g.confirmation = g.state.Tracker.Confirmation()
	}
}

// publishIf puts what has changed in force.
func (g *gate) publishIf(changed bool) {
	if !changed {
		return
	}
	table := g.state.Tracker.Table()
	g.revision++
	limits := table.Config().Quotas(tolerance)
	if g.run.mutant == "quota-whole-at-each" {
		for name, limit := range limits {
			limits[name] = quota.Limit{PerSecond: limit.PerSecond * gatewayNodes, Burst: limit.Burst * gatewayNodes}
		}
	}
	g.instance.Deliver(node.UseConfiguration{Set: ingress.Objects(g.revision, table.Config(), g.state.Registry.Upstreams()), Quotas: limits})
}

// bounds are those of the run, or a mutant's.
func (r *gatewayRun) bounds() ingress.Bounds {
	b := gatewayBounds
	switch r.mutant {
	case "freshness-ignored":
		b.Apply = time.Hour
	case "revocation-lenient":
		b.Revoke = 0
	}
	return b
}

// clock is the time by which a gateway judges. It goes on while the process
// stands still, except for a mutant.
func (g *gate) clock() time.Duration {
	if g.run.mutant == "clock-without-pauses" {
		return g.run.world.Loop.Now() - g.paused
	}
	return g.run.world.Loop.Now()
}

// mayBeSent judges a request again at the moment of its sending.
func (r *gatewayRun) mayBeSent(i *simtest.Instance, _ simtest.Spec) bool {
	return r.gates[i].confirmation.KeysHold(r.gates[i].clock(), r.bounds())
}

// submit sends a request to a gateway, which reads it once it runs.
func (r *gatewayRun) submit(i *simtest.Instance, key, path string) {
	if i == nil {
		return
	}
	sent := r.world.Loop.Now()
	i.Do(func() { r.judge(sent, i, key, path) })
}

// judge judges a request and hands it to the node if it is admitted.
func (r *gatewayRun) judge(sent time.Duration, i *simtest.Instance, key, path string) {
	g := r.gates[i]
	a := arrival{sent: sent, at: r.world.Loop.Now(), instance: i, key: key, path: path, verdict: ingress.RouteUnconfirmed, listed: g.listed}
	if g.table != nil {
		judgement := g.table.Judge(g.clock(), g.confirmation, r.bounds(), host, path, key)
		a.verdict, a.version = judgement.Verdict, g.table.Config().Version
		if a.verdict == ingress.Admitted {
			a.request = i.Submit(simtest.Spec{
				Kind:         ingress.KindName(judgement.Route, ingress.PriorityOf(judgement.Route, judgement.Organisation)),
				Organisation: judgement.Organisation.Name, Labels: map[string]string{ingress.LabelService: judgement.Route.Backends[0].Service},
				Remaining: judgement.Route.Timeout, QuotaCost: 1, MaxSends: uint32(judgement.Route.MaxSends), Repeatable: true,
			})
		}
	}
	r.arrivals = append(r.arrivals, a)
}

// execute runs the workload to its end.
func (r *gatewayRun) execute() {
	r.world.Loop.At(gatewayTrafficAt, func() {
		r.requests(20, steady, oldPath)
		r.requests(10, revoked, slowPath)
		r.requests(10, added, oldPath)
		r.requests(5, steady, newPath)
		r.requests(60, flooded, oldPath)
		r.requests(6, modest, oldPath)
		r.requests(5, nobody, oldPath)
	})
	r.world.Loop.At(gatewayChangeAt, r.store.change)
	r.world.Loop.RunUntil(gatewayRunEnd)
}

// requests starts a Poisson process at gateways drawn by chance.
func (r *gatewayRun) requests(rate float64, key, path string) {
	if r.world.Loop.Now() >= gatewayTrafficEnd {
		return
	}
	r.submit(r.anyGateway(), key, path)
	r.world.Loop.After(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() { r.requests(rate, key, path) })
}

func (r *gatewayRun) anyGateway() *simtest.Instance {
	live := r.world.Live()
	if len(live) == 0 {
		return nil
	}
	return live[r.random.IntN(len(live))]
}
