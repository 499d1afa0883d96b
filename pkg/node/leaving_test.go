package node_test

import (
	"fmt"
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
			f := newFleet(t, size)
			f.startAll()
			f.play(12*time.Second, time.Second, 0)
			first := f.order[0]
			f.step(first, node.UpstreamLeaves{Upstream: "1", Incarnation: "1"})
			require.True(t, f.nodes[first].UpstreamLeaving("1"))
			f.step(first, node.UpstreamList{Upstreams: []node.ListedInstance{{Name: "1", Incarnation: "1", Upstream: true}}})
			require.True(t, f.nodes[first].UpstreamLeaving("1"), "a list that shows it as ready takes nothing back")
			f.play(4*time.Second, 0, 0)
			for _, at := range f.order {
				require.True(t, f.nodes[at].UpstreamLeaving("1"), at)
			}
			before := f.totalRan()
			f.play(time.Second, 0, f.perTick())
			require.Equal(t, before, f.totalRan())
		})
	}
}
