package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/rollout"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// rolloutBounds returns the bounds on rollouts from the settings; the zero value, with which
// orders are not read, if rollouts are off.
func rolloutBounds(gateway *pb.GatewaySettings) rollout.Bounds {
	if gateway.GetRolloutExposeShare() <= 0 {
		return rollout.Bounds{}
	}
	return rollout.Bounds{ExposeShare: gateway.GetRolloutExposeShare(), ExposeSlack: gateway.GetRolloutExposeSlack(),
		Rollback: settings.Duration(gateway.GetRolloutRollback())}
}

// readListing reads the upstreams and then the orders of rollouts. A failure of either is one
// of the whole read: upstreams of a new version must not be used without their order.
func (g *Gateway) readListing(ctx context.Context) (l ingress.Listing, err error) {
	var faults []error
	l.Upstreams, faults, err = g.store.Upstreams(ctx)
	g.countStoreCall("upstreams", err)
	g.logFaults(&g.config.faultsLoggedAt, "upstreams", faults)
	if err != nil || !g.rollouts.Enabled() {
		return l, err
	}
	if !g.orders.due(l.Upstreams) {
		l.Orders = g.orders.last()
		return l, nil
	}
	l.Orders, faults, err = g.store.Rollouts(ctx)
	g.countStoreCall("rollouts", err)
	if err != nil {
		return l, err
	}
	g.logRefusedOrders(l.Orders.Refused, faults)
	if l.Orders.Unfinished() {
		g.readCommands(ctx, &l.Orders)
	}
	g.orders.read(l)
	return l, nil
}

// orderReads is ingress.OrderReads for concurrent use.
type orderReads struct {
	mu    sync.Mutex
	reads ingress.OrderReads
}

func (o *orderReads) due(upstreams []ingress.Upstream) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reads.Due(boottime.Now(), upstreams)
}

func (o *orderReads) read(l ingress.Listing) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads.Read(boottime.Now(), l.Upstreams, l.Orders)
}

func (o *orderReads) last() ingress.Orders {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reads.Orders()
}

// readCommands adds the operators' commands to orders. If they can not be read,
// those of the last successful read stay in force.
func (g *Gateway) readCommands(ctx context.Context, orders *ingress.Orders) {
	commands, faults, err := g.store.RolloutCommands(ctx, true)
	g.countStoreCall("rollout_commands", err)
	g.logFaults(&g.commandFaultsLoggedAt, "rollout commands", faults)
	if err == nil {
		g.commands.Store(&commands)
	}
	if known := g.commands.Load(); known != nil {
		orders.SetCommands(*known)
	}
}

// logRefusedOrders logs and counts the orders that can not be read, once for each change.
func (g *Gateway) logRefusedOrders(refused []ingress.RefusedOrder, faults []error) {
	g.logFaults(&g.orderFaultsLoggedAt, "rollouts", faults)
	next := map[string]bool{}
	for _, r := range refused {
		next[r.Service] = true
	}
	previous := g.refusedOrders.Swap(&next)
	for _, r := range refused {
		if previous != nil && (*previous)[r.Service] {
			continue
		}
		g.log.Write(eventlog.RolloutRefused{Service: r.Service, Error: r.Reason})
		g.metrics.Count("rollouts", "refused")
	}
}

// rolloutOrders returns the orders in force for the node, at the given boot time.
func rolloutOrders(now time.Duration, all []ingress.ServiceRollout) (orders []node.RolloutOrder) {
	for _, r := range all {
		orders = append(orders, node.RolloutOrder{Order: r.Order, Record: r.Record, Command: r.Command,
			Age: now - r.Since, Current: r.Current, Target: r.Target})
	}
	return orders
}

// publishRollouts makes the orders in force visible to the writes and gauges.
func (c *configState) publishRollouts() {
	all := c.state.Rollouts()
	c.rollouts.Store(&all)
}

