package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/membership"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TestNotAloneBeforeTheListIsRead guards against an instance that takes itself for the first
// of its cell although it could not read yet which others there are. A list of
// upstreams is not a list of instances.
func TestNotAloneBeforeTheListIsRead(t *testing.T) {
	v := membership.New(membership.Config{Self: membership.Member{Incarnation: 1, PeerAddress: "a"}, AwaitList: true,
		PingInterval: time.Second, DeadAfter: 2 * time.Second, ListInterval: 2 * time.Second})
	for now := time.Duration(0); now < 10*time.Second; now += time.Second {
		v.Tick(now)
		v.OnList(now, false, nil)
		v.OnUpstreamList(now, []membership.Listed{{Name: "u", Incarnation: "1", Upstream: true}})
		require.False(t, v.Settled(now))
		require.False(t, v.ListRead())
	}
	v.Tick(10 * time.Second)
	v.PlatformAnswered(10 * time.Second)
	require.True(t, v.WantsList(10*time.Second+100*time.Millisecond), "it is read as soon as the platform answers")
	v.OnList(10*time.Second, true, []membership.Listed{{Name: "b", Incarnation: "b", PeerAddress: "b"}})
	require.False(t, v.Settled(11*time.Second), "the others have time to answer")
	require.Equal(t, 2, v.LimitSharers(11*time.Second))
	require.True(t, v.Settled(12*time.Second))
}

// TestUpstreamLeavesWithoutAListOfInstances guards against a leaving upstream that is learned only
// with the next list of instances.
func TestUpstreamLeavesWithoutAListOfInstances(t *testing.T) {
	v := membership.New(membership.Config{Self: membership.Member{Incarnation: 1, PeerAddress: "a"}, AwaitList: true})
	v.OnUpstreamList(0, []membership.Listed{{Name: "u", Incarnation: "1", Upstream: true, Leaving: true}})
	require.True(t, v.UpstreamLeaving("u"))
}

// TestListedInstancesAreNotForgotten guards against an instance that no longer counts the
// listed instances which it has not heard of yet, because its process has run for long: it
// could read the list only now. The share of an instance that stays silent is given up in the end.
func TestListedInstancesAreNotForgotten(t *testing.T) {
	v := membership.New(membership.Config{Self: membership.Member{Incarnation: 1, PeerAddress: "a", Cell: "c"}, AwaitList: true,
		PingInterval: time.Second, DeadAfter: 2 * time.Second, ListInterval: 2 * time.Second})
	v.Tick(0)
	const outage = 20 * time.Second
	list := []membership.Listed{{Name: "b", PeerAddress: "b"}, {Name: "d", PeerAddress: "d"}, {Name: "e", PeerAddress: "e"}}
	v.OnList(outage, true, list)
	for i, address := range []string{"b", "d"} {
		v.Apply(outage, []*pb.MemberUpdate{{Incarnation: uint64(i) + 2, PeerAddress: address, Cell: "c", State: pb.MemberState_MEMBER_STATE_ALIVE}})
	}
	for now := outage; now < outage+10*time.Second; now += time.Second {
		v.OnList(now, true, list)
		require.Equal(t, 4, v.LimitSharers(now), "after %v", now-outage)
	}
	require.Equal(t, 3, v.LimitSharers(outage+20*time.Second))
}
