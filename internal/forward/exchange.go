package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"syscall"
	"time"
)

const (
	// concurrentWriteBytes is the part of a request that is written before the answer
	// is read. The rest is written meanwhile, since an upstream may answer before it
	// has read a long body.
	concurrentWriteBytes = 8 << 10
	// copyBytes is the size of one read of a body.
	copyBytes = 16 << 10
	// maxStaleAnswers bounds the answers to earlier requests that are skipped on one
	// connection, and maxSkippedBytes the size of each.
	maxStaleAnswers = 2
	maxSkippedBytes = 1 << 20
	// maxFailureBytes bounds the body of a failure that is withheld.
	maxFailureBytes = 64 << 10
)

// exchange is the state of one request on one connection.
type exchange struct {
	client  *Client
	ctx     context.Context
	request *Request
	relay   *CallerAnswer
	conn    *conn
	http    *http.Request
	// written is closed when the request has been written; writeErr and
	// writtenBytes are then valid.
	written      chan struct{}
	writeErr     error
	writtenBytes int
	// bodyBytes counts the bytes of the body that were read.
	bodyBytes int64
	// eventsBefore is the number of events that earlier exchanges have relayed.
	eventsBefore uint32
}

// run sends the request, relays the answer and keeps the connection if it can
// be reused.
func (x *exchange) run() Result {
	conn, err := x.client.connection(x.ctx, x.request)
	if err != nil {
		return x.failedResult(NotSent, err)
	}
	x.conn = conn
	// The end of ctx closes the connection, which ends all reads and writes and
	// tells the upstream to stop.
	stop := context.AfterFunc(x.ctx, func() { _ = conn.Close() })
	defer stop()
	x.send()
	result, header, reusable := x.receive()
	if result.Status != Complete && !conn.markUnfinished(x.request.ID) {
		reusable = false
	}
	if !reusable || !stop() || !x.fullySent() || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return result
	}
	x.client.returnIdle(x.request.Address, x.request.ID, conn, header)
	return result
}

// failedResult classifies the end of an exchange without a complete answer. The
// context's error takes precedence, since its end closes the connection and so
// causes other errors.
func (x *exchange) failedResult(status Status, err error) Result {
	unsent := status == NotSent
	switch cause := x.ctx.Err(); {
	case unsent && cause == nil:
	case errors.Is(err, errCallerDisconnected), errors.Is(cause, context.Canceled):
		status = Canceled
	case cause != nil:
		status = Expired
	}
	return Result{Status: status, Unsent: unsent, Detail: err.Error()}
}

// send writes the request, what is beyond concurrentWriteBytes of it in the background.
func (x *exchange) send() {
	x.written = make(chan struct{})
	message, err := x.message()
	if err != nil {
		x.writeErr = err
		close(x.written)
		return
	}
	now := message[:min(len(message), concurrentWriteBytes)]
	x.write(now)
	if rest := message[len(now):]; len(rest) > 0 && x.writeErr == nil {
		go func() {
			defer close(x.written)
			x.write(rest)
		}()
		return
	}
	close(x.written)
}

