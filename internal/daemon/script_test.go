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

// script is a Machine whose answers are scripted.
type script struct {
	nodeloop.Machine
	step func(ev node.Event) []node.Action
}

func (s *script) Step(_ time.Duration, ev node.Event, out []node.Action) []node.Action {
	return append(out, s.step(ev)...)
}

// scripted returns a daemon whose loop runs the script; no listener is opened.
func scripted(t *testing.T, step func(ev node.Event) []node.Action) *Daemon {
	t.Helper()
	loaded, err := settings.Parse("test", []byte("[instance]\nname = a\nfailure_domain = z\nregion = r\n[listen]\ncaller = 127.0.0.1:1\nadmin = 127.0.0.1:2\npeer = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n"))
	require.NoError(t, err)
	d, err := New(loaded, zerolog.Nop(), func(node.Config, uint64) nodeloop.Machine { return &script{step: step} })
	require.NoError(t, err)
	d.goRun(func() { d.loop.Run(d.ctx) })
	t.Cleanup(d.Close)
	return d
}

// recorder is an Answer that records how a request ended.
type recorder struct {
	httpfront.Answer
	refused []httpfront.Refusal
	outcome []*pb.BindingOutcome
}

func (r *recorder) Refuse(refusal httpfront.Refusal) { r.refused = append(r.refused, refusal) }
func (r *recorder) Outcome(o *pb.BindingOutcome) error {
	r.outcome = append(r.outcome, o)
	return nil
}

// TestSecondDispatchIsNotCarriedOut guards the promise of at most one dispatch
// against a fault in the decisions.
func TestSecondDispatchIsNotCarriedOut(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	d := scripted(t, func(ev node.Event) []node.Action {
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
	answer := &recorder{}
	d.Serve(context.Background(), &httpfront.Request{Kind: "k"}, answer)
	require.Equal(t, int64(1), runs.Load())
	require.Len(t, answer.refused, 1)
	require.Equal(t, node.RanUnknown, answer.refused[0].Ran)
}

// TestRetryAfterRefusedConnection guards against giving up, or reporting a run,
// where nothing was sent.
func TestRetryAfterRefusedConnection(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	}))
	defer server.Close()
	closed := freeAddress(t)
	d := scripted(t, func(ev node.Event) []node.Action {
		switch e := ev.(type) {
		case node.SubmitRequest:
			return []node.Action{node.Dispatch{ID: e.ID, Address: closed, Remaining: time.Minute}}
		case node.DispatchFailed:
			return []node.Action{node.Dispatch{ID: e.ID, Address: server.Listener.Addr().String(), Remaining: time.Minute}}
		}
		return nil
	})
	answer := &recorder{}
	d.Serve(context.Background(), &httpfront.Request{Kind: "k"}, answer)
	require.Equal(t, int64(1), runs.Load())
	require.Len(t, answer.outcome, 1)
}

// TestDispatchOfEndedRequest guards against a permit that is lost when a
// caller left before its dispatch.
func TestDispatchOfEndedRequest(t *testing.T) {
	failed := make(chan node.RequestID, 1)
	d := scripted(t, func(ev node.Event) []node.Action {
		switch e := ev.(type) {
		case node.CallerGone:
			return []node.Action{node.Dispatch{ID: e.ID + 1000, Address: "127.0.0.1:1", Remaining: time.Minute}}
		case node.DispatchFailed:
			failed <- e.ID
		}
		return nil
	})
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(httpfront.ErrCallerGone)
	answer := &recorder{}
	d.Serve(ctx, &httpfront.Request{Kind: "k"}, answer)
	require.Equal(t, node.RequestID(1001), <-failed)
	require.Empty(t, answer.refused)
	require.Zero(t, d.requests.Len())
}

// TestCancelBeforeExchange guards against sending a request that was canceled
// between its grant and its dispatch.
func TestCancelBeforeExchange(t *testing.T) {
	m := nodeloop.NewMailbox()
	m.Deliver(node.CancelUpstream{})
	ctx, cancel := context.WithCancel(context.Background())
	m.Begin(cancel)
	require.Error(t, ctx.Err())
	m.End()
	ctx, cancel = context.WithCancel(context.Background())
	defer cancel()
	m.Begin(cancel)
	require.NoError(t, ctx.Err(), "a cancel does not outlive its exchange")
}

// TestStoppedLoop guards against senders that wait for a loop that has stopped.
func TestStoppedLoop(t *testing.T) {
	d := scripted(t, func(node.Event) []node.Action { return nil })
	d.stop()
	<-d.loop.Stopped()
	for range 2 * nodeloop.MaxEvents {
		if !d.loop.Post(node.Tick{}) {
			break
		}
	}
	require.False(t, d.loop.Query(context.Background(), func(time.Duration) {}))
	answer := &recorder{}
	for len(answer.refused) == 0 {
		d.Serve(context.Background(), &httpfront.Request{Kind: "k", Remaining: time.Millisecond}, answer)
	}
	require.Contains(t, []string{"draining", "internal"}, answer.refused[0].Code)
}
