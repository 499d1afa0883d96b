package predict

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"
)

// TestFallback guards against a pair that is predicted from a single outlier and
// against a kind without observations that gets no prediction.
func TestFallback(t *testing.T) {
	p := New(Config{Prior: Estimate{Mean: 50, High: 90}})
	require.Equal(t, Estimate{50, 90}, p.Predict(1, 1))
	for range 20 {
		p.Observe(1, 1, 100)
	}
	p.Observe(1, 2, 4000)
	require.Equal(t, uint32(100), p.Predict(1, 1).Mean)
	require.Less(t, p.Predict(1, 2).Mean, uint32(400), "few observations: the kind decides")
	require.Equal(t, Estimate{50, 90}, p.Predict(2, 1))
}

// TestQuantileAgainstSorting guards against a wrong quantile: it must lie
// within one bucket of the exact one.
func TestQuantileAgainstSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths := rapid.SliceOfN(rapid.Uint32Range(1, 20_000), minSamples+2, 60).Draw(t, "lengths")
		p := New(Config{})
		for _, length := range lengths {
			p.Observe(1, 1, length)
		}
		got := p.Predict(1, 1)
		slices.Sort(lengths)
		// Decay shifts the rank by a few places among 60.
		low := lengths[int(0.8*float64(len(lengths)))-1]
		high := lengths[len(lengths)-1]
		require.GreaterOrEqual(t, float64(got.High)*1.5, float64(low))
		require.LessOrEqual(t, float64(got.High), float64(high)*1.5+1)
		require.GreaterOrEqual(t, got.High, got.Mean)
	})
}

// TestStateIsBounded guards against growth with the number of organisations,
// and against eviction of a pair that is in use.
func TestStateIsBounded(t *testing.T) {
	p := New(Config{MaxPairs: 100, MaxKinds: 10})
	for org := range uint32(11_000) {
		p.Observe(org%30, org, 10)
		p.Observe(77, 77, 500)
	}
	require.Len(t, p.pairs.entries, 100)
	require.Len(t, p.pairs.index, 100)
	require.Len(t, p.kinds.index, 10)
	require.Equal(t, uint32(500), p.Predict(77, 77).Mean)
	require.Zero(t, testing.AllocsPerRun(1000, func() { p.Observe(77, 77, 500); p.Predict(77, 77) }))
}

// TestFollowsChange guards against a prediction that never forgets old observations.
func TestFollowsChange(t *testing.T) {
	p := New(Config{})
	for range 1000 {
		p.Observe(1, 1, 50)
	}
	for range 600 {
		p.Observe(1, 1, 1000)
	}
	require.Greater(t, p.Predict(1, 1).Mean, uint32(900))
}
