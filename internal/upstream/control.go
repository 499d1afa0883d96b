package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/citrongate/citrongate/internal/httpconn"
	"github.com/citrongate/citrongate/pkg/node"
)

// Order is an order to an upstream, with the fencing number that lets the upstream
// refuse outdated orders.
type Order struct {
	FencingNumber uint64 `json:"fencing_number"`
	Verb          string `json:"verb"`
	Argument      string `json:"argument"`
}

// SendOrder sends an order at most once, and only before notAfter.
func (c *Client) SendOrder(ctx context.Context, address string, order Order, notAfter time.Time) node.OrderStatus {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	text, err := json.Marshal(order)
	if err != nil {
		return node.OrderNotSent
	}
	tracked, guard := httpconn.Track(ctx)
	guard.NotAfter(notAfter)
	req, err := newPost(tracked, address, "/v1/orders", text)
	if err != nil {
		return node.OrderNotSent
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.requests.RoundTrip(req)
	if err != nil {
		if guard.Seal() {
			return node.OrderUnknown
		}
		return node.OrderNotSent
	}
	discardBody(resp)
	switch {
	case resp.StatusCode >= 200 && resp.StatusCode < 300:
		return node.OrderApplied
	case resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusPreconditionFailed:
		return node.OrderRefusedFencing
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return node.OrderNotSent
	}
	return node.OrderUnknown
}

// LoadReport is an engine's own report of its load. It may be out of date, so it is
// shown to operators and never used for scheduling.
type LoadReport struct {
	Running uint32 `json:"running"`
	Waiting uint32 `json:"waiting"`
}

// Load reads the load report of an engine.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	err := c.getJSON(ctx, "http://"+address+"/v1/load", &report)
	return report, err
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	// Type is "cached" or "evicted"; any other value counts as "evicted".
	Type string `json:"type"`
	// Prefix is the digest of the prompt prefix in lower-case hexadecimal.
	Prefix string `json:"prefix"`
}

// CacheEventsSince reads the cache events after sequence number since. It returns
// the number to continue from. An event that cannot be read is reported as a gap.
func (c *Client) CacheEventsSince(ctx context.Context, address string, since uint64) (node.CacheEvents, uint64, error) {
	var answer struct {
		Events []CacheEvent `json:"events"`
		Next   uint64       `json:"next"`
		Gap    bool         `json:"gap"`
	}
	err := c.getJSON(ctx, "http://"+address+"/v1/cache-events?since="+strconv.FormatUint(since, 10), &answer)
	if err != nil {
		return node.CacheEvents{}, since, err
	}
	out := node.CacheEvents{Gap: answer.Gap}
	for _, e := range answer.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		switch {
		case err != nil:
			out.Gap = true
		case e.Type == "cached":
			out.Cached = append(out.Cached, prefix)
		default:
			out.Evicted = append(out.Evicted, prefix)
		}
	}
	return out, answer.Next, nil
}

// getJSON reads a JSON answer of at most maxPollBytes into a value.
func (c *Client) getJSON(ctx context.Context, url string, into any) error {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.auxiliary.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxPollBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %.200s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return json.Unmarshal(text, into)
}
