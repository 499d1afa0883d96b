package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/poison"
)

const (
	// poisonContact is the time after the fifth end within which every instance must
	// know of a poisoned part.
	poisonContact = 3 * time.Second
	// poisonEnds is the number of ends after which that time begins.
	poisonEnds = 5
	// poisonLate is the number of requests with the part that may be sent after it.
	poisonLate = 3
	// wantServed is the share of other requests that must be answered once the
	// part is blocked.
	wantServed = 0.9

	poisonTickTime = 20 * time.Millisecond
	poisonEndAfter = 40 * time.Millisecond
	soundFirst     = 60 * time.Millisecond
	soundDone      = 400 * time.Millisecond
	upstreamBack   = 3 * time.Second
)

// poisonSend is a request that was dispatched to an upstream.
type poisonSend struct {
	at       string
	id       node.RequestID
	upstream string
	sent     time.Duration
	poisoned bool
	first    bool
}

// poisonWorld is a cluster whose upstreams end when they start to answer a request with
// one part. They are back after upstreamBack, as new incarnations.
type poisonWorld struct {
	*cluster
	random *rand.Rand
	poison uint64
	// starts holds the number of starts of each upstream, backAt when one that ended
	// starts again.
	starts   []int
	backAt   []time.Duration
	revision uint64
	sends    []*poisonSend
	poisoned map[string]bool
	nextID   uint64
	ends     []time.Duration
	// late counts the requests with the part that were sent too late.
	late int
	// sound and answered count the other requests and those that were answered, since
	// the part should be blocked.
	sound, answered int
	counted         map[string]bool
	// refused holds the refusals by instance, incarnations the incarnations started.
	refused      map[string][]string
	incarnations uint64
	// rejected is the share of the requests with the part that are answered with an error.
	rejected float64
	// harmless is true if the part ends no upstream any more.
	harmless bool
}

func newPoisonWorld(t *testing.T, seed uint64, upstreams int, addresses ...string) *poisonWorld {
	w := &poisonWorld{cluster: newCluster(t, addresses...), random: rand.New(rand.NewPCG(seed, 1)), poison: 0xbad,
		starts: make([]int, upstreams), backAt: make([]time.Duration, upstreams), poisoned: map[string]bool{}, counted: map[string]bool{}, refused: map[string][]string{}}
	for i := range w.starts {
		w.starts[i] = 1
	}
	w.publish()
	w.run(5 * time.Second)
	return w
}

func (w *poisonWorld) name(i int) string { return fmt.Sprintf("u%d/%d", i, w.starts[i]) }

// publish gives all instances the upstreams that are up.
func (w *poisonWorld) publish() {
	w.revision++
	var names []string
	for i := range w.starts {
		if w.backAt[i] == 0 {
			names = append(names, w.name(i))
		}
	}
	for _, at := range w.order {
		w.configure(at, node.UseConfiguration{Set: serviceSet(w.revision, names...)})
	}
}

// submit sends a request to a random instance. The other parts of a request with the
// part are those of sound ones, in random order.
func (w *poisonWorld) submit(withPoison bool) {
	parts := []uint64{uint64(1 + w.random.IntN(2)), uint64(10 + w.random.IntN(20))}
	if withPoison {
		parts = slices.Insert(parts, w.random.IntN(3), w.poison)
	}
	at := w.order[w.random.IntN(len(w.order))]
	w.nextID++
	s := submission(w.nextID)
	s.Remaining, s.Parts, s.MaxSends, s.Repeatable = 3*time.Second, parts, 2, w.random.IntN(2) == 0
	key := fmt.Sprint(at, s.ID)
	w.poisoned[key] = withPoison
	if !withPoison && w.blockedBy() {
		w.sound++
		w.counted[key] = true
	}
	w.step(at, s)
	w.collect(at)
}

// blockedBy reports whether the part must be blocked everywhere by now.
func (w *poisonWorld) blockedBy() bool {
	return len(w.ends) >= poisonEnds && w.now > w.ends[poisonEnds-1]+poisonContact
}

