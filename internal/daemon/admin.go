package daemon

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/citrongate/citrongate/internal/adminapi"
	"github.com/citrongate/citrongate/internal/adminwire"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/routing"
)

// changeTimeout bounds the wait for the result of a configuration change. The
// node's own time limit for a change is shorter.
const changeTimeout = 30 * time.Second

// orderTimeout bounds the wait for the result of an order. Before the order is
// sent, taking over a lease that another instance holds lasts one lease duration, 20 s.
const orderTimeout = 60 * time.Second

// adminBackend performs the operations of the operator API.
type adminBackend struct{ d *Daemon }

// Apply submits a configuration change to the node and waits for its result. It
// returns false if there is none in time.
func (b adminBackend) Apply(ctx context.Context, change adminapi.Change) (adminapi.ChangeResult, bool) {
	ctx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()
	id, result := b.d.pendingChanges.register()
	defer b.d.pendingChanges.remove(id)
	if !b.d.loop.Post(node.ApplyChange{Change: id, Puts: change.Puts, Deletes: change.Deletes, Conditional: change.Conditional, DryRun: change.DryRun}) {
		return adminapi.ChangeResult{}, false
	}
	done, ok := waitFor(ctx, result)
	return adminapi.ChangeResult{Accepted: done.Accepted, Revision: done.Revision, Code: done.Code, Problems: done.Problems}, ok
}

// Order submits an order for an upstream to the node and waits for its result. It
// returns false if there is none in time.
func (b adminBackend) Order(ctx context.Context, order adminwire.Order) (node.OrderStatus, bool) {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	id, result := b.d.pendingOrders.register()
	defer b.d.pendingOrders.remove(id)
	if !b.d.loop.Post(node.OrderUpstream{Order: id, Upstream: order.Upstream, Verb: order.Verb, Argument: order.Argument}) {
		return node.OrderNotSent, true
	}
	done, ok := waitFor(ctx, result)
	return done.Status, ok
}

// Set returns the configuration in force, nil if there is none.
func (b adminBackend) Set() *configstate.Set { return b.d.config.Load() }

// Drain starts a planned stop.
func (b adminBackend) Drain() { b.d.Drain() }

// NotReady returns the reason why this instance should receive no requests, empty if it is ready.
func (b adminBackend) NotReady() string { return *b.d.notReady.Load() }

// Status reports the state of this instance and its view of its peers.
func (b adminBackend) Status(ctx context.Context) (adminwire.Status, bool) {
	ctx, stop := context.WithTimeout(ctx, queryTimeout)
	defer stop()
	d := b.d
	s := adminwire.Status{
		Name: d.settings.GetInstance().GetName(), Incarnation: d.identity.String(),
		FailureDomain: d.settings.GetInstance().GetFailureDomain(), Cell: d.settings.GetInstance().GetCell(),
		StoreAvailable: d.storeStatus.available(),
	}
	var pools []node.PoolSummary
	leaving := map[string]bool{}
	ok := d.loop.Query(ctx, func(time.Duration) {
		m := d.loop.Machine
		s.NotReadyReason = m.NotReadyReason()
		s.Ready, s.Draining = s.NotReadyReason == "", m.Leaving()
		if set := m.ConfigSet(); set != nil {
			s.ConfigRevision = set.Revision
			for name := range set.Upstreams {
				leaving[name] = m.UpstreamLeaving(name)
			}
		}
		s.Instances = instanceStatuses(m.Members())
		pools = m.PoolSummaries()
	})
	s.Tiers, s.Upstreams = summarise(pools)
	s.Upstreams = mergeLeavingAndUnowned(s.Upstreams, leaving)
	s.Counters = d.counters()
	return s, ok
}

func instanceStatuses(members []membership.Member) []adminwire.InstanceStatus {
	out := make([]adminwire.InstanceStatus, 0, len(members))
	for _, m := range members {
		state := m.State.String()
		if m.Leaving {
			state = "leaving"
		}
		out = append(out, adminwire.InstanceStatus{
			Incarnation: nodeloop.IncarnationText(node.Incarnation(m.Incarnation)), State: state, CallerAddress: m.CallerAddress,
			AdminAddress: m.AdminAddress, FailureDomain: m.FailureDomain, ConfigRevision: m.ConfigRevision,
		})
	}
	return out
}

