package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// pipelineServer starts a server whose handler answers with the path.
func pipelineServer(t *testing.T, connections int, handler http.HandlerFunc) *Server {
	server, err := NewServer(ServerConfig{Address: "127.0.0.1:0", MaxBodyBytes: 4096, MaxHeaderBytes: 4096, MaxConnections: connections,
		MaxBufferedBytes: 1 << 20, ReadTimeout: time.Minute, InputErrorBody: BadInputBody, Log: zerolog.Nop(), Handler: handler})
	require.NoError(t, err)
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)
	return server
}

func echoPath(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, r.URL.Path)
}

// TestPipelinedRequestsAreAnsweredInOrder guards against pipelined requests that are dropped, so that later answers come at their
// place: each is answered once and in order, whatever time the first takes and how the requests arrive.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	for _, slowFirst := range []bool{false, true} {
		for _, requests := range []int{1, 4, 5, 6, 7, 60, 500} {
			t.Run(fmt.Sprintf("%d requests, slow first %v", requests, slowFirst), func(t *testing.T) {
				t.Parallel()
				release := make(chan struct{})
				server := pipelineServer(t, 10, func(w http.ResponseWriter, r *http.Request) {
					if slowFirst && r.URL.Path == "/0" {
						<-release
					}
					echoPath(w, r)
				})
				conn, err := net.Dial("tcp", server.Address())
				require.NoError(t, err)
				defer conn.Close()
				require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
				var text strings.Builder
				for n := range requests {
					body := strings.Repeat("x", n%7)
					fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, len(body), body)
				}
				go func() { _, _ = io.WriteString(conn, text.String()) }()
				if slowFirst {
					time.AfterFunc(50*time.Millisecond, func() { close(release) })
				}
				reader := bufio.NewReader(conn)
				for n := range requests {
					response, err := http.ReadResponse(reader, nil)
					require.NoError(t, err)
					body, err := io.ReadAll(response.Body)
					require.NoError(t, err)
					require.Equal(t, fmt.Sprintf("/%d", n), string(body))
				}
			})
		}
	}
}

// TestPipelineWithoutEnd guards against callers that pipeline without end while their first request waits: few requests of each
// are held, and they end when the caller leaves.
func TestPipelineWithoutEnd(t *testing.T) {
	const callers, perCaller = 200, maxPipelined + 2
	var started atomic.Int64
	block := make(chan struct{})
	server := pipelineServer(t, callers, func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		<-block
		echoPath(w, r)
	})
	var before, held runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, callers)
	for i := range conns {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		conns[i] = conn
		go func() {
			request := []byte("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("x", 100))
			for {
				if _, err := conn.Write(request); err != nil {
					return
				}
			}
		}()
	}
	require.Eventually(t, func() bool { return started.Load() == callers }, 20*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return server.unfinished.Load() == callers*(perCaller-1) }, 20*time.Second, 5*time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&held)
	require.Less(t, held.HeapAlloc, before.HeapAlloc+callers*64<<10)
	for _, conn := range conns {
		_ = conn.Close()
	}
	close(block)
	require.Eventually(t, func() bool { return server.OpenConnections() == 0 && !server.Busy() }, 20*time.Second, 5*time.Millisecond)
}

// TestMalformedRequestLeavesTheOthers guards against an answer that is cut off because the caller has sent a malformed
// request after its own: the requests before it are answered, each whole, then it is answered 400, and the
// connection is closed.
func TestMalformedRequestLeavesTheOthers(t *testing.T) {
	for _, before := range []int{1, 2, 5, 60} {
		for _, apart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d before, apart %v", before, apart), func(t *testing.T) {
				t.Parallel()
				server := pipelineServer(t, 10, func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(5 * time.Millisecond)
					echoPath(w, r)
				})
				conn, err := net.Dial("tcp", server.Address())
				require.NoError(t, err)
				defer conn.Close()
				require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
				var text strings.Builder
				for i := range before {
					fmt.Fprintf(&text, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
				}
				_, err = io.WriteString(conn, text.String())
				require.NoError(t, err)
				if apart {
					time.Sleep(2 * time.Millisecond)
				}
				_, err = io.WriteString(conn, "GET /odd HTTP/1.1\r\nHost : h\r\n\r\nGET /after HTTP/1.1\r\nHost: h\r\n\r\n")
				require.NoError(t, err)
				reader := bufio.NewReader(conn)
				for i := range before {
					response, err := http.ReadResponse(reader, nil)
					require.NoError(t, err)
					body, err := io.ReadAll(response.Body)
					require.NoError(t, err)
					require.Equal(t, fmt.Sprintf("/%d", i), string(body))
				}
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusBadRequest, response.StatusCode)
				_, err = io.ReadAll(response.Body)
				require.NoError(t, err)
				_, err = http.ReadResponse(reader, nil)
				require.Error(t, err, "an answer after the end")
			})
		}
	}
}
