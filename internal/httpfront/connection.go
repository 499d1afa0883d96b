package httpfront

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// maxPipelined bounds the requests of one connection that wait for their handler.
const maxPipelined = 4

// connection is the caller's connection, placed below nbhttp's own. It reads and
// feeds the parser itself for two reasons: nbhttp closes a connection with
// invalid input without an answer, and it reports a disconnect only after the
// handler has returned. Here invalid input is answered, and a disconnect is seen
// while an answer is in progress.
type connection struct {
	net.Conn
	server *Server
	nbConn *nbhttp.Conn
	proc   *processor

	// failed is true once a write has failed or the connection was aborted.
	failed atomic.Bool

	mu sync.Mutex
	// queue holds the handlers of requests that were received and wait their turn.
	queue []func()
	// running is true while runQueue runs.
	running bool
	// handlersDone is broadcast when running becomes false.
	handlersDone sync.Cond
	// refused is true once input was refused; later input is discarded.
	refused bool
	// disconnected is true once the connection has closed.
	disconnected bool
	// onDisconnect, if set, is called when the connection closes.
	onDisconnect func()
	// received is true once a byte has arrived. A connection that was opened ahead
	// of its first request and stayed silent is closed without an answer: the
	// caller would take the answer for that of a request sent meanwhile.
	received bool
	// parsing is true from the receipt of bytes until they are parsed.
	parsing bool
	// drained is true once the connection was idle while the server drained; a
	// request that arrives later is refused.
	drained bool
	// awaitingRequest is true while a request has to be received before timer fires.
	awaitingRequest bool
	timer           *time.Timer
}

// processor wraps nbhttp's processor and receives the parser's callbacks first.
// It checks the header before nbhttp buffers a body. Only the goroutine that
// reads the connection uses it.
type processor struct {
	nbhttp.Processor
	*connection
	input inputState
	// bodyBytes counts the body bytes of the request that is being received, as far
	// as the parser has passed them on.
	bodyBytes int64
	// unparsed bounds the bytes of a body, and of the framing of its chunks, that the
	// parser holds since it can not pass them on yet.
	unparsed int64
	// passedOn is true if the parser passed body bytes on in the current read.
	passedOn bool
}

// inputState describes the request that is being received.
type inputState struct {
	// inHeader is true until the end of the header block.
	inHeader bool
	// startedInRead is true if the request started in the current read.
	startedInRead bool
	// headerBytes counts the parsed bytes of the header block.
	headerBytes int
	// rawBytes counts the bytes of reads that ended inside the header block, except
	// the read in which the request started. It bounds a header line that the
	// parser has not reported yet.
	rawBytes int
	// contentLengths counts the Content-Length headers.
	contentLengths int
	chunked        bool
	// hasExpect is true if the request has an Expect header.
	hasExpect bool
	// problem is the first reason to refuse the input, or nil.
	problem *InputError
}

func newConnection(s *Server, nbConn *nbhttp.Conn) *connection {
	c := &connection{Conn: nbConn.Conn, server: s, nbConn: nbConn, awaitingRequest: true}
	c.handlersDone.L = &c.mu
	if s.tls != nil {
		c.Conn = tls.Server(nbConn.Conn, s.tls)
	}
	return c
}

// Read reads and parses requests until the connection ends, and returns the
// error that ended it. nbhttp's goroutine for the connection calls it once.
func (c *connection) Read(buffer []byte) (int, error) {
	parser := c.nbConn.Parser
	if parser == nil {
		return 0, net.ErrClosed
	}
	defer c.server.openConns.Add(-1)
	c.server.conns.Store(c, nil)
	defer c.server.conns.Delete(c)
	defer func() { _ = c.Conn.Close() }()
	c.mu.Lock()
	c.drained = c.server.draining.Load()
	c.mu.Unlock()
	if c.server.openConns.Add(1) > int64(c.server.config.MaxConnections) {
		if c.server.tls == nil {
			// Over TLS, each refusal would cost a handshake.
			c.answerError(tooManyConnections(c.server.config.MaxConnections))
		}
		return 0, net.ErrClosed
	}
	if err := c.handshake(); err != nil {
		return 0, err
	}
	c.installProcessor(parser)
	defer func() { c.server.buffered.Add(-c.proc.bodyBytes - c.proc.unparsed) }()
	for {
		n, err := c.Conn.Read(buffer)
		if !c.beginInput(n) {
			c.answerError(stopping())
			c.closeAndWait()
			return 0, net.ErrClosed
		}
		if n > 0 && !c.discarding() {
			c.proc.parse(parser, buffer[:n])
		}
		c.endInput()
		if err != nil {
			c.closeAndWait()
			return 0, err
		}
	}
}

