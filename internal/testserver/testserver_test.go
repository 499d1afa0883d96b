package testserver_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
)

// TestRefuse guards against an address of a server that does not listen and that another
// listener gets while a test still connects to it: the request then reaches another test.
func TestRefuse(t *testing.T) {
	address := testserver.Refuse(t)
	_, err := net.Listen("tcp", address)
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	_, err = net.Dial("tcp", address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
