package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/rollout"
)

var rolloutBounds = rollout.Bounds{ExposeShare: 0.1, ExposeSlack: 50, Rollback: 5 * time.Second}

const (
	rolloutTick = 20 * time.Millisecond
	// rolloutRate is the number of requests per second to all instances.
	rolloutRate  = 300
	answerTime   = 60 * time.Millisecond
	streamTime   = 1500 * time.Millisecond
	storeLatency = 15 * time.Millisecond
	// readEvery is the time between an instance's reads of the store.
	readEvery = 300 * time.Millisecond
)

// rolloutSend is a request at an upstream.
type rolloutSend struct {
	at       string
	node     *node.Node
	id       node.RequestID
	upstream string
	target   bool
	due      time.Duration
	failed   bool
	// firstAt is when the first token of a stream comes; 0 if it came, or of another answer.
	firstAt time.Duration
}

// delayed is something that happens at a time.
type delayed struct {
	at time.Duration
	do func()
}

// rolloutWorld is a cluster whose store holds an order for the service s, and whose upstreams
// answer. Those of the old version stop at once when the store says that the order is completed.
type rolloutWorld struct {
	*cluster
	random *rand.Rand
	// order is nil without one; record and rev are what the store has, version counts changes.
	order   *rollout.Order
	command rollout.Command
	record  rollout.Record
	rev     uint64
	changes uint64
	// storeDown makes all calls fail; lost is the share of writes whose response is lost.
	storeDown bool
	lost      float64
	// current and target are the upstreams that are listed, without and with the ordered version.
	current, target []string
	// seen is the change that an instance read last, nextRead when it reads again.
	seen, revision map[string]uint64
	nextRead       map[string]time.Duration
	// stopped instances take no steps.
	stopped      map[string]bool
	incarnations uint64
	// severed holds the pairs of instances between which no frame passes.
	severed map[[2]string]bool
	pending []delayed
	sends   []*rolloutSend
	// failing and slow make the version bad from badFrom on.
	failing float64
	slow    time.Duration
	// streams makes the upstreams engines, whose first token comes after answerTime and whose
	// answers take streamTime more.
	streams bool
	// longest is how long answers of the old version take at most; answerTime if it is shorter.
	longest time.Duration
	badFrom time.Duration

	orderedAt, endedAt time.Duration
	// sent counts the requests of the service since the order, exposed those sent to the
	// version before it was completed, badAnswers its failures, and overReserved what was sent
	// to it beyond what the store had reserved.
	sent, exposed, badAnswers, overReserved int
	// fiftiethBadAt is when the 50th bad answer came, lastExposedAt when the version got its
	// last request, sentAfterCompletion counts requests sent to the old version afterwards.
	fiftiethBadAt, lastExposedAt time.Duration
	sentAfterCompletion          int
	// interrupted counts requests at the old version when the order was completed, without those
	// of an instance that is cut off and taken for dead by the others.
	interrupted int
	answered    int
	// sentTo counts the requests to each version since the last order.
	sentTo map[string]int
	// exposedBy counts exposed by instance, sentBy all requests of the service.
	exposedBy, sentBy map[string]int
	changed           []node.RolloutChanged
	phases            map[string]rollout.Phase
}

func newRolloutWorld(t *testing.T, seed uint64, size int) *rolloutWorld {
	w := &rolloutWorld{cluster: newCluster(t), random: rand.New(rand.NewPCG(seed, 7)),
		current: []string{"c0", "c1", "c2", "c3"}, seen: map[string]uint64{}, revision: map[string]uint64{},
		nextRead: map[string]time.Duration{}, stopped: map[string]bool{}, phases: map[string]rollout.Phase{}, changes: 1,
		severed: map[[2]string]bool{}, sentTo: map[string]int{}, exposedBy: map[string]int{}, sentBy: map[string]int{}}
	w.config = func(c *node.Config) { c.Rollouts = rolloutBounds }
	w.handle = w.act
	for i := range size {
		w.cluster.order = append(w.cluster.order, string(rune('a'+i)))
	}
	for _, at := range w.cluster.order {
		w.startInstance(at)
	}
	w.play(4*time.Second, 0)
	return w
}

func (w *rolloutWorld) startInstance(at string) {
	w.incarnations++
	w.start(at, w.incarnations)
	w.seen[at], w.revision[at], w.nextRead[at] = 0, 0, w.now
	delete(w.stopped, at)
	delete(w.cut, at)
}

// kill ends an instance and its requests.
func (w *rolloutWorld) kill(at string) {
	w.stopped[at], w.cut[at] = true, true
	w.sends = slices.DeleteFunc(w.sends, func(s *rolloutSend) bool { return s.at == at })
	w.seen[at] = 0
	w.nodes[at] = nil
}

// versions are the versions of upstreams by the first letter of their names.
var versions = map[byte]string{'c': "1", 't': "2", 'x': "3"}

func versionOf(upstream string) string { return versions[upstream[0]] }

