package httpconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
)

// cutServer answers the first request of each connection and closes the
// connection after it has read `cut` bytes of the second one.
type cutServer struct {
	listener net.Listener
	mu       sync.Mutex
	// starts counts the connections on which a byte of a second request arrived.
	starts int
	wait   sync.WaitGroup
}

func newCutServer(t *testing.T, firstLength, cut int) *cutServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &cutServer{listener: listener}
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.wait.Add(1)
			go s.serve(c, firstLength, cut)
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); s.wait.Wait() })
	return s
}

func (s *cutServer) serve(c net.Conn, firstLength, cut int) {
	defer s.wait.Done()
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, firstLength)); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	n, _ := io.ReadFull(c, make([]byte, cut))
	if n > 0 {
		s.mu.Lock()
		s.starts++
		s.mu.Unlock()
	}
}

// post sends one guarded request and reports whether any byte of it may have been
// sent.
func post(t *testing.T, transport *Transport, address, body string) (bool, error) {
	t.Helper()
	ctx, guard := Track(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/call/x", bytes.NewReader([]byte(body)))
	require.NoError(t, err)
	// With this header and a replayable body, net/http regards the request as safe
	// to repeat.
	req.Header.Set("Idempotency-Key", "k")
	resp, err := transport.RoundTrip(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return guard.Seal(), err
}

// TestReusedConnectionCutAtEveryByte guards against the retry of net/http's
// transport: without the guard, a request with an idempotency key is sent again on
// another connection when the server closes the reused one.
func TestReusedConnectionCutAtEveryByte(t *testing.T) {
	for _, body := range []string{"", "hello"} {
		length := requestLength(t, body)
		for cut := 1; cut <= length; cut++ {
			server := newCutServer(t, length, cut)
			transport := NewTransport(Options{Reuse: true, DialTimeout: time.Second})
			address := server.listener.Addr().String()
			sent, err := post(t, transport, address, body)
			require.NoError(t, err)
			require.True(t, sent)

			sent, err = post(t, transport, address, body)
			require.Error(t, err, "cut after %d bytes", cut)
			require.True(t, sent, "cut after %d bytes", cut)
			transport.CloseIdleConnections()
			_ = server.listener.Close()
			server.wait.Wait()
			require.LessOrEqual(t, server.starts, 1, "cut after %d bytes", cut)
		}
	}
}

// requestLength returns the number of bytes that post writes for the body.
func requestLength(t *testing.T, body string) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	length := make(chan int, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req := &countingReader{r: c}
		total := 0
		buf := make([]byte, 4096)
		for !bytes.Contains(req.seen, []byte("\r\n\r\n")) || len(body) > 0 && !bytes.HasSuffix(req.seen, []byte(body)) {
			n, err := req.Read(buf)
			total += n
			if err != nil {
				break
			}
		}
		length <- total
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}()
	transport := NewTransport(Options{DialTimeout: time.Second, Reuse: true})
	defer transport.CloseIdleConnections()
	_, err = post(t, transport, listener.Addr().String(), body)
	require.NoError(t, err)
	return <-length
}

type countingReader struct {
	r    io.Reader
	seen []byte
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.seen = append(c.seen, p[:n]...)
	return n, err
}

// TestConnectRefusedIsNotSent guards against reporting a request as sent when the
// connection was refused.
func TestConnectRefusedIsNotSent(t *testing.T) {
	address := testserver.Refuse(t)
	sent, err := post(t, NewTransport(Options{DialTimeout: time.Second}), address, "x")
	require.Error(t, err)
	require.False(t, sent)
}

// TestSealStopsLateWrite guards against a write that starts after the request
// was reported as unsent.
func TestSealStopsLateWrite(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	g := &Guard{}
	c := &conn{Conn: client}
	c.guard.Store(g)
	require.False(t, g.Seal())
	n, err := c.Write([]byte("x"))
	require.Zero(t, n)
	require.ErrorIs(t, err, errSealed)
}

// TestSecondConnectionRefused guards against bytes of one request on two
// connections.
func TestSecondConnectionRefused(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	g := &Guard{}
	first := &conn{Conn: client}
	first.guard.Store(g)
	_, err := first.Write([]byte("x"))
	require.NoError(t, err)
	second := &conn{Conn: client}
	second.guard.Store(g)
	_, err = second.Write([]byte("x"))
	require.ErrorIs(t, err, errSealed)
	require.True(t, g.Seal())
	_ = client.Close()
}

// TestNotAfter guards against an order that is sent after the safety margin of its
// lease.
func TestNotAfter(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	g := &Guard{}
	g.NotAfter(time.Now())
	c := &conn{Conn: client}
	c.guard.Store(g)
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, errSealed)
	require.False(t, g.Seal())
}
