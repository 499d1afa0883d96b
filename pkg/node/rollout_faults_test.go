package node_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/rollout"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

var rolloutSeeds = flag.Int("rollout.seeds", 1, "seeds for each fault in each phase")

// rolloutFaults are what may happen to instances and the store while an order is carried out.
// Each runs until the disturbance has ended.
var rolloutFaults = map[string]func(*rolloutWorld){
	"owner killed": func(w *rolloutWorld) {
		at := w.owner()
		w.kill(at)
		w.play(time.Second, rolloutRate)
		w.startInstance(at)
	},
	"owner cut off": func(w *rolloutWorld) { // it goes on as a second owner
		at := w.owner()
		w.cut[at] = true
		w.play(4*time.Second, rolloutRate)
		delete(w.cut, at)
	},
	"owner cut off from all": func(w *rolloutWorld) {
		at := w.owner()
		w.cut[at], w.storeUnreachable[at] = true, true
		w.play(4*time.Second, rolloutRate)
		delete(w.cut, at)
		delete(w.storeUnreachable, at)
	},
	"owner cut off from the store": func(w *rolloutWorld) {
		at := w.owner()
		w.storeUnreachable[at] = true
		w.play(4*time.Second, rolloutRate)
		delete(w.storeUnreachable, at)
	},
	"owner paused": func(w *rolloutWorld) {
		at := w.owner()
		w.stopped[at], w.cut[at] = true, true
		w.play(3*time.Second, rolloutRate)
		delete(w.stopped, at)
		delete(w.cut, at)
	},
	"store unavailable": func(w *rolloutWorld) {
		w.storeDown = true
		w.play(3*time.Second, rolloutRate)
		w.storeDown = false
	},
	"store unavailable, owner killed": func(w *rolloutWorld) {
		w.storeDown = true
		w.play(time.Second, rolloutRate)
		at := w.owner()
		w.kill(at)
		w.play(2*time.Second, rolloutRate)
		w.storeDown = false
		w.startInstance(at)
	},
	"responses of the store lost": func(w *rolloutWorld) {
		w.lost = 0.7
		w.play(4*time.Second, rolloutRate)
		w.lost = 0
	},
	"all instances killed": func(w *rolloutWorld) {
		for _, at := range w.cluster.order {
			w.kill(at)
		}
		w.play(500*time.Millisecond, 0)
		for _, at := range w.cluster.order {
			w.startInstance(at)
		}
	},
}

// rolloutVersions are the versions that orders name.
var rolloutVersions = map[string]func(*rolloutWorld){
	"good":        func(*rolloutWorld) {},
	"fails":       func(w *rolloutWorld) { w.failing = 0.5 },
	"fails later": func(w *rolloutWorld) { w.failing, w.badFrom = 0.6, w.now+3*time.Second },
}

// TestRolloutFaults guards, for each fault in each phase of an order, against requests to the
// version beyond what the store had reserved or the exposure bound allows, against requests to
// it after it was reverted, a bad version that is completed, a completion while requests run at
// the old version, and an order that does not end.
func TestRolloutFaults(t *testing.T) {
	for fault, disturb := range rolloutFaults {
		for _, phase := range []rollout.Phase{rollout.Waiting, rollout.Judging, rollout.Shifting, rollout.Completed} {
			for version, prepare := range rolloutVersions {
				t.Run(fmt.Sprintf("%s/%v/%s", fault, phase, version), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(*rolloutSeeds) {
						w := newRolloutWorld(t, seed, 4)
						prepare(w)
						w.give(rolloutWithin)
						if phase == rollout.Waiting {
							w.target = nil
						}
						w.playUntil(2*rolloutWithin, w.reached(phase))
						disturb(w)
						w.appear()
						w.requireEnd(fmt.Sprintf("seed %d", seed))
					}
				})
			}
		}
	}
}

// appear lists the upstreams of the version if they are not yet.
func (w *rolloutWorld) appear() {
	if w.target == nil {
		w.target = []string{"t0", "t1", "t2", "t3"}
		w.changes++
	}
}

// requireEnd requires that the order ends as it should, everywhere.
func (w *rolloutWorld) requireEnd(label string) {
	ended := w.playUntil(4*rolloutWithin, w.reached(rollout.Completed))
	require.True(w.t, ended, "%s: the order does not end: %s", label, w.describe())
	if w.failing == 0 {
		require.Equal(w.t, rollout.Completed, w.record.Phase, "%s: %s", label, w.describe())
	}
	w.check(label)
	w.play(time.Second, rolloutRate)
	exposed, answered, late := w.exposed, w.answered, w.sentAfterCompletion
	w.play(2*time.Second, rolloutRate)
	require.Equal(w.t, exposed, w.exposed, "%s: sent to a reverted version: %s", label, w.describe())
	require.Equal(w.t, late, w.sentAfterCompletion, "%s: sent to the old version after the order was completed", label)
	if w.failing == 0 || w.record.Phase == rollout.Reverted {
		require.Greater(w.t, w.answered-answered, 2*rolloutRate*9/10, "%s: %s", label, w.describe())
	}
}

// sever cuts or restores the path between two instances.
func (w *rolloutWorld) sever(a, b string, cut bool) {
	w.severed[[2]string{a, b}], w.severed[[2]string{b, a}] = cut, cut
}

// otherThan returns a live instance other than one.
func (w *rolloutWorld) otherThan(at string) string {
	for _, other := range w.live() {
		if other != at {
			return other
		}
	}
	return ""
}

