package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/forward"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
)

// firstThenSecond is a node that grants each request a send to the first address and, if that did
// not run it, one to the second. It records the events about upstreams.
type firstThenSecond struct {
	nodeloop.Machine
	first, second string
	mu            sync.Mutex
	events        []node.Event
}

// Step implements nodeloop.Machine.
func (m *firstThenSecond) Step(_ time.Duration, event node.Event, _ []node.Action) []node.Action {
	switch e := event.(type) {
	case node.SubmitRequest:
		return []node.Action{node.Dispatch{ID: e.ID, Upstream: "first", Address: m.first}}
	case node.UpstreamHoldsOff:
		m.record(e)
	case node.UpstreamDone:
		m.record(e)
		switch e.Result {
		case node.ResultRefused:
			return []node.Action{node.Dispatch{ID: e.ID, Upstream: "second", Address: m.second}}
		case node.ResultComplete:
		default:
			return []node.Action{node.Refuse{ID: e.ID, Refusal: answer.Refusal{Code: "upstream_broke", Ran: answer.RanUnknown}}}
		}
	}
	return nil
}

func (m *firstThenSecond) record(e node.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, e)
}

func (m *firstThenSecond) recorded() []node.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]node.Event(nil), m.events...)
}

// TestFullUpstreamIsSpared guards against an upstream that is sent more bytes of requests than it
// may hold, against a request that fails for this reason although another upstream is free, and
// against a node that does not learn of it and grants the same upstream again at once.
func TestFullUpstreamIsSpared(t *testing.T) {
	received, goOn := make(chan struct{}, 1), make(chan struct{})
	serve := func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		received <- struct{}{}
		<-goOn
		_, _ = io.WriteString(c, answerHead+"Content-Length: 5\r\n\r\nfirst")
	}
	second := func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, answerHead+"Content-Length: 6\r\n\r\nsecond")
		}
	}
	finish := sync.OnceFunc(func() { close(goOn) })
	defer finish()
	machine := &firstThenSecond{first: testserver.Listen(t, serve), second: testserver.Listen(t, second)}
	front, _ := gatewayWith(t, machine, &ingress.Route{Kind: ingress.NonIdempotent, MaxSends: 2}, time.Minute, func(g *Gateway, _ *httpfront.ServerConfig) {
		g.upstreams.Close()
		g.upstreams = forward.NewClient(forward.Options{DialTimeout: 10 * time.Second, MaxIdle: 4, ReadHead: plainCodec{}.ReadAnswerHead,
			MaxRequestBytes: 4000, RequestWaits: g.logRequestHeldBack})
	})
	bodies := make(chan string, 1)
	post := func() string {
		response, err := http.Post("http://"+front+"/p", "text/plain", strings.NewReader(strings.Repeat("x", 3000)))
		if err != nil {
			return err.Error()
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return string(body)
	}
	go func() { bodies <- post() }()
	<-received
	require.Equal(t, "second", post())
	events := machine.recorded()
	require.IsType(t, node.UpstreamHoldsOff{}, events[0])
	require.Equal(t, "first", events[0].(node.UpstreamHoldsOff).Upstream)
	require.Positive(t, events[0].(node.UpstreamHoldsOff).For)
	require.Equal(t, node.ResultRefused, events[1].(node.UpstreamDone).Result)
	finish()
	require.Equal(t, "first", <-bodies)
}
