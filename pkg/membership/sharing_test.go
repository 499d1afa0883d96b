package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/membership"
)

// TestSharingAfterStartInPartition guards against processes that start during a
// partition and divide a limit only among the instances that they can reach: the
// two sides would together use twice the limit.
func TestSharingAfterStartInPartition(t *testing.T) {
	listed := func(addresses ...string) (list []membership.Listed) {
		for _, a := range addresses {
			list = append(list, membership.Listed{Name: a, Incarnation: "run-" + a, PeerAddress: a})
		}
		return list
	}
	v := membership.New(membership.Config{Self: membership.Member{Incarnation: 1, PeerAddress: "a"},
		PingInterval: time.Second, DeadAfter: 2 * time.Second, ListInterval: time.Second})
	v.Tick(0)
	require.Equal(t, 1, v.LimitSharers(0))
	v.OnList(0, true, listed("a", "b", "c", "d"))
	require.Equal(t, 4, v.LimitSharers(time.Second))
	require.Equal(t, 4, v.LimitSharers(time.Minute), "no listed instance has been heard of")
	v.OnList(time.Minute, true, append(listed("a", "b"), membership.Listed{Name: "c", PeerAddress: "c", Leaving: true}))
	require.Equal(t, 2, v.LimitSharers(time.Minute), "a leaving instance does not count")
	v.OnList(time.Minute, true, listed("a"))
	require.Equal(t, 1, v.LimitSharers(time.Minute))
}