// TestLocalPoolLeavesVersionOut guards against an instance that cannot reach the owner of the
// pool and sends requests to a version that is not proven, uncounted by the owner.
func TestLocalPoolLeavesVersionOut(t *testing.T) {
	w := newRolloutWorld(t, 1, 4)
	w.give(rolloutWithin)
	require.True(t, w.playUntil(rolloutWithin, w.reached(rollout.Judging)))
	w.play(time.Second, rolloutRate)
	owner := w.owner()
	at := w.otherThan(owner)
	w.sever(at, owner, true)
	w.play(time.Second, rolloutRate)
	exposed, sent := w.exposedBy[at], w.sentBy[at]
	w.play(2*time.Second, rolloutRate)
	require.Greater(t, w.sentBy[at]-sent, rolloutRate/4, "it serves its callers")
	require.Equal(t, exposed, w.exposedBy[at])
	require.Greater(t, w.exposed, 10)
	w.sever(at, owner, false)
	w.requireEnd("severed")
}

// TestCompletionWaitsForAllInstances guards against a completion while requests run at the old
// version that the owner does not know of, since the local pool of another instance granted them.
func TestCompletionWaitsForAllInstances(t *testing.T) {
	for seed := range uint64(5) {
		w := newRolloutWorld(t, seed, 4)
		w.longest = time.Second
		w.give(rolloutWithin)
		w.play(rolloutWithin-1300*time.Millisecond, rolloutRate)
		require.Equal(t, rollout.Shifting, w.record.Phase, w.describe())
		owner := w.owner()
		at := w.otherThan(owner)
		w.cut[at] = true
		w.play(1600*time.Millisecond, rolloutRate)
		delete(w.cut, at)
		w.requireEnd("cut off")
	}
}

// TestNewOwnerWaitsForReports guards against a new owner that completes an order before the other
// instances have reported what they have in flight at the old version.
func TestNewOwnerWaitsForReports(t *testing.T) {
	for seed := range uint64(5) {
		w := newRolloutWorld(t, seed, 4)
		w.longest = 2 * time.Second
		w.give(rolloutWithin)
		w.play(rolloutWithin-1300*time.Millisecond, rolloutRate)
		require.Equal(t, rollout.Shifting, w.record.Phase, w.describe())
		w.kill(w.owner())
		at := w.live()[w.random.IntN(3)]
		w.cut[at] = true // for longer than a new owner waits before it grants
		w.play(1200*time.Millisecond, rolloutRate)
		delete(w.cut, at)
		w.requireEnd("owner killed")
	}
}

// TestRevertOutlivesOwnerWithoutStore guards against a version that turns bad in the shift and
// gets all requests again once the owner that reverted it has ended, since the store was
// unavailable and could not tell its successor.
func TestRevertOutlivesOwnerWithoutStore(t *testing.T) {
	for seed := range uint64(5) {
		w := newRolloutWorld(t, seed, 4)
		w.give(rolloutWithin)
		w.playUntil(rolloutWithin, w.reached(rollout.Shifting))
		require.Equal(t, rollout.Shifting, w.record.Phase, w.describe())
		w.play(100*time.Millisecond, rolloutRate) // all have read it
		w.storeDown, w.failing, w.badFrom = true, 0.8, w.now
		owner := w.owner()
		require.True(t, w.playUntil(5*time.Second, func() bool { return w.phases[owner] == rollout.Reverted }), w.describe())
		w.kill(owner)
		w.play(100*time.Millisecond, rolloutRate)
		exposed := w.exposed
		w.play(4*time.Second, rolloutRate)
		require.Equal(t, exposed, w.exposed, w.describe())
		w.storeDown = false
		w.requireEnd("owner killed")
		require.Equal(t, rollout.Reverted, w.record.Phase)
	}
}

// TestAnyRolloutEvents guards against a panic, and against requests to a version beyond what was
// reserved, when events on orders come late, repeated, for orders that are not known, and with
// upstreams that come and go.
func TestAnyRolloutEvents(t *testing.T) {
	for seed := range uint64(20) {
		w := newRolloutWorld(t, seed, 3)
		w.give(rolloutWithin)
		listed := w.target
		for range 200 {
			at := w.cluster.order[w.random.IntN(3)]
			switch w.random.IntN(6) {
			case 0:
				record := rollout.Record{Order: 76 + w.random.Uint64N(3), Phase: rollout.Phase(w.random.IntN(4)), Reserved: w.random.Uint64N(9), Revision: w.random.Uint64N(w.rev + 1)}
				w.step(at, node.RolloutWritten{Service: []string{"s", "other"}[w.random.IntN(2)],
					Result: rollout.WriteResult{Outcome: rollout.Failed, Record: record}})
			case 1:
				state := &pb.RolloutState{Service: []string{"s", "other"}[w.random.IntN(2)], Order: 78 + w.random.Uint64N(3), Phase: pb.RolloutPhase(w.random.IntN(4))}
				w.step(at, node.FrameReceived{Frame: &pb.Frame{From: w.random.Uint64N(5), Messages: []*pb.PeerMessage{{Body: &pb.PeerMessage_RolloutState{RolloutState: state}}}}})
			case 2:
				w.target = listed[:w.random.IntN(len(listed)+1)]
				w.changes++
			case 3:
				w.step(at, node.UpstreamLeaves{Upstream: listed[w.random.IntN(len(listed))], Incarnation: "1"})
			case 4:
				w.lost = []float64{0, 0.5, 1}[w.random.IntN(3)]
			}
			w.tick(rolloutRate)
		}
		w.check(fmt.Sprintf("seed %d", seed))
	}
}
