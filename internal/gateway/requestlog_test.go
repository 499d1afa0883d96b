package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLoggedPartsAreBounded guards against log lines that are as long as a prompt has parts.
func TestLoggedPartsAreBounded(t *testing.T) {
	parts := make([]uint64, 1000)
	for i := range parts {
		parts[i] = uint64(i)
	}
	require.Empty(t, partsText(nil))
	require.Equal(t, "0 1 2", partsText(parts[:3]))
	require.True(t, strings.HasSuffix(partsText(parts[:64]), " 3e 3f"))
	require.True(t, strings.HasSuffix(partsText(parts), " 3e 3f and 936 more"))
}
