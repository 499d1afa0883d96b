package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/forward"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

const (
	// answerGrace is how long a request waits for the node's decision after its
	// deadline.
	answerGrace = 100 * time.Millisecond
	// sendMargin is subtracted from the remaining time that is sent to an
	// upstream, to leave time for the answer to travel back.
	sendMargin = 10 * time.Millisecond
	// progressInterval is the minimum time between progress reports to the node.
	progressInterval = 200 * time.Millisecond
)

// call serves one admitted request, over all its sends, until its answer ends.
type call struct {
	*admittedRequest
	g       *Gateway
	w       http.ResponseWriter
	id      node.RequestID
	mailbox *nodeloop.Mailbox
	relay   forward.CallerAnswer
	// upstream is the upstream of the current or latest send.
	upstream string
	// sentAt is the boot time at which the current or latest send began.
	sentAt time.Duration
	sends  int
	// execution is what is known of the sends that have ended.
	execution    answer.Execution
	firstEventAt time.Duration
	reportedAt   time.Duration
	// lastEventAt is when the newest event arrived, longestGap the longest time
	// between two events.
	lastEventAt time.Duration
	longestGap  time.Duration
}

// serveAdmitted submits a request to the node and serves it until its answer has
// ended.
func (g *Gateway) serveAdmitted(w http.ResponseWriter, j *admittedRequest) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	defer httpfront.OnDisconnect(w, func() { cancel(httpfront.ErrCallerDisconnected) })()
	id := node.RequestID(g.nextID.Add(1))
	c := &call{admittedRequest: j, g: g, w: w, id: id, mailbox: g.mailboxes.Add(id)}
	defer g.mailboxes.Remove(id)
	c.relay.Sink = &sink{g: g, w: w, request: j.http}
	c.holdAnswer()
	c.relay.Progress = c
	now := boottime.Now()
	if now >= j.deadline {
		c.endWithRefusal(answer.Refusal{Code: "infeasible_deadline", Ran: answer.RanNo,
			Reason: "the deadline has passed", Remedy: "send a later deadline"})
		return
	}
	if !g.loop.Post(j.submission(id, now)) {
		c.endWithRefusal(answer.Refusal{Code: "draining", Ran: answer.RanNo,
			Reason: "this instance has stopped", Remedy: "retry at another instance"})
		return
	}
	c.serve(ctx)
}

// serve handles the node's actions until the request ends. ctx ends when the
// caller's connection closes.
func (c *call) serve(ctx context.Context) {
	wait, stop := context.WithTimeout(ctx, c.deadline-boottime.Now()+answerGrace)
	defer stop()
	c.serveUntil(ctx, wait)
}

// serveUntil is serve with the context wait, which ends when no further action of
// the node is awaited.
func (c *call) serveUntil(ctx, wait context.Context) {
	for {
		action, refusal := c.awaitAction(wait)
		if refusal != nil {
			c.g.metrics.Count("refusals", refusal.Code)
			c.g.loop.Post(node.CallerDisconnected{ID: c.id})
			c.endWithRefusal(*refusal)
			return
		}
		switch a := action.(type) {
		case node.Dispatch:
			if c.exchange(ctx, a) {
				return
			}
		case node.Refuse:
			c.endWithRefusal(afterConfigChange(a.Refusal))
			return
		case nil:
			c.g.loop.Post(node.CallerDisconnected{ID: c.id})
			if ctx.Err() != nil {
				c.logCallerDisconnected("")
			} else {
				c.endAtDeadline()
			}
			return
		}
	}
}

// endAtDeadline ends a request whose deadline has passed while no send of it is in
// progress.
func (c *call) endAtDeadline() {
	c.endWithRefusal(answer.Refusal{Code: "deadline_exceeded", Ran: answer.RanNo,
		Reason: "the deadline passed before the request was answered", Remedy: "send a later deadline"})
}

// configChangedRetryAfter is the Retry-After of a request during which the
// configuration changed.
const configChangedRetryAfter = 50 * time.Millisecond

// afterConfigChange turns the node's refusals for a request kind, model or permission
// that its configuration lacks into not_ready. The request was admitted under an
// older configuration, so it is valid and must not be answered as if host, path
// or key were wrong.
func afterConfigChange(refusal answer.Refusal) answer.Refusal {
	switch refusal.Code {
	case "unknown_kind", "unknown_model", "forbidden":
		refusal.Code, refusal.Remedy, refusal.RetryAfter = "not_ready", "retry", configChangedRetryAfter
	}
	return refusal
}

