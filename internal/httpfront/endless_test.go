package httpfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// plainServer starts a server with a handler of net/http's kind and room for
// buffered bytes of bodies.
func plainServer(t *testing.T, buffered int64, handler http.HandlerFunc) *Server {
	t.Helper()
	server, err := NewServer(ServerConfig{
		Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20, MaxHeaderBytes: 2048, MaxConnections: 200, MaxBufferedBytes: buffered,
		ReadTimeout: 5 * time.Second, Handler: handler, InputErrorBody: BadInputBody, Log: zerolog.Nop(),
	})
	require.NoError(t, err)
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)
	return server
}

// endlessRequests are requests of which a part never ends.
var endlessRequests = map[string]struct{ start, text string }{
	"method":          {"", "A"},
	"target":          {"POST /", "x"},
	"one header":      {"POST / HTTP/1.1\r\nHost: h\r\nA: ", "x"},
	"header lines":    {"POST / HTTP/1.1\r\nHost: h\r\n", "A: b\r\n"},
	"chunk size":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"chunks":          {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"large chunk":     {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", "x"},
	"trailer line":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\nA: ", "x"},
	"trailer lines":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\n", "A: b\r\n"},
	"body":            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", "x"},
}

// TestEndlessRequests guards against a caller whose request never ends: the bytes
// held for it are bounded, its connection is closed, and other callers are served
// meanwhile.
func TestEndlessRequests(t *testing.T) {
	const buffered = 4 << 20
	server := plainServer(t, buffered, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for name, c := range endlessRequests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Address())
			require.NoError(t, err)
			defer conn.Close()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			_, err = io.WriteString(conn, c.start)
			block := strings.Repeat(c.text, 1+4096/len(c.text))
			written := 0
			require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			for err == nil {
				var n int
				n, err = io.WriteString(conn, block)
				written += n
				require.LessOrEqual(t, server.buffered.Load(), int64(buffered)+readBufferBytes)
			}
			require.NotErrorIs(t, err, context.DeadlineExceeded)
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(must(http.NewRequest(http.MethodPost, "http://"+server.Address(), strings.NewReader("x"))))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			_ = resp.Body.Close()
		})
	}
	require.Eventually(t, func() bool { return server.buffered.Load() == 0 }, 10*time.Second, 10*time.Millisecond)
}

func must(r *http.Request, err error) *http.Request {
	if err != nil {
		panic(err)
	}
	return r
}

// TestIncompleteBodiesCount guards against bodies that fill the memory before they
// are complete: the bytes received so far count against the bound.
func TestIncompleteBodiesCount(t *testing.T) {
	const buffered, callers, length = 1 << 20, 8, 512 << 10
	server := plainServer(t, buffered, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	refused := make(chan string, callers)
	var wait sync.WaitGroup
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
		wait.Wait()
	}()
	for range callers {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		conns = append(conns, conn)
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length-1))
		require.NoError(t, err)
		wait.Go(func() {
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && resp.StatusCode == http.StatusServiceUnavailable {
				refused <- resp.Status
			}
		})
	}
	select {
	case <-refused:
	case <-time.After(3 * time.Second):
		require.FailNow(t, "incomplete bodies of four times the bound are held")
	}
	require.LessOrEqual(t, server.buffered.Load(), int64(buffered)+callers*readBufferBytes)
}
