// Package testserver starts servers for tests that handle each connection with a
// script, so that a test decides every byte that is sent.
package testserver

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Listen starts a server on a loopback address that handles each connection with serve
// and then closes it, and returns its address. It stops accepting at the end of the test.
func Listen(t testing.TB, serve func(c net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return listener.Addr().String()
}
