package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/node"
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
	// companion is a further part of the requests with the part, and of all with companionOfAll.
	companion      uint64
	companionOfAll bool
	// length is the number of further parts of each prompt, of which every second one is new.
	length int
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
	if w.companion != 0 && (withPoison || w.companionOfAll) {
		parts = append(parts, w.companion)
	}
	for i := range w.length {
		parts = append(parts, longPart(i, w.nextID*uint64(i%2)))
	}
	if withPoison {
		parts = slices.Insert(parts, w.random.IntN(len(parts)+1), w.poison)
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

// longPart returns the part at an index of long prompts; request is 0 for one that all have.
func longPart(index int, request uint64) uint64 { return 1<<32*(1+request) + uint64(index) }

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
