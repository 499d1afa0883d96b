package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCallsWaitNoLongerThanTheirGoal guards against a queue before a plain service that is
// as long as the callers' deadlines: in an overload all its answers then miss their goal.
func TestCallsWaitNoLongerThanTheirGoal(t *testing.T) {
	const goal = 300 * time.Millisecond
	for _, kind := range []RouteKind{NonIdempotent, Idempotent} {
		r := Route{Kind: kind, Goal: goal, Timeout: 3 * time.Second}
		require.Equal(t, goal, r.StartWithin())
	}
	stream := Route{Kind: Stream, Goal: goal}
	require.Less(t, stream.StartWithin(), goal/2, "the first event takes its own time")
	withoutGoal := Route{Kind: Idempotent, Timeout: time.Second}
	require.Zero(t, withoutGoal.StartWithin(), "only the deadline counts")
}
