package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/ingress"
)

// piecewiseUpstream starts a server that answers each request with the pieces, one after the
// other with a pause between them, and then closes the connection.
func piecewiseUpstream(t *testing.T, pieces ...string) string {
	const pause = 20 * time.Millisecond
	return testserver.Listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for _, piece := range pieces {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
			time.Sleep(pause)
		}
	})
}

// readAnswer sends a request with the given protocol version and returns the body of its
// answer, and an error if the answer is not framed as complete.
func readAnswer(t *testing.T, front, protocol string) (string, error) {
	_, body, err := readStatus(t, front, protocol)
	return body, err
}

// readStatus is readAnswer with the status of the answer.
func readStatus(t *testing.T, front, protocol string) (int, string, error) {
	const allowed = 10 * time.Second
	conn, err := net.Dial("tcp", front)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(allowed)))
	_, err = io.WriteString(conn, "POST /p "+protocol+"\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// TestAnswerFramedAsCompleteIsWhole guards against an answer whose framing towards the caller
// says that it is complete although it is not, for streams and other answers, callers of
// HTTP/1.1 and of HTTP/1.0, which has no chunks, and each framing of the server.
func TestAnswerFramedAsCompleteIsWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\n"
	const stream = head + "Content-Type: text/event-stream\r\n"
	const one, two = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	for name, c := range map[string]struct {
		kind   ingress.RouteKind
		pieces []string
		want   string
		whole  bool
	}{
		"stream, chunks":           {ingress.Stream, []string{stream + "Transfer-Encoding: chunked\r\n\r\n", "f\r\n" + one + "\r\n", "f\r\n" + two + "\r\n0\r\n\r\n"}, one + two, true},
		"stream, chunks, cut":      {ingress.Stream, []string{stream + "Transfer-Encoding: chunked\r\n\r\n", "f\r\n" + one + "\r\n"}, one, false},
		"stream, length":           {ingress.Stream, []string{stream + "Content-Length: 30\r\n\r\n", one, two}, one + two, true},
		"stream, length, cut":      {ingress.Stream, []string{stream + "Content-Length: 30\r\n\r\n", one}, one, false},
		"stream, no marker":        {ingress.Stream, []string{stream + "\r\n", one, two}, one + two, true},
		"stream, no marker, cut":   {ingress.Stream, []string{stream + "\r\n", one, two[:9]}, one, false},
		"stream, no marker, empty": {ingress.Stream, []string{stream + "\r\n"}, "", false},
		"plain, chunks":            {ingress.Idempotent, []string{head + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n", "2\r\ncd\r\n0\r\n\r\n"}, "abcd", true},
		"plain, chunks, cut":       {ingress.Idempotent, []string{head + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n"}, "ab", false},
		"plain, length":            {ingress.Idempotent, []string{head + "Content-Length: 4\r\n\r\n", "ab", "cd"}, "abcd", true},
		"plain, length, cut":       {ingress.Idempotent, []string{head + "Content-Length: 4\r\n\r\n", "ab"}, "ab", false},
		"plain, no marker":         {ingress.NonIdempotent, []string{head + "\r\n", "ab", "cd"}, "abcd", true},
	} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+", "+protocol, func(t *testing.T) {
				front, _ := gatewayOf(t, piecewiseUpstream(t, c.pieces...), &ingress.Route{Kind: c.kind, MaxSends: 1}, time.Minute)
				body, err := readAnswer(t, front, protocol)
				if c.whole {
					require.NoError(t, err)
					require.Equal(t, c.want, body)
				} else if err == nil {
					require.NotContains(t, body, "data:", "a broken answer is framed as complete")
					require.NotContains(t, body, "ab", "a broken answer is framed as complete")
				}
			})
		}
	}
}
