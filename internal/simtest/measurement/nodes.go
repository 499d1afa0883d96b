package measurement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// nodeStartup is the time for the nodes to join each other before the load starts.
	nodeStartup = 5 * time.Second
	// storeOutageTime is how long the store is unavailable in the store-outage scenario.
	storeOutageTime = 25 * time.Second
	modelName       = "model"
)

// nodeResult holds the figures of complete nodes in one scenario.
type nodeResult struct {
	Result
	frameBytesPerNode float64
}

// measureNodes runs the arrivals of a scenario through complete nodes, including
// routing, membership, ownership, messages, retries and the store.
func measureNodes(d deployment, s Scenario, seed uint64) nodeResult {
	w := simtest.NewWorld(seed)
	w.Delay = d.crossDelay
	for _, config := range d.engines {
		config.LoadInterval = 0
		w.AddEngine(config)
	}
	for _, config := range d.services {
		w.AddService(config)
	}
	objects := configObjects(d)
	for n := range d.entries {
		w.Start(node.Config{
			Name: fmt.Sprintf("n%d", n), PeerAddress: nodeAddress(n), FailureDomain: fmt.Sprintf("fd%d", n%d.domains),
			Region: "r1", Seeds: []string{nodeAddress(0), nodeAddress(1)}, Bootstrap: configstate.NewSet(1, objects),
		})
	}
	r := &nodeRun{d: d, world: w, load: arrivals(d, s, seed)}
	r.scheduleFaults(s)
	w.Loop.At(nodeStartup, func() { r.scheduleArrival(0) })
	w.Loop.RunUntil(nodeStartup + measureTo)
	bytes := float64(w.FrameBytes) / float64(d.entries) / (nodeStartup + measureTo).Seconds()
	w.Loop.RunUntil(nodeStartup + runUntil)
	return nodeResult{r.result(), bytes}
}

func nodeAddress(n int) string { return fmt.Sprintf("10.0.0.%d:1", n+1) }

type nodeRun struct {
	d        deployment
	world    *simtest.World
	load     []arrival
	requests []*simtest.Request
	arrived  []arrival
}

func (r *nodeRun) scheduleArrival(i int) {
	if i == len(r.load) {
		return
	}
	a := r.load[i]
	r.world.Loop.At(nodeStartup+a.at+r.d.clientDelay, func() {
		r.submit(a)
		r.scheduleArrival(i + 1)
	})
}

func (r *nodeRun) submit(a arrival) {
	instance := r.world.Instances[a.entry]
	for !instance.Alive {
		a.entry = (a.entry + 1) % r.d.entries
		instance = r.world.Instances[a.entry]
	}
	spec := r.d.kinds[a.kind]
	request := simtest.Spec{
		Kind: spec.name, Organisation: fmt.Sprintf("org%d", a.org), Tier: int(spec.tier),
		Prompt: a.prompt, Output: a.output, Remaining: spec.deadline - 2*r.d.clientDelay,
	}
	if !spec.service {
		request.Model = modelName
	}
	r.requests = append(r.requests, instance.Submit(request))
	r.arrived = append(r.arrived, a)
}

func (r *nodeRun) scheduleFaults(s Scenario) {
	w := r.world
	at := nodeStartup + faultAt
	engine := w.Engines[r.d.engines[faultyEngine].Name]
	if s.straggler {
		w.Loop.At(at, func() { engine.SetSlowdown(stragglerSlowdown) })
	}
	if s.engineDeath {
		w.Loop.At(at, engine.Kill)
		w.Loop.At(at+engineDown, engine.Restart)
	}
	if s.storeOutage {
		w.Loop.At(at, func() { w.Platform.SetOutage(true) })
		w.Loop.At(at+storeOutageTime, func() { w.Platform.SetOutage(false) })
	}
	if s.ownerDeath {
		w.Loop.At(at, func() { w.Kill(r.ownerOfEngines()) })
	}
}

