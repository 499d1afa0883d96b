package experiment_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/simtest/experiment"
)

// TestReplay guards against runs that are not determined by their seed.
func TestReplay(t *testing.T) {
	calm := experiment.Patterns()[0]
	first := experiment.Run(calm, experiment.Base(), 3)
	require.Equal(t, first, experiment.Run(calm, experiment.Base(), 3))
	require.NotEqual(t, first, experiment.Run(calm, experiment.Base(), 4))
}