// message returns the request as it is written.
func (x *exchange) message() ([]byte, error) {
	x.http = &http.Request{
		Method: x.request.Method, URL: &url.URL{Opaque: x.request.URI}, Host: x.request.Host,
		Header: x.request.Header, ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(x.request.Body) > 0 {
		x.http.Body = io.NopCloser(bytes.NewReader(x.request.Body))
		x.http.ContentLength = int64(len(x.request.Body))
	}
	var message bytes.Buffer
	err := x.http.Write(&message)
	return message.Bytes(), err
}

func (x *exchange) write(p []byte) {
	var n int
	n, x.writeErr = x.conn.Write(p)
	x.writtenBytes += n
}

// fullySent reports whether the complete request has been written by now.
func (x *exchange) fullySent() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// nothingSent reports whether writing failed before the connection accepted any
// byte of the request.
func (x *exchange) nothingSent() bool {
	select {
	case <-x.written:
		return x.writeErr != nil && x.writtenBytes == 0
	default:
		return false
	}
}

// Errors of answers whose connection failed.
var (
	errReset    = errors.New("the connection was reset before the body's end, which nothing but its close would have marked")
	errNotAsked = errors.New("the answer came before any byte of the request could be written")
)

// wasReset reports whether the connection, whose end was just read, was reset or timed out. The
// kernel reports such an error once, to the read or to the write of the request. If the write got
// it, the read sees the same end as of an orderly close. A write after an orderly close fails with
// EPIPE.
func (x *exchange) wasReset() bool {
	select {
	case <-x.written:
	default:
		ended, err := x.conn.shutDown()
		if err != nil {
			return true // it can't be told
		}
		if !ended {
			return false
		}
		<-x.written // the write fails at once
	}
	return x.writeErr != nil && !errors.Is(x.writeErr, syscall.EPIPE)
}

// receive reads the answer and relays it. reusable is true if the connection can
// be used for another request.
func (x *exchange) receive() (result Result, header http.Header, reusable bool) {
	response, head, err := x.head()
	if err == nil && x.nothingSent() {
		err = errNotAsked
	}
	if err != nil {
		status := Broken
		switch {
		case x.nothingSent():
			status = NotSent
		case errors.Is(err, errOtherRequest):
			status = Mismatched
		}
		return x.failedResult(status, err), nil, false
	}
	x.relay.Load, x.relay.LoadInvalid = head.Load, head.LoadInvalid
	x.relay.Progress.Head(head)
	keeps := !response.Close && response.ProtoAtLeast(1, 1) && !x.conn.head.TwoFramings()
	if result, ok := x.notRunResult(response, head); ok {
		return result, response.Header, x.skipRefusalBody(response) == nil && keeps
	}
	if result, ok := x.unusableResult(response, head); ok {
		return result, response.Header, false
	}
	if result, ok := x.withholdFailure(response); ok {
		return result, response.Header, keeps && result.Status == Failed
	}
	result = x.relayAnswer(response)
	return result, response.Header, keeps && result.Status == Complete
}

var errOtherRequest = errors.New("the answer belongs to another request")

// head reads status and headers of the answer to this request. On a reused
// connection, a late second answer to a request that it has carried may come first;
// it is skipped.
func (x *exchange) head() (*http.Response, AnswerHead, error) {
	for range maxStaleAnswers + 1 {
		response, err := x.readFinalResponse()
		if err != nil {
			return nil, AnswerHead{}, err
		}
		head := x.client.options.ReadHead(response.StatusCode, response.Header)
		if head.RequestID == x.request.ID || head.RequestID == "" && len(x.conn.served) == 0 {
			return response, head, nil
		}
		if response.Close || !slices.Contains(x.conn.served, head.RequestID) {
			return nil, head, errOtherRequest
		}
		if err := skipBody(response); err != nil {
			return nil, head, err
		}
	}
	return nil, AnswerHead{}, errOtherRequest
}

// skipRefusalBody skips the body of an answer that states that the request was not
// run. The answer counts whatever its body is, so little time is spent on it.
func (x *exchange) skipRefusalBody(response *http.Response) error {
	if err := x.conn.SetReadDeadline(time.Now().Add(refusalBodyTimeout)); err != nil {
		return err
	}
	if err := skipBody(response); err != nil {
		return err
	}
	return x.conn.SetReadDeadline(time.Time{})
}

// readFinalResponse reads the next response that is not an interim (1xx) one.
func (x *exchange) readFinalResponse() (*http.Response, error) {
	buffered, _ := x.conn.reader.Peek(x.conn.reader.Buffered()) // what is buffered can be read without an error
	if err := x.conn.head.Begin(buffered, x.client.options.MaxHeadBytes); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(x.conn.reader, x.http)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}