// rolloutOf returns the order in force for a service; false if there is none with this identity.
func (c *configState) rolloutOf(service string, order uint64) (rollout.Order, bool) {
	if all := c.rollouts.Load(); all != nil {
		for _, r := range *all {
			if r.Order.Service == service && r.Order.ID == order {
				return r.Order, true
			}
		}
	}
	return rollout.Order{}, false
}

var errOrderGone = errors.New("the order is no longer in the store")

// writeRollout writes the record of an order to the store.
func (g *Gateway) writeRollout(service string, record rollout.Record) {
	result, err := rollout.WriteResult{Outcome: rollout.Failed}, errOrderGone
	if order, ok := g.config.rolloutOf(service, record.Order); ok {
		result, err = g.store.WriteRollout(g.ctx, order, record)
		g.countStoreCall("rollout_write", err)
	}
	g.metrics.Count("rollout_writes", writeOutcomes[result.Outcome])
	if err != nil {
		g.log.Write(eventlog.RolloutNotWritten{Service: service, Order: strconv.FormatUint(record.Order, 16),
			Phase: record.Phase.String(), Error: err.Error()})
	}
	g.loop.Post(node.RolloutWritten{Service: service, Result: result})
}

// writeOutcomes are the label values of the rollout_writes metric.
var writeOutcomes = map[rollout.WriteOutcome]string{
	rollout.Acknowledged: "acknowledged", rollout.Conflict: "conflict", rollout.Failed: "failed",
}

// logRollout logs a change of an order's phase. An instance that does not decide on the order
// takes its version and time from its own listing.
func (g *Gateway) logRollout(a node.RolloutChanged) {
	if order, ok := g.config.rolloutOf(a.Service, a.Order); ok {
		a.Status.Order = order
	}
	g.log.Write(rolloutLine(a))
}

// endRollout puts the end of an order in force at this instance, even if the store can not be
// read.
func (g *Gateway) endRollout(a node.RolloutChanged) {
	c := &g.config
	c.mu.Lock()
	defer c.mu.Unlock()
	g.publishIfChanged(c.state.EndRollout(a.Service, a.Order, a.Phase))
}

func rolloutLine(a node.RolloutChanged) eventlog.RolloutChanged {
	s := &a.Status
	line := eventlog.RolloutChanged{
		Service: a.Service, Version: s.Order.Version, Order: strconv.FormatUint(a.Order, 16),
		Phase: a.Phase.String(), Reason: a.Reason, Here: a.Here,
		ElapsedMs: eventlog.Milliseconds(s.Elapsed), WithinMs: eventlog.Milliseconds(s.Order.Within),
		Granted: s.Granted, Reserved: s.Record.Reserved, Arrived: s.Arrived, Bad: s.Record.Bad,
		Waits: s.Waits, Unjudged: s.Unjudged,
	}
	for _, e := range s.Evidence {
		if e.All {
			line.Answers, line.Failures = e.TargetAnswers, e.TargetFailures
			line.Compared, line.ComparedFailures = e.CurrentAnswers, e.CurrentFailures
			line.FailureOdds, line.SlowOdds = e.FailureOdds, e.SlowOdds
		}
	}
	return line
}

// registerRolloutMetrics registers the gauge for orders that are not finished in time.
func (g *Gateway) registerRolloutMetrics() error {
	if !g.rollouts.Enabled() {
		return nil
	}
	return g.metrics.Observe("citrongate_rollout_overdue",
		"Longest time since the deadline of an order that is not finished; 0 if there is none.",
		func() (time.Duration, bool) {
			all := g.config.rollouts.Load()
			return longestOverdue(boottime.Now(), all), all != nil
		})
}

// longestOverdue returns the longest time by which an order in force is overdue; 0 if none is.
func longestOverdue(now time.Duration, all *[]ingress.ServiceRollout) (longest time.Duration) {
	if all == nil {
		return 0
	}
	for i := range *all {
		if d, late := (*all)[i].Overdue(now); late {
			longest = max(longest, d)
		}
	}
	return longest
}