// give places an order; the upstreams of the version are there at once.
func (w *rolloutWorld) give(within time.Duration) {
	w.orderedAt = w.now
	w.replaceOrder(&rollout.Order{Service: "s", Version: "2", Within: within, ID: 77})
	w.target = []string{"t0", "t1", "t2", "t3"}
	w.sent, w.exposed = 0, 0
}

// replaceOrder changes the order in the store; nil withdraws it.
func (w *rolloutWorld) replaceOrder(o *rollout.Order) {
	w.order = o
	w.rev++
	w.changes++
	w.record = rollout.Record{Revision: w.rev}
	clear(w.sentTo)
	all := append(slices.Clone(w.current), w.target...)
	ordered := func(name string) bool { return o != nil && versionOf(name) == o.Version }
	w.target = slices.DeleteFunc(slices.Clone(all), func(name string) bool { return !ordered(name) })
	w.current = slices.DeleteFunc(all, ordered)
}

// set returns the configuration as listed now.
func (w *rolloutWorld) set(revision uint64) *configstate.Set {
	set := serviceSet(revision, append(slices.Clone(w.current), w.target...)...)
	for name, object := range set.Upstreams {
		object.Meta.Labels["version"] = versionOf(name)
		if spec := object.GetUpstream(); w.streams {
			spec.Type, spec.Models, spec.FixedLimit = "engine", []string{"m"}, true
			set.Kinds["k"].GetRequestKind().ModelCall = true
		}
	}
	return set
}

// read lets an instance read the store, as a gateway does.
func (w *rolloutWorld) read(at string) {
	if w.now < w.nextRead[at] || w.storeDown || w.storeUnreachable[at] {
		return
	}
	w.nextRead[at] = w.now + readEvery
	if w.seen[at] == w.changes {
		return
	}
	w.seen[at] = w.changes
	w.revision[at]++
	e := node.UseConfiguration{Set: w.set(w.revision[at])}
	if w.order != nil {
		e.Rollouts = []node.RolloutOrder{{Order: *w.order, Record: w.record, Command: w.command, Current: w.current, Target: w.target}}
	}
	w.configure(at, e)
}

// act carries out the actions that the cluster does not.
func (w *rolloutWorld) act(at string, action node.Action) bool {
	switch a := action.(type) {
	case node.SendFrame:
		return w.severed[[2]string{at, a.Address}]
	case node.Dispatch:
		w.dispatched(at, a)
	case node.WriteRollout:
		w.write(at, a)
	case node.RolloutChanged:
		w.phases[at] = a.Phase
		w.changed = append(w.changed, a)
	default:
		return false
	}
	return true
}

// later does something at an instance after a time, or once the instance goes on.
func (w *rolloutWorld) later(d time.Duration, at string, do func()) {
	n := w.nodes[at]
	w.pending = append(w.pending, delayed{w.now + d, func() {
		switch {
		case w.nodes[at] != n:
		case w.stopped[at]:
			w.later(rolloutTick, at, do)
		default:
			do()
		}
	}})
}

// write carries out a conditional write. A lost response leaves it in effect.
func (w *rolloutWorld) write(at string, a node.WriteRollout) {
	result := rollout.WriteResult{Outcome: rollout.Failed}
	switch lost := w.random.Float64() < w.lost; {
	case w.storeDown || w.storeUnreachable[at]:
	case a.Record.Revision != w.rev:
		result = rollout.WriteResult{Outcome: rollout.Conflict, Record: w.record}
	default:
		w.rev++
		w.changes++
		w.record = a.Record
		w.record.Revision = w.rev
		if !lost {
			result = rollout.WriteResult{Outcome: rollout.Acknowledged, Record: w.record}
		}
		w.stored()
	}
	w.later(storeLatency, at, func() { w.step(at, node.RolloutWritten{Service: a.Service, Result: result}) })
}

// stored stops the upstreams of the old version once the order is completed.
func (w *rolloutWorld) stored() {
	if !w.record.Phase.Final() || w.endedAt != 0 {
		return
	}
	w.endedAt = w.now
	if w.record.Phase != rollout.Completed {
		return
	}
	w.current = nil
	for _, s := range slices.Clone(w.sends) {
		if versionOf(s.upstream) != w.order.Version && s.due > w.now {
			if !w.takenForDead(s.at) {
				w.interrupted++
			}
			w.finish(s, node.ResultBroken)
		}
	}
}

// takenForDead reports whether the owner takes an instance for dead that is cut off.
func (w *rolloutWorld) takenForDead(at string) bool {
	for _, other := range w.live() {
		if other == at || w.cut[other] {
			continue
		}
		for _, m := range w.nodes[other].Members() {
			if m.PeerAddress == at && m.State == membership.Dead {
				return true
			}
		}
	}
	return false
}

