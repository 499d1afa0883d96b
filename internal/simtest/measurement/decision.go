package measurement

import (
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

const (
	decisionOrgs      = 11_000
	decisionUpstreams = 20
	decisionInFlight  = 400
	decisionWaiting   = 300
	decisionRounds    = 50_000
	decisionBatches   = 8
)

// decisionLoop keeps a pool in a steady state with 11,000 organisations. One
// round submits, reports a first token, releases and grants.
type decisionLoop struct {
	pool     *scheduler.Pool
	random   *rand.Rand
	now      time.Duration
	sequence uint64
	flight   []scheduler.GlobalID
	out      []scheduler.Decision
}

func newDecisionLoop() *decisionLoop {
	l := &decisionLoop{pool: scheduler.New(scheduler.Config{Seed: 1}), random: simtest.NewRand(1, 1), now: time.Second}
	var t scheduler.Topology
	for i := range decisionUpstreams {
		t.Upstreams = append(t.Upstreams, scheduler.Upstream{
			Name: string(rune('a' + i)), Concurrency: decisionInFlight / decisionUpstreams,
			MaxConcurrency: decisionInFlight / decisionUpstreams,
		})
	}
	t.Classes = []scheduler.Class{{Upstreams: upTo(20)}, {Upstreams: span(0, 12)}, {Upstreams: span(8, 20)}}
	t.Orgs = func(org uint32) scheduler.FlowLimit { return scheduler.FlowLimit{Weight: 1 + float64(org%3)} }
	l.pool.SetTopology(l.now, t)
	for range decisionInFlight + decisionWaiting {
		l.submit()
	}
	l.step()
	return l
}

func (l *decisionLoop) submit() {
	l.sequence++
	l.pool.Submit(l.now, scheduler.Descriptor{
		ID:   scheduler.GlobalID{Entry: l.sequence % 8, Sequence: l.sequence},
		Tier: uint8(l.sequence % 3), Kind: uint32(l.sequence % 7), Org: uint32(l.random.IntN(decisionOrgs)),
		Class: uint32(l.sequence % 3), Prompt: uint32(l.random.IntN(900)), OutMean: 100, OutHigh: 200,
		Deadline: l.now + time.Hour, Prefix: l.sequence % 5000,
	})
}

func (l *decisionLoop) step() {
	l.out = l.pool.Step(l.now, l.out[:0])
	for _, d := range l.out {
		if d.Reason == 0 {
			l.flight = append(l.flight, d.ID)
		}
	}
}

func (l *decisionLoop) round() {
	l.now += 10 * time.Microsecond
	l.submit()
	i := l.random.IntN(len(l.flight))
	id := l.flight[i]
	l.flight[i] = l.flight[len(l.flight)-1]
	l.flight = l.flight[:len(l.flight)-1]
	l.pool.FirstToken(l.now, id, 300*time.Millisecond)
	l.pool.Release(l.now, scheduler.Completion{
		ID: id, Outcome: scheduler.Complete, OutputTokens: 110, TTFT: 300 * time.Millisecond, InterToken: 30 * time.Millisecond,
	})
	l.step()
}

// decisionFigures measures time and allocations for each decision.
func decisionFigures() []figure {
	l := newDecisionLoop()
	for range decisionRounds {
		l.round()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	// The fastest of some batches, since other work on the machine only adds time.
	fastest := time.Duration(math.MaxInt64)
	for range decisionBatches {
		started := time.Now()
		for range decisionRounds {
			l.round()
		}
		fastest = min(fastest, time.Since(started))
	}
	runtime.ReadMemStats(&after)
	nanoseconds := figure{name: "ns", values: []float64{float64(fastest) / decisionRounds}}
	allocations := figure{name: "allocations", values: []float64{float64((after.Mallocs - before.Mallocs) / (decisionRounds * decisionBatches))}}
	return []figure{nanoseconds.with(below(2000)), allocations.with(atMost(0))}
}
