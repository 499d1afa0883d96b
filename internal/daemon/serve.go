package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/upstream"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Serve submits a caller's request to the node and answers it. It returns when
// the request has ended.
func (d *Daemon) Serve(ctx context.Context, r *httpfront.Request, answer httpfront.Answer) {
	// The node enforces max_requests itself, since it can shed a lower tier for a
	// higher one. Twice that limit bounds memory while the node is slow.
	if d.heldRequests.Add(1) > 2*d.maxRequests {
		d.heldRequests.Add(-1)
		d.metrics.Count("refusals", "shed_overload")
		answer.Refuse(httpfront.Refusal{Code: "shed_overload", Ran: r.RanAfterRefusal(),
			Reason: fmt.Sprintf("this instance holds twice max_requests = %d requests", d.maxRequests),
			Remedy: "retry at another instance of the discovery answer", RetryAfter: time.Second})
		return
	}
	defer d.heldRequests.Add(-1)
	id := node.RequestID(d.nextID.Add(1))
	c := d.newCall(id, r, answer)
	defer d.endCall(c)
	submitted := d.loop.Post(node.SubmitRequest{
		ID: id, Organisation: r.Organisation, Kind: r.Kind, Model: r.Model, Labels: r.Labels,
		PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, Remaining: r.Remaining,
		Prefix: r.Prefix, IdempotencyKey: r.IdempotencyKey, FirstAttempt: r.FirstAttempt, Body: forwardableBody(r), ContentType: r.ContentType,
	})
	if !submitted {
		answer.Refuse(httpfront.Refusal{Code: "draining", Ran: r.RanAfterRefusal(), Reason: "this instance has stopped", Remedy: "retry at another instance"})
		return
	}
	c.handleActions(ctx)
}

// forwardableBody returns the body of a non-idempotent call, which may have to be
// forwarded to the instance that issued the ticket in its idempotency key. It
// returns nil for other requests, whose bodies stay at this instance.
func forwardableBody(r *httpfront.Request) []byte {
	if r.NonIdempotent {
		return r.Body
	}
	return nil
}

func (d *Daemon) newCall(id node.RequestID, r *httpfront.Request, answer httpfront.Answer) *call {
	c := &call{
		daemon: d, id: id, request: r, answer: answer, mailbox: d.requests.Add(id), kind: d.requestGauges.gaugeOf(r.Kind),
		submitted: time.Now(), wireID: fmt.Sprintf("%s-%x", d.identity, uint64(id)),
	}
	c.kind.waiting.Add(1)
	return c
}

func (d *Daemon) endCall(c *call) {
	d.requests.Remove(c.id)
	c.kind.waiting.Add(-1)
}

// runForwarded runs a non-idempotent call that another instance forwarded. The
// node answers that instance with the recorded outcome.
func (d *Daemon) runForwarded(a node.RunForwarded) {
	r := &httpfront.Request{
		CallerID: "", Organisation: a.Call.GetOrganisation(), Kind: a.Call.GetKind(), Labels: a.Call.GetLabels(),
		Remaining: time.Duration(a.Call.GetRemainingMs()) * time.Millisecond, NonIdempotent: true,
		IdempotencyKey: a.Call.GetKey(), Body: a.Call.GetBody(), ContentType: a.Call.GetContentType(),
	}
	c := d.newCall(a.ID, r, discardedAnswer{})
	d.heldRequests.Add(1)
	d.runInBackground(func() {
		defer d.heldRequests.Add(-1)
		defer d.endCall(c)
		c.handleActions(d.ctx)
	})
}

// discardedAnswer is the Answer of a forwarded call. It discards the result,
// since the caller is connected to another instance, which the node answers.
type discardedAnswer struct{}

var _ httpfront.Answer = discardedAnswer{}

// Outcome does nothing: the node sends the recorded outcome.
func (discardedAnswer) Outcome(*pb.BindingOutcome) error { return nil }

// Chunk does nothing. A forwarded call is a call to a plain service.
func (discardedAnswer) Chunk([]byte, *upstream.Chunk) error { return nil }

// Done does nothing, like Outcome.
func (discardedAnswer) Done() error { return nil }

// Refuse does nothing: the node sends the refusal.
func (discardedAnswer) Refuse(httpfront.Refusal) {}

// CountRefusal counts a request that the HTTP handler refused before it reached the node.
func (d *Daemon) CountRefusal(code string) { d.metrics.Count("refusals", code) }

// NewRequestID returns an id for a request whose caller gave none.
func (d *Daemon) NewRequestID() string {
	return fmt.Sprintf("%s-%x", d.identity, d.nextID.Add(1))
}

// Discover returns the addresses of instances that accept requests, and a new
// ticket for idempotency keys unless this instance is leaving.
func (d *Daemon) Discover(ctx context.Context) (httpfront.Discovery, *httpfront.Refusal) {
	ctx, stop := context.WithTimeout(ctx, queryTimeout)
	defer stop()
	out := httpfront.Discovery{TTLMs: discoveryTTL.Milliseconds()}
	ok := d.loop.Query(ctx, func(now time.Duration) {
		out.Addresses = d.loop.Machine.Discovery()
		if d.loop.Machine.Leaving() {
			return
		}
		ticket, ttl := d.loop.Machine.IssueTicket(now)
		out.Ticket, out.TicketTTLMs = ticket, ttl.Milliseconds()
	})
	if !ok {
		return out, &httpfront.Refusal{Code: "not_ready", Ran: node.RanNo, Reason: "this instance did not answer in time", Remedy: "retry at another instance", RetryAfter: time.Second}
	}
	return out, nil
}
