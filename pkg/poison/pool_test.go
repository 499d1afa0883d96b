package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPoolEvidenceEnds guards against what is known of a pool growing without bound, and being
// kept after the pool is gone.
func TestPoolEvidenceEnds(t *testing.T) {
	r := New(Config{Ends: 3, Trial: time.Minute})
	for i := range uint64(500) {
		at := time.Duration(i) * time.Millisecond
		r.UpstreamEnded(at, 1, Ending{Upstream: i, At: at, Young: [][]uint64{{i}, {i + 1}}})
	}
	require.Len(t, r.pools[1].ends, maxPoolEnds)
	require.Len(t, r.pools[1].young, maxYoung)
	r.CountAnswer(time.Second, 1)
	r.Tick(retention)
	require.Contains(t, r.pools, uint64(1))
	r.Tick(time.Second + retention)
	require.Empty(t, r.pools)
}

// TestAnsweredPartsAreTold guards against an instance that takes over a pool, or is cut off, and
// blocks a sound part that only others saw answered; and against a block that is lifted by what
// was answered before it.
func TestAnsweredPartsAreTold(t *testing.T) {
	from, to := New(Config{Ends: 3, Trial: time.Minute}), New(Config{Ends: 3, Trial: time.Minute})
	const parts, limit = 150, 64
	for part := range uint64(parts) {
		from.Answered(0, 1+part%2, []uint64{part})
	}
	told := map[Key]int{}
	for range 2 * (parts/limit + 1) {
		keys := from.NextAnswered(limit)
		require.LessOrEqual(t, len(keys), limit)
		for _, key := range keys {
			told[key]++
			to.AnsweredElsewhere(key)
		}
	}
	require.Len(t, told, parts)
	for key, times := range told {
		require.Equal(t, 2, times, "%v", key)
	}
	end := func(r *Registry, i uint64) {
		at := time.Duration(i) * time.Second
		r.UpstreamEnded(at, 1, Ending{Upstream: i, At: at, Young: [][]uint64{{2}}})
	}
	for i := range uint64(5) {
		end(to, i+1)
	}
	require.False(t, to.AnyBlocked())
	end(to, 6)
	require.True(t, to.AnyBlocked())
	to.AnsweredElsewhere(Key{Pool: 1, Part: 2})
	require.True(t, to.AnyBlocked())
}

// TestEvidenceOfLongPromptsIsBounded guards against memory that grows with the number of parts of prompts, and
// against counts of requests that differ from the requests that are kept.
func TestEvidenceOfLongPromptsIsBounded(t *testing.T) {
	r := New(Config{Ends: 3, Trial: time.Minute})
	const length = 5000
	for i := range uint64(30) {
		var young [][]uint64
		for n := range uint64(3) {
			parts := []uint64{1, 1} // a part that stands twice counts once
			for part := range uint64(length) {
				parts = append(parts, 1+(i*3+n)*length+part)
			}
			young = append(young, parts)
		}
		at := time.Duration(i) * time.Second
		r.Answered(at, 1, young[0])
		r.UpstreamEnded(at, 1, Ending{Upstream: i, At: at, Young: young})
	}
	p := r.pools[1]
	require.LessOrEqual(t, p.youngParts, maxYoungParts)
	require.Equal(t, len(p.young), p.with[1])
	require.LessOrEqual(t, len(p.with), p.youngParts)
	require.LessOrEqual(t, len(r.records), maxRecords)
	require.LessOrEqual(t, r.AnsweredCount(), maxAnswered)
	r.TakeChanges()
	for range maxPoolEnds {
		r.pools[1].addEnd(Ending{Young: [][]uint64{make([]uint64, length)}})
	}
	require.Equal(t, map[uint64]int{0: len(p.young)}, p.with)
}