// ownerOfEngines returns the instance that owns the pool with the engines, the
// first instance if there is none.
func (r *nodeRun) ownerOfEngines() *simtest.Instance {
	for _, instance := range r.world.Instances {
		for _, pool := range instance.Node.PoolSummaries() {
			if pool.Hosted && !pool.Local && len(pool.Scheduler.Upstreams) >= engineCount {
				return instance
			}
		}
	}
	return r.world.Instances[0]
}

// result counts the outcomes that callers saw. Without a prefix cache, the
// prefill that was not wasted is that of the answered requests.
func (r *nodeRun) result() Result {
	result := Result{Good: make([]int, len(r.d.kinds)), Arrived: make([]int, len(r.d.kinds))}
	for tier := range result.GoodByOrg {
		result.GoodByOrg[tier] = make([]int, len(r.d.orgFractions))
	}
	var useful uint64
	for i, request := range r.requests {
		a := r.arrived[i]
		good := request.Outcome == simtest.OutcomeAnswered
		if good {
			useful += uint64(request.Spec.Prompt)
		}
		if a.at < measureFrom || a.at >= measureTo {
			continue
		}
		result.Arrived[a.kind]++
		if good {
			result.Good[a.kind]++
			if spec := r.d.kinds[a.kind]; !spec.service {
				result.GoodByOrg[spec.tier][a.org]++
			}
		}
	}
	for _, engine := range r.world.Engines {
		result.PrefillDone += engine.PrefillDone
	}
	result.PrefillWasted = result.PrefillDone - min(useful, result.PrefillDone)
	result.Violations, result.Sheds = r.countViolations()
	return result
}

// waitSpan is the time from a request's submission to the grant that its entry
// carried out.
type waitSpan struct{ from, to time.Duration }

// dispatchedWork holds the waiting times of the dispatched requests of one tier
// and class, in the order of submission. latestEnd is the running maximum of
// their ends.
type dispatchedWork struct {
	spans     []waitSpan
	latestEnd []time.Duration
}

// covers reports whether a request was submitted before from and granted after to.
func (w *dispatchedWork) covers(from, to time.Duration) bool {
	n, _ := slices.BinarySearchFunc(w.spans, from, func(s waitSpan, t time.Duration) int { return cmp.Compare(s.from, t) })
	return n > 0 && w.latestEnd[n-1] > to
}

// countViolations counts in the trace how often a request was shed while a lower
// tier was kept: lower-tier work for a shared upstream either waited at that
// moment at any instance and was dispatched later, or was granted there while the
// shed request waited at the owner. A decision takes one message delay to its
// entry, and a submission one to the owner; within these delays no instance can
// know the order of events, so they are excluded.
func (r *nodeRun) countViolations() (violations, sheds int) {
	delay := r.world.Delay
	var dispatched [3][]dispatchedWork
	for tier := range dispatched {
		dispatched[tier] = make([]dispatchedWork, len(r.d.classes))
	}
	grants := make([][3][]time.Duration, len(r.d.engines)+len(r.d.services))
	for i, request := range r.requests {
		if len(request.Dispatches) == 0 {
			continue
		}
		spec := r.d.kinds[r.arrived[i].kind]
		granted := request.Dispatches[0].At - delay
		work := &dispatched[spec.tier][spec.class]
		work.spans = append(work.spans, waitSpan{request.Submitted, granted})
		work.latestEnd = append(work.latestEnd, granted)
		if n := len(work.latestEnd); n > 1 {
			work.latestEnd[n-1] = max(work.latestEnd[n-1], work.latestEnd[n-2])
		}
		list := &grants[r.upstreamNumber(request.Dispatches[0].Upstream)][spec.tier]
		*list = append(*list, granted)
	}
	for u := range grants {
		for tier := range grants[u] {
			slices.Sort(grants[u][tier])
		}
	}
	o := newObserver(r.d)
	for i, request := range r.requests {
		if len(request.Dispatches) > 0 || request.Code != "shed_overload" && request.Code != "expired_waiting" {
			continue
		}
		sheds++
		spec := r.d.kinds[r.arrived[i].kind]
		if r.lowerTierWaited(o, spec, dispatched, request.Ended-delay, request.Ended) ||
			r.lowerTierGranted(spec, grants, request.Submitted+delay, request.Ended-delay) {
			violations++
		}
	}
	return violations, sheds
}