// closeAndWait closes the connection and waits until no handler uses it. nbhttp
// frees the buffers of an answer when Read has returned an error; a handler that
// still writes to them would write into another caller's answer.
func (c *connection) closeAndWait() {
	_ = c.Conn.Close()
	c.markDisconnected()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.running {
		c.handlersDone.Wait()
	}
}

// handshake completes the TLS handshake, if TLS is used, within ReadTimeout.
func (c *connection) handshake() error {
	secure, ok := c.Conn.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, stop := context.WithTimeout(context.Background(), c.server.config.ReadTimeout)
	defer stop()
	return secure.HandshakeContext(ctx)
}

// installProcessor installs the connection's processor in the parser and starts
// the timer for the first request.
func (c *connection) installProcessor(parser *nbhttp.Parser) {
	c.proc = &processor{Processor: parser.Processor, connection: c, input: inputState{inHeader: true}}
	parser.Processor = c.proc
	parser.Execute = c.proc.execute
	timer := time.AfterFunc(c.server.config.ReadTimeout, c.handleReadTimeout)
	c.mu.Lock()
	c.timer = timer
	c.mu.Unlock()
}

// Write blocks while the caller reads slowly and closes the connection if it is
// not done after stallTimeout. It never returns an error, because nbhttp (1.6.8)
// then frees the buffer of the answer twice; the handler learns of the failure
// from writeFailure.
func (c *connection) Write(p []byte) (int, error) {
	if c.failed.Load() {
		return len(p), nil
	}
	err := c.Conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	if err == nil {
		_, err = c.Conn.Write(p)
	}
	if err != nil {
		c.failed.Store(true)
		_ = c.Conn.Close()
	}
	return len(p), nil
}

// writeFailure returns an error once a write has failed or the connection was
// aborted.
func (c *connection) writeFailure() error {
	if c.failed.Load() {
		return net.ErrClosed
	}
	return nil
}

// OnMethod resets the input state for a new request and starts its timer.
func (c *processor) OnMethod(parser *nbhttp.Parser, method string) {
	c.mu.Lock()
	if !c.awaitingRequest {
		c.awaitingRequest = true
		c.timer.Reset(c.server.config.ReadTimeout)
	}
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.input = inputState{inHeader: true, startedInRead: true, headerBytes: len(method), problem: c.input.problem}
	c.Processor.OnMethod(parser, method)
}

// OnURL counts the request target as part of the header block.
func (c *processor) OnURL(parser *nbhttp.Parser, target string) error {
	c.countHeader(len(target))
	return c.Processor.OnURL(parser, target)
}

// OnHeader counts header bytes and records the headers that delimit the body.
func (c *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	c.countHeader(len(key) + len(value) + len(": \r\n"))
	switch http.CanonicalHeaderKey(key) {
	case "Content-Length":
		c.input.contentLengths++
	case "Transfer-Encoding":
		c.input.chunked = true
	case "Expect":
		c.input.hasExpect = true
	}
	c.Processor.OnHeader(parser, key, value)
}

// countHeader adds to the size of the header block and enforces MaxHeaderBytes.
func (c *processor) countHeader(n int) {
	c.input.headerBytes += n
	if c.input.headerBytes > c.server.config.MaxHeaderBytes {
		c.input.reject(headerTooLarge(c.server.config.MaxHeaderBytes))
	}
}

