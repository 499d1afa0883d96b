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

// dispatch connects to an upstream and hands over the request.
func (i *Instance) dispatch(a node.Dispatch) {
	f := i.flights[a.ID]
	if f == nil {
		return
	}
	w := i.world
	f.upstream = a.Upstream
	w.Trace.dispatched(i.globalID(a.ID), a.Upstream, w.Loop.Now())
	if w.BeforeSend != nil {
		w.Loop.After(upstreamDelay, func() { i.Do(func() { i.sendChecked(a, f) }) })
		return
	}
	w.Loop.After(upstreamDelay, func() { i.send(a, f) })
}

// sendChecked sends a request unless what it was judged by does not hold any more.
func (i *Instance) sendChecked(a node.Dispatch, f *flight) {
	if i.world.BeforeSend(i, f.spec) {
		i.send(a, f)
		return
	}
	i.end(a.ID, f, OutcomeRefused, node.Refuse{ID: a.ID, Refusal: answer.Refusal{Code: "not_ready", Ran: answer.RanNo}})
	i.step(node.DispatchFailed{ID: a.ID})
	i.step(node.CallerGone{ID: a.ID})
}

// send hands a request to its upstream.
func (i *Instance) send(a node.Dispatch, f *flight) {
	if !i.Alive {
		return
	}
	w, accepted := i.world, false
	if engine := w.Engines[a.Upstream]; engine != nil {
		accepted = i.toEngine(engine, a, f)
	} else if service := w.Services[a.Upstream]; service != nil {
		accepted = service.Call(i.globalID(a.ID), f.spec.Key, func(whole bool) { i.serviceDone(a.ID, whole) })
	}
	if accepted {
		f.sent = true
		w.Trace.Received = append(w.Trace.Received, Receipt{w.Loop.Now(), i.globalID(a.ID), a.Upstream, i.Address, f.origin, f.spec.Key})
		return
	}
	w.Loop.After(upstreamDelay, func() { i.step(node.DispatchFailed{ID: a.ID}) })
}

func (i *Instance) toEngine(engine *Engine, a node.Dispatch, f *flight) bool {
	w, id := i.world, a.ID
	output := max(f.spec.Output, 1) * w.TokensPerEvent
	request := w.Trace.Find(i.globalID(id))
	w.Loop.After(a.Remaining, func() { i.deadline(id) })
	return engine.Submit(EngineRequest{
		ID: i.globalID(id), Prompt: f.spec.Prompt, Output: output,
		OnToken: func(tokens uint32) {
			if tokens%w.TokensPerEvent != 0 {
				return
			}
			events := tokens / w.TokensPerEvent
			if request != nil {
				request.event(w.Loop.Now())
			}
			if events == 1 {
				w.Loop.After(upstreamDelay, func() { i.step(node.UpstreamFirstToken{ID: id}) })
			}
			if events%w.TokenReport == 0 {
				w.Loop.After(upstreamDelay, func() { i.step(node.UpstreamTokens{ID: id, Total: events}) })
			}
		},
		OnDone: func(result EngineResult, tokens, cached uint32) {
			answer := i.globalID(id)
			if w.SwapAnswers > 0 && w.Loop.Rand.Float64() < w.SwapAnswers {
				answer.Sequence++
			}
			w.Loop.After(upstreamDelay, func() { i.engineDone(id, answer, result, tokens/w.TokensPerEvent) })
		},
	})
}

// engineDone relays the end of a stream. The edge compares the id that the
// answer carries with the id of the request.
func (i *Instance) engineDone(id node.RequestID, answer scheduler.GlobalID, result EngineResult, tokens uint32) {
	if i.Paused {
		i.waiting = append(i.waiting, func() { i.engineDone(id, answer, result, tokens) })
		return
	}
	f := i.flights[id]
	if f == nil || !f.sent {
		return
	}
	f.sent = false
	done := node.UpstreamDone{ID: id, Result: node.ResultComplete, OutputTokens: tokens}
	switch {
	case result == StreamBroken:
		done.Result = node.ResultBroken
	case answer != i.globalID(id) && !i.world.UncheckedAnswers:
		done.Result = node.ResultMismatched
	}
	i.answered(id, f, done, answer)
}

