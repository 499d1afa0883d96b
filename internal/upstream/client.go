// Package upstream is the HTTP adapter to model engines and plain services. It
// sends a request at most once, resumes an interrupted stream only at the same
// engine, and checks that an answer belongs to its request. It never chooses an
// upstream and never sends a request a second time.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/citrongate/citrongate/internal/httpconn"
)

// Times and bounds of calls to upstreams.
const (
	dialTimeout   = time.Second
	cancelTimeout = 2 * time.Second
	// pollTimeout bounds calls for load, cache events and orders.
	pollTimeout = 2 * time.Second
	// maxAuxiliaryConnections bounds the connections to one upstream for resume,
	// cancel and poll calls, which are separate from those of requests.
	maxAuxiliaryConnections = 16
	// maxCancels bounds cancel calls in progress. Further ones are dropped, which
	// is safe since an engine also detects that its stream's connection was
	// closed.
	maxCancels = 64
	// maxPollBytes bounds the answer of a poll.
	maxPollBytes = 1 << 20
)

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	// requests opens a new connection for each request; see httpconn.Options.Reuse.
	requests  *httpconn.Transport
	auxiliary *httpconn.Transport
	// maxAnswer bounds the body of a plain service's answer, in bytes.
	maxAnswer int64

	cancelSlots chan struct{}
	wait        sync.WaitGroup
}

// Options bound a client.
type Options struct {
	// Connections bounds the connections to one upstream.
	Connections int
	// MaxAnswerBytes bounds the body of a plain service's answer.
	MaxAnswerBytes int64
}

// NewClient returns a client without open connections.
func NewClient(o Options) *Client {
	return &Client{
		requests:    httpconn.NewTransport(httpconn.Options{MaxPerHost: o.Connections, DialTimeout: dialTimeout}),
		auxiliary:   httpconn.NewTransport(httpconn.Options{MaxPerHost: maxAuxiliaryConnections, DialTimeout: dialTimeout, Reuse: true}),
		maxAnswer:   o.MaxAnswerBytes,
		cancelSlots: make(chan struct{}, maxCancels),
	}
}

// Close waits for cancel calls in progress and closes idle connections.
func (c *Client) Close() {
	c.wait.Wait()
	c.requests.CloseIdleConnections()
	c.auxiliary.CloseIdleConnections()
}

// Cancel asks the engine to stop a stream. It does not block.
func (c *Client) Cancel(address, id string) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		return
	}
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		defer func() { <-c.cancelSlots }()
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(address, id), nil)
		if err != nil {
			return
		}
		if resp, err := c.auxiliary.RoundTrip(req); err == nil {
			discardBody(resp)
		}
	}()
}

// newPost builds a POST whose body cannot be rewound, so that the transport cannot
// send it a second time.
func newPost(ctx context.Context, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	return req, nil
}

func streamURL(address, id string) string {
	return "http://" + address + "/v1/streams/" + url.PathEscape(id)
}

func resumeURL(address, id string, from uint32) string {
	return streamURL(address, id) + "?from=" + strconv.FormatUint(uint64(from), 10)
}

// discardBody reads a small remainder of an answer and closes its body, so that the
// connection can be reused.
func discardBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	_ = resp.Body.Close()
}
