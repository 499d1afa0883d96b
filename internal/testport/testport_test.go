package testport_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testport"
)

// TestTake guards against an address that is returned twice or is in use.
func TestTake(t *testing.T) {
	seen := map[string]bool{}
	for range 5 {
		addresses, err := testport.Reserve(3)
		require.NoError(t, err)
		for _, a := range addresses {
			require.False(t, seen[a], a)
			seen[a] = true
			l, err := net.Listen("tcp", a)
			require.NoError(t, err)
			l.Close()
		}
	}
}
