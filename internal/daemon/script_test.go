package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// scriptedMachine is a Machine that answers each event with the actions that onEvent returns.
type scriptedMachine struct {
	nodeloop.Machine
	onEvent func(ev node.Event) []node.Action
}

func (s *scriptedMachine) Step(_ time.Duration, ev node.Event, out []node.Action) []node.Action {
	return append(out, s.onEvent(ev)...)
}

// newScriptedDaemon returns a daemon whose loop runs a scriptedMachine. It opens no listener.
func newScriptedDaemon(t *testing.T, onEvent func(ev node.Event) []node.Action) *Daemon {
	t.Helper()
	loaded, err := settings.Parse("test", []byte("[instance]\nname = a\nfailure_domain = z\nregion = r\n[listen]\ncaller = 127.0.0.1:1\nadmin = 127.0.0.1:2\npeer = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n"))
	require.NoError(t, err)
	d, err := New(loaded, zerolog.Nop(), func(node.Config, uint64) nodeloop.Machine { return &scriptedMachine{onEvent: onEvent} })
	require.NoError(t, err)
	d.runInBackground(func() { d.loop.Run(d.ctx) })
	t.Cleanup(d.Close)
	return d
}

// answerRecorder is an Answer that records how a request ended.
type answerRecorder struct {
	httpfront.Answer
	refusals []httpfront.Refusal
	outcomes []*pb.BindingOutcome
}

func (r *answerRecorder) Refuse(refusal httpfront.Refusal) { r.refusals = append(r.refusals, refusal) }
func (r *answerRecorder) Outcome(o *pb.BindingOutcome) error {
	r.outcomes = append(r.outcomes, o)
	return nil
}

// TestSecondDispatchIsNotCarriedOut guards against a request that is sent twice
// because a fault in the node's decisions orders a second dispatch.
func TestSecondDispatchIsNotCarriedOut(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	d := newScriptedDaemon(t, func(ev node.Event) []node.Action {
		switch e := ev.(type) {
		case node.SubmitRequest:
			dispatch := node.Dispatch{ID: e.ID, Address: server.Listener.Addr().String(), Remaining: time.Minute}
			return []node.Action{dispatch, dispatch}
		case node.UpstreamDone:
			again := node.Dispatch{ID: e.ID, Address: server.Listener.Addr().String(), Remaining: time.Minute}
			return []node.Action{again, node.Refuse{ID: e.ID, Refusal: answer.Refusal{Code: "upstream_broke", Ran: node.RanUnknown}}}
		}
		return nil
	})
	answer := &answerRecorder{}
	d.Serve(context.Background(), &httpfront.Request{Kind: "k"}, answer)
	require.Equal(t, int64(1), runs.Load())
	require.Len(t, answer.refusals, 1)
	require.Equal(t, node.RanUnknown, answer.refusals[0].Ran)
}

// TestRetryAfterRefusedConnection guards against a request that is not retried,
// or that is reported as having run, after a refused connection to its upstream:
// nothing was sent.
func TestRetryAfterRefusedConnection(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	}))
	defer server.Close()
	closed := freeAddress(t)
	d := newScriptedDaemon(t, func(ev node.Event) []node.Action {
		switch e := ev.(type) {
		case node.SubmitRequest:
			return []node.Action{node.Dispatch{ID: e.ID, Address: closed, Remaining: time.Minute}}
		case node.DispatchFailed:
			return []node.Action{node.Dispatch{ID: e.ID, Address: server.Listener.Addr().String(), Remaining: time.Minute}}
		}
		return nil
	})
	answer := &answerRecorder{}
	d.Serve(context.Background(), &httpfront.Request{Kind: "k"}, answer)
	require.Equal(t, int64(1), runs.Load())
	require.Len(t, answer.outcomes, 1)
}

// TestDispatchOfEndedRequestReportsFailure guards against a permit that is lost
// because the caller disconnected before its request was dispatched: the failure
// must be reported to the node, which then releases the permit.
func TestDispatchOfEndedRequestReportsFailure(t *testing.T) {
	failed := make(chan node.RequestID, 1)
	d := newScriptedDaemon(t, func(ev node.Event) []node.Action {
		switch e := ev.(type) {
		case node.CallerDisconnected:
			return []node.Action{node.Dispatch{ID: e.ID + 1000, Address: "127.0.0.1:1", Remaining: time.Minute}}
		case node.DispatchFailed:
			failed <- e.ID
		}
		return nil
	})
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(httpfront.ErrCallerDisconnected)
	answer := &answerRecorder{}
	d.Serve(ctx, &httpfront.Request{Kind: "k"}, answer)
	require.Equal(t, node.RequestID(1001), <-failed)
	require.Empty(t, answer.refusals)
	require.Zero(t, d.requests.Len())
}

// TestCancelBeforeExchangeBegins guards against sending a request that was
// canceled between its grant and its dispatch.
func TestCancelBeforeExchangeBegins(t *testing.T) {
	m := nodeloop.NewMailbox()
	m.Deliver(node.CancelUpstream{})
	ctx, cancel := context.WithCancel(context.Background())
	m.BeginExchange(cancel)
	require.Error(t, ctx.Err())
	m.EndExchange()
	ctx, cancel = context.WithCancel(context.Background())
	defer cancel()
	m.BeginExchange(cancel)
	require.NoError(t, ctx.Err(), "a cancellation must not affect the next exchange")
}

// TestStoppedLoopReleasesSenders guards against goroutines that wait for ever for
// a loop that has stopped.
func TestStoppedLoopReleasesSenders(t *testing.T) {
	d := newScriptedDaemon(t, func(node.Event) []node.Action { return nil })
	d.stop()
	<-d.loop.Stopped()
	for range 2 * nodeloop.MaxQueuedEvents {
		if !d.loop.Post(node.Tick{}) {
			break
		}
	}
	require.False(t, d.loop.Query(context.Background(), func(time.Duration) {}))
	answer := &answerRecorder{}
	for len(answer.refusals) == 0 {
		d.Serve(context.Background(), &httpfront.Request{Kind: "k", Remaining: time.Millisecond}, answer)
	}
	require.Contains(t, []string{"draining", "internal"}, answer.refusals[0].Code)
}
