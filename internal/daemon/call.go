package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/citrongate/citrongate/internal/answerhead"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/upstream"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// answerGrace is how long a request waits, after its remaining time is over, for
// the node to end it. The node does so within a few ticks; the bound only keeps
// a request from being held for ever.
const answerGrace = 15 * time.Second

// call is one request, from its submission to the node until its end.
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
	// dispatched is true once a byte of the request may have reached an upstream.
	dispatched bool
	// execution is what is known of the sends that have ended.
	execution answer.Execution
}

// handleActions executes the node's actions for the request until it ends. ctx
// ends when the caller's connection closes.
func (c *call) handleActions(ctx context.Context) {
	remaining := c.request.Remaining
	if remaining == 0 {
		remaining = c.daemon.maxDeadline
	}
	waitCtx, stop := context.WithTimeout(ctx, remaining+answerGrace)
	defer stop()
	for {
		switch a := c.mailbox.Next(waitCtx).(type) {
		case node.Dispatch:
			if c.dispatched {
				// A request is dispatched at most once, also if a fault in the
				// node's decisions orders a second dispatch.
				c.daemon.log.Write(eventlog.InternalFault{What: "a second dispatch was not carried out", Error: "request " + c.request.CallerID})
				continue
			}
			if c.executeDispatch(ctx, a) {
				return
			}
		case node.Refuse:
			c.refuseRequest(a)
			return
		case node.ReplyRecorded:
			c.answerFromRecord(a.Outcome)
			return
		case nil:
			c.handleWaitEnd(ctx)
			return
		}
	}
}

// handleWaitEnd handles the end of the wait for the node's next action: either
// the caller disconnected or the time is over.
func (c *call) handleWaitEnd(ctx context.Context) {
	if ctx.Err() == nil {
		c.refuseUndecided()
		return
	}
	c.daemon.loop.Post(node.CallerDisconnected{ID: c.id})
	if c.request.NonIdempotent {
		// The call may still have to run, so that its outcome is recorded.
		c.handleActions(context.WithoutCancel(ctx))
	}
}

// refuseUndecided refuses a request for which the node made no decision in time.
func (c *call) refuseUndecided() {
	c.daemon.loop.Post(node.CallerDisconnected{ID: c.id})
	c.refuse(answer.Refusal{Code: "internal", Ran: answer.RanUnknown,
		Reason: "no decision was made in time", Remedy: "report this with the request id to an operator"})
}

// refuse ends the request with a refusal that is true for all its sends.
func (c *call) refuse(refusal answer.Refusal) {
	c.answer.Refuse(httpfront.Refusal(c.execution.Restrict(refusal)))
}

func (c *call) refuseRequest(a node.Refuse) {
	a.Refusal = c.execution.Restrict(a.Refusal)
	c.daemon.log.Write(eventlog.RequestRefused{RequestID: c.request.CallerID, Organisation: c.request.Organisation, Route: c.request.Kind,
		Reason: a.Code, Detail: a.Reason, Ran: string(a.Ran), Status: httpfront.Refusal(a.Refusal).Status(),
		RetryAfterMs: eventlog.Milliseconds(a.RetryAfter), ConfigAgeMs: -1})
	c.refuse(a.Refusal)
}

func (c *call) answerFromRecord(o *pb.BindingOutcome) {
	if o.GetBodyOmitted() {
		c.refuse(answer.Refusal{Code: "internal", Ran: answer.RanYes,
			Reason: fmt.Sprintf("the call ran and was answered with status %d; the answer was too large to record", o.GetHttpStatus()),
			Remedy: "ask the service for the state that the call left"})
		return
	}
	if !validOutcome(o) {
		c.refuse(answer.Refusal{Code: "internal", Ran: answer.RanYes,
			Reason: fmt.Sprintf("the call ran, but the record of its answer is invalid: status %d", o.GetHttpStatus()),
			Remedy: "ask the service for the state that the call left; run the same version everywhere"})
		return
	}
	_ = c.answer.Outcome(o)
}

// validOutcome reports whether a recorded outcome, which another instance may have sent, can be
// the answer of a service.
func validOutcome(o *pb.BindingOutcome) bool {
	status := o.GetHttpStatus()
	return status >= http.StatusOK && status <= answerhead.MaxStatus && httpguts.ValidHeaderFieldValue(o.GetContentType())
}

