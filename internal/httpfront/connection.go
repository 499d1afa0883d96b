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

// maxPipelined bounds requests received on one connection and not served yet.
const maxPipelined = 4

// connection is one caller connection, below nbhttp's. It parses what it reads
// itself, so that bad input is answered and the caller's leaving is seen while
// an answer is in progress; nbhttp would close the connection without an answer
// on the one and run its callbacks after the handler on the other.
type connection struct {
	net.Conn
	server  *Server
	wrapped *nbhttp.Conn
	proc    *processor

	// failed is true once a write has failed.
	failed atomic.Bool

	mu      sync.Mutex
	queue   []func()
	running bool
	// idleAgain is signaled when running becomes false.
	idleAgain sync.Cond
	refused   bool
	gone      bool
	onGone    func()
	// received is true once a byte has come. A connection that is opened ahead of
	// its first request is closed without an answer, which would be taken for
	// that of a request.
	received bool
	// awaiting is true while the rest of a request is due before the timer fires.
	awaiting bool
	timer    *time.Timer
}

// processor stands between nbhttp's parser and its own processor. It checks
// headers before nbhttp buffers a body. Only the reader uses it.
type processor struct {
	nbhttp.Processor
	*connection
	input inputState
	// receiving counts the body bytes of the request that is being received.
	receiving int64
}

// inputState is what was seen of the request that is being received.
type inputState struct {
	inHeader    bool
	startedNow  bool
	headerBytes int
	rawBytes    int
	lengths     int
	chunked     bool
	expects     bool
	problem     *InputError
}

func newConnection(s *Server, wrapped *nbhttp.Conn) *connection {
	c := &connection{Conn: wrapped.Conn, server: s, wrapped: wrapped, awaiting: true}
	c.idleAgain.L = &c.mu
	if s.tls != nil {
		c.Conn = tls.Server(wrapped.Conn, s.tls)
	}
	return c
}

// Read runs until the connection ends and returns the error that ended it. It
// is called once, by nbhttp's goroutine for the connection.
func (c *connection) Read(buffer []byte) (int, error) {
	parser := c.wrapped.Parser
	if parser == nil {
		return 0, net.ErrClosed
	}
	defer c.server.online.Add(-1)
	c.server.conns.Store(c, nil)
	defer c.server.conns.Delete(c)
	defer func() { _ = c.Conn.Close() }()
	if c.server.online.Add(1) > int64(c.server.config.MaxConnections) {
		if c.server.tls == nil {
			// An answer over TLS would cost a handshake for each refusal.
			c.answerError(tooManyConnections(c.server.config.MaxConnections))
		}
		return 0, net.ErrClosed
	}
	if err := c.handshake(); err != nil {
		return 0, err
	}
	c.attach(parser)
	defer func() { c.server.buffered.Add(-c.proc.receiving) }()
	for {
		n, err := c.Conn.Read(buffer)
		c.noteReceived(n)
		if n > 0 && !c.discarding() {
			c.proc.checkInput(parser.Parse(buffer[:n]), n)
		}
		if err != nil {
			c.end()
			return 0, err
		}
	}
}

// end waits until no handler uses the connection. nbhttp frees the buffers of
// an answer when Read has failed; a handler that still wrote to them would put
// its answer into the buffers of another caller's.
func (c *connection) end() {
	_ = c.Conn.Close()
	c.closed()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.running {
		c.idleAgain.Wait()
	}
}

// handshake completes TLS, if it is used, within the time for a request.
func (c *connection) handshake() error {
	secure, ok := c.Conn.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, stop := context.WithTimeout(context.Background(), c.server.config.ReadTimeout)
	defer stop()
	return secure.HandshakeContext(ctx)
}

func (c *connection) attach(parser *nbhttp.Parser) {
	c.proc = &processor{Processor: parser.Processor, connection: c, input: inputState{inHeader: true}}
	parser.Processor = c.proc
	parser.Execute = c.proc.execute
	timer := time.AfterFunc(c.server.config.ReadTimeout, c.tooSlow)
	c.mu.Lock()
	c.timer = timer
	c.mu.Unlock()
}

// Write blocks while the caller is slow, and gives up if the caller takes
// nothing for stallTimeout. It never returns an error, since nbhttp (1.6.8) then
// frees the buffer of the answer twice; takes tells the handler instead.
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

// takes returns an error once the caller does not take the answer any more.
func (c *connection) takes() error {
	if c.failed.Load() {
		return net.ErrClosed
	}
	return nil
}

// OnMethod starts the next request.
func (c *processor) OnMethod(parser *nbhttp.Parser, method string) {
	c.mu.Lock()
	if !c.awaiting {
		c.awaiting = true
		c.timer.Reset(c.server.config.ReadTimeout)
	}
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.input = inputState{inHeader: true, startedNow: true, headerBytes: len(method), problem: c.input.problem}
	c.Processor.OnMethod(parser, method)
}

// OnURL counts the request target as part of the header block.
func (c *processor) OnURL(parser *nbhttp.Parser, target string) error {
	c.countHeader(len(target))
	return c.Processor.OnURL(parser, target)
}

