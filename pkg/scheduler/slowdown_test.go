package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// servePlain submits a request for a plain service, releases it after its work time
// and returns the upstream that it was granted.
func servePlain(t *testing.T, p *Pool, sequence uint64, now time.Duration, percent func(upstream uint32) uint32) uint32 {
	id := GlobalID{1, sequence}
	p.Submit(now, Descriptor{ID: id, Attempt: 1, Deadline: now + time.Minute})
	decisions := p.Step(now, nil)
	require.Len(t, decisions, 1)
	u := decisions[0].Upstream
	work := 60 * time.Millisecond
	if said := percent(u); said > 0 {
		work = work * time.Duration(said) / 100
	}
	p.Release(now+work, Completion{ID: id, Outcome: Complete, SlowdownPercent: percent(u)})
	return u
}

// TestSlowedServerIsLeft answers neighbours on a server's machine that slow it down: the
// server is left at its first report, before its measured times show it, and used
// again soon after, since the next report may be another.
func TestSlowedServerIsLeft(t *testing.T) {
	service := func(name string) Upstream { return Upstream{Name: name, Service: true, Concurrency: 6} }
	p := poolWith(Config{}, service("a"), service("b"), service("c"))
	usual := func(uint32) uint32 { return 100 }
	now, sequence := time.Second, uint64(0)
	next := func(percent func(uint32) uint32) uint32 {
		sequence++
		now += 100 * time.Millisecond
		return servePlain(t, p, sequence, now, percent)
	}
	for range 30 {
		next(usual)
	}
	slowed := next(usual)
	p.upstreams[slowed].slowdown.observe(now, 400)
	for range 3 {
		require.NotEqual(t, slowed, next(usual), "a slowed server is chosen although others are idle")
	}
	now += 10 * time.Second
	used := map[uint32]bool{}
	for range 30 {
		used[next(usual)] = true
	}
	require.True(t, used[slowed], "a report of seconds ago keeps a server out of use")
}

// TestNoHerdOnFastServer answers many requests that arrive at once while one server says
// that it is faster than the others: it gets more of them, not all.
func TestNoHerdOnFastServer(t *testing.T) {
	service := func(name string) Upstream { return Upstream{Name: name, Service: true, Concurrency: 6} }
	p := poolWith(Config{}, service("a"), service("b"), service("c"))
	p.updateCapacities(0)
	for i, percent := range []uint32{50, 100, 100} {
		p.upstreams[i].slowdown.observe(0, 100)
		p.upstreams[i].slowdown.observe(time.Millisecond, percent)
	}
	for i := range uint64(7) {
		p.Submit(time.Millisecond, Descriptor{ID: GlobalID{1, i + 1}, Attempt: 1, Deadline: time.Minute})
	}
	granted := map[uint32]int{}
	for _, d := range p.Step(time.Millisecond, nil) {
		granted[d.Upstream]++
	}
	require.Greater(t, granted[0], granted[1])
	require.Positive(t, granted[1])
	require.Positive(t, granted[2])
}

// TestSlowdownWithoutReports guards against an effect on upstreams that say nothing, and
// against absurd reports.
func TestSlowdownWithoutReports(t *testing.T) {
	var s slowdown
	s.observe(0, 0)
	require.Equal(t, 1.0, s.expected(time.Second))
	require.Equal(t, 1.0, s.usual(time.Second))
	s.observe(0, 100)
	s.observe(0, 4_000_000_000)
	require.LessOrEqual(t, s.expected(0), float64(maxSlowdown))
	require.InDelta(t, 1, s.expected(time.Hour), 1e-9, "an old report has no effect")
}

// TestSpeedLearnedWithoutNeighbours answers servers that are slowed down while their
// speed is learned: the learned speed is that of the usual time, and the one to expect
// follows the newest report.
func TestSpeedLearnedWithoutNeighbours(t *testing.T) {
	p := poolWith(Config{}, Upstream{Name: "a", Service: true, Concurrency: 6})
	now := time.Second
	for i := range uint64(200) {
		now += 100 * time.Millisecond
		servePlain(t, p, i+1, now, func(uint32) uint32 { return 300 })
	}
	u := p.upstreams[0]
	require.InDelta(t, 60*time.Millisecond, u.slotTime, float64(10*time.Millisecond))
	require.InDelta(t, 180*time.Millisecond, u.speedAt(now, 1).fixed, float64(30*time.Millisecond))
	for range 10 {
		u.slowdown.observe(now, 100)
	}
	require.InDelta(t, 60*time.Millisecond, u.slowdown.expected(now)*u.slotTime, float64(10*time.Millisecond))
}
