package httpconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// Answer is an HTTP response, or what is known of the call if there is none.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Lost is true if the request may have been received but no complete response
	// arrived.
	Lost bool
	// Unsent is true if no byte of the request reached a connection.
	Unsent bool
	// Err is the reason why there is no complete response.
	Err error
}

// Caller is an HTTP client for an object store. For each failed call it reports
// whether the call may have taken effect. It never repeats a write. It is safe for
// concurrent use.
type Caller struct {
	base    string
	timeout time.Duration
	// reads reuses connections; the transport repeats a read whose connection the
	// server has just closed.
	reads *Transport
	// writes opens a new connection for each call, so that a server closing an idle
	// connection never leaves it unknown whether a write took effect.
	writes *Transport
}

// NewCaller returns a client of the service at address, with at most connections
// open connections per transport. A call fails after timeout.
func NewCaller(address string, connections int, timeout time.Duration) *Caller {
	return &Caller{
		base:    "http://" + address,
		timeout: timeout,
		reads:   NewTransport(Options{MaxPerHost: connections, DialTimeout: timeout, Reuse: true}),
		writes:  NewTransport(Options{MaxPerHost: connections, DialTimeout: timeout}),
	}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.reads.CloseIdleConnections()
	c.writes.CloseIdleConnections()
}

// Call sends one request and reads the complete response body, of at most limit
// bytes.
func (c *Caller) Call(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) Answer {
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	transport, mayBeSent := c.reads, func() bool { return true }
	if method != http.MethodGet {
		tracked, guard := Track(ctx)
		ctx, transport, mayBeSent = tracked, c.writes, guard.Seal
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return Answer{Unsent: true, Err: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		sent := mayBeSent()
		return Answer{Lost: sent, Unsent: !sent, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = errTooLarge
	}
	if err != nil {
		return Answer{Status: resp.StatusCode, Lost: true, Err: err}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: text}
}
