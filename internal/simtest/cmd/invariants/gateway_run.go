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
	recoveryTime   = 6 * time.Second
	quotaPerSecond = 20
	// quotaBurst is large enough that one more burst after a restart exceeds the
	// tolerance.
	quotaBurst = 60
)

var (
	gatewayBounds  = ingress.Bounds{Apply: 2 * time.Second, Revoke: 5 * time.Second}
	quotaTolerance = quota.Tolerance{Window: 8 * time.Second, Over: 0.25}
)

// Organisations of the run, each with a key of the same name.
const (
	steady     = "steady"
	revoked    = "revoked"
	added      = "added"
	overQuota  = "flooded"
	underQuota = "modest"
	unknownKey = "nobody"
)

// arrival is one request as a gateway evaluated it.
type arrival struct {
	// sent is when the caller sent it, evaluatedAt when the gateway evaluated it.
	sent, evaluatedAt time.Duration
	instance          *simtest.Instance
	key               string
	path              string
	verdict           ingress.Verdict
	version           uint64
	// knowsServers is whether the process had read entries of servers before.
	knowsServers bool
	// request is nil unless the request was admitted.
	request *simtest.Request
}

// gatewayRun is one deployment of gateways with its workload.
type gatewayRun struct {
	world     *simtest.World
	random    *rand.Rand
	seed      uint64
	faults    []string
	mutant    string
	store     *configStore
	processes map[*simtest.Instance]*gatewayProcess
	// lastFaultEnd is when the last fault ends.
	lastFaultEnd time.Duration
	arrivals     []arrival
	// startCount counts the processes started by startGateway and numbers their names.
	startCount int
}

