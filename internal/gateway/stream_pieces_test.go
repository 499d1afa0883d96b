package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
)

// grantingInTurn is a node that grants each request one send to each address, and refuses it
// when all have failed.
type grantingInTurn struct {
	nodeloop.Machine
	addresses []string
	sends     map[node.RequestID]int
	grants    atomic.Int64
}

// granted is the number of sends that were granted.
func (m *grantingInTurn) granted() int { return int(m.grants.Load()) }

// Step implements nodeloop.Machine.
func (m *grantingInTurn) Step(_ time.Duration, event node.Event, _ []node.Action) []node.Action {
	var id node.RequestID
	switch e := event.(type) {
	case node.SubmitRequest:
		id = e.ID
	case node.UpstreamDone:
		if e.Result == node.ResultComplete || e.Result == node.ResultFailureRelayed {
			return nil
		}
		id = e.ID
		if e.NoRepeat {
			m.sends[id] = len(m.addresses)
		}
	case node.DispatchFailed:
		id = e.ID
	default:
		return nil
	}
	next := m.sends[id]
	m.sends[id]++
	if next < len(m.addresses) {
		m.grants.Add(1)
		return []node.Action{node.Dispatch{ID: id, Upstream: "u", Address: m.addresses[next]}}
	}
	return []node.Action{node.Refuse{ID: id, Refusal: answer.Refusal{Code: "upstream_broke", Ran: answer.RanUnknown}}}
}

// streamEvent is one event of a stream as servers send it.
func streamEvent(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// streamEvents are the events from first to last.
func streamEvents(first, last int) (text string) {
	for id := first; id <= last; id++ {
		text += streamEvent(id)
	}
	return text
}

const (
	answerHead = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\n"
	streamType = "Content-Type: text/event-stream\r\n"
)

// streamFraming is a way in which a server can frame the pieces of a stream.
type streamFraming struct {
	name   string
	framed func(head string, pieces []string) []string
}

var streamFramings = []streamFraming{
	{"chunks", func(head string, pieces []string) []string {
		out := []string{head + "Transfer-Encoding: chunked\r\n\r\n"}
		for _, piece := range pieces {
			out = append(out, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
		}
		return append(out, "0\r\n\r\n")
	}},
	{"length", func(head string, pieces []string) []string {
		return append([]string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(strings.Join(pieces, "")))}, pieces...)
	}},
	{"end of the connection", func(head string, pieces []string) []string {
		return append([]string{head + "\r\n"}, pieces...)
	}},
}

// foreignPieces are bytes in the middle of a stream that are none of its events.
var foreignPieces = map[string]string{
	"text":                           "garbage\r\n\r\n",
	"text without a line":            "garbage",
	"a line of text":                 "garbage\n",
	"bytes":                          "\x00\xff\xfe\x01 garbage\n\n",
	"empty id":                       "id:\ndata: z\n\n",
	"id that is no number":           "id: one\ndata: z\n\n",
	"no id":                          "data: z\n\n",
	"event of another name":          "event: error\ndata: overloaded\n\n",
	"comment before text":            ": keep-alive\ngarbage\n\n",
	"head of an error":               "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror",
	"whole error":                    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	"second answer":                  answerHead + streamType + "\r\n" + streamEvents(1, 2),
	"the last event again":           streamEvent(2),
	"an earlier event":               streamEvent(1),
	"text inside an event":           "id: 3\ngar\x00bage\n\n",
	"a field cut and text":           "id: 3\nda garbage\n\n",
	"two events that run together":   "id: 3\ndata: x\nid: 4\ndata: x\n\n",
	"head of an answer, then an id":  "HTTP/1.1 500 E\r\nid: 3\r\n\r\n",
	"an id in text":                  "garbage id: 3\n\n",
	"end of an event, text, an id":   "garbage\nid: 3\ndata: x\n\n",
	"an id followed by no number":    "id: 3x\ndata: x\n\n",
	"an id too large for any number": "id: 99999999999999999999999\ndata: x\n\n",
}

// requirePrefix checks that a body is the first events of a stream of the given length, and
// all of them if the answer is framed as complete.
func requirePrefix(t *testing.T, body string, complete bool, length int) {
	for id := 0; id <= length; id++ {
		if body == streamEvents(1, id) {
			require.True(t, !complete || id == length, "%d of %d events are framed as complete", id, length)
			return
		}
	}
	require.Fail(t, "the caller received a foreign piece", "%q", body)
}

// TestStreamHoldsOnlyItsEvents guards against bytes of a faulty server that reach the caller as an
// event of its stream: text, heads of other answers, events without an id, again or out of
// order, in any framing, at once with the events or after them, of the first server and
// of one that continues the stream.
func TestStreamHoldsOnlyItsEvents(t *testing.T) {
	const length = 4
	broken := answerHead + streamType + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(streamEvent(1)), streamEvent(1))
	for _, framing := range streamFramings {
		for name, foreign := range foreignPieces {
			for start, servers := range map[string]func(pieces []string) [][]string{
				"first server": func(pieces []string) [][]string {
					return [][]string{framing.framed(answerHead+streamType, append([]string{streamEvent(1)}, pieces...))}
				},
				"continued": func(pieces []string) [][]string {
					return [][]string{{broken}, framing.framed(answerHead+streamType, pieces)}
				},
			} {
				for when, pieces := range map[string][]string{
					"one by one":    {streamEvent(2), foreign, streamEvent(3), streamEvent(4)},
					"at once":       {streamEvent(2) + foreign + streamEvents(3, 4)},
					"at the end":    {streamEvents(2, 3), foreign},
					"at the start":  {foreign, streamEvents(2, 4)},
					"after the end": {streamEvents(2, 4) + foreign},
				} {
					t.Run(strings.Join([]string{framing.name, name, start, when}, ", "), func(t *testing.T) {
						t.Parallel()
						body, err := streamFrom(t, servers(pieces)...)
						if when == "after the end" && body == streamEvents(1, length) {
							return // the caller knows whether these are all
						}
						requirePrefix(t, body, err == nil, length)
					})
				}
			}
		}
	}
}

// streamFrom sends a request on a stream route whose sends are answered by one server after the
// other, each with its pieces, and returns the body that the caller receives, and an error if it is
// not framed as complete.
func streamFrom(t *testing.T, servers ...[]string) (string, error) {
	machine := &grantingInTurn{sends: map[node.RequestID]int{}}
	for _, pieces := range servers {
		machine.addresses = append(machine.addresses, testserver.Listen(t, func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			for _, piece := range pieces {
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}))
	}
	route := &ingress.Route{Kind: ingress.Stream, Resumable: true, NumberedEvents: true, MaxSends: len(servers)}
	front, _ := gatewayWith(t, machine, route, time.Minute)
	return readAnswer(t, front, "HTTP/1.1")
}
