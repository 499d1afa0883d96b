package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// refusingPool has upstreams that refuse every connection and one waiting request.
func refusingPool(upstreams int) *Pool {
	p := New(Config{})
	var t Topology
	for i := range uint32(upstreams) {
		t.Upstreams = append(t.Upstreams, Upstream{Name: string(rune('a' + i))})
		t.Classes = append(t.Classes, Class{})
		t.Classes[0].Upstreams = append(t.Classes[0].Upstreams, i)
	}
	p.SetTopology(0, t)
	p.Submit(0, Descriptor{ID: GlobalID{1, 1}, Attempt: 1, MeanOutput: 10, HighOutput: 10, Deadline: time.Minute})
	return p
}

// TestRefusedConnectionsAreNotRetriedAtOnce guards against an endless loop of
// grants to an upstream that refuses connections, found by measuring the failure
// of an engine: the last upstream of a class was never quarantined.
func TestRefusedConnectionsAreNotRetriedAtOnce(t *testing.T) {
	for upstreams := 1; upstreams <= 3; upstreams++ {
		p := refusingPool(upstreams)
		grants := 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			for _, d := range p.Step(now, nil) {
				require.Zero(t, d.Reason)
				grants++
				p.Release(now, Completion{ID: d.ID, Outcome: ConnectRefused})
				p.Submit(now, Descriptor{ID: d.ID, Attempt: d.Attempt + 1, MeanOutput: 10, HighOutput: 10, Deadline: time.Minute})
			}
		}
		require.LessOrEqual(t, grants, 10*upstreams, "one attempt per second and upstream")
		require.GreaterOrEqual(t, grants, 8*upstreams, "recovery must be probed")
	}
}

// TestServiceRecoversAfterRefusal guards against a plain service that is never
// used again after one refused connection, because it reports no tokens, and
// against a change of its configured limit.
func TestServiceRecoversAfterRefusal(t *testing.T) {
	for upstreams := 1; upstreams <= 2; upstreams++ {
		var list []Upstream
		for i := range upstreams {
			list = append(list, Upstream{Name: string(rune('a' + i)), Service: true, Concurrency: 4})
		}
		p := poolWith(Config{}, list...)
		granted := 0
		for sequence := uint64(1); sequence <= 1000; sequence++ {
			now := time.Duration(sequence) * 10 * time.Millisecond
			p.Submit(now, Descriptor{ID: GlobalID{1, sequence}, Attempt: 1, Tier: 1, Deadline: now + time.Minute})
			for _, d := range p.Step(now, nil) {
				outcome := Complete
				if granted == 0 {
					outcome = ConnectRefused
				}
				granted++
				p.Release(now, Completion{ID: d.ID, Outcome: outcome})
			}
		}
		require.Zero(t, p.quarantined)
		require.Greater(t, granted, 900)
		for _, u := range p.upstreams {
			require.Equal(t, uint32(4), p.limitOf(u))
		}
	}
}

// TestBrokenServiceKeepsItsLimit guards against a configured limit that is lowered
// for good when the last service of a class cuts off answers.
func TestBrokenServiceKeepsItsLimit(t *testing.T) {
	p := poolWith(Config{}, Upstream{Name: "a", Service: true, Concurrency: 4})
	for sequence := uint64(1); sequence <= 10; sequence++ {
		p.Submit(time.Second, Descriptor{ID: GlobalID{1, sequence}, Deadline: time.Minute})
		for _, d := range p.Step(time.Second, nil) {
			p.Release(time.Second, Completion{ID: d.ID, Outcome: Broken})
		}
	}
	require.Equal(t, uint32(4), p.limitOf(p.upstreams[0]))
}

// TestConfiguredLimitOutlivesQuarantine guards against an engine with a
// configured limit that keeps only a fraction of it after a quarantine, since
// such limits are not learned again.
func TestConfiguredLimitOutlivesQuarantine(t *testing.T) {
	engine := func(name string) Upstream {
		return Upstream{Name: name, Concurrency: 10, MaxConcurrency: 10, FixedLimit: true}
	}
	p := poolWith(Config{}, engine("a"), engine("b"), engine("c"))
	u := p.upstreams[0]
	p.quarantine(0, u)
	require.True(t, u.quarantined)
	p.endQuarantine(time.Second, u)
	require.Equal(t, uint32(10), p.limitOf(u))
	p.quarantineOrCutLimit(2*time.Second, u)
	p.endQuarantine(3*time.Second, u)
	require.Equal(t, uint32(10), p.limitOf(u))
}

// TestStartByBoundsTheWait guards the wait of requests whose caller leaves early:
// they are admitted while they can start in time, in the top tier too, and are
// shed as soon as a start is no longer useful.
func TestStartByBoundsTheWait(t *testing.T) {
	p := poolWith(Config{}, Upstream{Name: "a", Concurrency: 1, MaxConcurrency: 1, FixedLimit: true})
	for i := uint64(1); i <= 2; i++ {
		p.Submit(0, Descriptor{ID: GlobalID{1, i}, Attempt: 1, MeanOutput: 10, HighOutput: 10, Deadline: time.Minute, StartBy: 400 * time.Millisecond})
	}
	decisions := p.Step(0, nil)
	require.Len(t, decisions, 1, "one starts, the other waits")
	require.Zero(t, decisions[0].Reason)
	require.Empty(t, p.Step(399*time.Millisecond, nil))
	decisions = p.Step(401*time.Millisecond, nil)
	require.Len(t, decisions, 1)
	require.Equal(t, Expired, decisions[0].Reason)
}
