package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Serve answers one request of a caller.
func (d *Daemon) Serve(ctx context.Context, r *httpfront.Request, answer httpfront.Answer) {
	// The node decides at max_requests, since it can shed a lower tier for a
	// higher one. This bound only keeps memory bounded while the node is slow.
	if d.held.Add(1) > 2*d.maxRequests {
		d.held.Add(-1)
		d.metrics.Count("refusals", "shed_overload")
		answer.Refuse(httpfront.Refusal{Code: "shed_overload", Ran: r.NotRun(),
			Reason: fmt.Sprintf("this instance holds twice max_requests = %d requests", d.maxRequests),
			Remedy: "retry at another instance of the discovery answer", RetryAfter: time.Second})
		return
	}
	defer d.held.Add(-1)
	id := node.RequestID(d.nextID.Add(1))
	c := d.newCall(id, r, answer)
	defer d.endCall(c)
	submitted := d.loop.Post(node.SubmitRequest{
		ID: id, Organisation: r.Organisation, Kind: r.Kind, Model: r.Model, Labels: r.Labels,
		PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, Remaining: r.Remaining,
		Prefix: r.Prefix, IdempotencyKey: r.IdempotencyKey, FirstAttempt: r.FirstAttempt, Body: forwardable(r), ContentType: r.ContentType,
	})
	if !submitted {
		answer.Refuse(httpfront.Refusal{Code: "draining", Ran: r.NotRun(), Reason: "this instance has stopped", Remedy: "retry at another instance"})
		return
	}
	c.run(ctx)
}

// forwardable is the body of a non-idempotent call, which the home of its key
// may have to receive. Other bodies stay at this instance.
func forwardable(r *httpfront.Request) []byte {
	if r.NonIdempotent {
		return r.Body
	}
	return nil
}

func (d *Daemon) newCall(id node.RequestID, r *httpfront.Request, answer httpfront.Answer) *call {
	c := &call{
		daemon: d, id: id, request: r, answer: answer, mailbox: d.requests.Add(id), kind: d.kinds.of(r.Kind),
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
// node sends the answer back from the recorded outcome.
func (d *Daemon) runForwarded(a node.RunForwarded) {
	r := &httpfront.Request{
		CallerID: "", Organisation: a.Call.GetOrganisation(), Kind: a.Call.GetKind(), Labels: a.Call.GetLabels(),
		Remaining: time.Duration(a.Call.GetRemainingMs()) * time.Millisecond, NonIdempotent: true,
		IdempotencyKey: a.Call.GetKey(), Body: a.Call.GetBody(), ContentType: a.Call.GetContentType(),
	}
	c := d.newCall(a.ID, r, noAnswer{})
	d.held.Add(1)
	d.goRun(func() {
		defer d.held.Add(-1)
		defer d.endCall(c)
		c.run(d.ctx)
	})
}

// noAnswer is the answer of a call whose caller is at another instance.
type noAnswer struct{ httpfront.Answer }

// Outcome is sent back by the node.
func (noAnswer) Outcome(*pb.BindingOutcome) error { return nil }

// Refuse is sent back by the node.
func (noAnswer) Refuse(httpfront.Refusal) {}

// Refused counts a request that the caller edge refused.
func (d *Daemon) Refused(code string) { d.metrics.Count("refusals", code) }

// badInput counts input that never became a request and builds its answer.
func (d *Daemon) badInput(problem httpfront.InputError) []byte {
	d.Refused(problem.Code)
	return httpfront.BadInputBody(problem)
}

// NewRequestID returns an id for a caller that named none.
func (d *Daemon) NewRequestID() string {
	return fmt.Sprintf("%s-%x", d.identity, d.nextID.Add(1))
}

// Discover returns a discovery answer with a new ticket.
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