// collect takes the dispatches of an instance.
func (w *poisonWorld) collect(at string) {
	actions := w.actions[at]
	w.refused[at] = append(w.refused[at], w.refusals(at)...)
	w.actions[at] = nil
	for _, action := range actions {
		d, ok := action.(node.Dispatch)
		if !ok {
			continue
		}
		index := w.indexOf(d.Upstream)
		if index < 0 {
			w.step(at, node.DispatchFailed{ID: d.ID})
			continue
		}
		s := &poisonSend{at: at, id: d.ID, upstream: d.Upstream, sent: w.now, poisoned: w.poisoned[fmt.Sprint(at, d.ID)]}
		if s.poisoned && w.blockedBy() {
			w.late++
		}
		w.sends = append(w.sends, s)
		if s.poisoned && w.random.Float64() < w.rejected {
			w.sends = w.sends[:len(w.sends)-1]
			w.step(at, node.UpstreamDone{ID: d.ID, Result: node.ResultComplete})
		}
	}
}

// indexOf returns the index of an upstream that is up, or -1.
func (w *poisonWorld) indexOf(name string) int {
	for i := range w.starts {
		if w.backAt[i] == 0 && w.name(i) == name {
			return i
		}
	}
	return -1
}

// advance moves the world by one tick: upstreams answer, end and start again.
func (w *poisonWorld) advance() {
	w.run(poisonTickTime)
	for i, back := range w.backAt {
		if back != 0 && w.now >= back {
			w.backAt[i] = 0
			w.starts[i]++
			w.publish()
		}
	}
	for _, at := range w.order {
		w.collect(at)
	}
	for _, s := range slices.Clone(w.sends) {
		switch age := w.now - s.sent; {
		case !slices.Contains(w.sends, s):
		case s.poisoned && !w.harmless && age >= poisonEndAfter:
			w.endUpstream(s.upstream)
		case s.poisoned && !w.harmless:
		case age >= soundDone:
			w.done(s, node.ResultComplete)
			if w.counted[fmt.Sprint(s.at, s.id)] {
				w.answered++
			}
		case age >= soundFirst && !s.first:
			s.first = true
			w.step(s.at, node.UpstreamFirstToken{ID: s.id})
		}
	}
}

// endUpstream ends an upstream; the answers of all requests there break off.
func (w *poisonWorld) endUpstream(name string) {
	w.ends = append(w.ends, w.now)
	i := w.indexOf(name)
	w.backAt[i] = w.now + upstreamBack
	for _, s := range slices.Clone(w.sends) {
		if s.upstream == name {
			w.done(s, node.ResultBroken)
		}
	}
	w.publish()
}

func (w *poisonWorld) done(s *poisonSend, result node.UpstreamResult) {
	w.sends = slices.DeleteFunc(w.sends, func(other *poisonSend) bool { return other == s })
	tokens := uint32(0)
	if s.first {
		tokens = 5
	}
	w.step(s.at, node.UpstreamDone{ID: s.id, Result: result, OutputTokens: tokens})
}

// play sends requests at the given rates per second for some time.
func (w *poisonWorld) play(d time.Duration, soundRate, poisonRate float64) {
	perTick := poisonTickTime.Seconds()
	for end := w.now + d; w.now < end; {
		if w.random.Float64() < poisonRate*perTick {
			w.submit(true)
		}
		for range int(soundRate*perTick + w.random.Float64()) {
			w.submit(false)
		}
		w.advance()
	}
}

// check requires that the part was stopped in time and that other requests were served.
func (w *poisonWorld) check() {
	require.GreaterOrEqual(w.t, len(w.ends), 1)
	require.LessOrEqual(w.t, w.late, poisonLate, "requests with the part were sent to upstreams after %d ended", poisonEnds)
	require.GreaterOrEqual(w.t, float64(w.answered), wantServed*float64(w.sound)-2, "of %d other requests only %d were answered", w.sound, w.answered)
}

// TestPoisonedPartIsStopped guards against requests with one part in their prompts that end
// upstream after upstream: after five ends no more than a few are sent, from any instance,
// and requests that share their caller and their other parts are served.
func TestPoisonedPartIsStopped(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
			w.play(3*time.Second, 60, 0)
			w.play(20*time.Second, 60, 1+8*w.random.Float64())
			w.check()
		})
	}
}

