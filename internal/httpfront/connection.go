package httpfront

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

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
	// out is the TCP connection, below TLS if that is used.
	out *callerConn

	// failed is true once a write has failed or the connection was aborted.
	failed atomic.Bool
	// correction, if set, is applied to the bytes of the answer in progress.
	correction atomic.Pointer[headCorrection]
	// bodyBegun is true once WriteBody has sent the head of the answer in progress, whose
	// handler alone uses it.
	bodyBegun bool

	mu sync.Mutex
	// queue holds the handlers of requests that were received and wait their turn.
	queue []func()
	// running is true while runQueue runs.
	running bool
	// handlersDone is broadcast when running becomes false.
	handlersDone sync.Cond
	// roomInQueue is signalled when a handler leaves queue.
	roomInQueue sync.Cond
	// refused is true once input was refused; later input is discarded.
	refused bool
	// refusal is the answer to refused input that follows the answers in progress, or nil.
	refusal *InputError
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

func newConnection(s *Server, nbConn *nbhttp.Conn) *connection {
	c := &connection{server: s, nbConn: nbConn, awaitingRequest: true}
	c.out = newCallerConn(nbConn.Conn, s.config.AnswerBuffer, c.abort)
	c.Conn = c.out
	c.handlersDone.L, c.roomInQueue.L = &c.mu, &c.mu
	if s.tls != nil {
		c.Conn = tls.Server(c.out, s.tls)
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

// abort closes the connection at once. What is held of an answer is discarded.
func (c *connection) abort() {
	c.failed.Store(true)
	_ = c.out.Close()
}

// closeNow closes the connection without waiting for what is held.
func (c *connection) closeNow() {
	if c.out.holds() {
		_ = c.out.Close() // the closing alert of TLS would wait behind what is held
	}
	_ = c.Conn.Close()
}

// closeAndWait closes the connection and waits until no handler uses it. nbhttp
// frees the buffers of an answer when Read has returned an error; a handler that
// still writes to them would write into another caller's answer.
func (c *connection) closeAndWait() {
	c.closeNow()
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
	c.proc = &processor{Processor: parser.Processor, connection: c, input: inputState{inHeader: true},
		scanner: requestScanner{maxLine: c.server.config.MaxHeaderBytes}}
	parser.Processor = c.proc
	parser.Execute = c.proc.execute
	timer := time.AfterFunc(c.server.config.ReadTimeout, c.handleReadTimeout)
	c.mu.Lock()
	c.timer = timer
	c.mu.Unlock()
}

// Write hands bytes to callerConn, which holds them or blocks while the caller reads
// slowly, and closes the connection if one piece is not written after stallTimeout. It never returns an error, because nbhttp (1.6.8)
// then frees the buffer of the answer twice; the handler learns of the failure
// from writeFailure.
func (c *connection) Write(p []byte) (int, error) {
	if c.failed.Load() {
		return len(p), nil
	}
	if correction := c.correction.Load(); correction != nil {
		c.send(correction.apply(p))
	} else {
		c.send(p)
	}
	return len(p), nil
}

// send writes bytes to the caller, and closes the connection if that fails.
func (c *connection) send(p []byte) {
	if len(p) == 0 {
		return
	}
	if _, err := c.Conn.Write(p); err != nil {
		c.failed.Store(true)
		_ = c.Conn.Close()
	}
}

// writeFailure returns an error once a write has failed or the connection was
// aborted.
func (c *connection) writeFailure() error {
	if c.failed.Load() {
		return net.ErrClosed
	}
	return nil
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

// refuse answers invalid input once the requests before it are answered, discards further
// input and closes the connection after lingerTime.
func (c *connection) refuse(problem InputError) {
	c.mu.Lock()
	again, busy := c.refused, c.running
	c.refused = true
	if busy && !again {
		c.refusal = &problem
	}
	c.roomInQueue.Signal()
	c.mu.Unlock()
	if !again && !busy {
		c.answerAndClose(problem)
	}
}

// answerAndClose answers refused input and closes the connection after lingerTime, so that
// the caller can read the answer.
func (c *connection) answerAndClose(problem InputError) {
	c.answerError(problem)
	time.AfterFunc(lingerTime, func() { _ = c.Conn.Close() })
}

// answerError writes an error response without nbhttp.
func (c *connection) answerError(problem InputError) {
	body := c.server.config.InputErrorBody(problem)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		problem.Status, http.StatusText(problem.Status), len(body))
	c.send(append([]byte(head), body...))
}

// discarding reports whether further input is ignored because of a refusal.
func (c *connection) discarding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
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
	disconnected := c.disconnected || c.failed.Load()
	if !disconnected {
		c.onDisconnect = notify
	}
	c.mu.Unlock()
	if disconnected && notify != nil {
		notify()
	}
}