// OnHeader counts header bytes and notes how the body's end is marked.
func (c *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	c.countHeader(len(key) + len(value) + len(": \r\n"))
	switch http.CanonicalHeaderKey(key) {
	case "Content-Length":
		c.input.lengths++
	case "Transfer-Encoding":
		c.input.chunked = true
	case "Expect":
		c.input.expects = true
	}
	c.Processor.OnHeader(parser, key, value)
}

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
	case c.input.lengths > 1 || c.input.lengths == 1 && c.input.chunked:
		// Two ends of one body would let two parties disagree on where the
		// next request starts.
		c.input.reject(malformed("the body has more than one length"))
	case length > c.server.config.MaxBodyBytes:
		c.input.reject(bodyTooLarge(c.server.config.MaxBodyBytes))
	case c.input.expects && c.input.problem == nil && c.idle():
		_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.Processor.OnContentLength(parser, length)
}

// OnComplete hands a whole request over, unless it is refused.
func (c *processor) OnComplete(parser *nbhttp.Parser) {
	c.input.inHeader = true
	c.mu.Lock()
	c.awaiting = false
	c.timer.Stop()
	c.mu.Unlock()
	if c.input.problem != nil {
		return
	}
	c.Processor.OnComplete(parser)
}

// idle is true if no answer is being written.
func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.running
}

// errRefusedInput stops the parser after a refusal.
var errRefusedInput = errors.New("request refused")

// OnBody buffers body bytes unless the request is refused already.
func (c *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	if c.input.problem != nil {
		return errRefusedInput
	}
	c.receiving += int64(len(data))
	if c.server.buffered.Add(int64(len(data))) > c.server.config.MaxBufferedBytes {
		c.input.reject(bodiesTooLarge(c.server.config.MaxBufferedBytes))
		return errRefusedInput
	}
	return c.Processor.OnBody(parser, data)
}

func (i *inputState) reject(problem InputError) {
	if i.problem == nil {
		i.problem = &problem
	}
}

// checkInput refuses the connection's input if it broke a bound or a rule.
func (c *processor) checkInput(err error, length int) {
	in := &c.input
	switch {
	case in.inHeader && !in.startedNow:
		in.rawBytes += length
	case !in.inHeader:
		in.rawBytes = 0
	}
	in.startedNow = false
	if in.inHeader && in.rawBytes > c.server.config.MaxHeaderBytes {
		in.reject(headerTooLarge(c.server.config.MaxHeaderBytes))
	}
	if err != nil {
		in.reject(c.describe(err))
	}
	if in.problem != nil {
		c.refuse(*in.problem)
	}
}

func (c *processor) describe(err error) InputError {
	switch {
	case !errors.Is(err, nbhttp.ErrTooLong):
		return malformed(err.Error())
	case c.input.inHeader:
		return headerTooLarge(c.server.config.MaxHeaderBytes)
	}
	return bodyTooLarge(c.server.config.MaxBodyBytes)
}

func (c *connection) noteReceived(n int) {
	if n > 0 && !c.received {
		c.mu.Lock()
		c.received = true
		c.mu.Unlock()
	}
}

// tooSlow refuses a request that was not received in time.
func (c *connection) tooSlow() {
	c.mu.Lock()
	late, silent := c.awaiting, !c.received
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
		Reason: fmt.Sprintf("no whole request arrived within %v", c.server.config.ReadTimeout),
		Remedy: "send the whole request without pauses on a connection that is fast enough",
	})
}

// refuse answers input that is not a request, discards the rest and closes the
// connection. If an answer is in progress, the connection is closed at once.
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

// answerError writes an answer outside nbhttp.
func (c *connection) answerError(problem InputError) {
	body := c.server.config.BadInput(problem)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		problem.Status, http.StatusText(problem.Status), len(body))
	_, _ = c.Write(append([]byte(head), body...))
}

func (c *connection) discarding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// execute runs a request's handler and then counts its body as released.
func (c *processor) execute(handler func()) bool {
	held := c.receiving
	c.receiving = 0
	accepted := c.enqueue(func() {
		defer c.server.buffered.Add(-held)
		handler()
	})
	if !accepted {
		c.server.buffered.Add(-held)
	}
	return accepted
}

// enqueue runs the handlers of one connection in order on a goroutine of their
// own, so that the reader still sees when the caller closes the connection.
func (c *connection) enqueue(handler func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused || c.gone || len(c.queue) >= maxPipelined {
		return false
	}
	c.queue = append(c.queue, handler)
	if !c.running {
		c.running = true
		go c.runQueue()
	}
	return true
}

func (c *connection) runQueue() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.running = false
			c.idleAgain.Broadcast()
			c.mu.Unlock()
			return
		}
		handler := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.runHandler(handler)
	}
}

// runHandler keeps a fault in one request from ending the process.
func (c *connection) runHandler(handler func()) {
	c.server.busy.Add(1)
	defer c.server.busy.Add(-1)
	defer func() {
		if fault := recover(); fault != nil {
			c.server.config.Log.Error().Interface("fault", fault).Bytes("stack", debug.Stack()).Msg("handler failed")
			_ = c.Conn.Close()
		}
	}()
	handler()
}

// closed tells the request in progress that its caller went away.
func (c *connection) closed() {
	c.mu.Lock()
	c.gone = true
	notify := c.onGone
	c.timer.Stop()
	c.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// notifyGone registers a function that is called once when the connection
// closes, immediately if it is closed already. A nil function ends the registration.
func (c *connection) notifyGone(notify func()) {
	c.mu.Lock()
	c.onGone = notify
	gone := c.gone
	c.mu.Unlock()
	if gone && notify != nil {
		notify()
	}
}
