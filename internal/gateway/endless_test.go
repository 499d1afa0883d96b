package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/forward"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/telemetry"
	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
)

// endlessUpstream starts a server whose answer has no length and never ends.
func endlessUpstream(t *testing.T) string {
	return testserver.Listen(t, func(c net.Conn) {
		_, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\n\r\n")
		}
		for err == nil {
			_, err = io.WriteString(c, strings.Repeat("x", 32<<10))
		}
	})
}

// granting is a node that grants each request one send to an address and refuses it
// when that has ended.
type granting struct {
	nodeloop.Machine
	address string
}

// Step implements nodeloop.Machine.
func (m granting) Step(_ time.Duration, event node.Event, _ []node.Action) []node.Action {
	switch e := event.(type) {
	case node.SubmitRequest:
		return []node.Action{node.Dispatch{ID: e.ID, Upstream: "u", Address: m.address}}
	case node.UpstreamDone:
		return []node.Action{node.Refuse{ID: e.ID, Refusal: answer.Refusal{Code: "deadline_exceeded", Ran: answer.RanUnknown}}}
	}
	return nil
}

// gatewayTo starts a gateway that sends every request to one upstream. Each request
// has the given time; ended receives a value when its handler has returned.
func gatewayTo(t *testing.T, address string, limit time.Duration) (front string, ended chan time.Duration) {
	return gatewayOf(t, address, &ingress.Route{Kind: ingress.Idempotent, MaxSends: 1}, limit)
}

// gatewayOf is gatewayTo with a route for all requests.
func gatewayOf(t *testing.T, address string, route *ingress.Route, limit time.Duration) (front string, ended chan time.Duration) {
	return gatewayWith(t, granting{address: address}, route, limit)
}

// gatewayWith is gatewayOf with a node that decides where requests are sent. configure, if any,
// changes the gateway and its server's configuration.
func gatewayWith(t *testing.T, machine nodeloop.Machine, route *ingress.Route, limit time.Duration,
	configure ...func(*Gateway, *httpfront.ServerConfig)) (front string, ended chan time.Duration) {
	metrics, err := telemetry.NewMetrics()
	require.NoError(t, err)
	t.Cleanup(func() { metrics.Close(context.Background()) })
	g := &Gateway{codec: plainCodec{}, metrics: metrics, mailboxes: nodeloop.NewMailboxes(),
		log: eventlog.New(zerolog.Nop(), "n", "i", func(string) {})}
	g.upstreams = forward.NewClient(forward.Options{DialTimeout: time.Second, MaxIdle: 4, ReadHead: plainCodec{}.ReadAnswerHead})
	t.Cleanup(func() { g.upstreams.Close() })
	g.loop = nodeloop.New(machine, g.execute)
	running, stop := context.WithCancel(context.Background())
	go g.loop.Run(running)
	t.Cleanup(func() { stop(); <-g.loop.Stopped() })
	ended = make(chan time.Duration, 10_000)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := boottime.Now()
		body, _ := io.ReadAll(r.Body) // it is in memory
		g.serveAdmitted(w, &admittedRequest{
			head: RequestHead{ID: "a"}, http: r, body: body, snapshot: &snapshot{table: ingress.NewTable(&ingress.Config{})},
			organisation: organisationOf(r), route: route, arrived: now, deadline: now + limit,
		})
		ended <- boottime.Now() - now
	})
	config := httpfront.ServerConfig{
		Address: "127.0.0.1:0", MaxBodyBytes: 4096, MaxHeaderBytes: 4096, MaxConnections: 10, MaxBufferedBytes: 1 << 20,
		ReadTimeout: time.Minute, Handler: handler, InputErrorBody: httpfront.BadInputBody, Log: zerolog.Nop(),
	}
	for _, change := range configure {
		change(g, &config)
	}
	g.answers = config.AnswerBuffer
	server, err := httpfront.NewServer(config)
	require.NoError(t, err)
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)
	return server.Address(), ended
}

// organisationOf is the organisation that a request of a test names, or nil.
func organisationOf(r *http.Request) *ingress.Organisation {
	if name := r.Header.Get("Org"); name != "" {
		return &ingress.Organisation{Name: name}
	}
	return nil
}

// TestEndlessAnswerEnds guards against an answer without end that outlasts its
// request's deadline, or that looks complete: both to a caller that reads it and to
// one that does not, which blocks the write to its connection.
func TestEndlessAnswerEnds(t *testing.T) {
	const limit, allowed = 300 * time.Millisecond, 10 * time.Second
	front, ended := gatewayTo(t, endlessUpstream(t), limit)
	for name, reads := range map[string]bool{"reading caller": true, "caller that does not read": false} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", front)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(allowed)))
			if reads {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.Error(t, err, "the answer looks complete")
				require.NotErrorIs(t, err, context.DeadlineExceeded)
			}
			select {
			case <-ended:
			case <-time.After(allowed):
				require.FailNow(t, "the request outlasts its deadline")
			}
		})
	}
}

// TestAbortEndsWithRequest guards against an abort that runs after its request has
// ended and then uses an answer that belongs to nobody, or to the next request.
func TestAbortEndsWithRequest(t *testing.T) {
	front, ended := gatewayTo(t, endlessUpstream(t), 2*time.Millisecond)
	for range 500 {
		conn, err := net.Dial("tcp", front)
		require.NoError(t, err)
		_, err = io.WriteString(conn, "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		_, _ = conn.Read(make([]byte, 1))
		require.NoError(t, conn.Close())
		<-ended
	}
}