// nodeResults maps the status of an exchange with an upstream to the result that
// is reported to the node. NotSent is reported as node.DispatchFailed instead.
var nodeResults = map[upstream.Status]node.UpstreamResult{
	upstream.Complete:   node.ResultComplete,
	upstream.Refused:    node.ResultRefused,
	upstream.Broken:     node.ResultBroken,
	upstream.Mismatched: node.ResultMismatched,
	upstream.Deadline:   node.ResultExpired,
	upstream.Canceled:   node.ResultBroken,
}

// executeDispatch sends the request to the upstream and reports the result to
// the node. It returns true if the request has ended.
func (c *call) executeDispatch(ctx context.Context, d node.Dispatch) bool {
	c.daemon.metrics.QueueWait(time.Since(c.submitted))
	c.kind.dispatched()
	defer c.kind.requeued()
	parent := ctx
	if c.request.NonIdempotent {
		// The outcome has to be recorded even if the caller disconnects.
		parent = context.WithoutCancel(ctx)
	}
	exchangeCtx, cancel := context.WithTimeout(parent, d.Remaining)
	defer cancel()
	c.mailbox.BeginExchange(cancel)
	result, outcome := c.sendUpstream(exchangeCtx, d)
	c.mailbox.EndExchange()
	c.execution.Add(result.Ran())
	if result.Status != upstream.Complete {
		c.daemon.log.Write(eventlog.SendFailed{RequestID: c.request.CallerID, Upstream: d.Upstream, WireID: c.wireID,
			Status: result.Status.String(), Detail: result.Detail})
	}
	if result.Status == upstream.NotSent {
		c.daemon.loop.Post(node.DispatchFailed{ID: c.id})
		return false
	}
	c.dispatched = true
	if ctx.Err() != nil && result.Status == upstream.Canceled {
		c.daemon.loop.Post(node.CallerDisconnected{ID: c.id})
		return true
	}
	c.daemon.loop.Post(node.UpstreamDone{ID: c.id, Result: nodeResults[result.Status], OutputTokens: result.OutputTokens,
		CachedPromptTokens: result.CachedPromptTokens, Outcome: outcome})
	if result.Status != upstream.Complete {
		return false
	}
	c.completeAnswer(outcome)
	return true
}

// completeAnswer completes the answer to the caller after a complete answer of
// the upstream.
func (c *call) completeAnswer(outcome *pb.BindingOutcome) {
	var err error
	if outcome != nil {
		err = c.answer.Outcome(outcome)
	} else {
		err = c.answer.Done()
	}
	if err != nil {
		c.daemon.log.Write(eventlog.CallerDisconnected{RequestID: c.request.CallerID})
	}
}

// sendUpstream sends the request to the upstream and returns how the exchange
// ended. A model call streams its answer to the caller meanwhile; a plain call
// returns the outcome.
func (c *call) sendUpstream(ctx context.Context, d node.Dispatch) (upstream.Result, *pb.BindingOutcome) {
	if c.request.Model != "" {
		progress := &progress{call: c, sentAt: time.Now()}
		request := upstream.ModelCallRequest{Address: d.Address, ID: c.wireID, Body: c.request.Body}
		return c.daemon.upstream.ModelCall(ctx, request, c.answer, progress), nil
	}
	result, outcome := c.daemon.upstream.ServiceCall(ctx, upstream.ServiceCallRequest{
		Address: d.Address, Name: c.request.Kind, ID: c.wireID, IdempotencyKey: c.request.IdempotencyKey,
		Body: c.request.Body, ContentType: c.request.ContentType,
	})
	if result.Status == upstream.Complete {
		c.daemon.loop.Post(node.UpstreamFirstToken{ID: c.id})
	}
	return result, outcome
}

// progress reports the tokens of a streamed answer to the node and to the metrics.
type progress struct {
	call        *call
	sentAt      time.Time
	lastAt      time.Time
	totalTokens uint32
}

// FirstToken reports the first token and, to the metrics, the time since the send.
func (p *progress) FirstToken() {
	p.lastAt = time.Now()
	p.call.daemon.metrics.FirstToken(p.lastAt.Sub(p.sentAt))
	p.call.daemon.loop.Post(node.UpstreamFirstToken{ID: p.call.id})
}

// Tokens reports the total number of tokens to the node, and to the metrics the
// mean inter-token time since the previous report.
func (p *progress) Tokens(totalTokens uint32) {
	now := time.Now()
	if totalTokens > p.totalTokens && p.totalTokens > 0 {
		p.call.daemon.metrics.BetweenTokens(now.Sub(p.lastAt) / time.Duration(totalTokens-p.totalTokens))
	}
	p.lastAt, p.totalTokens = now, totalTokens
	p.call.daemon.loop.Post(node.UpstreamTokens{ID: p.call.id, Total: totalTokens})
}
