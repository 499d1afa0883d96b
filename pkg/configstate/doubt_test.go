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

// drive runs one instance until its change is answered; fault decides about each call.
func (c *cluster) drive(i *instance, change Change, fault func(op store.Op) storetest.Fault) Done {
	c.changes[change.ID] = change
	i.Apply(c.now, change)
	for range 1000 {
		c.collect(i)
		if d, ok := i.done[change.ID]; ok {
			return d
		}
		for len(i.network.Calls) > 0 {
			c.advance(i, 0, fault(i.network.Calls[0].Call.Op))
			c.advance(i, 0, storetest.None)
		}
		if wake := i.NextWake(c.now); wake >= 0 {
			c.now = wake
		}
		i.Step(c.now)
	}
	require.FailNow(c.t, "the change was never answered")
	return Done{}
}

// TestLostHeadUpdate guards against a change that is reported refused and then
// takes effect, or is applied twice, when the answer of its head update is lost
// with, without or with a late effect, while another instance may win the race.
func TestLostHeadUpdate(t *testing.T) {
	for _, lost := range []storetest.Fault{storetest.LostBefore, storetest.LostAfter, storetest.Late} {
		for _, rival := range []bool{false, true} {
			for _, outage := range []bool{false, true} {
				t.Run(fmt.Sprintf("fault=%d rival=%t outage=%t", lost, rival, outage), func(t *testing.T) {
					c := newCluster(t, 2)
					require.True(t, c.drive(c.instances[0], Change{ID: 1, Puts: []*pb.Object{organisation("a", 1)}}, noFault).Accepted)
					c.settle()
					writes, ids := 0, map[uint64]uint64{}
					d := c.drive(c.instances[0], Change{ID: 2, Puts: []*pb.Object{organisation("a", 2)}}, func(op store.Op) storetest.Fault {
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
							require.True(t, c.drive(c.instances[1], Change{ID: 3, Puts: []*pb.Object{organisation("b", 3)}}, noFault).Accepted)
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
// called unknown although nothing was sent.
func TestOutageFromTheStart(t *testing.T) {
	c := newCluster(t, 1)
	began := c.now
	d := c.drive(c.instances[0], Change{ID: 1, Puts: []*pb.Object{organisation("a", 1)}}, func(store.Op) storetest.Fault { return storetest.Outage })
	require.Equal(t, CodeStoreUnavailable, d.Code)
	require.LessOrEqual(t, c.now-began, 2*time.Second)
}
