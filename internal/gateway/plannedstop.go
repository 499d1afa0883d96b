package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/node"
)

const (
	// minStopMargin is left between the end of a planned stop and the time at
	// which the platform ends the process.
	minStopMargin = 300 * time.Millisecond
	// stopAnswerMargin is left between the deadline of a request that is taken late in a planned
	// stop and the end of the stop, for its answer.
	stopAnswerMargin = 2 * answerGrace
	// stopFlushTime bounds the time in which the last answers of a planned stop are written.
	stopFlushTime = 100 * time.Millisecond
	// acceptFraction is the fraction of a planned stop's grace period during which
	// callers with an outdated discovery answer are still served, and
	// longRequestFraction that for requests that might outlast the stop.
	acceptFraction      = 0.55
	longRequestFraction = 0.35
)

// plannedStop is the course of a planned stop. While requests wait, nobody else has them, so that
// they are refused once they might outlast the stop. Those that were passed on are waited for.
type plannedStop struct {
	// late is closed longRequestFraction after the start, ended at the end of the stop.
	late, ended chan struct{}
}

func newPlannedStop() plannedStop {
	return plannedStop{late: make(chan struct{}), ended: make(chan struct{})}
}

// Drain starts a planned stop without waiting for its end.
func (g *Gateway) Drain() {
	g.drainOnce.Do(func() {
		g.stopStarted.Store(int64(boottime.Now()))
		g.leaving.Store(true)
		g.log.Write(eventlog.StopStarted{GraceMs: eventlog.Milliseconds(g.grace())})
		g.loop.Post(node.Drain{})
		g.goRun(func() { g.announce(g.ctx) })
		g.goRun(func() {
			nodeloop.WaitWhile(g.ctx, func() bool { return g.sinceStop() < g.longRequestTime() })
			close(g.planned.late)
		})
	})
}

// sinceStop is the time since the start of the planned stop. It goes on while the machine is suspended.
func (g *Gateway) sinceStop() time.Duration {
	return boottime.Now() - time.Duration(g.stopStarted.Load())
}

// longRequestTime is how long after its start a planned stop takes requests that might outlast it.
func (g *Gateway) longRequestTime() time.Duration {
	return time.Duration(float64(g.grace()) * longRequestFraction)
}

// WaitDrained waits for the end of a planned stop: until no request is in flight, or
// until shortly before the grace period ends.
func (g *Gateway) WaitDrained(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, g.grace()-minStopMargin)
	defer cancel()
	select {
	case <-g.drained:
		nodeloop.WaitWhile(limit, g.busy)
		g.servers[0].Drain(limit)
	case <-limit.Done():
	}
	if limit.Err() != nil {
		g.endStop(ctx)
	}
}

// busy reports whether a request has no complete answer that was handed to the kernel.
func (g *Gateway) busy() bool { return g.inFlight.Load() > 0 || g.servers[0].Busy() }

// endStop ends the requests that are left at the end of a planned stop. Those of which nothing was
// answered get a failure: a closed connection would tell their callers less.
func (g *Gateway) endStop(ctx context.Context) {
	close(g.planned.ended)
	g.mailboxes.CancelExchanges()
	flush, cancel := context.WithTimeout(ctx, stopFlushTime)
	defer cancel()
	nodeloop.WaitWhile(flush, g.busy)
}

// outlastsStop reports whether a request with the deadline might not be answered before the end of
// the planned stop that has started.
func (g *Gateway) outlastsStop(deadline time.Duration) bool {
	end := time.Duration(g.stopStarted.Load()) + g.grace() - minStopMargin
	return deadline > end-stopAnswerMargin
}

// checkPlannedStop refuses a request that might not be answered before the end of
// a planned stop. Right after the start of the stop every request is accepted,
// since callers may not know of it yet and most answers end well before their
// deadline.
func (g *Gateway) checkPlannedStop(j *admittedRequest) *answer.Refusal {
	started := time.Duration(g.stopStarted.Load())
	if !g.leaving.Load() || j.arrived-started < g.longRequestTime() || !g.outlastsStop(j.deadline) {
		return nil
	}
	return &answer.Refusal{Code: "draining", Ran: answer.RanNo,
		Reason: "this instance is stopping and may end before the answer",
		Remedy: "retry at another instance of the discovery answer"}
}

// awaitAction waits for the node's next action. It returns a refusal if a planned stop ends the
// request before, and neither if wait ends.
func (c *call) awaitAction(wait context.Context) (node.Action, *answer.Refusal) {
	interrupt := c.g.planned.late
	for {
		action, interrupted := c.mailbox.NextUnless(wait, interrupt)
		dispatch, dispatched := action.(node.Dispatch)
		if !interrupted && !dispatched {
			return action, nil
		}
		if refusal := c.refusalInStop(); refusal != nil {
			if dispatched {
				c.g.loop.Post(node.DispatchFailed{ID: dispatch.ID})
			}
			return nil, refusal
		}
		if dispatched {
			return action, nil
		}
		interrupt = c.g.planned.ended
	}
}

// refusalInStop returns the refusal of a request that is in no exchange, or nil if it may go on. A
// request that an upstream may have run goes on until the end of the stop: nobody else can answer it.
func (c *call) refusalInStop() *answer.Refusal {
	refusal := &answer.Refusal{Code: "draining", Ran: c.execution.Ran(),
		Remedy: "retry at another instance of the discovery answer"}
	switch {
	case isClosed(c.g.planned.ended):
		refusal.Reason = "the time for the planned stop was over"
	case isClosed(c.g.planned.late) && refusal.Ran == answer.RanNo && c.g.outlastsStop(c.deadline):
		refusal.Reason = "this instance is stopping and may end before the answer"
		// All waiting requests are refused at the same time. Their callers should not return together.
		refusal.RetryAfter = time.Duration(rand.Int64N(int64(notReadyRetryAfter)))
	default:
		return nil
	}
	return refusal
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
