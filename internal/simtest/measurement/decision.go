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

// decisionBenchmark keeps a pool in a steady state with 11,000 organisations. One
// round submits a request, reports a first token, releases one and grants.
type decisionBenchmark struct {
	pool      *scheduler.Pool
	random    *rand.Rand
	now       time.Duration
	sequence  uint64
	inFlight  []scheduler.GlobalID
	decisions []scheduler.Decision
}

func newDecisionBenchmark() *decisionBenchmark {
	l := &decisionBenchmark{pool: scheduler.New(scheduler.Config{Seed: 1}), random: simtest.NewRand(1, 1), now: time.Second}
	var t scheduler.Topology
	for i := range decisionUpstreams {
		t.Upstreams = append(t.Upstreams, scheduler.Upstream{
			Name: string(rune('a' + i)), Concurrency: decisionInFlight / decisionUpstreams,
			MaxConcurrency: decisionInFlight / decisionUpstreams,
		})
	}
	t.Classes = []scheduler.Class{{Upstreams: firstUpstreams(20)}, {Upstreams: upstreamRange(0, 12)}, {Upstreams: upstreamRange(8, 20)}}
	t.Orgs = func(org uint32) scheduler.FlowLimit { return scheduler.FlowLimit{Weight: 1 + float64(org%3)} }
	l.pool.SetTopology(l.now, t)
	for range decisionInFlight + decisionWaiting {
		l.submit()
	}
	l.step()
	return l
}

func (l *decisionBenchmark) submit() {
	l.sequence++
	l.pool.Submit(l.now, scheduler.Descriptor{
		ID:   scheduler.GlobalID{Entry: l.sequence % 8, Sequence: l.sequence},
		Tier: uint8(l.sequence % 3), Kind: uint32(l.sequence % 7), Org: uint32(l.random.IntN(decisionOrgs)),
		Class: uint32(l.sequence % 3), PromptLength: uint32(l.random.IntN(900)), MeanOutput: 100, HighOutput: 200,
		Deadline: l.now + time.Hour, Prefix: l.sequence % 5000,
	})
}

func (l *decisionBenchmark) step() {
	l.decisions = l.pool.Step(l.now, l.decisions[:0])
	for _, d := range l.decisions {
		if d.Reason == 0 {
			l.inFlight = append(l.inFlight, d.ID)
		}
	}
}

func (l *decisionBenchmark) round() {
	l.now += 10 * time.Microsecond
	l.submit()
	i := l.random.IntN(len(l.inFlight))
	id := l.inFlight[i]
	l.inFlight[i] = l.inFlight[len(l.inFlight)-1]
	l.inFlight = l.inFlight[:len(l.inFlight)-1]
	l.pool.FirstToken(l.now, id, 300*time.Millisecond, 0)
	l.pool.Release(l.now, scheduler.Completion{
		ID: id, Outcome: scheduler.Complete, OutputTokens: 110, TTFT: 300 * time.Millisecond, InterToken: 30 * time.Millisecond,
	})
	l.step()
}

// decisionFigures measures the time and the allocations of one round.
func decisionFigures() []figure {
	l := newDecisionBenchmark()
	for range decisionRounds {
		l.round()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	// The fastest of several batches counts, since other work on the machine only
	// adds time.
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
	return []figure{nanoseconds.withTarget(below(2000)), allocations.withTarget(atMost(0))}
}
