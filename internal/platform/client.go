// Package platform is the HTTP client for the platform's object API and instance
// list. Each method makes one call and maps its answer to a store status. It never
// retries; retry budgets and backoff are left to the code that decides on calls.
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
	// maxValueBytes bounds an object's value in the object API.
	maxValueBytes = 1 << 20
	// maxListBytes bounds the answer to a listing.
	maxListBytes = 16 << 20
	// maxConnections bounds the connections to the platform.
	maxConnections = 16
)

// Client calls the platform. It is safe for concurrent use.
type Client struct{ caller *httpconn.Caller }

// NewClient returns a client for the platform at address. A call without an answer
// within timeout counts as unanswered.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{caller: httpconn.NewCaller(address, maxConnections, timeout)}
}

// Close closes idle connections.
func (c *Client) Close() { c.caller.Close() }

// Execute performs one operation on the object API.
func (c *Client) Execute(ctx context.Context, op store.Op) store.Result {
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

// noEffectStatus returns the status of an answer, and true, if the answer shows that
// the operation had no effect.
func noEffectStatus(a httpconn.Answer) (store.Status, bool) {
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

// readResult maps the answer of a read. Since a read has no effect, a lost answer
// is reported as Unavailable, not as Unknown.
func readResult(a httpconn.Answer) store.Result {
	if status, ok := noEffectStatus(a); ok {
		return store.Result{Status: status}
	}
	version, err := parseETag(a.Header.Get("ETag"))
	if a.Lost || a.Status != http.StatusOK || err != nil {
		return store.Result{Status: store.Unavailable}
	}
	return store.Result{Status: store.OK, Value: a.Body, Version: version}
}

// writeResult maps the answer of a write; versioned is false for deletions, whose
// answer has no version. If the write may have taken effect without a usable
// answer, the status is Unknown.
func writeResult(a httpconn.Answer, versioned bool) store.Result {
	if status, ok := noEffectStatus(a); ok {
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

// parseETag reads the version of an object from the ETag header.
func parseETag(etag string) (uint64, error) {
	text, err := strconv.Unquote(etag)
	if err != nil {
		return 0, fmt.Errorf("ETag %.40q is not a quoted version", etag)
	}
	return strconv.ParseUint(text, 10, 64)
}

// listing is the answer to GET /v1/objects with a prefix.
type listing struct {
	Objects []struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
	} `json:"objects"`
}

func listResult(a httpconn.Answer) store.Result {
	if status, ok := noEffectStatus(a); ok {
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

// instanceList is the answer to GET /v1/instances.
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

// Registration is the body of POST /v1/instances, which registers an instance with
// the platform.
type Registration struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
}

// Register puts the instance on the instance list, or keeps it there, for a few
// seconds. It returns false if the platform did not accept the registration.
func (c *Client) Register(ctx context.Context, r Registration) bool {
	text, err := json.Marshal(r)
	if err != nil {
		return false
	}
	a := c.caller.Call(ctx, http.MethodPost, "/v1/instances", http.Header{"Content-Type": {"application/json"}}, text, maxValueBytes)
	return !a.Lost && a.Status >= 200 && a.Status < 300
}