// OnContentLength ends the header block; length is -1 if the body is chunked or absent.
func (c *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	c.input.inHeader = false
	switch {
	case c.input.contentLengths > 1 || c.input.contentLengths == 1 && c.input.chunked:
		// With two lengths, a proxy in front could disagree with this server
		// on where the next request starts (request smuggling).
		c.input.reject(malformed("the body has more than one length"))
	case length > c.server.config.MaxBodyBytes:
		c.input.reject(bodyTooLarge(c.server.config.MaxBodyBytes))
	case c.input.hasExpect && c.input.problem == nil && c.idle():
		_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.Processor.OnContentLength(parser, length)
}

// OnComplete passes a complete request on to nbhttp unless its input was refused.
func (c *processor) OnComplete(parser *nbhttp.Parser) {
	c.input.inHeader = true
	c.mu.Lock()
	c.awaitingRequest = false
	c.timer.Stop()
	c.mu.Unlock()
	if c.input.problem != nil {
		return
	}
	c.Processor.OnComplete(parser)
}

// idle reports whether no handler of the connection is running.
func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.running
}

// errRefusedInput makes the parser stop at the body of a refused request.
var errRefusedInput = errors.New("request refused")

// OnBody counts and buffers body bytes unless the request is already refused.
func (c *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	if c.input.problem != nil {
		return errRefusedInput
	}
	c.server.buffered.Add(-c.unparsed)
	c.unparsed, c.passedOn = 0, true
	c.bodyBytes += int64(len(data))
	if c.server.buffered.Add(int64(len(data))) > c.server.config.MaxBufferedBytes {
		c.input.reject(bodyBufferFull(c.server.config.MaxBufferedBytes))
		return errRefusedInput
	}
	return c.Processor.OnBody(parser, data)
}

// reject records the first problem of the input.
func (i *inputState) reject(problem InputError) {
	if i.problem == nil {
		i.problem = &problem
	}
}

// parse passes the bytes of one read to the parser and refuses input that exceeds a
// limit.
func (c *processor) parse(parser *nbhttp.Parser, data []byte) {
	c.passedOn = false
	err := parser.Parse(data)
	c.countUnparsed(len(data))
	c.checkInput(err, len(data))
}

// countUnparsed counts the bytes of an incomplete body that the parser holds after a
// read of length bytes, as part of the memory for request bodies. nbhttp holds a body,
// or a chunk with its framing, until it is complete.
func (c *processor) countUnparsed(length int) {
	held := int64(0)
	if !c.input.inHeader {
		held = int64(length)
		if !c.passedOn {
			held += c.unparsed
		}
	}
	buffered := c.server.buffered.Add(held - c.unparsed)
	c.unparsed = held
	limits := &c.server.config
	switch {
	case c.bodyBytes+held > int64(limits.MaxBodyBytes+limits.MaxHeaderBytes)+readBufferBytes:
		c.input.reject(bodyTooLarge(limits.MaxBodyBytes))
	case held > 0 && buffered > limits.MaxBufferedBytes:
		c.input.reject(bodyBufferFull(limits.MaxBufferedBytes))
	}
}

// checkInput refuses the connection's input if the last read of length bytes
// exceeded a limit or the parser failed with err.
func (c *processor) checkInput(err error, length int) {
	in := &c.input
	switch {
	case in.inHeader && !in.startedInRead:
		in.rawBytes += length
	case !in.inHeader:
		in.rawBytes = 0
	}
	in.startedInRead = false
	if in.inHeader && in.rawBytes > c.server.config.MaxHeaderBytes {
		in.reject(headerTooLarge(c.server.config.MaxHeaderBytes))
	}
	if err != nil {
		in.reject(c.inputErrorOf(err))
	}
	if in.problem != nil {
		c.refuse(*in.problem)
	}
}

// inputErrorOf converts a parser error into the error for the caller.
func (c *processor) inputErrorOf(err error) InputError {
	switch {
	case !errors.Is(err, nbhttp.ErrTooLong):
		return malformed(err.Error())
	case c.input.inHeader:
		return headerTooLarge(c.server.config.MaxHeaderBytes)
	}
	return bodyTooLarge(c.server.config.MaxBodyBytes)
}

// beginInput records the receipt of n bytes. It returns false if the connection was
// drained, so that a request that crossed the stop is answered as not run.
func (c *connection) beginInput(n int) (accepted bool) {
	if n <= 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.parsing = true, true
	return !c.drained
}

// endInput records that all bytes received were parsed.
func (c *connection) endInput() {
	c.mu.Lock()
	c.parsing = false
	c.mu.Unlock()
}

