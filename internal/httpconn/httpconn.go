// Package httpconn makes HTTP transports that know exactly whether a byte of a
// request was handed to a connection, and that never hand one request to two
// connections. It owns the connections of its transports. It never retries.
package httpconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// errTooLarge means that an answer is larger than its caller allows.
var errTooLarge = errors.New("the answer is larger than allowed")

// errSealed is returned by a write that must not happen any more.
var errSealed = errors.New("the request was given up, is too late or was already sent on another connection; it is not sent")

// Options bound the connections of a transport.
type Options struct {
	// MaxPerHost bounds the connections to one address; 0 means no bound.
	MaxPerHost int
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// Reuse keeps connections open between requests. Without it each request
	// has a fresh connection, so that a server closing an idle connection can
	// not leave it unknown whether a request ran.
	Reuse bool
}

// idleTimeout is shorter than the keep-alive time of common servers (60 s or
// more), so that connections are seldom reused while the server closes them.
const idleTimeout = 15 * time.Second

// maxResponseHeaderBytes bounds the header block of an upstream's answer.
const maxResponseHeaderBytes = 64 << 10

// NewTransport returns a transport for requests made with contexts from Track.
func NewTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: raw}, nil
		},
		MaxConnsPerHost:        o.MaxPerHost,
		MaxIdleConnsPerHost:    4,
		IdleConnTimeout:        idleTimeout,
		DisableKeepAlives:      !o.Reuse,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// Guard follows one request. At most one connection ever receives bytes of it.
type Guard struct {
	mu     sync.Mutex
	conn   *conn
	busy   bool
	sent   int64
	sealed bool
	// notAfter is the time from which no first byte may be written; zero for none.
	notAfter time.Time
}

// NotAfter forbids to start sending at or after t.
func (g *Guard) NotAfter(t time.Time) {
	g.mu.Lock()
	g.notAfter = t
	g.mu.Unlock()
}

// Track returns a context for one request and the request's guard.
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

// Seal forbids further bytes on any connection that has not started yet and
// reports whether a byte of the request was or may have been handed to a
// connection. A caller that gets false may send the request again.
func (g *Guard) Seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy || g.sent > 0 {
		return true
	}
	g.sealed = true
	return false
}

// claim reserves the request for connection c before a write.
func (g *Guard) claim(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := g.sent == 0 && !g.notAfter.IsZero() && !time.Now().Before(g.notAfter)
	if late || g.sealed || g.conn != nil && g.conn != c {
		return false
	}
	g.conn = c
	g.busy = true
	return true
}

// settle records the result of a write on c. If the kernel took no byte in all,
// another connection may still be tried.
func (g *Guard) settle(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
	g.sent += int64(n)
	if g.sent == 0 {
		g.conn = nil
	}
}

// conn asks the guard of its present request before each write.
type conn struct {
	net.Conn
	guard atomic.Pointer[Guard]
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
	g.settle(n)
	return n, err
}