func newGatewayRun(seed uint64, faultNames []string, mutant string) *gatewayRun {
	r := &gatewayRun{
		world: simtest.NewWorld(seed), random: simtest.NewRand(seed, 1), seed: seed, faults: faultNames, mutant: mutant,
		processes: map[*simtest.Instance]*gatewayProcess{},
	}
	r.world.PlatformUnreachable = map[string]bool{}
	r.store = newConfigStore(r.world.Loop)
	r.world.BeforeSend = r.confirmBeforeSend
	r.world.ReadStore = func(i *simtest.Instance, a node.ReadStore) { r.processes[i].readStore(a.Part) }
	r.world.CopyConfirmed = func(i *simtest.Instance, a node.CopyConfirmed) { r.processes[i].onCopyConfirmed(a) }
	for _, name := range serverNames {
		r.world.Services[name+"/1"] = simtest.NewService(r.world.Loop, simtest.ServiceConfig{
			Name: name + "/1", Duration: 60 * time.Millisecond, Concurrency: serverSlots})
	}
	for range gatewayNodes {
		r.startGateway()
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

// startGateway starts a gateway with a new name.
func (r *gatewayRun) startGateway() *simtest.Instance {
	r.startCount++
	config := simtest.Fixture{}.Config(r.startCount)
	config.ExternalConfig, config.Seeds = true, nil
	config.RefreshWithin = gatewayBounds.Apply
	config.Mutations = node.Mutations{QuotaFullAtStart: r.mutant == "quota-full-at-start"}
	return r.addProcess(r.world.Start(config))
}

func (r *gatewayRun) restart(i *simtest.Instance) { r.addProcess(r.world.Restart(i)) }

// addProcess adds the configuration state of a new process.
func (r *gatewayRun) addProcess(i *simtest.Instance) *simtest.Instance {
	r.processes[i] = &gatewayProcess{run: r, instance: i, state: ingress.NewState()}
	return i
}

// readStore reads one part of the store, as a gateway does.
func (g *gatewayProcess) readStore(p refresh.Part) {
	if g.readsEnded {
		return
	}
	store, started := g.run.store, g.run.world.Loop.Now()
	if p == refresh.Config {
		readDelayed(store, g.instance, func() *ingress.Config { return store.config(g.instance) },
			func(c *ingress.Config, ok bool) {
				g.finishRead(p, started, ok, func() (uint64, bool) { return g.observeConfig(started, c) })
			})
		return
	}
	readDelayed(store, g.instance, store.upstreams, func(list []ingress.Upstream, ok bool) {
		g.finishRead(p, started, ok, func() (uint64, bool) { return g.observeUpstreams(started, list) })
	})
}

// finishRead processes the result of a read; while the process is paused, it waits.
func (g *gatewayProcess) finishRead(p refresh.Part, started time.Duration, ok bool, observe func() (uint64, bool)) {
	g.instance.RunInProcess(func() {
		done := node.StoreReadDone{Part: p, Started: started}
		if ok {
			done.Version, done.OK = observe()
		} else {
			g.readsEnded = g.readsEnded || g.run.mutant == "reads-end-at-failure"
		}
		g.instance.Deliver(done)
	})
}

func (g *gatewayProcess) observeConfig(started time.Duration, config *ingress.Config) (version uint64, ok bool) {
	if g.run.mutant == "oldest-wins" {
		g.state.Tracker = ingress.Tracker{}
	}
	version, changed, ok := g.state.ObserveConfig(started, config)
	g.publishIfChanged(changed)
	g.table, g.confirmation = g.state.Tracker.Table(), g.state.Tracker.Confirmation()
	return version, ok
}

func (g *gatewayProcess) observeUpstreams(started time.Duration, upstreams []ingress.Upstream) (digest uint64, ok bool) {
	if g.run.mutant == "lapsed-are-gone" {
		g.state.Registry = ingress.NewRegistry()
	}
	g.knowsServers = g.knowsServers || len(upstreams) > 0
	digest, changed := g.state.ObserveUpstreams(started, g.run.world.Loop.Now(), upstreams)
	g.publishIfChanged(changed)
	return digest, true
}

// onCopyConfirmed records that this process's copy of a part was the store's.
func (g *gatewayProcess) onCopyConfirmed(c node.CopyConfirmed) {
	if c.Part == refresh.Upstreams {
		changed, _ := g.state.ConfirmUpstreams(c.At, g.run.world.Loop.Now(), c.Version)
		g.publishIfChanged(changed)
		return
	}
	if g.state.Tracker.Confirm(c.At, c.Version) {
		g.confirmation = g.state.Tracker.Confirmation()
	}
}

// publishIfChanged puts the configuration and the servers in force if they changed.
func (g *gatewayProcess) publishIfChanged(changed bool) {
	if !changed {
		return
	}
	table := g.state.Tracker.Table()
	g.revision++
	limits := table.Config().Quotas(quotaTolerance)
	if g.run.mutant == "quota-whole-at-each" {
		for name, limit := range limits {
			limits[name] = quota.Limit{PerSecond: limit.PerSecond * gatewayNodes, Burst: limit.Burst * gatewayNodes}
		}
	}
	g.instance.Deliver(node.UseConfiguration{Set: ingress.Objects(g.revision, table.Config(), g.state.Registry.Upstreams()), Quotas: limits})
}

// bounds returns the bounds of the run, or those of a mutant.
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

// now returns the time that a gateway uses to evaluate requests. It advances
// while the process is paused, except for a mutant.
func (g *gatewayProcess) now() time.Duration {
	if g.run.mutant == "clock-without-pauses" {
		return g.run.world.Loop.Now() - g.pausedTime
	}
	return g.run.world.Loop.Now()
}

// confirmBeforeSend checks again, just before a request is sent, that a revocation
// of its key would be known by now.
func (r *gatewayRun) confirmBeforeSend(i *simtest.Instance, _ simtest.Spec) bool {
	return r.processes[i].confirmation.CoversRevocations(r.processes[i].now(), r.bounds())
}

// sendRequest sends a request to a gateway, which handles it once the process runs.
func (r *gatewayRun) sendRequest(i *simtest.Instance, key, path string) {
	if i == nil {
		return
	}
	sent := r.world.Loop.Now()
	i.RunInProcess(func() { r.handleRequest(sent, i, key, path) })
}

// handleRequest evaluates a request and submits it to the node if it is admitted.
func (r *gatewayRun) handleRequest(sent time.Duration, i *simtest.Instance, key, path string) {
	g := r.processes[i]
	a := arrival{sent: sent, evaluatedAt: r.world.Loop.Now(), instance: i, key: key, path: path, verdict: ingress.RouteUnconfirmed, knowsServers: g.knowsServers}
	if g.table != nil {
		admission := g.table.Admit(g.now(), g.confirmation, r.bounds(), host, path, key)
		a.verdict, a.version = admission.Verdict, g.table.Config().Version
		if a.verdict == ingress.Admitted {
			a.request = i.Submit(simtest.Spec{
				Kind:         ingress.KindName(admission.Route, ingress.PriorityOf(admission.Route, admission.Organisation)),
				Organisation: admission.Organisation.Name, Labels: map[string]string{ingress.LabelService: admission.Route.Backends[0].Service},
				Remaining: admission.Route.Timeout, QuotaCost: 1, MaxSends: uint32(admission.Route.MaxSends), Repeatable: true,
			})
		}
	}
	r.arrivals = append(r.arrivals, a)
}

// execute runs the workload until gatewayRunEnd.
func (r *gatewayRun) execute() {
	r.world.Loop.At(gatewayTrafficAt, func() {
		r.startRequests(20, steady, oldPath)
		r.startRequests(10, revoked, slowPath)
		r.startRequests(10, added, oldPath)
		r.startRequests(5, steady, newPath)
		r.startRequests(60, overQuota, oldPath)
		r.startRequests(6, underQuota, oldPath)
		r.startRequests(5, unknownKey, oldPath)
	})
	r.world.Loop.At(gatewayChangeAt, r.store.acknowledgeChange)
	r.world.Loop.RunUntil(gatewayRunEnd)
}

// startRequests sends requests as a Poisson process, each to a random gateway.
func (r *gatewayRun) startRequests(rate float64, key, path string) {
	if r.world.Loop.Now() >= gatewayTrafficEnd {
		return
	}
	r.sendRequest(r.randomGateway(), key, path)
	r.world.Loop.After(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() { r.startRequests(rate, key, path) })
}

func (r *gatewayRun) randomGateway() *simtest.Instance {
	live := r.world.Live()
	if len(live) == 0 {
		return nil
	}
	return live[r.random.IntN(len(live))]
}
