// Package platform is the edge to the platform's object API and instance list.
// It performs one call at a time as told and maps answers to store statuses.
// It never retries; the decisions own budgets and backoff.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/citrongate/citrongate/internal/httpconn"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/store"
)

const (
	// maxValueBytes is the largest value of the object API.
	maxValueBytes = 1 << 20
	// maxListBytes bounds the answer of a listing.
	maxListBytes = 16 << 20
	// connections bounds the connections to the platform.
	connections = 16
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	// reads reuses connections; its transport repeats a read that meets a
	// connection that was just closed.
	reads *http.Transport
	// writes has a fresh connection per call, so that the closing of an idle
	// connection never leaves it unknown whether a write took effect.
	writes *http.Transport
}

// NewClient returns a client of the platform at address. A call counts as
// unanswered after timeout.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{
		base:    "http://" + address,
		timeout: timeout,
		reads:   httpconn.NewTransport(httpconn.Options{MaxPerHost: connections, DialTimeout: timeout, Reuse: true}),
		writes:  httpconn.NewTransport(httpconn.Options{MaxPerHost: connections, DialTimeout: timeout}),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.reads.CloseIdleConnections()
	c.writes.CloseIdleConnections()
}

// answer is one HTTP answer or what is known without it.
type answer struct {
	status int
	etag   string
	body   []byte
	// lost is true if the request may have been received but no whole answer arrived.
	lost bool
	// unsent is true if no byte of the request reached the connection.
	unsent bool
}

// Do performs one operation.
func (c *Client) Do(ctx context.Context, op store.Op) store.Result {
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	switch op.Kind {
	case store.Get:
		return readResult(c.exchange(ctx, http.MethodGet, objectPath(op.Key), nil, nil, maxValueBytes))
	case store.List:
		return listResult(c.exchange(ctx, http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(op.Key), nil, nil, maxListBytes))
	case store.Create:
		return writeResult(c.exchange(ctx, http.MethodPut, objectPath(op.Key), http.Header{"If-None-Match": {"*"}}, op.Value, maxValueBytes), true)
	case store.Update:
		return writeResult(c.exchange(ctx, http.MethodPut, objectPath(op.Key), ifMatch(op.Version), op.Value, maxValueBytes), true)
	case store.Delete:
		return writeResult(c.exchange(ctx, http.MethodDelete, objectPath(op.Key), ifMatch(op.Version), nil, maxValueBytes), false)
	}
	return store.Result{Status: store.Unavailable}
}

func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

func ifMatch(version uint64) http.Header {
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
}

// exchange sends one request and reads its whole answer.
func (c *Client) exchange(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) answer {
	transport, sealed := c.reads, func() bool { return true }
	if method != http.MethodGet {
		tracked, guard := httpconn.Track(ctx)
		ctx, transport, sealed = tracked, c.writes, guard.Seal
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return answer{unsent: true}
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
		sent := sealed()
		return answer{lost: sent, unsent: !sent}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil || int64(len(text)) > limit {
		return answer{status: resp.StatusCode, lost: true}
	}
	return answer{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: text}
}

// refusalStatus maps answers that say that nothing was done.
func refusalStatus(a answer) (store.Status, bool) {
	switch {
	case a.unsent:
		return store.Unavailable, true
	case a.status == http.StatusTooManyRequests:
		return store.Throttled, true
	case a.status == http.StatusServiceUnavailable:
		return store.Unavailable, true
	case a.lost:
		return 0, false
	case a.status == http.StatusNotFound:
		return store.NotFound, true
	case a.status == http.StatusPreconditionFailed || a.status == http.StatusConflict:
		return store.Conflict, true
	case a.status >= 400 && a.status < 500:
		return store.Unavailable, true
	}
	return 0, false
}

// readResult maps the answer of a read. A lost answer of a read has no effect
// to be uncertain about.
func readResult(a answer) store.Result {
	if status, ok := refusalStatus(a); ok {
		return store.Result{Status: status}
	}
	version, err := parseETag(a.etag)
	if a.lost || a.status != http.StatusOK || err != nil {
		return store.Result{Status: store.Unavailable}
	}
	return store.Result{Status: store.OK, Value: a.body, Version: version}
}

// writeResult maps the answer of a write; versioned is false for deletions.
func writeResult(a answer, versioned bool) store.Result {
	if status, ok := refusalStatus(a); ok {
		return store.Result{Status: status}
	}
	if a.lost || a.status < 200 || a.status >= 300 {
		return store.Result{Status: store.Unknown}
	}
	if !versioned {
		return store.Result{Status: store.OK}
	}
	version, err := parseETag(a.etag)
	if err != nil {
		return store.Result{Status: store.Unknown}
	}
	return store.Result{Status: store.OK, Version: version}
}

func parseETag(etag string) (uint64, error) {
	text, err := strconv.Unquote(etag)
	if err != nil {
		return 0, fmt.Errorf("ETag %.40q is not a quoted version", etag)
	}
	return strconv.ParseUint(text, 10, 64)
}

// listing is the answer of a listing.
type listing struct {
	Objects []struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
	} `json:"objects"`
}

func listResult(a answer) store.Result {
	if status, ok := refusalStatus(a); ok {
		return store.Result{Status: status}
	}
	var l listing
	if a.lost || a.status != http.StatusOK || json.Unmarshal(a.body, &l) != nil {
		return store.Result{Status: store.Unavailable}
	}
	result := store.Result{Status: store.OK}
	for _, o := range l.Objects {
		result.Entries = append(result.Entries, store.Entry{Key: o.Key, Version: o.Version})
	}
	return result
}

// instanceList is the answer of GET /v1/instances.
type instanceList struct {
	Instances []struct {
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
		Upstream    bool   `json:"upstream"`
		PeerAddress string `json:"peer_address"`
		Leaving     bool   `json:"leaving"`
	} `json:"instances"`
}

// Instances reads the instance list.
func (c *Client) Instances(ctx context.Context) node.InstanceList {
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	a := c.exchange(ctx, http.MethodGet, "/v1/instances", nil, nil, maxListBytes)
	var l instanceList
	if a.lost || a.status != http.StatusOK || json.Unmarshal(a.body, &l) != nil {
		return node.InstanceList{}
	}
	out := node.InstanceList{OK: true}
	for _, i := range l.Instances {
		out.Instances = append(out.Instances, node.ListedInstance{
			Name: i.Name, Incarnation: i.Incarnation, Upstream: i.Upstream,
			PeerAddress: i.PeerAddress, Leaving: i.Leaving,
		})
	}
	return out
}

// Registration announces an entry instance to the platform.
type Registration struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
}

// Register keeps the instance on the instance list for a few seconds. It
// returns false if the platform did not accept the registration.
func (c *Client) Register(ctx context.Context, r Registration) bool {
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	text, err := json.Marshal(r)
	if err != nil {
		return false
	}
	a := c.exchange(ctx, http.MethodPost, "/v1/instances", http.Header{"Content-Type": {"application/json"}}, text, maxValueBytes)
	return !a.lost && a.status >= 200 && a.status < 300
}
