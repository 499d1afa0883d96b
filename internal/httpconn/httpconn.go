// Package httpconn provides HTTP transports that record exactly whether any byte
// of a request was handed to a connection, that never hand one request to two
// connections, and that accept no answer whose head violates the grammar of HTTP.
// It owns the connections of its transports and never retries.
package httpconn

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citrongate/citrongate/internal/answerhead"
)

// errTooLarge is returned if a response body is larger than the limit of the call.
var errTooLarge = errors.New("the answer is larger than allowed")

// errSealed is returned by a write that the request's Guard has forbidden.
var errSealed = errors.New("the request is not sent: it was given up, is too late or was already sent on another connection")

// Options configures the connections of a transport.
type Options struct {
	// MaxPerHost bounds the connections to one address; 0 means no limit.
	MaxPerHost int
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// Reuse keeps connections open between requests. Without it, each request
	// opens a new connection. A request on a reused connection may meet a server
	// that is closing it as idle, and it is then unknown whether the request ran.
	Reuse bool
	// TLS is used for addresses with the scheme https; nil selects the default configuration.
	TLS *tls.Config
}

// idleTimeout is shorter than the keep-alive time of common servers (60 s or
// more), so that connections are seldom reused while the server closes them.
const idleTimeout = 15 * time.Second

// maxResponseHeaderBytes bounds the header block of a response.
const maxResponseHeaderBytes = 64 << 10

// Transport is an HTTP transport that checks the heads of answers. It is safe for
// concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport. The context of a request that is to be guarded
// comes from Track.
func NewTransport(o Options) *Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &Transport{base: &http.Transport{
		DialContext:            dialWith(dialer.DialContext),
		DialTLSContext:         dialWith(dialTLS(dialer.DialContext, o.TLS)),
		MaxConnsPerHost:        o.MaxPerHost,
		MaxIdleConnsPerHost:    4,
		IdleConnTimeout:        idleTimeout,
		DisableKeepAlives:      !o.Reuse,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialWith returns a function that dials and wraps the connection.
func dialWith(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
}

// dialTLS returns a function that dials and secures the connection. Its timeout is that of the
// request: an instance that is busy may take longer for a handshake than for a connection.
func dialTLS(dial dialFunc, config *tls.Config) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		own := config.Clone()
		if own == nil {
			own = &tls.Config{}
		}
		if own.ServerName == "" {
			own.ServerName = host
		}
		secured := tls.Client(raw, own)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return secured, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.beginAnswer()
		}
	}}
	return t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// Guard tracks the writes of one request and ensures that at most one connection
// receives bytes of it.
type Guard struct {
	mu sync.Mutex
	// conn is the only connection that may write the request, once it has claimed it.
	conn *conn
	// writing is true during a write.
	writing bool
	// sent counts the bytes that the kernel has accepted.
	sent int64
	// sealed forbids the first byte of the request.
	sealed bool
	// notAfter is the time from which the first byte may not be written; zero for
	// no such time.
	notAfter time.Time
}

// NotAfter forbids sending the first byte of the request at or after t.
func (g *Guard) NotAfter(t time.Time) {
	g.mu.Lock()
	g.notAfter = t
	g.mu.Unlock()
}

// Track returns a context for one request, and the guard of that request.
func Track(ctx context.Context) (context.Context, *Guard) {
	g := &Guard{}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.guard.Store(g)
			}
		},
	}
	return httptrace.WithClientTrace(ctx, trace), g
}

// Seal reports whether a byte of the request was or may have been handed to a
// connection. If not, it forbids all later writes of the request, so that the
// request may safely be sent again with another guard.
func (g *Guard) Seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.writing || g.sent > 0 {
		return true
	}
	g.sealed = true
	return false
}

// claim reserves the request for connection c before a write. It returns false if
// the write is forbidden.
func (g *Guard) claim(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := g.sent == 0 && !g.notAfter.IsZero() && !time.Now().Before(g.notAfter)
	if late || g.sealed || g.conn != nil && g.conn != c {
		return false
	}
	g.conn = c
	g.writing = true
	return true
}

// recordWrite records that the kernel accepted n bytes in a write. While it has
// accepted no byte of the request, another connection may be tried.
func (g *Guard) recordWrite(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = false
	g.sent += int64(n)
	if g.sent == 0 {
		g.conn = nil
	}
}

// conn asks the guard of its current request for permission before each write, and
// checks the head of each answer.
type conn struct {
	net.Conn
	guard atomic.Pointer[Guard]

	// mu guards head: net/http reads a kept connection while it hands it to a request.
	mu   sync.Mutex
	head answerhead.Checker
}

// beginAnswer expects the head of an answer.
func (c *conn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Begin()
}

// Read fails on a fault in the head of an answer. The size of a head is bounded by
// net/http.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if fault := c.head.Check(p[:n]); fault != nil {
		return 0, fault
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	g := c.guard.Load()
	if g == nil {
		return c.Conn.Write(p)
	}
	if !g.claim(c) {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	g.recordWrite(n)
	return n, err
}
