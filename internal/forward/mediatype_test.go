package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStreamsAreRecognised guards against a stream whose events are not checked since its media type is
// spelt in another way, and against an answer that is no stream and is taken for one.
func TestStreamsAreRecognised(t *testing.T) {
	for text, stream := range map[string]bool{
		"text/event-stream":                   true,
		"Text/Event-Stream":                   true,
		" text/event-stream ; charset=utf-8":  true,
		"TEXT/EVENT-STREAM;charset=\"utf-8\"": true,
		"text/event-stream; x":                true,
		"text/event-streams":                  false,
		"text/event-stream-like; a=b":         false,
		"text/plain":                          false,
		"application/json":                    false,
		"":                                    false,
	} {
		t.Run(text, func(t *testing.T) {
			x := exchange{request: &Request{Stream: true}}
			response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {text}}}
			require.Equal(t, stream, x.isStream(response))
		})
	}
}

// TestAnswersWithoutBodyOnStreamRoutes guards against refusing a sound answer that has no body by definition on a route whose answers
// are numbered streams.
func TestAnswersWithoutBodyOnStreamRoutes(t *testing.T) {
	for name, c := range map[string]struct{ method, answer string }{
		"HEAD":                  {http.MethodHead, okHead + "Content-Type: text/event-stream\r\n\r\n"},
		"HEAD, length":          {http.MethodHead, okHead + "Content-Type: text/event-stream\r\nContent-Length: 30\r\n\r\n"},
		"HEAD, chunks":          {http.MethodHead, okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"HEAD, no type":         {http.MethodHead, okHead + "\r\n"},
		"204":                   {http.MethodOptions, "HTTP/1.1 204 N\r\nId: a\r\nSeal: x\r\n\r\n"},
		"204, type of a stream": {http.MethodPost, "HTTP/1.1 204 N\r\nId: a\r\nSeal: x\r\nContent-Type: text/event-stream\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			got := &caller{}
			r := request(upstream(t, c.answer), "a")
			r.Method, r.Stream, r.NumberedEvents = c.method, true, true
			result := boundedClient(t).Exchange(t.Context(), r, got.relay())
			require.Equal(t, Complete, result.Status, result.Detail)
			require.Equal(t, 1, got.starts)
			require.Empty(t, got.body.String())
		})
	}
}

// TestNumberedStreamNeedsItsType guards against an answer that is relayed unchecked on a route whose answers
// are numbered streams, because it claims to be something else. A failure may be anything.
func TestNumberedStreamNeedsItsType(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		status Status
		body   string
	}{
		"no type":              {okHead + "Content-Length: 7\r\n\r\ngarbage", Mismatched, ""},
		"another type":         {okHead + "Content-Type: text/plain\r\nContent-Length: 7\r\n\r\ngarbage", Mismatched, ""},
		"another type, no end": {okHead + "Content-Type: application/json\r\n\r\n{}cut here", Mismatched, ""},
		"partial content":      {"HTTP/1.1 206 P\r\nId: a\r\nSeal: x\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\r\ndata: x\n\n", Mismatched, ""},
		"its type in capitals": {okHead + "Content-Type: TEXT/EVENT-STREAM\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n", Complete, "id: 1\ndata: x\n\n"},
		"a failure":            {"HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\nContent-Length: 5\r\n\r\nerror", Complete, "error"},
	} {
		t.Run(name, func(t *testing.T) {
			got := &caller{}
			r := request(upstream(t, c.answer), "a")
			r.Stream, r.NumberedEvents = true, true
			result := boundedClient(t).Exchange(t.Context(), r, got.relay())
			require.Equal(t, c.status, result.Status, result.Detail)
			require.Equal(t, c.body, got.body.String())
		})
	}
}
