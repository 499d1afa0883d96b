package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStoreStatusKeepsNewest guards against an older call that ends late and hides
// that the store is away, or that it is back.
func TestStoreStatusKeepsNewest(t *testing.T) {
	var s storeStatus
	require.True(t, s.available())
	older, newer := s.begin(), s.begin()
	s.end(newer, false)
	s.end(older, true)
	require.False(t, s.available())
	s.end(s.begin(), true)
	require.True(t, s.available())
}
