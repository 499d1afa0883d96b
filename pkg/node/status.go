package node

import (
	"math/rand/v2"
	"time"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/scheduler"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// The methods of this file read the node's state. Like Step they must be called
// by the goroutine that owns the node; what they return is a copy or immutable.

// Members returns the known instances: this one first, then the cell, then
// contacts in other cells.
func (n *Node) Members() []membership.Member { return n.view.Members() }

// LimitSharers returns the number of instances that a limit is divided among, as far
// as this one knows.
func (n *Node) LimitSharers() int { return n.view.LimitSharers(n.now) }

// InstanceListRead reports whether this process has read the platform's list of
// instances.
func (n *Node) InstanceListRead() bool { return n.view.ListRead() }

// PoolSummary describes one pool as seen from this instance.
type PoolSummary struct {
	Pool routing.PoolID
	// Owner is the incarnation of the pool's owner in this instance's view.
	Owner Incarnation
	// Hosted is true if this instance schedules the pool; Local if it does so
	// with a fixed share of the limits because the owner cannot be reached.
	Hosted, Local bool
	// Waiting is the number of this instance's own requests that wait.
	Waiting int
	// Scheduler is the zero value unless Hosted.
	Scheduler scheduler.Summary
}

// PoolSummaries describes all pools of the configuration, ordered by id.
func (n *Node) PoolSummaries() []PoolSummary {
	if n.routes == nil {
		return nil
	}
	var out []PoolSummary
	for _, def := range n.routes.Pools() {
		s := PoolSummary{Pool: def.ID, Owner: Incarnation(n.ownership.owners[def.ID]), Waiting: n.table.Waiting(uint64(def.ID))}
		h := n.pools.get(def.ID, false)
		if local := n.pools.get(def.ID, true); h == nil && local != nil {
			h, s.Local = local, true
		}
		if h != nil {
			s.Hosted, s.Scheduler = true, h.sched.Summary()
		}
		out = append(out, s)
	}
	return out
}

// ConfigSet returns the configuration in force, or nil before the first.
func (n *Node) ConfigSet() *configstate.Set { return n.set }

// Routes returns the compiled routes of the configuration in force, or nil. The
// table is safe for concurrent use.
func (n *Node) Routes() *routing.Table { return n.routes }

// Ready reports whether callers should be sent to this instance.
func (n *Node) Ready() bool { return n.NotReadyReason() == "" }

// NotReadyReason says why the instance is not ready; empty if it is.
func (n *Node) NotReadyReason() string {
	if n.Leaving() {
		return "this instance is stopping"
	}
	return n.startingReason()
}

// startingReason says why the instance cannot serve requests yet; empty if it
// can. A stopping instance still can.
func (n *Node) startingReason() string {
	switch {
	case n.set == nil:
		return "no configuration has been received from peers or the platform yet"
	case !n.view.Settled(n.now):
		return "the other instances of the cell have not answered yet"
	}
	return ""
}

// Leaving reports whether this instance is stopping.
func (n *Node) Leaving() bool { return n.drain.started || n.view.Self().Leaving }

// Explain says how a request would be routed and why.
func (n *Node) Explain(r routing.Request) routing.Explanation {
	if n.routes == nil {
		return routing.Explanation{}
	}
	return n.routes.Explain(r)
}

// UpstreamLeaving reports whether an upstream receives no new work.
func (n *Node) UpstreamLeaving(name string) bool { return n.view.UpstreamLeaving(name) }

// IssueTicket returns a ticket for idempotency keys whose home is this
// instance, and the time for which it may be used. The ticket is empty while
// the instance is not ready, since it could not run the keys, or not for long.
func (n *Node) IssueTicket(now time.Duration) (ticket string, ttl time.Duration) {
	n.now = max(now, n.now)
	if !n.Ready() {
		return "", 0
	}
	return n.home.Issue(n.now)
}

// addressesPerGroup is the number of addresses from this instance's failure domain,
// and likewise from all other failure domains, in a discovery answer.
const addressesPerGroup = 4

// Discovery returns the addresses of instances that callers may use, without
// leaving ones: some of this instance's failure domain first, then some of the
// others, in an order that changes from call to call to spread the callers.
func (n *Node) Discovery() []string {
	var sameDomain, otherDomains []string
	for _, m := range n.view.Members() {
		switch {
		case m.State != membership.Alive || m.Leaving || m.Cell != n.cfg.Cell || m.CallerAddress == "":
		case m.FailureDomain == n.cfg.FailureDomain:
			sameDomain = append(sameDomain, m.CallerAddress)
		default:
			otherDomains = append(otherDomains, m.CallerAddress)
		}
	}
	// A read must not change the effects of later events, so the order is drawn
	// from the seed and the time, not from the node's random source.
	random := rand.New(rand.NewPCG(n.seed, uint64(n.now)))
	return append(sampleAddresses(random, sameDomain), sampleAddresses(random, otherDomains)...)
}

func sampleAddresses(random *rand.Rand, addresses []string) []string {
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(addressesPerGroup, len(addresses))]
}

func (n *Node) upstreamSpec(name string) *pb.UpstreamSpec {
	if n.set == nil {
		return nil
	}
	return n.set.Upstreams[name].GetUpstream()
}
