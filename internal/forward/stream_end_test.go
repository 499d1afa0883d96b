package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// streamFramings are the ways in which a server can end the body of a stream.
var streamFramings = map[string]func(body string) string{
	"chunks": func(body string) string {
		return okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + streamEnd
	},
	"length": func(body string) string {
		return okHead + fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	},
	"end of the connection": func(body string) string {
		return okHead + "Content-Type: text/event-stream\r\nX-Note: cut here\r\n\r\n" + body
	},
}

// exchangeStream relays one stream to a caller.
func exchangeStream(t *testing.T, address string, to *CallerAnswer) Result {
	r := request(address, "a")
	r.Stream = true
	return boundedClient(t).Exchange(context.Background(), r, to)
}

// TestStreamEndsInsideEventInAnyFraming guards against a stream that ends inside an event
// and is relayed as complete because its framing ended properly. Lines between events,
// such as comments, are no event.
func TestStreamEndsInsideEventInAnyFraming(t *testing.T) {
	const events = "id: 1\ndata: x\n\n"
	for framing, answer := range streamFramings {
		for name, c := range map[string]struct {
			rest   string
			status Status
		}{
			"after an event":          {"", Complete},
			"after more empty lines":  {"\r\n\n", Complete},
			"after a comment":         {": keep-alive\n", Complete},
			"inside a field":          {"id: 2\nda", Broken},
			"after a field":           {"id: 2\ndata: y\n", Broken},
			"inside a comment":        {": kee", Broken},
			"inside an empty CR line": {"data: y\n\r", Broken},
			"inside a field, CR":      {": c\rdata: y\n", Broken},
			"after a field, CR":       {"id: 2\rdata: y\r", Broken},
			"after a comment, CR":     {": keep-alive\r", Complete},
		} {
			t.Run(framing+", "+name, func(t *testing.T) {
				got := &caller{}
				result := exchangeStream(t, upstream(t, answer(events+c.rest)), got.relay())
				require.Equal(t, c.status, result.Status, result.Detail)
				require.Contains(t, got.body.String(), events)
				if c.status == Broken {
					require.Equal(t, events, got.body.String())
				}
			})
		}
	}
}

// TestContinuedStreamEndsInsideEvent guards against the same at the end of a stream that
// another server continued.
func TestContinuedStreamEndsInsideEvent(t *testing.T) {
	for framing, answer := range streamFramings {
		t.Run(framing, func(t *testing.T) {
			got := &caller{}
			relay := got.relay()
			require.Equal(t, Broken, exchangeStream(t, upstream(t, streamAnswer(chunk("id: 1\ndata: x\n\nid: 2")+"cut here")), relay).Status)
			result := exchangeStream(t, upstream(t, answer("id: 2\ndata: y\n\nid: 3\ndata: z\n")), relay)
			require.Equal(t, Broken, result.Status, result.Detail)
			require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", got.body.String())
		})
	}
}

// TestStreamWithoutEventNeedsEndMarker guards against a server that ends before its first
// event and whose closed connection is taken for the end of an empty stream.
func TestStreamWithoutEventNeedsEndMarker(t *testing.T) {
	for framing, answer := range streamFramings {
		t.Run(framing, func(t *testing.T) {
			got := &caller{}
			want := Complete
			if framing == "end of the connection" {
				want = Broken
			}
			require.Equal(t, want, exchangeStream(t, upstream(t, answer("")), got.relay()).Status)
			require.Equal(t, want == Complete, got.starts > 0)
		})
	}
}

// lengthRecorder is a caller that records the length that was announced for its answer.
type lengthRecorder struct {
	caller
	length int64
}

func (r *lengthRecorder) Start(code int, header http.Header, length int64) error {
	r.length = length
	return r.caller.Start(code, header, length)
}

// TestStreamIsAnnouncedWithoutLength guards against a continued stream that is framed by the
// length of its first server's answer: shorter, it would look complete before its last
// event; longer, the next answer on the connection would be read as its rest.
func TestStreamIsAnnouncedWithoutLength(t *testing.T) {
	got := &lengthRecorder{}
	relay := &CallerAnswer{Sink: got, Progress: got}
	first := okHead + "Content-Type: text/event-stream\r\nContent-Length: 99\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: cut here"
	require.Equal(t, Broken, exchangeStream(t, upstream(t, first), relay).Status)
	require.EqualValues(t, -1, got.length)
}