// restart starts a new incarnation of an instance; its requests in flight are lost.
func (w *poisonWorld) restart(at string) {
	for _, s := range slices.Clone(w.sends) {
		if s.at == at {
			w.sends = slices.DeleteFunc(w.sends, func(other *poisonSend) bool { return other == s })
			delete(w.counted, fmt.Sprint(s.at, s.id))
			if !s.poisoned && w.blockedBy() {
				w.sound--
			}
		}
	}
	w.incarnations++
	w.start(at, 100+w.incarnations)
	w.publish()
}

// owner returns the instance that owns the pool.
func (w *poisonWorld) owner() string {
	for _, at := range w.order {
		for _, pool := range w.nodes[at].PoolSummaries() {
			if pool.Hosted && !pool.Local {
				return at
			}
		}
	}
	return w.order[0]
}

// TestBlockOutlivesTakeoverAndRestarts guards against a block, or the ends counted so far, that
// are lost when the pool's owner ends, when instances are restarted in turn, and when all of
// them are restarted at once.
func TestBlockOutlivesTakeoverAndRestarts(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
			w.play(3*time.Second, 60, 0)
			for seed%2 == 0 && len(w.ends) < 2 {
				w.play(poisonTickTime, 60, 4)
			}
			w.restart(w.owner())
			w.play(9*time.Second, 60, 4)
			require.NotEmpty(t, w.parts, "the block is in the store")
			ends := len(w.ends)
			for _, at := range w.order {
				w.restart(at)
				w.play(3*time.Second, 60, 4)
			}
			for _, at := range w.order {
				w.restart(at)
			}
			w.play(6*time.Second, 60, 4)
			require.Equal(t, ends, len(w.ends), "upstreams ended after the block")
			require.LessOrEqual(t, w.late, poisonLate)
		})
	}
}

// TestBlockWithoutStore guards against a block that needs the store: it comes into force while
// the store cannot be reached, and is written once it can.
func TestBlockWithoutStore(t *testing.T) {
	w := newPoisonWorld(t, 7, 12, "a", "b", "c", "d")
	for _, at := range w.order {
		w.storeUnreachable[at] = true
	}
	w.play(15*time.Second, 60, 4)
	w.check()
	require.Empty(t, w.parts)
	clear(w.storeUnreachable)
	w.play(15*time.Second, 60, 4)
	require.Len(t, w.parts, 1)
	w.check()
}

// TestMissedBlock guards against an instance that was cut off from the others when a part was
// blocked and goes on sending it once it is back.
func TestMissedBlock(t *testing.T) {
	w := newPoisonWorld(t, 3, 12, "a", "b", "c", "d")
	w.play(3*time.Second, 60, 0)
	cut := w.order[0]
	if w.owner() == cut {
		cut = w.order[1]
	}
	w.cut[cut] = true
	w.storeUnreachable[cut] = true
	w.play(10*time.Second, 60, 4)
	w.cut[cut] = false
	delete(w.storeUnreachable, cut)
	w.play(poisonContact, 60, 0)
	w.late = 0
	w.play(10*time.Second, 60, 4)
	require.LessOrEqual(t, w.late, poisonLate)
}

// TestCutInstanceLearnsOfBlock guards against an instance that reaches the store but none of the
// others, and that sends a blocked part until they are back.
func TestCutInstanceLearnsOfBlock(t *testing.T) {
	for seed := range uint64(6) {
		w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
		w.play(3*time.Second, 60, 0)
		w.cut[w.order[seed%4]] = true
		w.play(15*time.Second, 60, 4)
		w.check()
	}
}

// playOrdinaryEnds lets upstreams end for other reasons: one after the other, many at once,
// and all at once.
func (w *poisonWorld) playOrdinaryEnds() {
	for range 12 {
		w.play(time.Duration(100+w.random.IntN(1500))*time.Millisecond, 60, 0)
		share := []float64{0.1, 0.3, 0.6, 1}[w.random.IntN(4)]
		for i := range w.starts {
			if w.backAt[i] == 0 && w.random.Float64() < share {
				w.endUpstream(w.name(i))
			}
		}
	}
	w.play(3*time.Second, 60, 0)
}

