package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/quota"
)

// Policy is what is compared.
type Policy struct {
	Name string
	// IgnoreTiers serves all kinds alike.
	IgnoreTiers bool
	// StartShare is the part of a kind's goal that a request may wait.
	StartShare float64
	// ToleranceInBurst adds the used part of the quota's tolerance to the burst.
	ToleranceInBurst bool
	// PromptSlowdown is that of node.UseConfiguration; 0 does not consider it.
	PromptSlowdown float64
}

// Base is the policy of the gateway.
func Base() Policy { return Policy{Name: "base", StartShare: 0.15, PromptSlowdown: 4} }

// Changes returns policies that differ from Base in one thing each.
func Changes() []Policy {
	change := func(name string, f func(*Policy)) Policy {
		p := Base()
		p.Name = name
		f(&p)
		return p
	}
	return []Policy{
		change("no-tiers", func(p *Policy) { p.IgnoreTiers = true }),
		change("tolerance-in-burst", func(p *Policy) { p.ToleranceInBurst = true }),
		change("long-waits", func(p *Policy) { p.StartShare = 2.4 }),
		change("medium-waits", func(p *Policy) { p.StartShare = 0.6 }),
		change("prompts-ignored", func(p *Policy) { p.PromptSlowdown = 0 }),
	}
}

// limits returns the quotas of a configuration.
func (p Policy) limits(c *ingress.Config) map[string]quota.Limit {
	limits := c.Quotas(tolerance)
	if !p.ToleranceInBurst {
		return limits
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		used := (limits[o.Name].PerSecond - o.QuotaPerSecond) * tolerance.Window.Seconds()
		limits[o.Name] = quota.Limit{PerSecond: o.QuotaPerSecond, Burst: o.QuotaBurst + used}
	}
	return limits
}

// run is one pattern under one policy.
type run struct {
	pattern Pattern
	policy  Policy
	world   *simtest.World
	random  *rand.Rand
	callers []*caller
}

// Run plays a pattern under a policy. Equal seeds draw the same work.
func Run(pattern Pattern, policy Policy, seed uint64) Result {
	r := &run{pattern: pattern, policy: policy, world: simtest.NewWorld(seed), random: simtest.NewRand(seed, 8)}
	r.world.TokensPerEvent, r.world.TokenReport = tokensPerEvent, 1
	list := upstreams()
	for e := range list {
		r.world.AddEngine(engineConfig(e, list[e].Name()))
	}
	for n := range instances {
		r.world.Start(node.Config{
			Name: "n" + strconv.Itoa(n), PeerAddress: address(n), Seeds: []string{address(0), address(1)}, Region: "r", Cell: "c", FailureDomain: "d",
			ExternalConfig: true, Mutations: node.Mutations{IgnoreTiers: policy.IgnoreTiers},
			Sends: dispatch.SendBudget{Ratio: 0.2, Extra: 30, Window: 10 * time.Second},
		})
	}
	r.use(1, false)
	r.world.Loop.At(trafficFrom+eventAt, func() { r.use(2, true) })
	r.crash()
	routes := config(pattern, false).Routes
	for _, w := range draw(pattern, seed) {
		c := &caller{run: r, work: w, route: &routes[w.kind]}
		r.callers = append(r.callers, c)
		r.world.Loop.At(w.at, c.send)
	}
	r.world.Loop.RunUntil(runFor)
	return r.result()
}

func address(n int) string { return "10.0.0." + strconv.Itoa(n+1) + ":1" }

// use puts the configuration in force at all instances.
func (r *run) use(revision uint64, lowered bool) {
	c := config(r.pattern, lowered)
	first, gap := c.Targets()
	for _, i := range r.world.Instances {
		i.Deliver(node.UseConfiguration{
			TargetTTFT: first, TargetInterToken: gap, PromptSlowdown: r.policy.PromptSlowdown,
			Set: ingress.Objects(revision, c, upstreams()), Quotas: r.policy.limits(c),
		})
	}
}

// crash takes engines away and back, the fast ones first.
func (r *run) crash() {
	list := upstreams()
	for n := range r.pattern.crashed {
		engine := r.world.Engines[list[n*len(slowness)%engines+n/(engines/len(slowness))].Name()]
		r.world.Loop.At(trafficFrom+eventAt, engine.Kill)
		r.world.Loop.At(trafficFrom+eventAt+r.pattern.crashFor, engine.Restart)
	}
}

func (r *run) anyInstance() *simtest.Instance {
	return r.world.Instances[r.random.IntN(len(r.world.Instances))]
}