// drainIfIdle ends the connection if no request is in progress on it, and otherwise
// leaves it open. No byte is read afterwards: a caller whose request crossed the
// stop sees that it was not read.
func (c *connection) drainIfIdle() {
	c.mu.Lock()
	receiving := c.parsing || c.awaitingRequest && c.received
	if !receiving && !c.running {
		c.drained = true
	}
	drained := c.drained
	c.mu.Unlock()
	if drained {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes the reader, which closes
	}
}

// handleReadTimeout runs when the timer fires. It refuses a request that was not
// received in time, and closes a connection on which nothing has arrived.
func (c *connection) handleReadTimeout() {
	c.mu.Lock()
	late, silent := c.awaitingRequest, !c.received
	c.mu.Unlock()
	if !late {
		return
	}
	if silent {
		_ = c.Conn.Close()
		return
	}
	c.refuse(InputError{
		Status: http.StatusRequestTimeout, Code: "bad_request",
		Reason: fmt.Sprintf("no complete request arrived within %v", c.server.config.ReadTimeout),
		Remedy: "send the complete request without pauses on a connection that is fast enough",
	})
}

// refuse answers invalid input, discards further input and closes the connection
// after lingerTime. If an answer is in progress, the connection is closed at once.
func (c *connection) refuse(problem InputError) {
	c.mu.Lock()
	again, busy := c.refused, c.running
	c.refused = true
	c.mu.Unlock()
	if again {
		return
	}
	if busy {
		_ = c.Conn.Close()
		return
	}
	c.answerError(problem)
	time.AfterFunc(lingerTime, func() { _ = c.Conn.Close() })
}

// answerError writes an error response without nbhttp.
func (c *connection) answerError(problem InputError) {
	body := c.server.config.InputErrorBody(problem)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		problem.Status, http.StatusText(problem.Status), len(body))
	_, _ = c.Write(append([]byte(head), body...))
}

// discarding reports whether further input is ignored because of a refusal.
func (c *connection) discarding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// execute queues a request's handler and releases the memory budget of its body
// once the handler has returned or was not accepted.
func (c *processor) execute(handler func()) bool {
	held := c.bodyBytes
	c.bodyBytes = 0
	accepted := c.enqueue(func() {
		defer c.server.buffered.Add(-held)
		handler()
	})
	if !accepted {
		c.server.buffered.Add(-held)
	}
	return accepted
}

// enqueue queues a handler, to be run in order on a goroutine of the connection,
// so that the reader still sees the caller disconnect. It returns false if the
// connection was refused or closed, or the queue is full.
func (c *connection) enqueue(handler func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused || c.disconnected || len(c.queue) >= maxPipelined {
		return false
	}
	c.queue = append(c.queue, handler)
	c.server.unfinished.Add(1)
	if !c.running {
		c.running = true
		go c.runQueue()
	}
	return true
}

// runQueue runs queued handlers one after the other until the queue is empty.
func (c *connection) runQueue() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.running = false
			c.handlersDone.Broadcast()
			c.mu.Unlock()
			if c.server.draining.Load() {
				c.drainIfIdle()
			}
			return
		}
		handler := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.runHandler(handler)
	}
}

// runHandler runs a handler and recovers from a panic, so that a fault in one
// request closes only its connection.
func (c *connection) runHandler(handler func()) {
	defer c.server.unfinished.Add(-1)
	defer func() {
		if recovered := recover(); recovered != nil {
			c.server.config.Log.Error().Interface("fault", recovered).Bytes("stack", debug.Stack()).Msg("handler failed")
			_ = c.Conn.Close()
		}
	}()
	handler()
}

// markDisconnected records that the connection has closed and notifies the
// request in progress that its caller disconnected.
func (c *connection) markDisconnected() {
	c.mu.Lock()
	c.disconnected = true
	notify := c.onDisconnect
	c.onDisconnect = nil
	c.timer.Stop()
	c.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// setOnDisconnect registers a function that is called when the connection
// closes, or at once if it is already closed. A nil function removes the
// registration.
func (c *connection) setOnDisconnect(notify func()) {
	c.mu.Lock()
	disconnected := c.disconnected
	if !disconnected {
		c.onDisconnect = notify
	}
	c.mu.Unlock()
	if disconnected && notify != nil {
		notify()
	}
}
