package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/forward"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/telemetry"
	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
)

// plainCodec is a Codec whose headers are short names.
type plainCodec struct{ Codec }

func (plainCodec) UpstreamHeader(http.Header, SendHeaders) http.Header {
	return http.Header{"User-Agent": {""}}
}
func (plainCodec) CallerHeader(h http.Header) http.Header { return h.Clone() }
func (plainCodec) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}
func (plainCodec) ReadAnswerHead(_ int, h http.Header) forward.AnswerHead {
	return forward.AnswerHead{RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != ""}
}

// sendResult is how a scripted upstream answers one send.
type sendResult struct {
	name string
	// text is the raw answer; with an empty text the upstream closes the connection.
	text string
	// closed is true if no server listens at the address.
	closed bool
	// ran is what a caller may be told after this send.
	ran answer.Ran
}

var sendResults = []sendResult{
	{name: "not sent", closed: true, ran: answer.RanNo},
	{name: "not run", text: "HTTP/1.1 503 E\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", ran: answer.RanNo},
	{name: "closed", ran: answer.RanUnknown},
	{name: "another request's", text: "HTTP/1.1 200 OK\r\nId: b\r\nSeal: x\r\nContent-Length: 0\r\n\r\n", ran: answer.RanUnknown},
	{name: "503 without a reason", text: "HTTP/1.1 503 E\r\nId: a\r\nContent-Length: 0\r\n\r\n", ran: answer.RanUnknown},
	{name: "failed", text: "HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno", ran: answer.RanYes},
}

// listen starts a server that gives each request the answer of r, and returns its
// address.
func (r sendResult) listen(t *testing.T) string {
	if r.closed {
		return testserver.Refuse(t)
	}
	return testserver.Listen(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(reader); err != nil || r.text == "" {
				return
			}
			_, _ = c.Write([]byte(r.text))
		}
	})
}

// requestEnd is how a request ends after its last send.
type requestEnd struct {
	name string
	// refusal is what the node answers; with an empty code, finish is called.
	refusal answer.Refusal
	finish  func(*scriptedRequest)
	// silent is true if the caller receives nothing.
	silent bool
}

var requestEnds = []requestEnd{
	{name: "shed", refusal: answer.Refusal{Code: "shed_overload", Ran: answer.RanNo}},
	{name: "over quota", refusal: answer.Refusal{Code: "limit_rate", Ran: answer.RanNo}},
	{name: "stopping", refusal: answer.Refusal{Code: "draining", Ran: answer.RanNo}},
	{name: "route removed", refusal: answer.Refusal{Code: "unknown_kind", Ran: answer.RanNo}},
	{name: "owner lost", refusal: answer.Refusal{Code: "connect_failed", Ran: answer.RanNo}},
	{name: "deadline", finish: func(s *scriptedRequest) { s.stopWaiting() }},
	{name: "granted after the deadline", finish: func(s *scriptedRequest) {
		s.call.deadline = boottime.Now() - time.Second
		s.dispatch(s.addresses[1])
	}},
	{name: "revocations unconfirmed", finish: func(s *scriptedRequest) {
		s.call.g.config.confirmation.Store(&ingress.Confirmation{})
		s.dispatch(s.addresses[1])
	}},
	{name: "caller disconnected", finish: func(s *scriptedRequest) { s.disconnect() }, silent: true},
}

// scriptedRequest is a node that grants one request the sends of a script and then
// ends it. Its fields are used by one goroutine at a time: the request's before it
// posts an event, the loop's while it handles one.
type scriptedRequest struct {
	nodeloop.Machine
	call      *call
	addresses []string
	// sends are the indices into sendResults that are left.
	sends       []int
	end         requestEnd
	stopWaiting context.CancelFunc
	disconnect  context.CancelFunc
	actions     []node.Action
}

// Step handles the end of a send. It implements nodeloop.Machine.
func (s *scriptedRequest) Step(_ time.Duration, event node.Event, _ []node.Action) []node.Action {
	s.actions = nil
	switch event.(type) {
	case node.SubmitRequest, node.UpstreamDone, node.DispatchFailed:
		s.next()
	}
	return s.actions
}

func (s *scriptedRequest) next() {
	switch {
	case len(s.sends) > 0:
		s.dispatch(s.addresses[s.sends[0]])
		s.sends = s.sends[1:]
	case s.end.finish != nil:
		s.end.finish(s)
		s.end = requestEnd{refusal: answer.Refusal{Code: "expired_waiting", Ran: answer.RanNo}}
	default:
		s.actions = append(s.actions, node.Refuse{ID: s.call.id, Refusal: s.end.refusal})
	}
}

