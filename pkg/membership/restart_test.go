package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/membership"
)

// TestPredecessorAtTheSameAddress guards against an instance that considers
// itself, or a successor, leaving because the list still shows the leaving entry
// of the process that ran at its address before. In a rolling restart three of
// nine instances stayed out of service for this reason.
func TestPredecessorAtTheSameAddress(t *testing.T) {
	const predecessor, self = uint64(0x1122334455667788), uint64(0x99aabbccddeeff00)
	v := membership.New(membership.Config{Self: membership.Member{Incarnation: self, PeerAddress: "10.0.0.1:1", Cell: "c"},
		PingInterval: time.Second, DeadAfter: time.Second, ListInterval: time.Second})
	v.Tick(0)
	entry := func(incarnation uint64, leaving bool) membership.Listed {
		return membership.Listed{Name: "i", Incarnation: fmt.Sprintf("%016x", incarnation), PeerAddress: "10.0.0.1:1", Leaving: leaving}
	}
	v.OnList(time.Second, true, []membership.Listed{entry(predecessor, true)})
	require.False(t, v.Self().Leaving)
	v.OnList(2*time.Second, true, []membership.Listed{entry(self, true)})
	require.True(t, v.Self().Leaving, "its own entry counts")
}
