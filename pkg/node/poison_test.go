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
}

func newPoisonWorld(t *testing.T, seed uint64, upstreams int, addresses ...string) *poisonWorld {
	w := &poisonWorld{cluster: newCluster(t, addresses...), random: rand.New(rand.NewPCG(seed, 1)), poison: 0xbad,
		starts: make([]int, upstreams), backAt: make([]time.Duration, upstreams), poisoned: map[string]bool{}, counted: map[string]bool{}}
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
		case s.poisoned && age >= poisonEndAfter:
			w.endUpstream(s.upstream)
		case s.poisoned:
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
	w.step(s.at, node.UpstreamDone{ID: s.id, Result: result, OutputTokens: 5})
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
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
			w.play(3*time.Second, 60, 0)
			w.play(20*time.Second, 60, 1+4*w.random.Float64())
			w.check()
		})
	}
}
