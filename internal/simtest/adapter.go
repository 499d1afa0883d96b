package simtest

import (
	"time"

	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/scheduler"
	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

type storeResult = store.Result

// dispatch sends a request to its upstream after the time of a connection setup.
func (i *Instance) dispatch(a node.Dispatch) {
	f := i.requests[a.ID]
	if f == nil {
		return
	}
	w := i.world
	f.upstream = a.Upstream
	w.Trace.recordDispatch(i.globalID(a.ID), a.Upstream, w.Loop.Now())
	if w.BeforeSend != nil {
		w.Loop.After(upstreamDelay, func() { i.RunInProcess(func() { i.sendChecked(a, f) }) })
		return
	}
	w.Loop.After(upstreamDelay, func() { i.send(a, f) })
}

// sendChecked sends a request if BeforeSend permits it. Otherwise the state on which
// the request was admitted is no longer valid, and the request is refused.
func (i *Instance) sendChecked(a node.Dispatch, f *requestState) {
	if i.world.BeforeSend(i, f.spec) {
		i.send(a, f)
		return
	}
	i.recordEnd(a.ID, f, OutcomeRefused, node.Refuse{ID: a.ID, Refusal: answer.Refusal{Code: "not_ready", Ran: answer.RanNo}})
	i.step(node.DispatchFailed{ID: a.ID})
	i.step(node.CallerDisconnected{ID: a.ID})
}

// send writes a request to its upstream. A refused connection is reported to the
// node as DispatchFailed.
func (i *Instance) send(a node.Dispatch, f *requestState) {
	if !i.Alive {
		return
	}
	w, accepted := i.world, false
	if engine := w.Engines[a.Upstream]; engine != nil {
		accepted = i.submitToEngine(engine, a, f)
	} else if service := w.Services[a.Upstream]; service != nil {
		accepted = service.Call(i.globalID(a.ID), f.spec.Key, func(complete bool) { i.serviceDone(a.ID, complete) })
	}
	if accepted {
		f.sent = true
		w.Trace.Received = append(w.Trace.Received, Receipt{w.Loop.Now(), i.globalID(a.ID), a.Upstream, i.Address, f.origin, f.spec.Key})
		return
	}
	w.Loop.After(upstreamDelay, func() { i.step(node.DispatchFailed{ID: a.ID}) })
}

func (i *Instance) submitToEngine(engine *Engine, a node.Dispatch, f *requestState) bool {
	w, id := i.world, a.ID
	output := max(f.spec.Output, 1) * w.TokensPerEvent
	request := w.Trace.Find(i.globalID(id))
	w.Loop.After(a.Remaining, func() { i.deadlineExpired(id) })
	return engine.Submit(EngineRequest{
		ID: i.globalID(id), Prompt: f.spec.Prompt, Output: output,
		OnToken: func(tokens uint32) {
			if tokens%w.TokensPerEvent != 0 {
				return
			}
			events := tokens / w.TokensPerEvent
			if request != nil {
				request.recordEvent(w.Loop.Now())
			}
			if events == 1 {
				w.Loop.After(upstreamDelay, func() { i.step(node.UpstreamFirstToken{ID: id}) })
			}
			if events%w.EventsPerReport == 0 {
				w.Loop.After(upstreamDelay, func() { i.step(node.UpstreamTokens{ID: id, Total: events}) })
			}
		},
		OnDone: func(result EngineResult, tokens, cached uint32) {
			answerID := i.globalID(id)
			if w.SwapAnswers > 0 && w.Loop.Rand.Float64() < w.SwapAnswers {
				answerID.Sequence++
			}
			w.Loop.After(upstreamDelay, func() { i.engineDone(id, answerID, result, tokens/w.TokensPerEvent) })
		},
	})
}

// engineDone relays the end of a stream. As the upstream adapter does, it compares
// the id that the answer carries with the id of the request.
func (i *Instance) engineDone(id node.RequestID, answerID scheduler.GlobalID, result EngineResult, tokens uint32) {
	if i.Paused {
		i.postponed = append(i.postponed, func() { i.engineDone(id, answerID, result, tokens) })
		return
	}
	f := i.requests[id]
	if f == nil || !f.sent {
		return
	}
	f.sent = false
	done := node.UpstreamDone{ID: id, Result: node.ResultComplete, OutputTokens: tokens}
	switch {
	case result == StreamBroken:
		done.Result = node.ResultBroken
	case answerID != i.globalID(id) && !i.world.UncheckedAnswers:
		done.Result = node.ResultMismatched
	}
	i.upstreamDone(id, f, done, answerID)
}

func (i *Instance) serviceDone(id node.RequestID, complete bool) {
	if i.Paused {
		i.postponed = append(i.postponed, func() { i.serviceDone(id, complete) })
		return
	}
	f := i.requests[id]
	if f == nil || !f.sent {
		return
	}
	f.sent = false
	done := node.UpstreamDone{ID: id, Result: node.ResultBroken}
	if complete {
		done.Result = node.ResultComplete
		done.Outcome = &pb.BindingOutcome{HttpStatus: 200, Body: []byte(f.spec.Key)}
	}
	i.upstreamDone(id, f, done, i.globalID(id))
}

// upstreamDone records a complete answer for a caller that is still connected and
// reports the result to the node.
func (i *Instance) upstreamDone(id node.RequestID, f *requestState, done node.UpstreamDone, answerID scheduler.GlobalID) {
	if done.Result == node.ResultComplete && i.Alive && !f.ended {
		if r := i.world.Trace.Find(i.globalID(id)); r != nil && f.fromCaller {
			r.AnsweredWith, r.Tokens = answerID, done.OutputTokens
		}
		i.recordEnd(id, f, OutcomeAnswered, node.Refuse{})
	}
	i.step(done)
}

// deadlineExpired cancels a request at its upstream once its deadline has passed.
func (i *Instance) deadlineExpired(id node.RequestID) {
	f := i.requests[id]
	if f == nil || !f.sent || !i.Alive {
		return
	}
	if i.Paused {
		i.postponed = append(i.postponed, func() { i.deadlineExpired(id) })
		return
	}
	i.cancelUpstream(id, f)
	i.step(node.UpstreamDone{ID: id, Result: node.ResultExpired})
}

// cancelUpstream closes the connection to the upstream. An engine cancels the
// stream; a plain service still completes the call.
func (i *Instance) cancelUpstream(id node.RequestID, f *requestState) {
	f.sent = false
	gid, engine := i.globalID(id), i.world.Engines[f.upstream]
	if engine != nil {
		i.world.Loop.After(upstreamDelay, func() { engine.Cancel(gid) })
	}
}

// BreakUpstreamConnection breaks the upstream connection of one request in flight to an
// engine, as a network fault would; the stream cannot be resumed. It returns
// false if there is no such request.
func (i *Instance) BreakUpstreamConnection() bool {
	for _, id := range i.requestIDs() {
		if f := i.requests[id]; f.sent && i.world.Engines[f.upstream] != nil {
			i.cancelUpstream(id, f)
			i.step(node.UpstreamDone{ID: id, Result: node.ResultBroken})
			return true
		}
	}
	return false
}

// sendOrder delivers an order to an upstream. It is not sent if SendWithin has
// passed, as after a long pause of the process. The upstream refuses a fencing
// number below the highest that it has seen.
func (i *Instance) sendOrder(a node.SendOrder) {
	w := i.world
	latest := w.Loop.Now() + a.SendWithin
	var deliver func()
	deliver = func() {
		if !i.Alive {
			return
		}
		if i.Paused {
			i.postponed = append(i.postponed, deliver)
			return
		}
		if w.Loop.Now() > latest && !w.IgnoreFencing {
			i.step(node.SendOrderDone{Order: a.Order, Status: node.OrderNotSent})
			return
		}
		status := node.OrderApplied
		if a.FencingNumber < w.fencing[a.Upstream] && !w.IgnoreFencing {
			status = node.OrderRefusedFencing
		} else {
			w.fencing[a.Upstream] = max(a.FencingNumber, w.fencing[a.Upstream])
			w.Trace.Orders = append(w.Trace.Orders, OrderRun{w.Loop.Now(), a.Upstream, a.FencingNumber, i.Incarnation})
		}
		w.Loop.After(upstreamDelay, func() { i.step(node.SendOrderDone{Order: a.Order, Status: status}) })
	}
	w.Loop.After(time.Duration(w.Loop.Rand.Float64()*float64(20*time.Millisecond)), deliver)
	if w.OnOrder != nil {
		w.OnOrder(i)
	}
}
