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

// wholeAnswer stands in the body of a broken answer, where it must not be taken for an answer.
const wholeAnswer = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nContent-Length: 5\r\n\r\nwrong"

// invalidStatuses are no status of an answer; 101 is none since no request asks for another protocol.
var invalidStatuses = []string{"000", "001", "099", "101", "600", "666", "999", "+20", "-00", " 20", "20 ", "2x0", "0x1", "20", "2000"}

// invalidStatusLines violate the grammar of the first line.
var invalidStatusLines = []string{
	"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.x 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "HTTP/1.1  200 OK",
	"HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 \x7f",
}

// invalidFields are lines of a head that are no field. Most of them hide the framing of the body.
var invalidFields = []string{
	"Content-Length : 5", "Content-Length\t: 5", "Content-Length\x00: 5", "Transfer-Encoding : chunked", "X Y: 1", "X\x01Y: 1",
	" X: 1", "\tX: 1", "X\x7f: 1", "X\xe4: 1", "X(Y): 1", "X\"Y: 1", "X@Y: 1", ": 1", "no colon", "X: 1\x00", "X: 1\x01", "X: 1\r2",
	"X: \x7f", "X\rY: 1", "\r", "X: 1\n \x01",
}

// brokenAnswers are answers that are none by the grammar of HTTP/1.1, by what is wrong in them. Each
// has the request's id and the upstream's signature.
func brokenAnswers() map[string]string {
	const own = "\r\nId: a\r\nSeal: x\r\n"
	all := map[string]string{}
	for _, status := range invalidStatuses {
		all["status "+status] = "HTTP/1.1 " + status + " OK" + own + "Content-Length: 5\r\n\r\nwrong"
		all["status "+status+" before an answer"] = "HTTP/1.1 " + status + " OK" + own + "\r\n" + wholeAnswer
	}
	for _, line := range invalidStatusLines {
		all[line] = line + own + "Content-Length: 5\r\n\r\nwrong"
	}
	for _, line := range invalidFields {
		const ok = "HTTP/1.1 200 OK\r\n"
		all[line+" first"] = ok + line + own + "Content-Length: 5\r\n\r\nwrong"
		all[line+" last"] = ok + own[2:] + line + "\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"
		all[line+" in an interim answer"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + wholeAnswer
	}
	// RFC 9112, section 6.1: the framing of such an answer is faulty, whatever else it says.
	for _, more := range []string{"", "Content-Length: 5\r\n", "Content-Length: 15\r\n", "Connection: keep-alive\r\n"} {
		all["chunks of HTTP/1.0 "+more] = "HTTP/1.0 200 OK" + own + more + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"
	}
	return all
}

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
	for _, end := range malformedEnds {
		for kind, c := range map[string]struct {
			route ingress.RouteKind
			start string
		}{
			"not idempotent": {ingress.NonIdempotent, head + "\r\n4\r\nbody\r\n"},
			"stream":         {ingress.Stream, head + "Content-Type: text/event-stream\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n"},
		} {
			t.Run(fmt.Sprintf("%q, %s", end, kind), func(t *testing.T) {
				t.Parallel()
				front, _ := gatewayOf(t, brokenUpstream(t, 0, c.start+end), &ingress.Route{Kind: c.route, MaxSends: 1}, time.Minute)
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

// brokenUpstream starts a server that answers every request on a connection, after the number of
// sound ones, with the given text, and then closes the connection.
func brokenUpstream(t *testing.T, sound int, text string) string {
	return testserver.Listen(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for i := 0; ; i++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if i == sound {
				_, _ = io.WriteString(c, text)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nContent-Length: 5\r\n\r\nsound")
		}
	})
}

// TestBrokenAnswersAreNotRelayed guards against a broken answer that reaches a caller as an answer of
// the upstream, on new and on kept connections, and on each kind of route.
func TestBrokenAnswersAreNotRelayed(t *testing.T) {
	for name, text := range brokenAnswers() {
		for kind, routeKind := range map[string]ingress.RouteKind{"idempotent": ingress.Idempotent, "not idempotent": ingress.NonIdempotent, "stream": ingress.Stream} {
			for on, sound := range map[string]int{"new connection": 0, "kept connection": 1} {
				if routeKind == ingress.Stream && sound > 0 {
					continue // the sound answer is no stream
				}
				t.Run(fmt.Sprintf("%q, %s, %s", name, kind, on), func(t *testing.T) {
					t.Parallel()
					front, _ := gatewayOf(t, brokenUpstream(t, sound, text), &ingress.Route{Kind: routeKind, MaxSends: 1}, time.Minute)
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
