package simtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/store"
)

// runWorld runs a small deployment with frame loss and a restart, and returns the
// outcome of each request.
func runWorld(seed uint64) []string {
	w := NewWorld(seed)
	f := Fixture{Engines: 2, Services: 1, Concurrency: 2}
	f.AddUpstreams(w)
	for n := 1; n <= 3; n++ {
		w.Start(f.Config(n))
	}
	w.Loop.At(3*time.Second, func() {
		w.Instances[0].Change(node.ApplyChange{Change: 1, Puts: f.Objects()})
	})
	for n := range 200 {
		w.Loop.At(5*time.Second+time.Duration(n)*20*time.Millisecond, func() {
			i := w.Live()[w.Loop.Rand.IntN(len(w.Live()))]
			i.Submit(Spec{Kind: "normal", Model: Model, Organisation: "small", Prompt: 100, Output: 20, Remaining: 3 * time.Second})
		})
	}
	w.Loop.At(6*time.Second, func() { w.Loss = 0.2 })
	w.Loop.At(7*time.Second, func() {
		w.Loss = 0
		w.Kill(w.Instances[1])
		w.Restart(w.Instances[1])
	})
	w.Loop.RunUntil(15 * time.Second)
	var outcomes []string
	for _, r := range w.Trace.Requests {
		outcomes = append(outcomes, fmt.Sprint(r.ID, r.Ended, r.Outcome, r.Code, r.Dispatches))
	}
	return outcomes
}

// TestSameSeedSameRun guards against runs that cannot be reproduced from the seed
// that a failing check prints.
func TestSameSeedSameRun(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		require.Equal(t, runWorld(seed), runWorld(seed))
	}
}

// TestPlatformFaults guards against a fake platform whose faults have no effect,
// which would let every check under these faults pass.
func TestPlatformFaults(t *testing.T) {
	loop := NewLoop(1)
	p := NewPlatform(loop)
	call := func(op store.Op) (result store.Result) {
		p.Call(op, func(r store.Result) { result = r })
		loop.RunUntil(loop.Now() + 10*time.Second)
		return result
	}
	create := store.Op{Kind: store.Create, Key: "k", Value: []byte("v")}
	p.SetOutage(true)
	require.Equal(t, store.Unavailable, call(create).Status)
	p.SetOutage(false)
	p.LoseAnswers = 1
	require.Equal(t, store.Unknown, call(create).Status)
	p.LoseAnswers = 0
	require.Equal(t, store.Conflict, call(create).Status, "a write whose answer is lost takes effect")
	p.AddedLatency = time.Hour
	require.Equal(t, store.Unknown, call(store.Op{Kind: store.Get, Key: "k"}).Status, "the call times out")
	p.AddedLatency, p.CallsPerSecond = 0, 0.01
	require.Equal(t, store.Throttled, call(store.Op{Kind: store.Get, Key: "k"}).Status)
}

// TestInstanceListIsStale guards against a fake platform that never returns a stale
// instance list.
func TestInstanceListIsStale(t *testing.T) {
	loop := NewLoop(1)
	p := NewPlatform(loop)
	p.SetList([]node.ListedInstance{{Name: "old"}})
	loop.RunUntil(time.Second)
	p.SetList([]node.ListedInstance{{Name: "new"}})
	p.ListLag, p.StaleReads, p.StaleReadAge = 100*time.Millisecond, true, 5*time.Second
	entries, ok := p.List()
	require.True(t, ok)
	require.NotEqual(t, "new", firstName(entries), "the list lags")
	loop.RunUntil(5500 * time.Millisecond)
	seen := map[string]bool{}
	for range 50 {
		entries, _ := p.List()
		seen[firstName(entries)] = true
	}
	require.Equal(t, map[string]bool{"old": true, "new": true}, seen)
}

func firstName(entries []node.ListedInstance) string {
	if len(entries) == 0 {
		return ""
	}
	return entries[0].Name
}
