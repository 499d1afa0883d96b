package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newUpstreamView() *View {
	return New(Config{Self: Member{Incarnation: 1, PeerAddress: "a"}, AwaitList: true})
}

// TestUpstreamsThatLeftAreForgotten guards against names of upstreams that left being remembered
// without an end, and against one being used again: a stale list or configuration may still
// show it as live, for hours if the store is down.
func TestUpstreamsThatLeftAreForgotten(t *testing.T) {
	v := newUpstreamView()
	live := []Listed{{Name: "listed", Incarnation: "1", Upstream: true}}
	for _, name := range []string{"gone", "configured", "listed"} {
		v.OnUpstreamLeaves(0, name, "1")
	}
	configured := func(name string) bool { return name == "configured" }
	version := v.UpstreamsVersion()
	for now := time.Duration(0); now < upstreamRetention; now += time.Minute {
		require.Len(t, v.leaving.updates(now), map[bool]int{true: 3, false: 2}[now < upstreamRetention/2], "told to instances that join after %v", now)
		v.OnUpstreamList(now, live)
		v.ExpireUpstreams(now, configured)
		for _, name := range []string{"gone", "configured", "listed"} {
			require.True(t, v.UpstreamLeaving(name), "%s after %v", name, now)
		}
	}
	require.Equal(t, version, v.UpstreamsVersion())
	v.ExpireUpstreams(upstreamRetention, configured)
	require.NotContains(t, v.leaving.records, "gone")
	require.NotContains(t, v.leaving.names, "gone")
	require.Greater(t, v.UpstreamsVersion(), version)
	v.ExpireUpstreams(3*upstreamRetention, configured)
	require.False(t, v.UpstreamLeaving("listed"), "neither listed nor configured for long")
	require.True(t, v.UpstreamLeaving("configured"))
}

// TestUpstreamsThatLeftAreBounded guards against memory without bound where many upstreams leave
// within the retention, and against one that is still configured being forgotten for it.
func TestUpstreamsThatLeftAreBounded(t *testing.T) {
	v := newUpstreamView()
	for i := range maxUpstreamRecords + 100 {
		v.OnUpstreamLeaves(time.Duration(i), fmt.Sprint(i), "1")
	}
	v.ExpireUpstreams(time.Second, func(name string) bool { return name == "0" })
	require.Len(t, v.leaving.records, maxUpstreamRecords+1)
	require.Len(t, v.leaving.names, maxUpstreamRecords+1)
	require.True(t, v.UpstreamLeaving("0"))
	require.False(t, v.UpstreamLeaving("99"), "the oldest are forgotten first")
	require.True(t, v.UpstreamLeaving("100"))
}