// TestOrdinaryEndsBlockNothing guards against requests that are refused because upstreams end
// for other reasons.
func TestOrdinaryEndsBlockNothing(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
			w.playOrdinaryEnds()
			require.Empty(t, w.parts)
			for _, at := range w.order {
				require.NotContains(t, w.refused[at], "part_blocked no")
			}
		})
	}
}

// TestBlocksDuringOutages guards against the same while all upstreams are away again and again
// before most parts were answered once, and against late sends while all upstreams end within
// a second just as the owner of their pool is cut off.
func TestBlocksDuringOutages(t *testing.T) {
	for _, seed := range []uint64{265, 1049} {
		w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
		w.playOrdinaryEnds()
		require.Empty(t, w.parts, "seed %d", seed)
	}
	for _, seed := range []uint64{54, 102, 128, 138, 1074} {
		w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
		w.play(3*time.Second, 60, 0)
		w.cut[w.order[seed%4]] = true
		w.play(20*time.Second, 60, 1+8*w.random.Float64())
		require.LessOrEqual(t, w.late, poisonLate, "seed %d", seed)
		require.LessOrEqual(t, len(w.parts), 1, "seed %d", seed)
	}
}

// TestErrorAnswerLiftsNothing guards against a block that is lifted, or not reached, because an
// upstream answered a request with the part with an error before it began to generate.
func TestErrorAnswerLiftsNothing(t *testing.T) {
	w := newPoisonWorld(t, 9, 12, "a", "b", "c", "d")
	w.play(3*time.Second, 60, 0)
	w.rejected = 0.5
	w.play(15*time.Second, 60, 8)
	w.check()
}

// TestTwoPoisonedParts guards against a second part that is not found since the first one
// explains the ends under it.
func TestTwoPoisonedParts(t *testing.T) {
	for seed := range uint64(6) {
		w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
		w.play(3*time.Second, 60, 0)
		w.play(12*time.Second, 60, 4)
		w.check()
		w.poison, w.ends, w.late, w.sound, w.answered = 0xbad2, nil, 0, 0, 0
		clear(w.counted)
		w.play(12*time.Second, 60, 4)
		w.check()
		require.Len(t, w.parts, 2)
	}
}

// TestBlockEnds guards against a block without end: an operator lifts it, and after its time
// a part that is answered again is served by all instances.
func TestBlockEnds(t *testing.T) {
	for _, byOperator := range []bool{true, false} {
		w := newPoisonWorld(t, 5, 12, "a", "b", "c", "d")
		w.play(3*time.Second, 60, 0)
		w.play(10*time.Second, 60, 4)
		require.Len(t, w.parts, 1)
		w.harmless = true
		if byOperator {
			for key := range w.parts {
				w.partLifts = []poison.Key{key}
			}
			w.play(11*time.Second, 60, 4)
		} else {
			w.play(70*time.Second, 60, 4)
		}
		clear(w.refused)
		w.play(2*time.Second, 60, 4)
		for _, at := range w.order {
			require.NotContains(t, w.refused[at], "part_blocked no", "lifted by an operator: %v", byOperator)
		}
		for _, record := range w.parts {
			require.Equal(t, poison.Lifted, record.State)
		}
	}
}

// TestTrialThatEndsAnUpstream guards against a part that ends as many upstreams after its
// block as before it: one end blocks it again, for longer.
func TestTrialThatEndsAnUpstream(t *testing.T) {
	w := newPoisonWorld(t, 5, 12, "a", "b", "c", "d")
	w.play(3*time.Second, 60, 0)
	w.play(10*time.Second, 60, 4)
	require.Len(t, w.parts, 1)
	ends := len(w.ends)
	w.play(75*time.Second, 60, 4)
	require.Greater(t, len(w.ends), ends)
	require.LessOrEqual(t, len(w.ends), ends+poisonLate)
	require.Len(t, w.parts, 1)
	for _, record := range w.parts {
		require.Equal(t, poison.Blocked, record.State)
		require.EqualValues(t, 2, record.Round)
	}
}