// summarise sums the pools that this instance schedules by tier and lists their upstreams.
func summarise(pools []node.PoolSummary) ([]adminwire.TierStatus, []adminwire.UpstreamStatus) {
	tiers := []adminwire.TierStatus{}
	upstreams := []adminwire.UpstreamStatus{}
	for _, p := range pools {
		for rank, t := range p.Scheduler.Tiers {
			if t.Waiting+t.InFlight > 0 {
				tiers = addTier(tiers, adminwire.TierStatus{Tier: rank, Waiting: t.Waiting, InFlight: t.InFlight})
			}
		}
		for _, u := range p.Scheduler.Upstreams {
			upstreams = append(upstreams, adminwire.UpstreamStatus{
				Name: u.Name, State: "live", Limit: u.Limit, InFlight: u.InFlight, TTFTMs: milliseconds(u.TTFT),
				InterTokenMs: milliseconds(u.InterToken), Straggler: u.Straggler,
			})
		}
	}
	slices.SortFunc(tiers, func(a, b adminwire.TierStatus) int { return cmp.Compare(a.Tier, b.Tier) })
	slices.SortFunc(upstreams, func(a, b adminwire.UpstreamStatus) int { return cmp.Compare(a.Name, b.Name) })
	return tiers, upstreams
}

func addTier(tiers []adminwire.TierStatus, add adminwire.TierStatus) []adminwire.TierStatus {
	for i := range tiers {
		if tiers[i].Tier == add.Tier {
			tiers[i].Waiting += add.Waiting
			tiers[i].InFlight += add.InFlight
			return tiers
		}
	}
	return append(tiers, add)
}

// mergeLeavingAndUnowned marks leaving upstreams and adds the upstreams of pools
// that another instance owns. leaving holds all upstreams of the configuration;
// it is modified.
func mergeLeavingAndUnowned(upstreams []adminwire.UpstreamStatus, leaving map[string]bool) []adminwire.UpstreamStatus {
	for i := range upstreams {
		if leaving[upstreams[i].Name] {
			upstreams[i].State = "leaving"
		}
		delete(leaving, upstreams[i].Name)
	}
	for name, isLeaving := range leaving {
		state := "scheduled_elsewhere"
		if isLeaving {
			state = "leaving"
		}
		upstreams = append(upstreams, adminwire.UpstreamStatus{Name: name, State: state})
	}
	slices.SortFunc(upstreams, func(a, b adminwire.UpstreamStatus) int { return cmp.Compare(a.Name, b.Name) })
	return upstreams
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func tierName(rank int) string { return strconv.Itoa(rank) }

func (d *Daemon) counters() []adminwire.CounterStatus {
	out := []adminwire.CounterStatus{}
	for _, c := range d.metrics.Counters() {
		out = append(out, adminwire.CounterStatus{Name: c.Name, Reason: c.Reason, Value: c.Value})
	}
	return out
}

// Explain reports how a request would be routed and why.
func (b adminBackend) Explain(ctx context.Context, r routing.Request) (adminwire.Explanation, bool) {
	ctx, stop := context.WithTimeout(ctx, queryTimeout)
	defer stop()
	var explanation routing.Explanation
	owner := ""
	ok := b.d.loop.Query(ctx, func(time.Duration) {
		explanation = b.d.loop.Machine.Explain(r)
		for _, p := range b.d.loop.Machine.PoolSummaries() {
			if explanation.Err == nil && p.Pool == explanation.Target.Pool {
				owner = nodeloop.IncarnationText(p.Owner)
			}
		}
	})
	return operatorExplanation(explanation, owner), ok
}

// operatorExplanation converts an explanation to the form of the operator API.
func operatorExplanation(explanation routing.Explanation, owner string) adminwire.Explanation {
	out := adminwire.Explanation{Tier: explanation.Tier, Owner: owner, Upstreams: []adminwire.ExplainedUpstream{}, Steps: []string{}}
	for _, r := range explanation.Routes {
		switch {
		case r.Chosen:
			out.Steps = append(out.Steps, fmt.Sprintf("route %s (order %d): chosen, it is the first that matches", r.Route, r.Order))
		case r.Failed != "":
			out.Steps = append(out.Steps, fmt.Sprintf("route %s (order %d): no match, %s", r.Route, r.Order, r.Failed))
		default:
			out.Steps = append(out.Steps, fmt.Sprintf("route %s (order %d): matches, but an earlier route was chosen", r.Route, r.Order))
		}
	}
	for _, u := range explanation.Upstreams {
		why := "all requirements hold"
		if u.Failed != "" {
			why = string(u.Failed)
		}
		out.Upstreams = append(out.Upstreams, adminwire.ExplainedUpstream{Name: u.Upstream, Eligible: u.Failed == "", Why: why})
	}
	if explanation.Err != nil {
		out.Steps = append(out.Steps, explanation.Err.Error())
		return out
	}
	out.Route, out.Pool = explanation.Target.Route, fmt.Sprintf("%016x", uint64(explanation.Target.Pool))
	return out
}
