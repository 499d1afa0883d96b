package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/rollout"
)

// TestAgeOfAnOrder guards against a deadline that is counted from the time at which the owner
// first read the order: the order may have been in the store for some time by then.
func TestAgeOfAnOrder(t *testing.T) {
	const within, age = 3 * time.Second, 900 * time.Millisecond
	w := newRolloutWorld(t, 1, 1)
	w.replaceOrder(&rollout.Order{Service: "s", Version: "2", Within: within, ID: 77})
	at, read := w.cluster.order[0], w.now
	w.revision[at]++
	w.seen[at] = w.changes
	w.configure(at, node.UseConfiguration{Set: w.set(w.revision[at]),
		Rollouts: []node.RolloutOrder{{Order: *w.order, Record: w.record, Age: age, Current: w.current}}})
	require.True(t, w.playUntil(2*within, w.reached(rollout.Reverted)), "%s", w.describe())
	require.InDelta(t, within-age, w.now-read, float64(200*time.Millisecond))
}
