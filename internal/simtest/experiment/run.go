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

// Policy is a set of scheduling options to compare.
type Policy struct {
	Name string
	// IgnoreTiers schedules all kinds with the same priority.
	IgnoreTiers bool
	// MaxWaitFraction is the time that a request may wait for its dispatch, as a
	// fraction of its kind's goal.
	MaxWaitFraction float64
	// ToleranceInBurst adds the usable fraction of the quota's tolerance to the burst
	// of the quota instead of its rate.
	ToleranceInBurst bool
	// PromptSlowdown is that of node.UseConfiguration; 0 does not consider the slowdown.
	PromptSlowdown float64
}

// Base returns the policy that the gateway uses.
func Base() Policy { return Policy{Name: "base", MaxWaitFraction: 0.15, PromptSlowdown: 4} }

// Changes returns policies that each differ from Base in one option.
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
		change("long-waits", func(p *Policy) { p.MaxWaitFraction = 2.4 }),
		change("medium-waits", func(p *Policy) { p.MaxWaitFraction = 0.6 }),
		change("prompts-ignored", func(p *Policy) { p.PromptSlowdown = 0 }),
	}
}

// limits returns the quota limits of a configuration under the policy.
func (p Policy) limits(c *ingress.Config) map[string]quota.Limit {
	limits := c.Quotas(tolerance)
	if !p.ToleranceInBurst {
		return limits
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		// Quotas has added this much per tolerance window to the rate.
		widening := (limits[o.Name].PerSecond - o.QuotaPerSecond) * tolerance.Window.Seconds()
		limits[o.Name] = quota.Limit{PerSecond: o.QuotaPerSecond, Burst: o.QuotaBurst + widening}
	}
	return limits
}

// run is the simulation of one pattern under one policy.
type run struct {
	pattern Pattern
	policy  Policy
	world   *simtest.World
	random  *rand.Rand
	callers []*caller
}

// Run simulates a pattern under a policy. Equal seeds give the same arrivals under
// every policy.
func Run(pattern Pattern, policy Policy, seed uint64) Result {
	r := &run{pattern: pattern, policy: policy, world: simtest.NewWorld(seed), random: simtest.NewRand(seed, 8)}
	r.world.TokensPerEvent, r.world.EventsPerReport = tokensPerEvent, 1
	list := upstreams()
	for e := range list {
		r.world.AddEngine(engineConfig(e, list[e].Name()))
	}
	for n := range instances {
		r.world.Start(node.Config{
			Name: "n" + strconv.Itoa(n), PeerAddress: address(n), Seeds: []string{address(0), address(1)}, Region: "r", Cell: "c", FailureDomain: "d",
			ExternalConfig: true, Mutations: node.Mutations{IgnoreTiers: policy.IgnoreTiers},
			RepeatedSends: dispatch.SendBudget{Ratio: 0.2, Extra: 30, Window: 10 * time.Second},
		})
	}
	r.applyConfiguration(1, false)
	r.world.Loop.At(trafficStart+disturbanceAt, func() { r.applyConfiguration(2, true) })
	r.scheduleCrashes()
	routes := configuration(pattern, false).Routes
	for _, a := range drawArrivals(pattern, seed) {
		c := &caller{run: r, arrival: a, route: &routes[a.kind]}
		r.callers = append(r.callers, c)
		r.world.Loop.At(a.at, c.sendAttempt)
	}
	r.world.Loop.RunUntil(runDuration)
	return r.result()
}

func address(n int) string { return "10.0.0." + strconv.Itoa(n+1) + ":1" }

// applyConfiguration puts the configuration in force at all instances.
func (r *run) applyConfiguration(revision uint64, quotaLowered bool) {
	c := configuration(r.pattern, quotaLowered)
	first, gap := c.Targets()
	for _, i := range r.world.Instances {
		i.Deliver(node.UseConfiguration{
			TargetTTFT: first, TargetInterToken: gap, PromptSlowdown: r.policy.PromptSlowdown,
			Set: ingress.Objects(revision, c, upstreams()), Quotas: r.policy.limits(c),
		})
	}
}

// scheduleCrashes schedules the crash and the restart of the pattern's number of
// engines, the fast ones first.
func (r *run) scheduleCrashes() {
	list := upstreams()
	for n := range r.pattern.crashed {
		engine := r.world.Engines[list[n*len(slowness)%engines+n/(engines/len(slowness))].Name()]
		r.world.Loop.At(trafficStart+disturbanceAt, engine.Kill)
		r.world.Loop.At(trafficStart+disturbanceAt+r.pattern.crashDuration, engine.Restart)
	}
}

func (r *run) anyInstance() *simtest.Instance {
	return r.world.Instances[r.random.IntN(len(r.world.Instances))]
}
