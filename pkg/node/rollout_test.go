package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/rollout"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
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

// TestStreams guards against the latency of streams that is taken from their end in place of their
// first token, so that a slow version is found late.
func TestStreams(t *testing.T) {
	for _, slow := range []time.Duration{0, 4 * answerTime} {
		w := newRolloutWorld(t, 1, 3)
		w.streams, w.slow = true, slow
		w.changes++
		w.play(2*time.Second, rolloutRate)
		w.give(12 * time.Second)
		require.True(t, w.playUntil(13*time.Second, w.reached(rollout.Completed)), "%s", w.describe())
		w.check("streams")
		require.Greater(t, w.sent, 50)
		if slow == 0 {
			require.Equal(t, rollout.Completed, w.record.Phase, "%s", w.describe())
			continue
		}
		require.Equal(t, rollout.Reverted, w.record.Phase, "%s", w.describe())
		require.Less(t, w.record.Elapsed, streamTime, "found before any stream ended: %s", w.describe())
	}
}

// TestWithoutAnOrderNothingChanges guards against other decisions and messages where rollouts are
// turned on and there is no order.
func TestWithoutAnOrderNothingChanges(t *testing.T) {
	traces := make([][]string, 2)
	for i := range traces {
		w := newRolloutWorld(t, 3, 3)
		w.config = func(c *node.Config) {
			if i == 1 {
				c.Rollouts = rolloutBounds
			}
		}
		act := w.handle
		w.handle = func(at string, action node.Action) bool {
			text := fmt.Sprintf("%s %T %+v", at, action, action)
			if frame, ok := action.(node.SendFrame); ok {
				content, err := proto.MarshalOptions{Deterministic: true}.Marshal(frame.Frame)
				require.NoError(t, err)
				text = fmt.Sprintf("%s %d %x", at, frame.To, content)
			}
			traces[i] = append(traces[i], text)
			return act(at, action)
		}
		for _, at := range w.cluster.order {
			w.startInstance(at)
		}
		w.play(5*time.Second, rolloutRate)
		w.kill(w.owner())
		w.play(3*time.Second, rolloutRate)
	}
	require.Greater(t, len(traces[0]), 2000)
	require.Equal(t, traces[0], traces[1])
}

// TestWithdrawnOrder guards against requests to a version whose order was withdrawn before it was
// completed, and against one that stays out of use although another order names it.
func TestWithdrawnOrder(t *testing.T) {
	w := newRolloutWorld(t, 1, 3)
	w.give(rolloutWithin)
	require.True(t, w.playUntil(rolloutWithin, w.reached(rollout.Judging)))
	w.play(2*time.Second, rolloutRate)
	require.Positive(t, w.exposed)
	w.replaceOrder(nil)
	w.play(readEvery+100*time.Millisecond, rolloutRate)
	clear(w.sentTo)
	w.play(2*time.Second, rolloutRate)
	w.current = append(w.current, "t9") // another upstream of the version starts
	w.changes++
	w.play(2*time.Second, rolloutRate)
	require.Zero(t, w.sentTo["2"])
	require.Greater(t, w.sentTo["1"], 4*rolloutRate*9/10)

	w.endedAt = 0
	w.replaceOrder(&rollout.Order{Service: "s", Version: "2", Within: rolloutWithin, ID: 78})
	require.True(t, w.playUntil(2*rolloutWithin, w.reached(rollout.Completed)), w.describe())
	require.Equal(t, rollout.Completed, w.record.Phase)
}

// TestReplacedOrder guards against requests to a version that was being judged when an order for
// another version replaced its order: it then belongs to the upstreams of other versions.
func TestReplacedOrder(t *testing.T) {
	w := newRolloutWorld(t, 1, 3)
	w.give(rolloutWithin)
	require.True(t, w.playUntil(rolloutWithin, w.reached(rollout.Judging)))
	w.play(2*time.Second, rolloutRate)
	w.current = append(w.current, "x0", "x1", "x2")
	w.replaceOrder(&rollout.Order{Service: "s", Version: "3", Within: rolloutWithin, ID: 78})
	w.play(readEvery+100*time.Millisecond, rolloutRate)
	clear(w.sentTo)
	require.True(t, w.playUntil(2*rolloutWithin, w.reached(rollout.Completed)), w.describe())
	require.Equal(t, rollout.Completed, w.record.Phase)
	require.Zero(t, w.sentTo["2"])
	w.play(2*time.Second, rolloutRate)
	require.Zero(t, w.sentTo["2"])
}

