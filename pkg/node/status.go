package node

import (
	"slices"
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

// PoolSummary describes one pool as seen from this instance.
type PoolSummary struct {
	Pool routing.PoolID
	// Owner is the incarnation of the pool's owner in this instance's view.
	Owner Incarnation
	// Hosted is true if this instance schedules the pool; Local if it does so
	// with a fixed share because the owner cannot be reached.
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
	switch {
	case n.drain.started || n.view.Self().Leaving:
		return "this instance is stopping"
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
// instance, and the time for which it may be used.
func (n *Node) IssueTicket(now time.Duration) (ticket string, ttl time.Duration) {
	return n.home.Issue(max(now, n.now))
}

// Discovery returns the addresses of instances that callers may use, without
// leaving ones: this instance's failure domain first, others after it.
func (n *Node) Discovery() []string {
	members := slices.DeleteFunc(n.view.Members(), func(m membership.Member) bool {
		return m.State != membership.Alive || m.Leaving || m.Cell != n.cfg.Cell || m.CallerAddress == ""
	})
	slices.SortStableFunc(members, func(a, b membership.Member) int {
		return distance(a, n.cfg.FailureDomain) - distance(b, n.cfg.FailureDomain)
	})
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.CallerAddress)
	}
	return addresses
}

func distance(m membership.Member, failureDomain string) int {
	if m.FailureDomain == failureDomain {
		return 0
	}
	return 1
}

func (n *Node) upstreamSpec(name string) *pb.UpstreamSpec {
	if n.set == nil {
		return nil
	}
	return n.set.Upstreams[name].GetUpstream()
}
