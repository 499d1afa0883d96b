package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
)

const (
	// asideBytes is the size from which a body is written beside reading, since
	// an upstream may answer before it has read a long body.
	asideBytes = 8 << 10
	// copyBytes is the size of one read of a body.
	copyBytes = 16 << 10
	// maxForeign bounds the answers to earlier requests that are skipped on one
	// connection, and maxForeignBytes the size of each.
	maxForeign      = 2
	maxForeignBytes = 1 << 20
	// maxFailureBytes bounds a failure that is held back.
	maxFailureBytes = 64 << 10
)

// exchange is one request on one connection.
type exchange struct {
	client  *Client
	ctx     context.Context
	request *Request
	relay   *Relay
	conn    *conn
	http    *http.Request
	// written is closed when the request has been written; writeErr and
	// writtenBytes are then valid.
	written      chan struct{}
	writeErr     error
	writtenBytes int
}

func (x *exchange) run() Result {
	conn, err := x.client.get(x.ctx, x.request.Address, x.request.Repeatable)
	if err != nil {
		return x.failed(NotSent, err)
	}
	x.conn = conn
	// The end of ctx closes the connection, which ends all reads and writes and
	// tells the upstream to stop.
	stop := context.AfterFunc(x.ctx, func() { _ = conn.Close() })
	defer stop()
	x.send()
	result, header, reusable := x.receive()
	if !reusable || !stop() || !x.sentWhole() || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return result
	}
	x.client.put(x.request.Address, conn, header)
	return result
}

// failed classifies the end of an exchange without a whole answer. What the
// context says goes first, since its end closes the connection.
func (x *exchange) failed(status Status, err error) Result {
	switch cause := x.ctx.Err(); {
	case status == NotSent && cause == nil:
	case errors.Is(err, errCallerGone), errors.Is(cause, context.Canceled):
		status = Canceled
	case cause != nil:
		status = Expired
	}
	return Result{Status: status, Detail: err.Error()}
}

// send writes the request, beside the reading of the answer if it is long.
func (x *exchange) send() {
	x.written = make(chan struct{})
	x.http = &http.Request{
		Method: x.request.Method, URL: &url.URL{Opaque: x.request.URI}, Host: x.request.Host,
		Header: x.request.Header, ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(x.request.Body) > 0 {
		x.http.Body = io.NopCloser(bytes.NewReader(x.request.Body))
		x.http.ContentLength = int64(len(x.request.Body))
	}
	if len(x.request.Body) > asideBytes {
		go x.write()
		return
	}
	x.write()
}

func (x *exchange) write() {
	defer close(x.written)
	var message bytes.Buffer
	if x.writeErr = x.http.Write(&message); x.writeErr != nil {
		return
	}
	x.writtenBytes, x.writeErr = x.conn.Write(message.Bytes())
}

// sentWhole reports whether the whole request has been written by now.
func (x *exchange) sentWhole() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// neverSent reports whether the connection took no byte of the request.
func (x *exchange) neverSent() bool {
	select {
	case <-x.written:
		return x.writeErr != nil && x.writtenBytes == 0
	default:
		return false
	}
}

// receive reads the answer and relays it. reusable is true if the connection
// is in a state for another request.
func (x *exchange) receive() (result Result, header http.Header, reusable bool) {
	response, head, err := x.head()
	if err != nil {
		status := Broken
		switch {
		case x.neverSent():
			status = NotSent
		case errors.Is(err, errForeign):
			status = Mismatched
		}
		return x.failed(status, err), nil, false
	}
	keeps := !response.Close && response.ProtoAtLeast(1, 1)
	if result, ok := x.rejected(response, head); ok {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes))
		return result, response.Header, keeps && err == nil
	}
	if result, ok := x.unusable(response, head); ok {
		return result, response.Header, false
	}
	if result, ok := x.hold(response); ok {
		return result, response.Header, keeps && result.Status == Failed
	}
	result = x.pass(response)
	return result, response.Header, keeps && result.Status == Complete
}

var errForeign = errors.New("the answer belongs to another request")

// head reads the head of the answer to this request. On a kept connection, a
// late second answer to an earlier request may come first.
func (x *exchange) head() (*http.Response, AnswerHead, error) {
	for range maxForeign + 1 {
		response, err := x.final()
		if err != nil {
			return nil, AnswerHead{}, err
		}
		head := x.client.options.ReadHead(response.StatusCode, response.Header)
		if head.RequestID == x.request.ID || head.RequestID == "" && x.conn.served == 0 {
			return response, head, nil
		}
		if x.conn.served == 0 || response.Close || head.RequestID == "" {
			return nil, head, errForeign
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil {
			return nil, head, err
		}
	}
	return nil, AnswerHead{}, errForeign
}

// final reads the next answer that is not an interim one.
func (x *exchange) final() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.conn.reader, x.http)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// rejected recognises an answer that states that the request was not run.
func (x *exchange) rejected(response *http.Response, head AnswerHead) (Result, bool) {
	if !head.NotRun {
		return Result{}, false
	}
	return Result{Status: NotRun, Code: response.StatusCode, Detail: "the upstream did not run the request"}, true
}