// endWithRefusal ends a request that has no complete answer of an upstream. It is
// the only place that does, so that no refusal says "not run" of a request of which
// an earlier send may have run. A truncated answer must not look complete, so the
// caller's connection is closed.
func (c *call) endWithRefusal(refusal answer.Refusal) {
	refusal = c.execution.Restrict(refusal)
	failure := c.relay.Failure
	switch {
	case c.relay.Started():
		c.logRefused(refusal, 0)
		httpfront.Abort(c.w)
	case failure != nil && refusal.Ran != answer.RanNo:
		c.logRefused(refusal, failure.Code)
		c.answerFailure(failure)
	default:
		c.logRefused(refusal, refusalStatus(refusal))
		c.g.writeRefusal(c.w, refusal)
	}
}

// answerFailure relays an upstream's failure that was withheld because the request
// could be sent again.
func (c *call) answerFailure(failure *forward.Failure) {
	if err := c.relay.Sink.Start(failure.Code, failure.Header, int64(len(failure.Body))); err != nil {
		return // the caller disconnected
	}
	_ = c.relay.Sink.Write(failure.Body) // a failed write means that the caller disconnected
}

var nodeResults = map[forward.Status]node.UpstreamResult{
	forward.NotRun:     node.ResultRefused,
	forward.Complete:   node.ResultComplete,
	forward.Broken:     node.ResultBroken,
	forward.Failed:     node.ResultFailed,
	forward.Mismatched: node.ResultMismatched,
	forward.Expired:    node.ResultExpired,
	forward.Canceled:   node.ResultBroken,
}

// nodeResult maps the result of an exchange to the result reported to the node.
func nodeResult(result forward.Result) node.UpstreamResult {
	if result.Status == forward.Complete && result.Code >= http.StatusInternalServerError {
		return node.ResultFailureRelayed
	}
	return nodeResults[result.Status]
}

// exchange sends the request as one dispatch says and relays the answer. It
// returns true if the request has ended.
func (c *call) exchange(ctx context.Context, d node.Dispatch) bool {
	if c.organisation != nil && !c.g.config.confirmed().CoversRevocations(boottime.Now(), c.g.bounds) {
		c.g.loop.Post(node.DispatchFailed{ID: c.id})
		c.g.loop.Post(node.CallerDisconnected{ID: c.id})
		c.endWithRefusal(*c.g.notReadyRefusal(revocationUnconfirmed))
		return true
	}
	left := c.deadline - boottime.Now()
	limited, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	endAbort := c.abortAtEnd(limited)
	c.mailbox.BeginExchange(cancel)
	c.upstream, c.sentAt = d.Upstream, boottime.Now()
	if c.sends == 0 {
		c.g.metrics.QueueWait(c.sentAt - c.arrived)
	}
	c.sends++
	c.logSent(d, left)
	result := c.g.upstreams.Exchange(limited, c.request(d, left-sendMargin), &c.relay)
	c.mailbox.EndExchange()
	if result.Status == forward.Complete {
		c.execution.Add(result.Ran())
		c.countSend(d, result)
		c.reportDone(result)
		c.finishAnswer(ctx, limited, d, result)
		endAbort()
		return true
	}
	endAbort()
	c.execution.Add(result.Ran())
	c.countSend(d, result)
	return c.endIncomplete(ctx, d, result)
}

// endIncomplete reports a send that brought no complete answer to the node. It returns true if
// the request has ended.
func (c *call) endIncomplete(ctx context.Context, d node.Dispatch, result forward.Result) bool {
	if result.Status == forward.NotSent {
		c.logSendFailed(d, result)
		c.g.loop.Post(node.DispatchFailed{ID: c.id})
		return false
	}
	if result.Status == forward.Canceled && ctx.Err() != nil {
		c.g.loop.Post(node.CallerDisconnected{ID: c.id})
		c.logCallerDisconnected(d.Upstream)
		return true
	}
	if result.UpstreamFull {
		c.g.loop.Post(node.UpstreamHoldsOff{ID: c.id, Upstream: d.Upstream, For: result.HoldOff})
	}
	c.reportDone(result)
	c.logSendFailed(d, result)
	if result.Status == forward.Expired && result.Unsent {
		// The node can not tell that nothing was sent; its refusal comes too late.
		c.endAtDeadline()
		return true
	}
	return false
}

