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