func (i *Instance) serviceDone(id node.RequestID, whole bool) {
	if i.Paused {
		i.waiting = append(i.waiting, func() { i.serviceDone(id, whole) })
		return
	}
	f := i.flights[id]
	if f == nil || !f.sent {
		return
	}
	f.sent = false
	done := node.UpstreamDone{ID: id, Result: node.ResultBroken}
	if whole {
		done.Result = node.ResultComplete
		done.Outcome = &pb.BindingOutcome{HttpStatus: 200, Body: []byte(f.spec.Key)}
	}
	i.answered(id, f, done, i.globalID(id))
}

func (i *Instance) answered(id node.RequestID, f *flight, done node.UpstreamDone, answer scheduler.GlobalID) {
	if done.Result == node.ResultComplete && i.Alive && !f.ended {
		if r := i.world.Trace.Find(i.globalID(id)); r != nil && f.caller {
			r.AnsweredWith, r.Tokens = answer, done.OutputTokens
		}
		i.end(id, f, OutcomeAnswered, node.Refuse{})
	}
	i.step(done)
}

func (i *Instance) deadline(id node.RequestID) {
	f := i.flights[id]
	if f == nil || !f.sent || !i.Alive {
		return
	}
	if i.Paused {
		i.waiting = append(i.waiting, func() { i.deadline(id) })
		return
	}
	i.cancelUpstream(id, f)
	i.step(node.UpstreamDone{ID: id, Result: node.ResultDeadline})
}

// cancelUpstream closes the connection to the upstream. A service completes
// the call all the same.
func (i *Instance) cancelUpstream(id node.RequestID, f *flight) {
	f.sent = false
	gid, engine := i.globalID(id), i.world.Engines[f.upstream]
	if engine != nil {
		i.world.Loop.After(upstreamDelay, func() { engine.Cancel(gid) })
	}
}

// CutConnection breaks the connection of one dispatched request, as a network
// fault would. The stream cannot be resumed.
func (i *Instance) CutConnection() bool {
	for _, id := range i.flightIDs() {
		if f := i.flights[id]; f.sent && i.world.Engines[f.upstream] != nil {
			i.cancelUpstream(id, f)
			i.step(node.UpstreamDone{ID: id, Result: node.ResultBroken})
			return true
		}
	}
	return false
}

// sendOrder delivers an order unless the process was paused for longer than
// the order may wait. The upstream refuses an old fencing number.
func (i *Instance) sendOrder(a node.SendOrder) {
	w := i.world
	latest := w.Loop.Now() + a.SendWithin
	var write func()
	write = func() {
		if !i.Alive {
			return
		}
		if i.Paused {
			i.waiting = append(i.waiting, write)
			return
		}
		if w.Loop.Now() > latest && !w.IgnoreFencing {
			i.step(node.OrderDone{Order: a.Order, Status: node.OrderNotSent})
			return
		}
		status := node.OrderApplied
		if a.FencingNumber < w.fencing[a.Upstream] && !w.IgnoreFencing {
			status = node.OrderRefusedFencing
		} else {
			w.fencing[a.Upstream] = max(a.FencingNumber, w.fencing[a.Upstream])
			w.Trace.Orders = append(w.Trace.Orders, OrderRun{w.Loop.Now(), a.Upstream, a.FencingNumber, i.Incarnation})
		}
		w.Loop.After(upstreamDelay, func() { i.step(node.OrderDone{Order: a.Order, Status: status}) })
	}
	w.Loop.After(time.Duration(w.Loop.Rand.Float64()*float64(20*time.Millisecond)), write)
	if w.OnOrder != nil {
		w.OnOrder(i)
	}
}
