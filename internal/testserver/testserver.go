// Package testserver starts servers for tests that handle each connection with a
// script, so that a test decides every byte that is sent.
package testserver

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
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

// Refuse returns a loopback address that refuses connections. Its port stays bound until
// the end of the test, so that no other listener, of this or another process, gets it.
func Refuse(t testing.TB) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}