// unusable recognises an answer that must not be passed on: a success without
// the upstream's signature, an encoded body, or a status that promises to the
// caller what the upstream did not say.
func (x *exchange) unusable(response *http.Response, head AnswerHead) (Result, bool) {
	success := response.StatusCode < http.StatusMultipleChoices
	switch {
	case success && (!head.Sealed || head.Encoded):
		return Result{Status: Mismatched, Code: response.StatusCode, Detail: "the answer is not the upstream's own"}, true
	case !head.Sealed && promisesNotRun(response.StatusCode):
		return Result{Status: Broken, Code: response.StatusCode, Detail: "the upstream failed without saying whether it ran the request"}, true
	case x.relay.started && (!success || !x.request.Stream):
		return Result{Status: Broken, Code: response.StatusCode, Detail: "the stream was not continued"}, true
	}
	return Result{}, false
}

// hold keeps a failure of the upstream back, if the request may be sent again.
// A failure that is too large is relayed.
func (x *exchange) hold(response *http.Response) (Result, bool) {
	if !x.request.HoldFailure || x.relay.started || response.StatusCode < http.StatusInternalServerError ||
		response.ContentLength < 0 || response.ContentLength > maxFailureBytes {
		return Result{}, false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return x.failed(Broken, err), true
	}
	x.relay.Failure = &Failure{Code: response.StatusCode, Header: response.Header, Body: body}
	return Result{Status: Failed, Code: response.StatusCode, Detail: "the upstream failed"}, true
}

// promisesNotRun reports whether callers take a status as a promise that the
// request has not run.
func promisesNotRun(code int) bool {
	switch code {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// pass relays status, headers and body.
func (x *exchange) pass(response *http.Response) Result {
	stream := x.request.Stream && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	if x.relay.started && !stream {
		return Result{Status: Broken, Code: response.StatusCode, Detail: "the stream was not continued"}
	}
	err := x.body(response, stream)
	if err == nil {
		return Result{Status: Complete, Code: response.StatusCode}
	}
	result := x.failed(Broken, err)
	result.Code = response.StatusCode
	return result
}

// body relays the body: whole events of a stream as they arrive, other bodies
// in the parts in which they are read.
func (x *exchange) body(response *http.Response, stream bool) error {
	if !x.relay.started && !stream {
		if err := x.start(response); err != nil {
			return err
		}
	}
	x.relay.splitter.reset()
	buffer := make([]byte, copyBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if failed := x.relayPart(response, buffer[:n], stream); failed != nil {
				return failed
			}
		}
		switch {
		case err == io.EOF && stream:
			return x.endStream(response)
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// start passes on the head once per caller.
func (x *exchange) start(response *http.Response) error {
	if x.relay.started {
		return nil
	}
	x.relay.started = true
	if err := x.relay.Sink.Start(response.StatusCode, response.Header, response.ContentLength); err != nil {
		return errCallerGone
	}
	return nil
}

func (x *exchange) relayPart(response *http.Response, p []byte, stream bool) error {
	if !stream {
		return x.deliver(p)
	}
	whole, events := x.relay.splitter.add(p)
	if events == 0 {
		return nil
	}
	return x.deliverEvents(response, whole, events)
}

// deliverEvents relays whole events.
func (x *exchange) deliverEvents(response *http.Response, whole []byte, events int) error {
	first := x.relay.events == 0
	if !x.relay.splitter.follows(x.relay.lastEvent) {
		return errOrder
	}
	if err := x.start(response); err != nil {
		return err
	}
	if err := x.deliver(whole); err != nil {
		return err
	}
	x.relay.events += uint32(events)
	x.relay.lastEvent = x.relay.splitter.last
	if first {
		x.relay.Progress.FirstByte()
	}
	x.relay.Progress.Events(x.relay.events)
	return nil
}

func (x *exchange) deliver(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := x.relay.Sink.Write(p); err != nil {
		return errCallerGone
	}
	return nil
}

// endStream relays what is left after the last whole event; a stream that ends
// whole may end without an empty line.
func (x *exchange) endStream(response *http.Response) error {
	if err := x.start(response); err != nil {
		return err
	}
	return x.deliver(x.relay.splitter.rest())
}
