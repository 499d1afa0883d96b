package simtest

import (
	"testing"
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
	"github.com/stretchr/testify/require"
)

func testEngine(loop *Loop) *Engine {
	return NewEngine(loop, EngineConfig{
		StepBase: 10 * time.Millisecond, StepPerSequence: time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond, ChunkTokens: 100,
		MemoryTokens: 1000, CacheTokens: 200, MaxSequences: 8, LoadInterval: time.Second,
	})
}

// TestEngineStepTimes guards against an engine whose step durations do not follow
// its configured costs, which would make every measurement meaningless.
func TestEngineStepTimes(t *testing.T) {
	loop := NewLoop(1)
	engine := testEngine(loop)
	var first, done time.Duration
	engine.Submit(EngineRequest{
		ID: scheduler.GlobalID{Sequence: 1}, Prompt: 150, Output: 3,
		OnFirstToken: func() { first = loop.Now() },
		OnDone:       func(EngineResult, uint32, uint32) { done = loop.Now() },
	})
	loop.RunUntil(time.Second)
	require.Equal(t, 35*time.Millisecond, first) // (10 + 10) + (10 + 5) ms
	require.Equal(t, 57*time.Millisecond, done)  // two decode steps of 11 ms
	require.Equal(t, uint64(150), engine.PrefillDone)
	require.Zero(t, engine.memoryUsed)
}

// TestEnginePrefixCacheAndMemory guards against a prefix cache that never hits or
// never evicts, and against admission beyond the KV memory.
func TestEnginePrefixCacheAndMemory(t *testing.T) {
	loop := NewLoop(1)
	engine := testEngine(loop)
	var cached []uint32
	submit := func(id, prefix uint64) {
		engine.Submit(EngineRequest{
			ID: scheduler.GlobalID{Sequence: id}, Prompt: 150, Output: 300, Prefix: prefix, PrefixTokens: 100,
			OnDone: func(_ EngineResult, _, hit uint32) { cached = append(cached, hit) },
		})
		require.LessOrEqual(t, engine.memoryUsed, engine.MemoryTokens)
	}
	for i, prefix := range []uint64{1, 2, 3} {
		submit(uint64(i), prefix)
	}
	require.Equal(t, 3, engine.InProgress())
	loop.RunUntil(time.Minute)
	submit(10, 3)
	loop.RunUntil(2 * time.Minute)
	submit(11, 1)
	loop.RunUntil(3 * time.Minute)
	require.Equal(t, []uint32{0, 0, 0, 100, 0}, cached)
}

// TestEngineKillAndCancel guards against callbacks of canceled streams, and against
// streams that are not reported as broken when the engine is killed.
func TestEngineKillAndCancel(t *testing.T) {
	loop := NewLoop(1)
	engine := testEngine(loop)
	results := map[uint64]EngineResult{}
	for id := uint64(1); id <= 2; id++ {
		engine.Submit(EngineRequest{
			ID: scheduler.GlobalID{Sequence: id}, Prompt: 10, Output: 50,
			OnDone: func(result EngineResult, _, _ uint32) { results[id] = result },
		})
	}
	loop.RunUntil(100 * time.Millisecond)
	require.Equal(t, uint32(10), engine.Cancel(scheduler.GlobalID{Sequence: 1}))
	engine.Kill()
	require.False(t, engine.Submit(EngineRequest{}))
	loop.RunUntil(time.Minute)
	require.Equal(t, map[uint64]EngineResult{2: StreamBroken}, results)
}

// TestServiceCountsRuns guards against a fake service that does not count a
// repeated run of the same call.
func TestServiceCountsRuns(t *testing.T) {
	loop := NewLoop(1)
	service := NewService(loop, ServiceConfig{Duration: time.Second, Concurrency: 1})
	complete := 0
	for id := uint64(1); id <= 3; id++ {
		service.Call(scheduler.GlobalID{Sequence: id}, "key", func(ok bool) {
			if ok {
				complete++
			}
		})
	}
	loop.RunUntil(time.Minute)
	require.Equal(t, 3, complete)
	require.Equal(t, 3, service.KeyRuns["key"])
	require.Equal(t, 1, service.Runs[scheduler.GlobalID{Sequence: 2}])
}

// TestGrowingMemoryPreemptsNewest guards against an engine that completes more
// streams than fit into its memory without the cost of preemption.
func TestGrowingMemoryPreemptsNewest(t *testing.T) {
	loop := NewLoop(1)
	e := NewEngine(loop, EngineConfig{
		StepBase: time.Millisecond, ChunkTokens: 1000, MemoryTokens: 130, MaxSequences: 4, GrowingMemory: true,
	})
	var done []uint64
	tokens := map[uint64]int{}
	for id := uint64(1); id <= 2; id++ {
		e.Submit(EngineRequest{
			ID: scheduler.GlobalID{Sequence: id}, Prompt: 40, Output: 40,
			OnToken: func(uint32) { tokens[id]++ },
			OnDone:  func(EngineResult, uint32, uint32) { done = append(done, id) },
		})
	}
	loop.RunUntil(time.Second)
	require.Equal(t, []uint64{1, 2}, done, "the newest sequence is preempted")
	require.Equal(t, map[uint64]int{1: 40, 2: 40}, tokens, "no token is sent twice")
	require.NotZero(t, e.Preempted)
	require.Greater(t, e.PrefillDone, uint64(80), "its prompt is processed again")
}

// TestStepTimeGrowsWithContext guards against step durations that do not grow with
// the context lengths in the batch.
func TestStepTimeGrowsWithContext(t *testing.T) {
	ends := map[uint32]time.Duration{}
	for _, prompt := range []uint32{100, 10_000} {
		loop := NewLoop(1)
		e := NewEngine(loop, EngineConfig{
			StepBase: time.Millisecond, StepPerContextToken: 100 * time.Nanosecond, ChunkTokens: 20_000, MemoryTokens: 20_000, MaxSequences: 1,
		})
		e.Submit(EngineRequest{ID: scheduler.GlobalID{Sequence: 1}, Prompt: prompt, Output: 50,
			OnDone: func(EngineResult, uint32, uint32) { ends[prompt] = loop.Now() }})
		loop.RunUntil(time.Second)
	}
	require.Greater(t, ends[10_000], ends[100]*3/2)
}
