package ingress_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/rollout"
)

// orderTo returns an order to move the service plain to a version, with its stored phase.
func orderTo(id uint64, version string, phase rollout.Phase) ingress.Rollout {
	return ingress.Rollout{Order: rollout.Order{Service: "plain", Version: version, ID: id, Within: 10 * time.Second},
		Record: rollout.Record{Order: id, Phase: phase}}
}

// versioned returns an upstream of the service plain for each version.
func versioned(versions ...string) (list []ingress.Upstream) {
	for _, v := range versions {
		list = append(list, ingress.Upstream{ID: "u-" + v, Incarnation: "1", Service: "plain", Version: v})
	}
	return list
}

// listings applies successive listings to a state.
type listings struct {
	t     *testing.T
	state ingress.State
	at    time.Duration
}

func newListings(t *testing.T) *listings {
	l := &listings{t: t, state: ingress.NewState()}
	l.state.ObserveConfig(0, config(1))
	return l
}

// requireUsed applies a listing and requires which upstreams are used afterwards.
func (l *listings) requireUsed(upstreams []ingress.Upstream, orders ingress.Orders, used ...string) {
	l.t.Helper()
	l.at += time.Second
	l.state.ObserveListing(l.at, l.at, ingress.Listing{Upstreams: upstreams, Orders: orders})
	var names []string
	for _, u := range l.state.Upstreams() {
		names = append(names, u.Version)
	}
	require.Equal(l.t, used, names)
}

func one(r ingress.Rollout) ingress.Orders { return ingress.Orders{Rollouts: []ingress.Rollout{r}} }

// TestVersionsInUse guards against requests to a version that no order allows any more: the
// new one of an order that was reverted, withdrawn or replaced, the old ones of a completed
// order, and against a version that is not used although an order names it again.
func TestVersionsInUse(t *testing.T) {
	l := newListings(t)
	all := versioned("1", "2", "3")
	l.requireUsed(versioned("1"), ingress.Orders{}, "1")
	l.requireUsed(versioned("1", "2"), one(orderTo(7, "2", rollout.Judging)), "1", "2")
	l.requireUsed(versioned("1", "2"), ingress.Orders{}, "1")
	l.requireUsed(versioned("1", "2"), one(orderTo(8, "2", rollout.Judging)), "1", "2")
	l.requireUsed(versioned("1", "2"), one(orderTo(8, "2", rollout.Reverted)), "1")
	l.requireUsed(versioned("1", "2"), one(orderTo(8, "2", rollout.Judging)), "1")
	l.requireUsed(all, one(orderTo(9, "3", rollout.Waiting)), "1", "3")
	l.requireUsed(all, one(orderTo(10, "2", rollout.Judging)), "1", "2")
	l.requireUsed(all, one(orderTo(10, "2", rollout.Completed)), "2")
	l.requireUsed(all, ingress.Orders{}, "2")
	l.requireUsed(all, one(orderTo(11, "3", rollout.Waiting)), "2", "3")
	l.requireUsed(all, one(orderTo(11, "3", rollout.Reverted)), "2")
	l.requireUsed(all, one(orderTo(12, "2", rollout.Reverted)), "2")
	l.requireUsed(all, one(orderTo(13, "1", rollout.Completed)), "1")
}

// TestEndBeforeTheStore guards against requests to a reverted version until the store has the
// end of its order, against an end that an older listing takes back, and against a service
// without upstreams where an order was completed and withdrawn between two listings.
func TestEndBeforeTheStore(t *testing.T) {
	l := newListings(t)
	judging := one(orderTo(7, "2", rollout.Judging))
	l.requireUsed(versioned("1", "2"), judging, "1", "2")
	require.False(t, l.state.EndRollout("plain", 6, rollout.Reverted), "another order")
	require.False(t, l.state.EndRollout("plain", 7, rollout.Shifting))
	require.True(t, l.state.EndRollout("plain", 7, rollout.Reverted))
	l.requireUsed(versioned("1", "2"), judging, "1")
	l.requireUsed(versioned("1", "2"), one(orderTo(7, "2", rollout.Completed)), "2")
	require.False(t, l.state.EndRollout("plain", 7, rollout.Reverted))
	l = newListings(t)
	l.requireUsed(versioned("1", "2"), one(orderTo(7, "2", rollout.Shifting)), "1", "2")
	l.requireUsed(versioned("1", "2"), ingress.Orders{}, "1")
	l.requireUsed(versioned("2"), ingress.Orders{}, "2")
}

