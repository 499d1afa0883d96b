package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
)

// inTurn is a node that sends each request to its addresses in turn, as long as no answer is complete
// and the request may be sent again.
type inTurn struct {
	nodeloop.Machine
	addresses []string
	sends     map[node.RequestID]int
}

// Step implements nodeloop.Machine.
func (m inTurn) Step(_ time.Duration, event node.Event, _ []node.Action) []node.Action {
	var id node.RequestID
	switch e := event.(type) {
	case node.SubmitRequest:
		id = e.ID
	case node.UpstreamDone:
		if e.Result == node.ResultComplete {
			return nil
		}
		if id = e.ID; e.NoRepeat {
			m.sends[id] = len(m.addresses)
		}
	default:
		return nil
	}
	if m.sends[id] >= len(m.addresses) {
		return []node.Action{node.Refuse{ID: id, Refusal: answer.Refusal{Code: "upstream_broke", Ran: answer.RanUnknown}}}
	}
	address := m.addresses[m.sends[id]]
	m.sends[id]++
	return []node.Action{node.Dispatch{ID: id, Upstream: "u", Address: address}}
}

// uploadBytes is more than the kernel takes of a request that its upstream does not read.
const uploadBytes = 16 << 20

// resettingUpstream starts a server that answers a request at once with an answer without a length,
// sends the text as a part of its body and resets the connection.
func resettingUpstream(t *testing.T, text string) string {
	return testserver.Listen(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 512))
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

// soundUpstream starts a server that reads each request and answers it with the text.
func soundUpstream(t *testing.T, text string) string {
	return testserver.Listen(t, func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
		}
	})
}

// upload sends a long request and returns its answer, and an error if that is not framed as complete.
func upload(t *testing.T, route *ingress.Route, addresses ...string) (int, string, error) {
	machine := inTurn{addresses: addresses, sends: map[node.RequestID]int{}}
	front, _ := gatewayWith(t, machine, route, time.Minute, func(_ *Gateway, c *httpfront.ServerConfig) {
		c.MaxBodyBytes, c.MaxBufferedBytes = 2*uploadBytes, 4*uploadBytes
	})
	response, err := http.Post("http://"+front+"/p", "application/octet-stream", bytes.NewReader(make([]byte, uploadBytes)))
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// TestResetDuringUpload guards against a part of a body that reaches the caller of a long upload as a
// whole, on each kind of route, and against a stream that another upstream does not continue then.
func TestResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\n"
	const stream = head + "Content-Type: text/event-stream\r\n\r\n"
	const one, two = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	for range 2 {
		for _, kind := range []ingress.RouteKind{ingress.Idempotent, ingress.NonIdempotent, ingress.Stream} {
			_, body, err := upload(t, &ingress.Route{Kind: kind, MaxSends: 1}, resettingUpstream(t, head+"\r\npart"))
			require.Error(t, err, "%q looks complete", body)
		}
		route := &ingress.Route{Kind: ingress.Stream, MaxSends: 2, Resumable: true, NumberedEvents: true}
		_, body, err := upload(t, route, resettingUpstream(t, stream+one))
		require.Error(t, err, "%q looks complete", body)
		status, body, err := upload(t, route, resettingUpstream(t, stream+one), soundUpstream(t, stream+two))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, one+two, body)
	}
}
