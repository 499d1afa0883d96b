package configstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

func isHeadWrite(op store.Op) bool {
	return op.Key == headKey && (op.Kind == store.Update || op.Kind == store.Create)
}

// applyWithFaults runs one instance until it reports the result of a change;
// fault chooses the fault of each store call.
func (c *cluster) applyWithFaults(i *instance, change Change, fault func(op store.Op) storetest.Fault) Done {
	c.changes[change.ID] = change
	i.Apply(c.now, change)
	for range 1000 {
		c.collectOutput(i)
		if d, ok := i.done[change.ID]; ok {
			return d
		}
		for len(i.network.Calls) > 0 {
			c.advanceCall(i, 0, fault(i.network.Calls[0].Call.Op))
			c.advanceCall(i, 0, storetest.None)
		}
		if wake := i.NextWake(c.now); wake >= 0 {
			c.now = wake
		}
		i.Step(c.now)
	}
	require.FailNow(c.t, "no result was reported for the change")
	return Done{}
}

// TestLostHeadUpdate guards against a change that is reported as refused and then
// takes effect, or is applied twice. The answer of its head update is lost, with
// the update taking effect, not at all, or late, while another instance may
// update the head first.
func TestLostHeadUpdate(t *testing.T) {
	for _, lost := range []storetest.Fault{storetest.LostBefore, storetest.LostAfter, storetest.Late} {
		for _, rival := range []bool{false, true} {
			for _, outage := range []bool{false, true} {
				t.Run(fmt.Sprintf("fault=%d rival=%t outage=%t", lost, rival, outage), func(t *testing.T) {
					c := newCluster(t, 2)
					require.True(t, c.applyWithFaults(c.instances[0], Change{ID: 1, Puts: []*pb.Object{organisation("a", 1)}}, noFault).Accepted)
					c.settle()
					writes, ids := 0, map[uint64]uint64{}
					d := c.applyWithFaults(c.instances[0], Change{ID: 2, Puts: []*pb.Object{organisation("a", 2)}}, func(op store.Op) storetest.Fault {
						if !isHeadWrite(op) {
							if writes > 0 && outage {
								return storetest.Outage
							}
							return storetest.None
						}
						writes++
						if writes > 1 {
							return storetest.None
						}
						if rival {
							require.True(t, c.applyWithFaults(c.instances[1], Change{ID: 3, Puts: []*pb.Object{organisation("b", 3)}}, noFault).Accepted)
						}
						return lost
					})
					c.settle()
					for n, i := range c.instances {
						for s := range i.changes.sequence {
							ids[changeID(uint64(n+1), s+1)] = [][]uint64{{1, 2}, {3}}[n][s]
						}
					}
					_, inEffect := c.checkHistory(ids)[2]
					require.Equal(t, c.instances[0].Current().Revision, c.instances[1].Current().Revision)
					if outage {
						require.Equal(t, CodeOutcomeUnknown, d.Code)
						return
					}
					require.True(t, d.Accepted)
					require.True(t, inEffect)
				})
			}
		}
	}
}

func noFault(store.Op) storetest.Fault { return storetest.None }

// TestOutageFromTheStart guards against a change that waits for ever, or is
// reported as outcome_unknown although no write was sent.
func TestOutageFromTheStart(t *testing.T) {
	c := newCluster(t, 1)
	startedAt := c.now
	d := c.applyWithFaults(c.instances[0], Change{ID: 1, Puts: []*pb.Object{organisation("a", 1)}}, func(store.Op) storetest.Fault { return storetest.Outage })
	require.Equal(t, CodeStoreUnavailable, d.Code)
	require.LessOrEqual(t, c.now-startedAt, 2*time.Second)
}