// TestOperatorCommands guards against an order that an operator does not control: a held one must
// not advance, one that is to be reverted gets nothing, one that is to be completed does not wait
// for its judgement.
func TestOperatorCommands(t *testing.T) {
	command := func(w *rolloutWorld, c rollout.Command) {
		w.command = c
		w.changes++
		w.play(readEvery+100*time.Millisecond, rolloutRate)
	}
	judging := func() *rolloutWorld {
		w := newRolloutWorld(t, 1, 3)
		w.give(rolloutWithin)
		require.True(t, w.playUntil(rolloutWithin, w.reached(rollout.Judging)))
		w.play(time.Second, rolloutRate)
		return w
	}
	t.Run("hold, over a change of owner, and resume", func(t *testing.T) {
		w := judging()
		command(w, rollout.Hold)
		w.kill(w.owner())
		w.play(2*rolloutWithin, rolloutRate)
		require.Equal(t, rollout.Judging, w.record.Phase)
		command(w, rollout.Resume)
		require.True(t, w.playUntil(rolloutWithin, w.reached(rollout.Completed)), w.describe())
		require.Equal(t, rollout.Completed, w.record.Phase)
	})
	t.Run("revert", func(t *testing.T) {
		w := judging()
		command(w, rollout.Revert)
		require.Equal(t, rollout.Reverted, w.record.Phase)
		exposed := w.exposed
		w.play(2*time.Second, rolloutRate)
		require.Equal(t, exposed, w.exposed)
	})
	t.Run("complete", func(t *testing.T) {
		w := judging()
		command(w, rollout.Complete)
		require.True(t, w.playUntil(2*time.Second, w.reached(rollout.Completed)), w.describe())
		w.check("complete")
	})
}

// TestOrdersWithoutUpstreams guards against an order that never ends because the version does not
// appear, and against one that waits although all upstreams have the version already.
func TestOrdersWithoutUpstreams(t *testing.T) {
	w := newRolloutWorld(t, 1, 3)
	w.give(3 * time.Second)
	w.target = nil
	require.True(t, w.playUntil(4*time.Second, w.reached(rollout.Completed)), w.describe())
	require.Equal(t, rollout.Reverted, w.record.Phase)

	w = newRolloutWorld(t, 1, 3)
	w.current = []string{"t0", "t1"}
	w.changes++
	w.play(2*time.Second, rolloutRate)
	w.replaceOrder(&rollout.Order{Service: "s", Version: "2", Within: rolloutWithin, ID: 77})
	require.True(t, w.playUntil(2*time.Second, w.reached(rollout.Completed)), w.describe())
	require.Equal(t, rollout.Completed, w.record.Phase)
	w.check("all have it")
}

// TestServiceWithoutRoute guards against an order that never ends because its service belongs to
// no pool, so that no instance owns it.
func TestServiceWithoutRoute(t *testing.T) {
	w := newRolloutWorld(t, 1, 3)
	w.replaceOrder(&rollout.Order{Service: "other", Version: "2", Within: 3 * time.Second, ID: 77})
	w.current = nil
	require.True(t, w.playUntil(5*time.Second, w.reached(rollout.Completed)), w.describe())
	require.Equal(t, rollout.Reverted, w.record.Phase)
	here := 0
	for _, change := range w.changed {
		if change.Here {
			here++
		}
	}
	require.Equal(t, 2, here, "one instance decides that it waits and that it is reverted")
}

// TestOwnerThatMissedARevert guards against an owner that goes on granting a reverted version
// because it missed the message and cannot read the store: an entry instance returns such a
// permit and tells it.
func TestOwnerThatMissedARevert(t *testing.T) {
	w := newRolloutWorld(t, 1, 2)
	w.give(rolloutWithin)
	require.True(t, w.playUntil(rolloutWithin, w.reached(rollout.Judging)))
	w.command = rollout.Revert
	w.changes++
	w.play(time.Second, rolloutRate)
	require.Equal(t, rollout.Reverted, w.record.Phase)
	var told []*pb.RolloutState
	act := w.handle
	w.handle = func(at string, action node.Action) bool {
		if frame, ok := action.(node.SendFrame); ok && at == "a" && frame.Address == "b" {
			for _, m := range frame.Frame.Messages {
				if state := m.GetRolloutState(); state != nil {
					told = append(told, state)
				}
			}
		}
		return act(at, action)
	}
	grant := &pb.Grant{Sequence: 1, Pool: uint64(w.nodes["a"].PoolSummaries()[0].Pool), Upstream: "t0", Attempt: 1, Address: "10.0.0.1:t0"}
	w.step("a", node.FrameReceived{Frame: &pb.Frame{From: 2, Messages: []*pb.PeerMessage{{Body: &pb.PeerMessage_Grant{Grant: grant}}}}})
	require.Len(t, told, 1)
	require.Equal(t, pb.RolloutPhase_ROLLOUT_PHASE_REVERTED, told[0].Phase)
	require.Equal(t, uint64(77), told[0].Order)
}

// TestReturnedPermitsAreNoFailures guards against permits that count as failures of the version
// because entry instances return them, which have read sooner than the owner that its upstreams
// are gone.
func TestReturnedPermitsAreNoFailures(t *testing.T) {
	w := newRolloutWorld(t, 1, 4)
	w.give(rolloutWithin)
	require.True(t, w.playUntil(rolloutWithin, w.reached(rollout.Judging)))
	w.play(time.Second, rolloutRate)
	owner := w.owner()
	listed := w.target
	w.nextRead[owner] = w.now + 1100*time.Millisecond
	w.target = nil
	w.changes++
	returned := 0
	act := w.handle
	w.handle = func(at string, action node.Action) bool {
		if action == (node.Count{Name: "permits", Reason: "returned_unused"}) {
			returned++
		}
		return act(at, action)
	}
	w.play(time.Second, rolloutRate)
	require.Positive(t, returned)
	for _, evidence := range w.nodes[owner].Rollouts()["s"].Evidence {
		require.Zero(t, evidence.TargetFailures)
	}
	w.target = listed
	w.changes++
	w.requireEnd("returned permits")
}
