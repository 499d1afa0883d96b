package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
)

// chunkOf frames a text as one chunk.
func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// begunAnswer is an answer of which a part reaches the caller before its server breaks off.
type begunAnswer struct {
	text string
	// status and body are what the caller receives of it.
	status int
	body   string
	// continuable is true if another server may continue it.
	continuable bool
}

var begunAnswers = map[string]begunAnswer{
	"stream":                           {answerHead + streamType + chunked + chunkOf(streamEvents(1, 2)), 200, streamEvents(1, 2), true},
	"failure in chunks":                {"HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\n" + chunked + chunkOf("error"), 500, "error", false},
	"failure in chunks, as a stream":   {"HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\n" + streamType + chunked + chunkOf(streamEvents(1, 2)), 500, streamEvents(1, 2), false},
	"failure below 500, with a length": {"HTTP/1.1 404 E\r\nId: a\r\nSeal: x\r\nContent-Length: 70\r\n\r\nerror", 404, "error", false},
}

// nextAnswers are answers of the server to which the request is sent next.
var nextAnswers = map[string]string{
	"closed":                       "",
	"error with a length":          "HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\noverload",
	"error in chunks":              "HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\n" + chunked + chunkOf("overload") + "0\r\n\r\n",
	"error without end":            "HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\n\r\noverload",
	"error as a stream":            "HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\n" + streamType + chunked + chunkOf(streamEvents(3, 4)) + "0\r\n\r\n",
	"error without an id":          "HTTP/1.1 500 E\r\nContent-Length: 8\r\n\r\noverload",
	"error of HTTP/1.0":            "HTTP/1.0 500 E\r\nId: a\r\n\r\noverload",
	"error without a head":         "overload\r\n\r\n",
	"503, not run":                 "HTTP/1.1 503 E\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 8\r\n\r\noverload",
	"503":                          "HTTP/1.1 503 E\r\nId: a\r\nContent-Length: 8\r\n\r\noverload",
	"429 with the signature":       "HTTP/1.1 429 E\r\nId: a\r\nSeal: x\r\nContent-Length: 8\r\n\r\noverload",
	"404":                          "HTTP/1.1 404 E\r\nId: a\r\nSeal: x\r\nContent-Length: 8\r\n\r\noverload",
	"302":                          "HTTP/1.1 302 E\r\nId: a\r\nSeal: x\r\nContent-Length: 0\r\n\r\n",
	"204":                          "HTTP/1.1 204 E\r\nId: a\r\nSeal: x\r\n\r\n",
	"204 as a stream":              "HTTP/1.1 204 E\r\nId: a\r\nSeal: x\r\n" + streamType + "\r\n",
	"206 as a stream":              "HTTP/1.1 206 E\r\nId: a\r\nSeal: x\r\n" + streamType + chunked + chunkOf(streamEvents(3, 4)) + "0\r\n\r\n",
	"200 of another type":          answerHead + "Content-Type: text/plain\r\nContent-Length: 8\r\n\r\noverload",
	"200 without a type":           answerHead + "Content-Length: 8\r\n\r\noverload",
	"200 without the signature":    "HTTP/1.1 200 OK\r\nId: a\r\n" + streamType + chunked + chunkOf(streamEvents(3, 4)) + "0\r\n\r\n",
	"error in an event":            answerHead + streamType + chunked + chunkOf("event: error\ndata: overload\n\n") + "0\r\n\r\n",
	"error in the body":            answerHead + streamType + chunked + chunkOf("overload") + "0\r\n\r\n",
	"interim answer, then error":   "HTTP/1.1 103 E\r\n\r\nHTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\nContent-Length: 8\r\n\r\noverload",
	"stream from its start":        answerHead + streamType + chunked + chunkOf(streamEvents(1, 4)) + "0\r\n\r\n",
	"rest of the stream":           answerHead + streamType + chunked + chunkOf(streamEvents(3, 4)) + "0\r\n\r\n",
	"rest, then an error's head":   answerHead + streamType + "\r\n" + streamEvent(3) + "HTTP/1.1 500 E\r\nContent-Length: 8\r\n\r\noverload",
	"rest, then an error in chunk": answerHead + streamType + chunked + chunkOf(streamEvent(3)) + chunkOf("data: overload\n\n") + "0\r\n\r\n",
}

// TestOnlyAStreamIsContinued guards against an answer that has begun and broke off and is followed by
// bytes of another one: the text or the head of the next server's error, or events
// after a part of an error; and against one that then is framed as complete. It drives
// each answer that has begun with each next one, and each again before the rest of the stream.
func TestOnlyAStreamIsContinued(t *testing.T) {
	const length = 4
	for firstName, first := range begunAnswers {
		for nextName, next := range nextAnswers {
			rest := nextAnswers["rest of the stream"]
			if strings.HasPrefix(nextName, "rest, ") {
				rest = answerHead + streamType + chunked + chunkOf(streamEvent(4)) + "0\r\n\r\n"
			}
			for sends, servers := range map[string][][]string{"two sends": {{first.text}, {next}}, "three sends": {{first.text}, {next}, {rest}}} {
				t.Run(firstName+"; "+nextName+"; "+sends, func(t *testing.T) {
					t.Parallel()
					machine := &grantingInTurn{sends: map[node.RequestID]int{}}
					for _, pieces := range servers {
						machine.addresses = append(machine.addresses, piecewiseUpstream(t, pieces...))
					}
					route := &ingress.Route{Kind: ingress.Stream, Resumable: true, NumberedEvents: true, MaxSends: len(servers)}
					front, _ := gatewayWith(t, machine, route, time.Minute)
					status, body, err := readStatus(t, front, "HTTP/1.1")
					if status != 0 { // the head was not held back until the connection was closed
						require.Equal(t, first.status, status)
					}
					if !first.continuable {
						require.Error(t, err, "the answer is framed as complete")
						require.True(t, strings.HasPrefix(first.body, body), "%q", body)
						require.LessOrEqual(t, machine.granted(), 1, "a send whose answer cannot be used")
						return
					}
					requirePrefix(t, body, err == nil, length)
					if sends == "three sends" || nextName == "rest of the stream" {
						require.NoError(t, err)
						require.Equal(t, streamEvents(1, length), body)
					}
				})
			}
		}
	}
}

// TestNoRepeatAfterABegunAnswer guards against sending a request again, on a route whose answers are not
// streams, after a part of its answer has reached the caller: no answer could be used.
func TestNoRepeatAfterABegunAnswer(t *testing.T) {
	whole := answerHead + "Content-Length: 2\r\n\r\nok"
	machine := &grantingInTurn{sends: map[node.RequestID]int{}, addresses: []string{
		piecewiseUpstream(t, answerHead+chunked+chunkOf("part")), piecewiseUpstream(t, whole)}}
	front, _ := gatewayWith(t, machine, &ingress.Route{Kind: ingress.Idempotent, MaxSends: 2}, time.Minute)
	body, err := readAnswer(t, front, "HTTP/1.1")
	require.Error(t, err)
	require.NotContains(t, body, "ok")
	require.Equal(t, 1, machine.granted())
}
