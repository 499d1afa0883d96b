package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/rollout"
)

// TestOrdersAreReadBeforeANewVersionIsUsed guards against upstreams of a version that are
// used without the order that they were started for, and against a read of the orders with
// each change of the upstreams.
func TestOrdersAreReadBeforeANewVersionIsUsed(t *testing.T) {
	var r OrderReads
	old := []Upstream{{ID: "a", Service: "s", Version: "1"}, {ID: "b", Service: "s", Version: "1"}}
	require.True(t, r.Due(0, old), "the first listing")
	r.Read(0, old, Orders{})

	require.False(t, r.Due(10*time.Second, old[:1]), "one upstream less")
	require.False(t, r.Due(20*time.Second, old), "and back")
	require.True(t, r.Due(30*time.Second, old), "another instance has other orders")
	r.Read(30*time.Second, old, Orders{})

	replaced := append(old[:1:1], Upstream{ID: "c", Service: "s", Version: "2"})
	require.True(t, r.Due(40*time.Second, replaced), "a version that was not listed before")
	require.True(t, r.Due(50*time.Second, replaced), "as long as the read has not succeeded")
	r.Read(50*time.Second, replaced, Orders{Rollouts: []Rollout{{Order: rollout.Order{Service: "s", Version: "2"}}}})
	require.True(t, r.Due(60*time.Second, old), "while there is an order")
	r.Read(60*time.Second, old, Orders{})
	require.True(t, r.Due(70*time.Second, replaced), "the version must have its order again")
}

// TestOrdersAreReadDuringManyChanges guards against a reader of the store that finds changed
// upstreams in each of its reads and never sees a new order.
func TestOrdersAreReadDuringManyChanges(t *testing.T) {
	var r OrderReads
	var readAt time.Duration
	for i := range 40 {
		now := time.Duration(i) * 400 * time.Millisecond
		list := []Upstream{{ID: "a", Service: "s", Version: "1", Slots: i + 1}}
		if r.Due(now, list) {
			r.Read(now, list, Orders{})
			readAt = now
		}
		require.LessOrEqual(t, now-readAt, maxOrderAge+400*time.Millisecond)
	}
}