// slotReport returns what an upstream says of its slots.
func slotReport(load forward.LoadReport) scheduler.SlotReport {
	if load.Slots == 0 {
		return scheduler.SlotReport{}
	}
	return scheduler.SlotReport{Known: true, Free: int32(load.Slots) - int32(load.Running) - int32(load.Waiting)}
}

// countSend counts the outcome of a send.
func (c *call) countSend(d node.Dispatch, result forward.Result) {
	if c.relay.LoadInvalid {
		c.g.metrics.Count("load_reports", "invalid")
	}
	c.g.metrics.Send(ingress.IDOf(d.Upstream), result.Status.String())
}

// reportDone reports the end of an exchange to the node, which frees the upstream's slot.
func (c *call) reportDone(result forward.Result) {
	outcome := nodeResult(result)
	if outcome == node.ResultComplete && c.route.Kind != ingress.Stream {
		c.g.loop.Post(node.UpstreamFirstToken{ID: c.id, SlowdownPercent: c.relay.Load.SlowdownPercent})
	}
	c.g.loop.Post(node.UpstreamDone{ID: c.id, Result: outcome, OutputTokens: result.Events,
		SlowdownPercent: c.relay.Load.SlowdownPercent, Slots: slotReport(c.relay.Load), NoRepeat: !c.relay.Continuable()})
}

// abortAtEnd closes the caller's connection once ctx ends, if a part of the answer was
// relayed by then: a caller that reads slowly must not keep the request beyond its
// deadline. After the returned function, nothing uses the connection any more.
func (c *call) abortAtEnd(ctx context.Context) (end func()) {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		if c.relay.Started() {
			httpfront.Abort(c.w)
		}
	})
	return func() {
		if !stop() {
			<-ended
		}
	}
}

// request builds the request to the upstream of a dispatch.
func (c *call) request(d node.Dispatch, left time.Duration) *forward.Request {
	send := SendHeaders{UpstreamID: ingress.IDOf(d.Upstream), Remaining: left, LastEvent: c.relay.LastEvent()}
	if c.organisation != nil {
		send.Organisation = c.organisation.Name
	}
	return &forward.Request{
		Address: d.Address, Method: c.http.Method, URI: c.http.RequestURI, Host: c.http.Host,
		Header: c.g.codec.UpstreamHeader(c.http.Header, send), Body: c.body, ID: c.head.ID,
		Repeatable: c.route.Repeatable(), WithholdFailure: c.route.Repeatable() && c.route.MaxSends > 1,
		Stream:         c.route.Kind == ingress.Stream,
		NumberedEvents: c.route.NumberedEvents,
	}
}

// Head reports to the node that the upstream leaves or wants no request for some time. It
// implements forward.Progress.
func (c *call) Head(head forward.AnswerHead) {
	if head.HoldOffInvalid {
		c.g.metrics.Count("upstream_answers", "hold_off_invalid")
	}
	if head.HoldOff > 0 {
		c.g.metrics.Count("upstream_answers", "hold_off")
		c.g.log.Write(eventlog.UpstreamHoldsOff{RequestID: c.head.ID, Upstream: c.upstream,
			ForMs: eventlog.Milliseconds(head.HoldOff)})
		c.g.loop.Post(node.UpstreamHoldsOff{ID: c.id, Upstream: c.upstream, For: head.HoldOff})
	}
	if !head.Leaving {
		return
	}
	c.g.metrics.Count("upstream_answers", "leaving")
	c.g.log.Write(eventlog.UpstreamLeaves{RequestID: c.head.ID, Upstream: c.upstream})
	c.g.loop.Post(node.UpstreamLeaves{Upstream: c.upstream, Incarnation: ingress.IncarnationOf(c.upstream)})
}

// FirstEvent reports the first event to the node. It implements forward.Progress.
func (c *call) FirstEvent() {
	c.reportedAt = boottime.Now()
	c.firstEventAt, c.lastEventAt = c.reportedAt, c.reportedAt
	c.g.metrics.FirstToken(c.firstEventAt - c.sentAt)
	c.g.loop.Post(node.UpstreamFirstToken{ID: c.id, SlowdownPercent: c.relay.Load.SlowdownPercent})
}

// Events reports progress to the node, at most once per progressInterval.
func (c *call) Events(total uint32) {
	now := boottime.Now()
	c.longestGap = max(c.longestGap, now-c.lastEventAt)
	c.lastEventAt = now
	if now-c.reportedAt < progressInterval {
		return
	}
	c.reportedAt = now
	c.g.loop.Post(node.UpstreamTokens{ID: c.id, Total: total})
}
