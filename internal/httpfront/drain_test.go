package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDrainUnderLoad guards against a planned stop that cuts requests which had just
// been accepted: every request that reached a handler is answered completely, while
// callers keep sending on open and on new connections until the server has gone.
func TestDrainUnderLoad(t *testing.T) {
	var handled, answered atomic.Int64
	server := plainServer(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
	stopped := make(chan struct{})
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
					answered.Add(callUntilClosed(server.Address()))
				}
			}
		})
	}
	require.Eventually(t, func() bool { return handled.Load() > 200 }, 10*time.Second, time.Millisecond)
	limit, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	server.Drain(limit)
	require.False(t, server.Busy())
	for c := range server.conns.Range {
		require.True(t, c.(*connection).drainedNow(), "a connection with a request is left open")
	}
	close(stopped)
	callers.Wait()
	require.Equal(t, handled.Load(), answered.Load())
}

// drainedNow reports whether the connection takes no further request.
func (c *connection) drainedNow() bool {
	c.drainIfIdle()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drained
}

// callUntilClosed sends requests on one connection until it closes, and returns the
// number of complete answers with status 200.
func callUntilClosed(address string) (complete int64) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return complete
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return complete
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK || string(body) != "ok" {
			return complete
		}
		complete++
	}
}

// TestDrainWaitsForReceivedRequest guards against a stop that cuts a request while it
// is received or answered.
func TestDrainWaitsForReceivedRequest(t *testing.T) {
	server := plainServer(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
	conn, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer conn.Close()
	idle, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer idle.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		receiving := false
		for c := range server.conns.Range {
			c := c.(*connection)
			c.mu.Lock()
			receiving = receiving || c.received
			c.mu.Unlock()
		}
		return receiving
	}, 10*time.Second, time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Drain(context.Background())
	}()
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed at once")
	_, err = io.WriteString(conn, "Host: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	<-done
}
