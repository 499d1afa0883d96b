package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOneSlowStreamIsNoStraggler guards against engines that a large cell takes for
// stragglers: entries report there only what is unusual, so that one stream with a pause,
// among others that report nothing, must not stop all work on a sound engine.
func TestOneSlowStreamIsNoStraggler(t *testing.T) {
	const streams = 7
	cases := map[string]struct {
		slow        int
		stalled     uint32
		interToken  time.Duration
		quarantined bool
	}{
		"one slow":      {slow: 1, interToken: 500 * time.Millisecond},
		"three slow":    {slow: 3, interToken: 500 * time.Millisecond},
		"most are slow": {slow: 5, interToken: 500 * time.Millisecond, quarantined: true},
		"two stalled":   {slow: 2, stalled: 1},
		"most stalled":  {slow: 5, stalled: 1, quarantined: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := poolWith(Config{TargetInterToken: 400 * time.Millisecond},
				Upstream{Name: "a", Concurrency: streams, MaxConcurrency: streams, FixedLimit: true},
				Upstream{Name: "b", Concurrency: streams, MaxConcurrency: streams, FixedLimit: true})
			for entry := range uint64(2 * streams) {
				p.Submit(0, Descriptor{ID: GlobalID{entry + 1, 1}, MeanOutput: 100, HighOutput: 200, Deadline: time.Hour})
			}
			for _, d := range p.Step(0, nil) {
				p.FirstToken(0, d.ID, 100*time.Millisecond, 0)
			}
			require.Equal(t, uint32(streams), p.upstreams[0].inFlight)
			p.upstreams[0].learnProfile(0, streams, float64(40*time.Millisecond))
			for now := time.Duration(0); now <= 2*time.Second; now += 100 * time.Millisecond {
				if now == 500*time.Millisecond {
					for entry := range uint64(c.slow) {
						p.Progress(now, Observation{Entry: entry + 1, Upstream: 0, Streams: 1, Stalled: c.stalled, InterToken: c.interToken})
					}
				}
				p.Step(now, nil)
			}
			require.Equal(t, c.quarantined, p.upstreams[0].quarantined)
		})
	}
}

// TestUnusualReportsDoNotTeachTheUsualSpeed guards against expectations learned from the
// few slow streams that entries of a large cell report.
func TestUnusualReportsDoNotTeachTheUsualSpeed(t *testing.T) {
	p := poolWith(Config{TargetInterToken: 400 * time.Millisecond}, Upstream{Name: "a", Concurrency: 7, MaxConcurrency: 7, FixedLimit: true})
	for entry := range uint64(7) {
		p.Submit(0, Descriptor{ID: GlobalID{entry + 1, 1}, MeanOutput: 100, HighOutput: 200, Deadline: time.Hour})
	}
	p.Step(0, nil)
	u := p.upstreams[0]
	u.learnProfile(0, u.inFlight, float64(40*time.Millisecond))
	for i := range 40 {
		now := time.Duration(i) * 3 * time.Second
		p.Progress(now, Observation{Entry: 1, Upstream: 0, Streams: 1, InterToken: 500 * time.Millisecond})
	}
	require.InDelta(t, float64(40*time.Millisecond), u.expectedInterToken(7), float64(time.Millisecond))
}
