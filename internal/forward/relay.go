package forward

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/citrongate/citrongate/internal/answerhead"
)

// isStream reports whether an answer is the stream of events that was asked for. A
// failure is none, whatever its body, and neither is an answer to HEAD.
func (x *exchange) isStream(response *http.Response) bool {
	return x.request.Stream && x.request.Method != http.MethodHead && response.StatusCode == http.StatusOK &&
		mediaType(response.Header) == "text/event-stream"
}

// mediaType returns the media type of a body in lower case, without parameters.
func mediaType(header http.Header) string {
	text, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(text))
}

// relayAnswer relays status, headers and body.
func (x *exchange) relayAnswer(response *http.Response) Result {
	err := x.relayBody(response, x.isStream(response))
	if err == nil {
		return Result{Status: Complete, Code: response.StatusCode}
	}
	result := x.failedResult(Broken, err)
	result.Code = response.StatusCode
	return result
}

// relayBody relays the body: complete events of a stream as they arrive, other
// bodies in the pieces in which they are read.
func (x *exchange) relayBody(response *http.Response, stream bool) error {
	if !x.relay.Started() && !stream {
		if err := x.startAnswer(response, response.ContentLength); err != nil {
			return err
		}
	}
	x.relay.eventSplitter.reset()
	x.relay.eventSplitter.order.numbered = x.request.NumberedEvents
	buffer := make([]byte, copyBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if failed := x.relayBytes(response, buffer[:n], stream); failed != nil {
				return failed
			}
		}
		if err == io.EOF {
			return x.endBody(response, stream)
		}
		if err != nil {
			return err
		}
	}
}

// unknownLength is announced for streams: another server may continue one, so that its
// length is not the one that the first server stated.
const unknownLength = -1

// startAnswer relays status, headers and the length of the body, once per caller.
func (x *exchange) startAnswer(response *http.Response, length int64) error {
	if x.relay.Started() {
		return nil
	}
	x.relay.started.Store(true)
	x.relay.stream = x.isStream(response)
	if err := x.relay.Sink.Start(response.StatusCode, response.Header, length); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// relayBytes relays bytes that were read; of a stream only complete events.
func (x *exchange) relayBytes(response *http.Response, p []byte, stream bool) error {
	x.bodyBytes += int64(len(p))
	if limit := x.client.options.MaxBodyBytes; limit > 0 && x.bodyBytes > limit {
		return errBodyTooLarge
	}
	if !stream {
		return x.writeToCaller(p)
	}
	complete, events, invalid := x.relay.eventSplitter.add(p)
	if events > 0 {
		if err := x.relayEvents(response, complete, events); err != nil {
			return err
		}
	}
	if invalid != nil {
		return invalid
	}
	if limit := x.client.options.MaxEventBytes; limit > 0 && len(x.relay.eventSplitter.remainder()) > limit {
		return errEventTooLarge
	}
	return nil
}

// relayEvents relays complete events and reports progress.
func (x *exchange) relayEvents(response *http.Response, complete []byte, events int) error {
	first := x.relay.events == 0
	if err := x.startAnswer(response, unknownLength); err != nil {
		return err
	}
	if err := x.writeToCaller(complete); err != nil {
		return err
	}
	x.relay.events += uint32(events)
	x.relay.lastEvent = x.relay.eventSplitter.order.last
	if first {
		x.relay.Progress.FirstEvent()
	}
	x.relay.Progress.Events(x.relay.events)
	return nil
}

func (x *exchange) writeToCaller(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := x.relay.Sink.Write(p); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// endBody ends a body that has ended by its framing.
func (x *exchange) endBody(response *http.Response, stream bool) error {
	if err := answerhead.CheckTrailers(response.Trailer); err != nil {
		return err
	}
	if endsWithConnection(response) && x.wasReset() {
		return errReset
	}
	if stream {
		return x.endStream(response)
	}
	return nil
}

// endStream ends a stream whose body has ended. A stream that ends inside an event broke
// off, however its body was framed; lines between events are relayed. A closed connection
// alone does not prove that a stream without events is complete.
func (x *exchange) endStream(response *http.Response) error {
	if x.relay.eventSplitter.insideEvent() || x.relay.events == x.eventsBefore && !hasEndMarker(response) {
		return io.ErrUnexpectedEOF
	}
	if err := x.startAnswer(response, unknownLength); err != nil {
		return err
	}
	rest := x.relay.eventSplitter.remainder()
	if x.request.NumberedEvents {
		rest = bytes.TrimLeft(rest, "\r\n")
	}
	return x.writeToCaller(rest)
}
