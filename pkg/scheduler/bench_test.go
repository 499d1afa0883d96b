package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	benchOrgs      = 11_000
	benchUpstreams = 20
	benchInFlight  = 400
	benchWaiting   = 300
)

// steadyPool is a pool with a full set of requests in flight and a queue. Each
// round submits, releases and decides once.
type steadyPool struct {
	pool     *Pool
	now      time.Duration
	sequence uint64
	flight   []GlobalID
	out      []Decision
	granted  int
}

func newSteadyPool() *steadyPool {
	s := &steadyPool{pool: New(Config{Seed: 1}), now: time.Second}
	topology := Topology{
		Kinds: func(uint32) FlowLimit { return FlowLimit{} },
		Orgs:  func(org uint32) FlowLimit { return FlowLimit{Weight: 1 + float64(org%3)} },
	}
	all := Class{}
	for i := range uint32(benchUpstreams) {
		topology.Upstreams = append(topology.Upstreams, Upstream{
			Name: string(rune('a' + i)), Concurrency: benchInFlight / benchUpstreams, MaxConcurrency: benchInFlight / benchUpstreams,
		})
		all.Upstreams = append(all.Upstreams, i)
	}
	topology.Classes = []Class{all, {Upstreams: all.Upstreams[:10]}, {Upstreams: all.Upstreams[10:]}}
	s.pool.SetTopology(s.now, topology)
	for range benchInFlight + benchWaiting {
		s.submit()
	}
	s.step()
	for range 10 * benchOrgs {
		s.round()
	}
	return s
}

func (s *steadyPool) submit() {
	s.sequence++
	n := s.sequence
	s.pool.Submit(s.now, Descriptor{
		ID: GlobalID{Entry: n % 8, Sequence: n}, Tier: uint8(n % 3), Kind: uint32(n % 7),
		Org: uint32(mix(n) % benchOrgs), Class: uint32(n % 3), PromptLength: uint32(n % 900), MeanOutput: 100, HighOutput: 200,
		Deadline: s.now + time.Hour, Prefix: n % 5000,
	})
}

func (s *steadyPool) step() {
	s.out = s.pool.Step(s.now, s.out[:0])
	for _, decision := range s.out {
		if decision.Reason == 0 {
			s.flight = append(s.flight, decision.ID)
			s.granted++
		}
	}
}

// round processes one request in the steady state: one is submitted, the first
// token of another is reported and its permit released, and one grant is decided.
func (s *steadyPool) round() {
	s.now += 10 * time.Microsecond
	s.submit()
	i := int(mix(s.sequence) % uint64(len(s.flight)))
	id := s.flight[i]
	s.flight[i] = s.flight[len(s.flight)-1]
	s.flight = s.flight[:len(s.flight)-1]
	s.pool.FirstToken(s.now, id, 300*time.Millisecond, 0)
	s.pool.Release(s.now, Completion{ID: id, Outcome: Complete, OutputTokens: 110, TTFT: 300 * time.Millisecond, InterToken: 30 * time.Millisecond})
	s.step()
}

// TestSteadyStateDoesNotAllocate guards against allocations per decision, which
// would show as garbage collection pauses at the peak rate.
func TestSteadyStateDoesNotAllocate(t *testing.T) {
	s := newSteadyPool()
	before := s.granted
	require.Zero(t, testing.AllocsPerRun(20_000, s.round))
	require.Greater(t, s.granted-before, 15_000, "the pool must be granting, not shedding")
	require.LessOrEqual(t, s.pool.orgFlows.count, maxIdleFlows+benchInFlight+benchWaiting+100,
		"flows must not grow with the known organisations")
}

// BenchmarkDecision measures one round of the steady state.
func BenchmarkDecision(b *testing.B) {
	s := newSteadyPool()
	b.ReportAllocs()
	for b.Loop() {
		s.round()
	}
}
