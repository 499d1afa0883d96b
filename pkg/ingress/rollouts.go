package ingress

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citrongate/citrongate/pkg/rollout"
)

// Rollout is an order to move a service to another version, as read from the store.
type Rollout struct {
	Order rollout.Order
	// Record is what the store has of the order; a record of another order counts only for
	// its Revision.
	Record rollout.Record
	// Command is the operator's command on this order; 0 if there is none.
	Command rollout.Command
}

// phase returns the stored phase of the order; 0 if nothing of it is stored.
func (r *Rollout) phase() rollout.Phase {
	if r.Record.Order != r.Order.ID {
		return 0
	}
	return r.Record.Phase
}

// RefusedOrder is an order that can not be read.
type RefusedOrder struct {
	Service string
	// Version is the version that it names; empty if that can not be read.
	Version string
	// Reason is why the order can not be read.
	Reason string
}

// Orders are the orders of one listing, at most one for each service.
type Orders struct {
	Rollouts []Rollout
	Refused  []RefusedOrder
}

// RolloutCommand is an operator's command on the order with the given ID.
type RolloutCommand struct {
	Order   uint64
	Command rollout.Command
}

// SetCommands adds operators' commands, by service, to the orders that they are for.
func (o *Orders) SetCommands(commands map[string]RolloutCommand) {
	for i := range o.Rollouts {
		r := &o.Rollouts[i]
		if c, ok := commands[r.Order.Service]; ok && c.Order == r.Order.ID {
			r.Command = c.Command
		}
	}
}

// Unfinished reports whether any order has not reached a final phase.
func (o *Orders) Unfinished() bool {
	return slices.ContainsFunc(o.Rollouts, func(r Rollout) bool { return !r.phase().Final() })
}

// Listing is what one read of the store returned: first the upstreams, then the orders, so
// that an upstream of a new version is never listed without the order that it was started for.
type Listing struct {
	Upstreams []Upstream
	Orders    Orders
}

// Digest identifies the content of a listing, independent of its order. Counts in records are
// excluded: they change with each write of an owner, and a new owner that has an old record
// gets the newer one in answer to its first write.
func (l *Listing) Digest() uint64 { return Digest(l.Upstreams) + l.Orders.digest() }

// digest adds up the digests of the orders, so that their sequence does not matter.
func (o *Orders) digest() (sum uint64) {
	for i := range o.Rollouts {
		r := &o.Rollouts[i]
		sum += xxhash.Sum64String(fmt.Sprintf("%q %d %d %d %t",
			r.Order.Service, r.Order.ID, r.phase(), r.Command, r.Record.Hold))
	}
	for _, r := range o.Refused {
		sum += xxhash.Sum64String(fmt.Sprintf("refused %q %q", r.Service, r.Version))
	}
	return sum
}

// ServiceRollout is an order with the names of the upstreams that it concerns.
type ServiceRollout struct {
	Rollout
	// Since is the earliest time at which the order can have been given, as far as known.
	Since time.Duration
	// Target names the upstreams of the ordered version, and Current those of the versions
	// that the service uses now; of a completed order, those that were replaced.
	Current, Target []string
}

// Overdue returns for how long an order has not been finished although its deadline has
// passed; ok is false before that and for finished orders. The age of the order is the longer
// of the one known to this instance and the stored one.
func (r *ServiceRollout) Overdue(now time.Duration) (d time.Duration, ok bool) {
	age := now - r.Since
	if r.Record.Order == r.Order.ID {
		age = max(age, r.Record.Elapsed)
	}
	return age - r.Order.Within, age > r.Order.Within && !r.phase().Final()
}