// TestUpstreamsOfAnOrder guards against an old version's upstreams that are not told apart from
// those of the new one, and against counting a version that must not be used as current.
func TestUpstreamsOfAnOrder(t *testing.T) {
	l := newListings(t)
	l.requireUsed(versioned("1", "2", "3"), one(orderTo(7, "2", rollout.Reverted)), "1", "3")
	l.requireUsed(versioned("1", "2", "3"), one(orderTo(8, "3", rollout.Judging)), "1", "3")
	orders := l.state.Rollouts()
	require.Len(t, orders, 1)
	require.Equal(t, []string{"u-1/1"}, orders[0].Current)
	require.Equal(t, []string{"u-3/1"}, orders[0].Target)
	l.requireUsed(versioned("1", "2", "3"), one(orderTo(8, "3", rollout.Completed)), "3")
	require.Equal(t, []string{"u-1/1", "u-2/1"}, l.state.Rollouts()[0].Current)
	_, late := orders[0].Overdue(orders[0].Since + 9*time.Second)
	require.False(t, late)
	by, late := orders[0].Overdue(orders[0].Since + 12*time.Second)
	require.True(t, late)
	require.Equal(t, 2*time.Second, by)
}

// TestAgeOfAnOrder guards against an order that is completed after its deadline because it was
// in the store for some time before it was read, and against one that is taken for old after an
// outage of the store.
func TestAgeOfAnOrder(t *testing.T) {
	for _, c := range []struct{ before, read, since time.Duration }{
		{0, 5 * time.Second, 5 * time.Second},
		{4600 * time.Millisecond, 5 * time.Second, 4600 * time.Millisecond},
		{time.Second, 60 * time.Second, 59 * time.Second},
	} {
		s := ingress.NewState()
		s.ObserveConfig(0, config(1))
		if c.before > 0 {
			s.ObserveUpstreams(c.before, c.before, versioned("1"))
		}
		for i := range 2 {
			at := c.read + time.Duration(i)*300*time.Millisecond
			s.ObserveListing(at, at, ingress.Listing{Upstreams: versioned("1", "2"), Orders: one(orderTo(7, "2", rollout.Judging))})
		}
		require.Equal(t, c.since, s.Rollouts()[0].Since)
	}
}

// TestRefusedOrder guards against requests to a version whose order can not be read, and
// against a service without upstreams because of such an order.
func TestRefusedOrder(t *testing.T) {
	refused := func(version string) ingress.Orders {
		return ingress.Orders{Refused: []ingress.RefusedOrder{{Service: "plain", Version: version}}}
	}
	l := newListings(t)
	l.requireUsed(versioned("1"), ingress.Orders{}, "1")
	l.requireUsed(versioned("1", "2"), refused(""), "1")
	l.requireUsed(versioned("1", "2"), ingress.Orders{}, "1")
	l.requireUsed(versioned("1", "2"), one(orderTo(7, "2", rollout.Judging)), "1", "2")
	l.requireUsed(versioned("1", "2"), refused(""), "1")
	l = newListings(t)
	l.requireUsed(versioned("1", "2"), refused("2"), "1")
	l = newListings(t)
	l.requireUsed(versioned("1"), refused("1"), "1")
	l = newListings(t)
	l.requireUsed(versioned("1", "2"), refused(""), "1", "2")
}

// TestDigestOfOrders guards against instances that do not learn of an order, its phase or a
// command, and against a read by every instance for each reservation.
func TestDigestOfOrders(t *testing.T) {
	digest := func(r ingress.Rollout) uint64 { l := ingress.Listing{Orders: one(r)}; return l.Digest() }
	first := orderTo(7, "2", rollout.Judging)
	reserved, commanded, foreign := first, first, first
	reserved.Record.Reserved, reserved.Record.Revision = 100, 5
	commanded.Command = rollout.Hold
	foreign.Record.Order = 6
	require.Equal(t, digest(first), digest(reserved))
	require.NotEqual(t, digest(first), digest(commanded))
	require.NotEqual(t, digest(first), digest(foreign), "the phase of another order")
	require.NotEqual(t, digest(first), digest(orderTo(8, "2", rollout.Judging)))
	require.NotEqual(t, digest(first), digest(orderTo(7, "2", rollout.Shifting)))
	list := versioned("1")
	require.Equal(t, ingress.Digest(list), (&ingress.Listing{Upstreams: list}).Digest(), "without orders, peers of an older release agree")
}

// TestOrdersOfAnOldListing guards against an order that is not put in force because a slow,
// older read returned it first.
func TestOrdersOfAnOldListing(t *testing.T) {
	s := ingress.NewState()
	s.ObserveConfig(0, config(1))
	next := one(orderTo(8, "3", rollout.Judging))
	observe := func(started time.Duration, orders ingress.Orders) bool {
		_, changed := s.ObserveListing(started, 10*time.Second, ingress.Listing{Upstreams: versioned("1", "2", "3"), Orders: orders})
		return changed
	}
	require.True(t, observe(2*time.Second, one(orderTo(7, "2", rollout.Judging))))
	require.False(t, observe(time.Second, next))
	require.Equal(t, uint64(7), s.Rollouts()[0].Order.ID)
	require.True(t, observe(3*time.Second, next))
	require.Equal(t, uint64(8), s.Rollouts()[0].Order.ID)
	require.False(t, observe(4*time.Second, next))
}