func (r *nodeRun) upstreamNumber(name string) int {
	for i, config := range r.d.engines {
		if config.Name == name {
			return i
		}
	}
	for i, config := range r.d.services {
		if config.Name == name {
			return len(r.d.engines) + i
		}
	}
	panic("unknown upstream " + name)
}

func (r *nodeRun) lowerTierWaited(o *observer, spec kindSpec, dispatched [3][]dispatchedWork, from, to time.Duration) bool {
	for tier := int(spec.tier) + 1; tier < len(dispatched); tier++ {
		for class := range dispatched[tier] {
			if o.overlaps[spec.class][class] && dispatched[tier][class].covers(from, to) {
				return true
			}
		}
	}
	return false
}

func (r *nodeRun) lowerTierGranted(spec kindSpec, grants [][3][]time.Duration, from, to time.Duration) bool {
	for _, u := range r.d.classes[spec.class] {
		for tier := int(spec.tier) + 1; tier < 3; tier++ {
			n, _ := slices.BinarySearch(grants[u][tier], from+1)
			if n < len(grants[u][tier]) && grants[u][tier][n] < to {
				return true
			}
		}
	}
	return false
}

// configObjects returns a deployment as configuration objects: one route for each
// class, which selects its upstreams by a label.
func configObjects(d deployment) []*pb.Object {
	var objects []*pb.Object
	add := func(kind, name string, labels map[string]string) *pb.Object {
		o := &pb.Object{Meta: &pb.ObjectMeta{Kind: kind, Name: name, Labels: labels}}
		objects = append(objects, o)
		return o
	}
	for tier := range uint32(3) {
		add(configstate.KindTier, fmt.Sprintf("tier%d", tier), nil).Spec =
			&pb.Object_Tier{Tier: &pb.TierSpec{Rank: tier, DefaultDeadlineMs: 10_000}}
	}
	for i := range d.orgFractions {
		add(configstate.KindOrganisation, fmt.Sprintf("org%d", i), nil).Spec =
			&pb.Object_Organisation{Organisation: &pb.OrganisationSpec{}}
	}
	kindsOf := make([][]string, len(d.classes))
	for _, spec := range d.kinds {
		kindsOf[spec.class] = append(kindsOf[spec.class], spec.name)
		add(configstate.KindRequestKind, spec.name, nil).Spec = &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{
			Tier: fmt.Sprintf("tier%d", spec.tier), ModelCall: !spec.service, MaxOutputTokens: maxOutput,
		}}
	}
	for class := range d.classes {
		add(configstate.KindRoute, fmt.Sprintf("route%d", class), nil).Spec = &pb.Object_Route{Route: &pb.RouteSpec{
			Order: uint32(class), Requests: "kind in (" + strings.Join(kindsOf[class], ",") + ")",
			Upstreams: fmt.Sprintf("class%d=yes", class),
		}}
	}
	labelsOf := func(upstream int) map[string]string {
		labels := map[string]string{}
		for class, members := range d.classes {
			if slices.Contains(members, uint32(upstream)) {
				labels[fmt.Sprintf("class%d", class)] = "yes"
			}
		}
		return labels
	}
	for i, config := range d.engines {
		add(configstate.KindUpstream, config.Name, labelsOf(i)).Spec = &pb.Object_Upstream{Upstream: &pb.UpstreamSpec{
			Address: fmt.Sprintf("10.1.0.%d:80", i+1), Type: "engine", Models: []string{modelName},
			Concurrency: startConcurrency, MaxConcurrency: maxConcurrency,
		}}
	}
	for i, config := range d.services {
		add(configstate.KindUpstream, config.Name, labelsOf(len(d.engines)+i)).Spec = &pb.Object_Upstream{Upstream: &pb.UpstreamSpec{
			Address: fmt.Sprintf("10.1.1.%d:80", i+1), Type: "service", Concurrency: uint32(config.Concurrency),
		}}
	}
	return objects
}
