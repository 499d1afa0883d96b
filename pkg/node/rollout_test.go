package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/rollout"
)

const rolloutWithin = 8 * time.Second

// TestGoodVersionIsCompleted guards against a good version that is not completed in time, and
// against a completion while a request still runs at the old version, which is stopped then.
func TestGoodVersionIsCompleted(t *testing.T) {
	for seed := range uint64(4) {
		w := newRolloutWorld(t, seed, 3)
		w.give(rolloutWithin)
		require.True(t, w.playUntil(rolloutWithin, w.reached(rollout.Completed)), "%s", w.describe())
		require.Equal(t, rollout.Completed, w.record.Phase, "%s", w.describe())
		w.check("good")
		before := w.answered
		w.play(2*time.Second, rolloutRate)
		require.Greater(t, w.answered-before, 2*rolloutRate*9/10)
		require.Zero(t, w.sentAfterCompletion)
	}
}

// TestBadVersionIsReverted guards against a version that fails or is slow and gets more requests
// than the exposure bound allows, or any after the order was reverted.
func TestBadVersionIsReverted(t *testing.T) {
	for name, prepare := range map[string]func(*rolloutWorld){
		"fails":       func(w *rolloutWorld) { w.failing = 0.5 },
		"fails later": func(w *rolloutWorld) { w.failing, w.badFrom = 0.8, w.now+2*time.Second },
		"slow":        func(w *rolloutWorld) { w.slow = 3 * answerTime },
	} {
		t.Run(name, func(t *testing.T) {
			w := newRolloutWorld(t, 1, 3)
			prepare(w)
			w.give(rolloutWithin)
			require.True(t, w.playUntil(rolloutWithin+time.Second, w.reached(rollout.Completed)), "%s", w.describe())
			require.Equal(t, rollout.Reverted, w.record.Phase, "%s", w.describe())
			w.check(name)
			exposed, answered := w.exposed, w.answered
			w.play(2*time.Second, rolloutRate)
			require.Equal(t, exposed, w.exposed, "sent to a reverted version")
			require.Greater(t, w.answered-answered, 2*rolloutRate*9/10)
		})
	}
}