func (s *scriptedRequest) dispatch(address string) {
	s.actions = append(s.actions, node.Dispatch{ID: s.call.id, Upstream: "u", Address: address})
}

// serveScript runs a request against a script of sends and returns its answer.
func serveScript(metrics *telemetry.Metrics, addresses []string, sends []int, end requestEnd) *httptest.ResponseRecorder {
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	wait, stopWaiting := context.WithCancel(ctx)
	defer stopWaiting()
	s := &scriptedRequest{addresses: addresses, sends: sends, end: end, stopWaiting: stopWaiting, disconnect: disconnect}
	g := &Gateway{codec: plainCodec{}, metrics: metrics, mailboxes: nodeloop.NewMailboxes(),
		log:    eventlog.New(zerolog.Nop(), "n", "i", func(string) {}),
		bounds: ingress.Bounds{Apply: time.Minute, Revoke: time.Minute}}
	g.config.confirmation.Store(&ingress.Confirmation{At: boottime.Now(), Known: true})
	g.upstreams = forward.NewClient(forward.Options{DialTimeout: time.Second, MaxIdle: 4, ReadHead: plainCodec{}.ReadAnswerHead})
	defer g.upstreams.Close()
	g.loop = nodeloop.New(s, g.execute)
	running, stop := context.WithCancel(context.Background())
	defer func() { stop(); <-g.loop.Stopped() }()

	w := httptest.NewRecorder()
	admitted := &admittedRequest{
		head: RequestHead{ID: "a"}, http: httptest.NewRequest(http.MethodPost, "/p", http.NoBody),
		snapshot: &snapshot{table: ingress.NewTable(&ingress.Config{})},
		route:    &ingress.Route{Kind: ingress.Idempotent, MaxSends: 3}, organisation: &ingress.Organisation{Name: "o"},
		arrived: boottime.Now(), deadline: boottime.Now() + time.Minute,
	}
	s.call = &call{admittedRequest: admitted, g: g, w: w, id: 1, mailbox: g.mailboxes.Add(1)}
	s.call.relay.Sink, s.call.relay.Progress = &sink{g: g, w: w, request: admitted.http}, s.call
	go g.loop.Run(running)
	g.loop.Post(node.SubmitRequest{ID: 1})
	s.call.serveUntil(ctx, wait)
	return w
}

// TestRefusalIsTrueForAllSends guards against an answer that says that a request has
// not run although one of its sends may have run, however the later ones and the
// request ended, and against one that says less than is known. It drives every
// sequence of up to three sends with every end.
func TestRefusalIsTrueForAllSends(t *testing.T) {
	metrics, err := telemetry.NewMetrics()
	require.NoError(t, err)
	defer metrics.Close(context.Background())
	addresses := make([]string, len(sendResults))
	for i, r := range sendResults {
		addresses[i] = r.listen(t)
	}
	for _, end := range requestEnds {
		for _, sends := range sequences(3, len(sendResults)) {
			names := make([]string, len(sends))
			ran := answer.RanNo
			failed := false
			for i, send := range sends {
				names[i] = sendResults[send].name
				if sendResults[send].ran != answer.RanNo {
					ran = answer.RanUnknown
				}
				failed = failed || sendResults[send].ran == answer.RanYes
			}
			name := strings.Join(names, ", ") + "; " + end.name
			w := serveScript(metrics, addresses, sends, end)
			switch {
			case end.silent:
				require.Empty(t, w.Body.String(), name)
			case ran == answer.RanNo:
				require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, w.Code, name)
				require.Contains(t, w.Body.String(), `"ran":"no"`, name)
			case failed:
				require.Equal(t, http.StatusInternalServerError, w.Code, "%s: the failure is relayed", name)
			default:
				require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, w.Code, name)
				require.Contains(t, w.Body.String(), `"ran":"unknown"`, name)
			}
		}
	}
}

// sequences returns all sequences of up to length numbers below n.
func sequences(length, n int) [][]int {
	all := [][]int{{}}
	for from := 0; length > 0; length-- {
		to := len(all)
		for ; from < to; from++ {
			for next := range n {
				all = append(all, append(append([]int(nil), all[from]...), next))
			}
		}
	}
	return all
}

// TestSequences guards against a generator that leaves sequences out.
func TestSequences(t *testing.T) {
	all := map[string]bool{}
	for _, s := range sequences(3, 2) {
		all[fmt.Sprint(s)] = true
	}
	require.Len(t, all, 1+2+4+8)
}