func (w *rolloutWorld) dispatched(at string, d node.Dispatch) {
	target := w.order != nil && versionOf(d.Upstream) == w.order.Version
	w.sentTo[versionOf(d.Upstream)]++
	if w.order != nil || w.endedAt != 0 {
		w.sent++
	}
	if !target && w.record.Phase == rollout.Completed {
		w.sentAfterCompletion++
		w.later(0, at, func() { w.step(at, node.DispatchFailed{ID: d.ID}) })
		return
	}
	w.sentBy[at]++
	s := &rolloutSend{at: at, node: w.nodes[at], id: d.ID, upstream: d.Upstream, target: target, due: w.now + answerTime}
	if !target && w.longest > answerTime {
		s.due += time.Duration(w.random.Int64N(int64(w.longest - answerTime)))
	}
	if target && w.record.Phase != rollout.Completed {
		w.exposed++
		w.exposedBy[at]++
		w.lastExposedAt = w.now
		if w.record.Phase < rollout.Shifting && uint64(w.exposed) > w.record.Reserved {
			w.overReserved++
		}
	}
	if target && w.now >= w.badFrom {
		s.due += w.slow
		s.failed = w.random.Float64() < w.failing
	}
	if w.streams {
		s.firstAt, s.due = s.due, s.due+streamTime
	}
	w.sends = append(w.sends, s)
}

func (w *rolloutWorld) finish(s *rolloutSend, result node.UpstreamResult) {
	w.sends = slices.DeleteFunc(w.sends, func(other *rolloutSend) bool { return other == s })
	if s.target && result == node.ResultFailed {
		if w.badAnswers++; w.badAnswers == 50 {
			w.fiftiethBadAt = w.now
		}
	}
	if result == node.ResultComplete {
		w.answered++
	}
	if w.nodes[s.at] == s.node && !w.stopped[s.at] {
		w.step(s.at, node.UpstreamDone{ID: s.id, Result: result})
	}
}

// live returns the instances that take steps.
func (w *rolloutWorld) live() (live []string) {
	for _, at := range w.cluster.order {
		if !w.stopped[at] {
			live = append(live, at)
		}
	}
	return live
}

// tick moves the world by one tick, with requests at a rate per second.
func (w *rolloutWorld) tick(rate float64) {
	for _, s := range slices.Clone(w.sends) {
		if s.firstAt > 0 && w.now >= s.firstAt && !w.stopped[s.at] && w.nodes[s.at] == s.node {
			s.firstAt = 0
			w.step(s.at, node.UpstreamFirstToken{ID: s.id})
		}
		if w.now >= s.due && !w.stopped[s.at] && slices.Contains(w.sends, s) {
			result := node.ResultComplete
			if s.failed {
				result = node.ResultFailed
			}
			w.finish(s, result)
		}
	}
	due := w.pending
	w.pending = nil
	for _, p := range due {
		if p.at > w.now {
			w.pending = append(w.pending, p)
			continue
		}
		p.do()
	}
	live := w.live()
	for _, at := range live {
		w.read(at)
		w.step(at, node.Tick{})
	}
	for range int(rate*rolloutTick.Seconds() + w.random.Float64()) {
		if len(live) > 0 {
			w.nextID++
			s := submission(w.nextID)
			s.Remaining, s.MaxSends = 2*time.Second, 1
			if w.streams {
				s.Model, s.PromptTokens, s.MaxOutputTokens, s.Remaining = "m", 100, 20, 10*time.Second
			}
			w.step(live[w.random.IntN(len(live))], s)
		}
	}
	w.now += rolloutTick
}

func (w *rolloutWorld) play(d time.Duration, rate float64) {
	for end := w.now + d; w.now < end; {
		w.tick(rate)
	}
}

// playUntil plays until the condition holds, for at most d, and returns whether it does.
func (w *rolloutWorld) playUntil(d time.Duration, condition func() bool) bool {
	for end := w.now + d; w.now < end && !condition(); {
		w.tick(rolloutRate)
	}
	return condition()
}

func (w *rolloutWorld) reached(p rollout.Phase) func() bool {
	return func() bool { return w.record.Phase >= p }
}

// owner returns the instance that owns the pool.
func (w *rolloutWorld) owner() string {
	for _, at := range w.live() {
		for _, pool := range w.nodes[at].PoolSummaries() {
			if pool.Hosted && !pool.Local {
				return at
			}
		}
	}
	return w.live()[0]
}

// check requires what holds whatever happens to instances and the store.
func (w *rolloutWorld) check(label string) {
	require.Zero(w.t, w.overReserved, "%s: sent to the version beyond what the store had reserved", label)
	require.Zero(w.t, w.interrupted, "%s: completed while requests ran at the old version", label)
	if w.failing > 0 {
		require.NotEqual(w.t, rollout.Completed, w.record.Phase, "%s: a bad version was completed", label)
		bound := rolloutBounds.ExposeShare*float64(w.sent) + rolloutBounds.ExposeSlack
		require.LessOrEqual(w.t, float64(w.exposed), bound, "%s: exposure", label)
		if w.fiftiethBadAt != 0 {
			require.LessOrEqual(w.t, w.lastExposedAt-w.fiftiethBadAt, rolloutBounds.Rollback, "%s: sent after the revert bound", label)
		}
	}
}

func (w *rolloutWorld) describe() string {
	return fmt.Sprintf("record %+v, sent %d, exposed %d, bad %d, phases %v, last changes %v", w.record, w.sent, w.exposed, w.badAnswers, w.phases,
		w.changed[max(0, len(w.changed)-4):])
}
