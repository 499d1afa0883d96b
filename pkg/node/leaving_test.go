package node_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/node"
)

// TestUpstreamSaysThatItLeaves guards against an instance that goes on using an upstream that said in an answer that it leaves:
// the instance that got the answer stops at once, whatever the lists show, and the others soon after.
func TestUpstreamSaysThatItLeaves(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, manyAddresses(size)...)
			set := serviceSet(1, "1", "2")
			for _, at := range c.order {
				c.configure(at, node.UseConfiguration{Set: set})
			}
			c.run(3 * time.Second)
			c.answersAtOnce = true
			c.completedAt = map[string]int{}
			first, another := c.order[0], c.order[1]
			c.serveFor(time.Second, first, another)
			require.Positive(t, c.completedAt[first+" 1"])

			c.step(first, node.UpstreamLeaves{Upstream: "1", Incarnation: "1"})
			c.step(first, node.UpstreamList{Upstreams: []node.ListedInstance{{Name: "1", Incarnation: "1", Upstream: true}}})
			require.True(t, c.nodes[first].UpstreamLeaving("1"), "a list that shows it as ready takes nothing back")
			require.Eventually(t, func() bool { c.run(100 * time.Millisecond); return c.nodes[another].UpstreamLeaving("1") }, time.Minute, time.Microsecond)
			before := maps.Clone(c.completedAt)
			c.serveFor(time.Second, first, another)
			for _, at := range []string{first, another} {
				require.Equal(t, before[at+" 1"], c.completedAt[at+" 1"], "sent to an upstream that leaves")
				require.Greater(t, c.completedAt[at+" 2"], before[at+" 2"])
			}
		})
	}
}

// TestAllLearnThatAnUpstreamLeaves guards against instances that never learn that an upstream has said in an answer that it
// leaves, since they did not know the instance that got the answer, or a message was lost: those that read the
// list tell all others again, although the list shows the upstream as ready.
func TestAllLearnThatAnUpstreamLeaves(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, size)
			ready := node.ListedInstance{Name: "1", Incarnation: "1", Upstream: true}
			instances := f.list
			f.list = func(at string) node.InstanceList {
				list := instances(at)
				list.Instances = append(list.Instances, ready)
				return list
			}
			f.startAll()
			f.play(5*time.Second, time.Second, 0)
			f.step(f.order[0], node.UpstreamLeaves{Upstream: "1", Incarnation: "1"})
			f.play(6*time.Second, 0, 0)
			for _, at := range f.order {
				require.True(t, f.nodes[at].UpstreamLeaving("1"), at)
			}
		})
	}
}
