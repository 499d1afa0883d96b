package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/upstream"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// answerGrace is how long a request waits for the node's last word after its
// deadline or after its upstream ended it. The node answers within a few ticks;
// the bound only keeps a request from being held for ever.
const answerGrace = 15 * time.Second

// call serves one request from submission to its end.
type call struct {
	daemon    *Daemon
	id        node.RequestID
	request   *httpfront.Request
	answer    httpfront.Answer
	mailbox   *nodeloop.Mailbox
	kind      *kindGauge
	submitted time.Time
	// wireID identifies the request at its upstream.
	wireID string
	// sent is true once a byte of the request may have reached an upstream.
	sent bool
}

// run handles the node's actions until the request ends. ctx ends when the
// caller's connection closes.
func (c *call) run(ctx context.Context) {
	limit := c.request.Remaining
	if limit == 0 {
		limit = c.daemon.maxDeadline
	}
	wait, stop := context.WithTimeout(ctx, limit+answerGrace)
	defer stop()
	for {
		switch a := c.mailbox.Next(wait).(type) {
		case node.Dispatch:
			if c.sent {
				// The edge keeps its promise also against a fault in the decisions.
				c.daemon.log.Write(eventlog.InternalFault{What: "a second dispatch was not carried out", Error: "request " + c.request.CallerID})
				continue
			}
			if c.exchange(ctx, a) {
				return
			}
		case node.Refuse:
			c.refuse(a)
			return
		case node.ReplyRecorded:
			c.recorded(a.Outcome)
			return
		case nil:
			c.waitEnded(ctx)
			return
		}
	}
}

// waitEnded handles the end of the wait for the node, since the caller went
// away or the time is over.
func (c *call) waitEnded(ctx context.Context) {
	if ctx.Err() == nil {
		c.giveUp()
		return
	}
	c.daemon.loop.Post(node.CallerGone{ID: c.id})
	if c.request.NonIdempotent {
		// The call may still have to run, so that its outcome is recorded.
		c.run(context.WithoutCancel(ctx))
	}
}

// giveUp answers a request that the node does not answer.
func (c *call) giveUp() {
	c.daemon.loop.Post(node.CallerGone{ID: c.id})
	c.answer.Refuse(httpfront.Refusal{Code: "internal", Ran: node.RanUnknown,
		Reason: "no decision was made in time", Remedy: "report this with the request id to an operator"})
}

func (c *call) refuse(a node.Refuse) {
	c.daemon.log.Write(eventlog.RequestRefused{RequestID: c.request.CallerID, Organisation: c.request.Organisation, Route: c.request.Kind,
		Reason: a.Code, Detail: a.Reason, Ran: string(a.Ran), Status: httpfront.Refusal(a.Refusal).Status(),
		RetryAfterMs: eventlog.Milliseconds(a.RetryAfter), ConfigAgeMs: -1})
	c.answer.Refuse(httpfront.Refusal(a.Refusal))
}

func (c *call) recorded(o *pb.BindingOutcome) {
	if o.GetBodyOmitted() {
		c.answer.Refuse(httpfront.Refusal{Code: "internal", Ran: node.RanYes,
			Reason: fmt.Sprintf("the call ran and was answered with status %d; the answer was too large to record", o.GetHttpStatus()),
			Remedy: "ask the service for the state that the call left"})
		return
	}
	_ = c.answer.Outcome(o)
}

// results maps how an upstream ended a request to the node's terms.
var results = map[upstream.Status]node.UpstreamResult{
	upstream.Complete:   node.ResultComplete,
	upstream.Refused:    node.ResultRefused,
	upstream.Broken:     node.ResultBroken,
	upstream.Mismatched: node.ResultMismatched,
	upstream.Deadline:   node.ResultDeadline,
	upstream.Canceled:   node.ResultBroken,
}

// exchange carries out one dispatch. It returns true if the request has ended.
func (c *call) exchange(ctx context.Context, d node.Dispatch) bool {
	c.daemon.metrics.QueueWait(time.Since(c.submitted))
	c.kind.dispatched()
	defer c.kind.returned()
	base := ctx
	if c.request.NonIdempotent {
		// The outcome has to be recorded also if the caller went away.
		base = context.WithoutCancel(ctx)
	}
	limited, cancel := context.WithTimeout(base, d.Remaining)
	defer cancel()
	c.mailbox.Begin(cancel)
	result, outcome := c.send(limited, d)
	c.mailbox.End()
	if result.Status != upstream.Complete {
		c.daemon.log.Write(eventlog.SendFailed{RequestID: c.request.CallerID, Upstream: d.Upstream, WireID: c.wireID,
			Status: result.Status.String(), Detail: result.Detail})
	}
	if result.Status == upstream.NotSent {
		c.daemon.loop.Post(node.DispatchFailed{ID: c.id})
		return false
	}
	c.sent = true
	if ctx.Err() != nil && result.Status == upstream.Canceled {
		c.daemon.loop.Post(node.CallerGone{ID: c.id})
		return true
	}
	c.daemon.loop.Post(node.UpstreamDone{ID: c.id, Result: results[result.Status], OutputTokens: result.OutputTokens,
		CachedPromptTokens: result.CachedPromptTokens, Outcome: outcome})
	if result.Status != upstream.Complete {
		return false
	}
	c.complete(outcome)
	return true
}

// complete ends the answer of a request whose upstream answered whole.
func (c *call) complete(outcome *pb.BindingOutcome) {
	var err error
	if outcome != nil {
		err = c.answer.Outcome(outcome)
	} else {
		err = c.answer.Done()
	}
	if err != nil {
		c.daemon.log.Write(eventlog.CallerLeft{RequestID: c.request.CallerID})
	}
}

// send hands the request to the upstream and returns how it ended.
func (c *call) send(ctx context.Context, d node.Dispatch) (upstream.Result, *pb.BindingOutcome) {
	if c.request.Model != "" {
		progress := &progress{call: c, sent: time.Now()}
		request := upstream.GenerateRequest{Address: d.Address, ID: c.wireID, Body: c.request.Body}
		return c.daemon.upstream.Generate(ctx, request, c.answer, progress), nil
	}
	result, outcome := c.daemon.upstream.Call(ctx, upstream.CallRequest{
		Address: d.Address, Name: c.request.Kind, ID: c.wireID, IdempotencyKey: c.request.IdempotencyKey,
		Body: c.request.Body, ContentType: c.request.ContentType,
	})
	if result.Status == upstream.Complete {
		c.daemon.loop.Post(node.UpstreamFirstToken{ID: c.id})
	}
	return result, outcome
}

// progress reports tokens to the node and to the metrics.
type progress struct {
	call  *call
	sent  time.Time
	last  time.Time
	total uint32
}

// FirstToken reports the first token.
func (p *progress) FirstToken() {
	p.last = time.Now()
	p.call.daemon.metrics.FirstToken(p.last.Sub(p.sent))
	p.call.daemon.loop.Post(node.UpstreamFirstToken{ID: p.call.id})
}

// Tokens reports the number of tokens; the metric gets the mean time between
// tokens since the last report.
func (p *progress) Tokens(total uint32) {
	now := time.Now()
	if total > p.total && p.total > 0 {
		p.call.daemon.metrics.BetweenTokens(now.Sub(p.last) / time.Duration(total-p.total))
	}
	p.last, p.total = now, total
	p.call.daemon.loop.Post(node.UpstreamTokens{ID: p.call.id, Total: total})
}
