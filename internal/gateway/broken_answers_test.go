package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/ingress"
)

// malformedEnds follow the bytes of a chunked body, whose end they do not state properly.
var malformedEnds = []string{
	"", "0", "0\r\n", "0\n\n", "0\r\n\n", "00x\r\n\r\n", "-0\r\n\r\n", "0\r\nX Y: 1\r\n\r\n", "0\r\n X: 1\r\n\r\n", "0\r\nX : 1\r\n\r\n",
	"0\r\nX\x00: 1\r\n\r\n", "0\r\nX: \x01\r\n\r\n", "0\r\nno colon\r\n\r\n", "0\r\nX: 1\r\n", "0\r\n: 1\r\n\r\n", "5\r\nmore", "5\r\nmore!",
	"5\r\nmore!!\r\n0\r\n\r\n", "4\r\nmore!\r\n0\r\n\r\n", "0x4\r\nmore\r\n0\r\n\r\n", "4 4\r\nmore\r\n0\r\n\r\n",
}

// TestMalformedEndsAreNotComplete guards against a chunked body that does not end properly and is
// relayed as complete.
func TestMalformedEndsAreNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n"
	for kind, c := range map[string]struct {
		route ingress.RouteKind
		start string
	}{
		"not idempotent": {ingress.NonIdempotent, head + "\r\n4\r\nbody\r\n"},
		"stream":         {ingress.Stream, head + "Content-Type: text/event-stream\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n"},
	} {
		upstream := &brokenUpstream{}
		front := gatewayToBroken(t, upstream, c.route)
		for _, end := range malformedEnds {
			t.Run(fmt.Sprintf("%q, %s", end, kind), func(t *testing.T) {
				text := c.start + end
				upstream.text.Store(&text)
				_, body, err := readStatus(t, front, "HTTP/1.1")
				require.Error(t, err, "%q looks complete", body)
			})
		}
	}
}

// TestLengthAndChunksEndTheConnection guards against another request on a connection on which an
// answer stated two framings: what follows it may be the rest of that answer.
func TestLengthAndChunksEndTheConnection(t *testing.T) {
	const both = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nContent-Length: 200\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	var connections atomic.Int64
	upstream := testserver.Listen(t, func(c net.Conn) {
		connections.Add(1)
		for reader := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(c, both)
		}
	})
	front, _ := gatewayOf(t, upstream, &ingress.Route{Kind: ingress.Idempotent, MaxSends: 1}, time.Minute)
	for range 2 {
		_, body, err := readStatus(t, front, "HTTP/1.1")
		require.NoError(t, err)
		require.Equal(t, "body", body)
	}
	require.EqualValues(t, 2, connections.Load())
}

// brokenUpstream is a server that answers each request on a connection, after the number of sound ones, with
// the current text and then closes the connection.
type brokenUpstream struct {
	sound int
	text  atomic.Pointer[string]
}

// serve handles one connection.
func (u *brokenUpstream) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for i := 0; ; i++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if i == u.sound {
			_, _ = io.WriteString(c, *u.text.Load())
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nContent-Length: 5\r\n\r\nsound")
	}
}

// gatewayToBroken starts a gateway to the server, with a route of the kind.
func gatewayToBroken(t *testing.T, u *brokenUpstream, kind ingress.RouteKind) (front string) {
	front, _ = gatewayOf(t, testserver.Listen(t, u.serve), &ingress.Route{Kind: kind, MaxSends: 1}, time.Minute)
	return front
}

// TestBrokenAnswersAreNotRelayed guards against a broken answer that reaches a caller as an answer of
// the upstream, on new and on kept connections, and on each kind of route.
func TestBrokenAnswersAreNotRelayed(t *testing.T) {
	for kind, routeKind := range map[string]ingress.RouteKind{"idempotent": ingress.Idempotent, "not idempotent": ingress.NonIdempotent, "stream": ingress.Stream} {
		for on, sound := range map[string]int{"new connection": 0, "kept connection": 1} {
			if routeKind == ingress.Stream && sound > 0 {
				continue // the sound answer is no stream
			}
			upstream := &brokenUpstream{sound: sound}
			front := gatewayToBroken(t, upstream, routeKind)
			for name, text := range testserver.BrokenAnswers("Id: a\r\nSeal: x\r\n", "wrong") {
				t.Run(fmt.Sprintf("%q, %s, %s", name, kind, on), func(t *testing.T) {
					upstream.text.Store(&text)
					for range sound {
						_, body, err := readStatus(t, front, "HTTP/1.1")
						require.NoError(t, err)
						require.Equal(t, "sound", body)
					}
					status, body, err := readStatus(t, front, "HTTP/1.1")
					require.NoError(t, err)
					require.Equal(t, http.StatusGatewayTimeout, status, "the refusal of the test's node")
					require.NotContains(t, body, "wrong")
				})
			}
		}
	}
}
