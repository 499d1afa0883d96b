// Package platform is the edge to the platform's object API and instance list.
// It performs one call at a time as told and maps answers to store statuses.
// It never retries; the decisions own budgets and backoff.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
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
type Client struct{ caller *httpconn.Caller }

// NewClient returns a client of the platform at address. A call counts as
// unanswered after timeout.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{caller: httpconn.NewCaller(address, connections, timeout)}
}

// Close closes idle connections.
func (c *Client) Close() { c.caller.Close() }

// Do performs one operation.
func (c *Client) Do(ctx context.Context, op store.Op) store.Result {
	switch op.Kind {
	case store.Get:
		return readResult(c.caller.Call(ctx, http.MethodGet, objectPath(op.Key), nil, nil, maxValueBytes))
	case store.List:
		return listResult(c.caller.Call(ctx, http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(op.Key), nil, nil, maxListBytes))
	case store.Create:
		return writeResult(c.caller.Call(ctx, http.MethodPut, objectPath(op.Key), http.Header{"If-None-Match": {"*"}}, op.Value, maxValueBytes), true)
	case store.Update:
		return writeResult(c.caller.Call(ctx, http.MethodPut, objectPath(op.Key), ifMatch(op.Version), op.Value, maxValueBytes), true)
	case store.Delete:
		return writeResult(c.caller.Call(ctx, http.MethodDelete, objectPath(op.Key), ifMatch(op.Version), nil, maxValueBytes), false)
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

// refusalStatus maps answers that say that nothing was done.
func refusalStatus(a httpconn.Answer) (store.Status, bool) {
	switch {
	case a.Unsent:
		return store.Unavailable, true
	case a.Status == http.StatusTooManyRequests:
		return store.Throttled, true
	case a.Status == http.StatusServiceUnavailable:
		return store.Unavailable, true
	case a.Lost:
		return 0, false
	case a.Status == http.StatusNotFound:
		return store.NotFound, true
	case a.Status == http.StatusPreconditionFailed || a.Status == http.StatusConflict:
		return store.Conflict, true
	case a.Status >= 400 && a.Status < 500:
		return store.Unavailable, true
	}
	return 0, false
}

// readResult maps the answer of a read. A lost answer of a read has no effect
// to be uncertain about.
func readResult(a httpconn.Answer) store.Result {
	if status, ok := refusalStatus(a); ok {
		return store.Result{Status: status}
	}
	version, err := parseETag(a.Header.Get("ETag"))
	if a.Lost || a.Status != http.StatusOK || err != nil {
		return store.Result{Status: store.Unavailable}
	}
	return store.Result{Status: store.OK, Value: a.Body, Version: version}
}

// writeResult maps the answer of a write; versioned is false for deletions.
func writeResult(a httpconn.Answer, versioned bool) store.Result {
	if status, ok := refusalStatus(a); ok {
		return store.Result{Status: status}
	}
	if a.Lost || a.Status < 200 || a.Status >= 300 {
		return store.Result{Status: store.Unknown}
	}
	if !versioned {
		return store.Result{Status: store.OK}
	}
	version, err := parseETag(a.Header.Get("ETag"))
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

func listResult(a httpconn.Answer) store.Result {
	if status, ok := refusalStatus(a); ok {
		return store.Result{Status: status}
	}
	var l listing
	if a.Lost || a.Status != http.StatusOK || json.Unmarshal(a.Body, &l) != nil {
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
	a := c.caller.Call(ctx, http.MethodGet, "/v1/instances", nil, nil, maxListBytes)
	var l instanceList
	if a.Lost || a.Status != http.StatusOK || json.Unmarshal(a.Body, &l) != nil {
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
	text, err := json.Marshal(r)
	if err != nil {
		return false
	}
	a := c.caller.Call(ctx, http.MethodPost, "/v1/instances", http.Header{"Content-Type": {"application/json"}}, text, maxValueBytes)
	return !a.Lost && a.Status >= 200 && a.Status < 300
}
