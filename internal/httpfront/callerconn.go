package httpfront

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citrongate/citrongate/pkg/answerbuffer"
)

// heldPieceBytes is the least size of a piece of an answer that is held, so that the events of a
// stream share one.
const heldPieceBytes = 4 << 10

// HeldAnswer describes the answer that a handler is about to write, for the answer buffer.
type HeldAnswer struct {
	// Organisation is the one to which the held bytes are counted.
	Organisation string
	// Buffered is called when the answer is held for the first time, Waits when it has to wait
	// for room for the first time, and Aborted when it is aborted because the bound is
	// exceeded. They must not block.
	Buffered, Waits, Aborted func()
}

// callerConn writes to a caller's TCP connection. A write that the kernel takes at once is
// handed over directly. Otherwise, if an answer is announced and the answer buffer has room, the
// rest is held and written in the background, so that the handler goes on at the upstream's
// speed; without room the handler waits for the caller.
type callerConn struct {
	net.Conn
	raw    syscall.RawConn
	buffer *AnswerBuffer

	// writing serialises Write; attempt is the state of the current attempt.
	writing sync.Mutex
	attempt struct {
		run func(fd uintptr) bool
		p   []byte
		n   int
		err error
	}

	mu sync.Mutex
	// changed is broadcast when the queue is empty, room was granted or a write failed.
	changed sync.Cond
	// answer is the answer that may be held; nil if writes wait for the caller.
	answer *HeldAnswer
	// account is opened when the answer is held for the first time.
	account *answerbuffer.Account
	// unwritten is the number of bytes of the answer's body that its handler has not written
	// yet; -1 if its length is not known.
	unwritten int64
	// reserved are the bytes that were granted and are not used by a piece in queue.
	reserved int64
	// asked is the reservation that is asked for; 0 once it is granted.
	asked int64
	// blocked is true while a write waits for the caller that a grant interrupts.
	blocked bool
	// queue holds the pieces to be written by the background writer, which runs while writer
	// is true.
	queue  [][]byte
	writer bool
	err    error
	// lost is true if bytes were held when the connection failed.
	lost bool
	// onFailure is called when a write in the background fails or the answer is aborted.
	onFailure func()
}

// newCallerConn wraps a connection. Without a buffer, or if conn gives no access to its descriptor,
// every write waits for the caller.
func newCallerConn(conn net.Conn, buffer *AnswerBuffer, onFailure func()) *callerConn {
	c := &callerConn{Conn: conn, buffer: buffer, onFailure: onFailure}
	c.changed.L = &c.mu
	c.attempt.run = c.attemptWrite
	if raw, ok := conn.(syscall.Conn); ok && buffer != nil {
		c.raw, _ = raw.SyscallConn()
	}
	return c
}

// begin announces an answer that may be held.
func (c *callerConn) begin(answer *HeldAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer, c.unwritten = answer, -1
}

// expect sets the length of the answer's body.
func (c *callerConn) expect(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwritten = length
}

// flush waits until everything that is held was written, and returns an error if a part of it
// was discarded.
func (c *callerConn) flush() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writer && c.err == nil {
		c.changed.Wait()
	}
	if c.lost {
		return c.err
	}
	return nil
}

// holds reports whether bytes are held.
func (c *callerConn) holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writer
}

// end ends the answer: what is held is written, and later writes wait for the caller.
func (c *callerConn) end() {
	_ = c.flush()
	c.mu.Lock()
	for c.writer { // its write ends at once if the connection has failed
		c.changed.Wait()
	}
	account := c.account
	c.answer, c.account, c.reserved, c.asked = nil, nil, 0, 0
	c.mu.Unlock()
	if account != nil {
		c.buffer.release(account)
	}
}

// Close closes the connection at once; what is held is discarded.
func (c *callerConn) Close() error {
	c.fail(net.ErrClosed)
	return c.Conn.Close()
}

// fail records the error after which nothing is written any more.
func (c *callerConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err, c.lost = err, c.writer
	}
	c.queue = nil
	c.changed.Broadcast()
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.raw == nil {
		return c.writeAndWait(p)
	}
	c.mu.Lock()
	queued, err := c.writer, c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n := 0
	if !queued {
		if n, err = c.writeAtOnce(p); err != nil {
			return n, err
		}
	}
	if n < len(p) {
		if err := c.hold(p[n:], n); err != nil {
			return n, err
		}
	}
	c.countWritten(len(p))
	return len(p), nil
}

// countWritten takes bytes of the answer off those that its handler has not written, and gives
// back what was reserved for them if the kernel took them at once.
func (c *callerConn) countWritten(n int) {
	c.mu.Lock()
	if c.unwritten >= 0 {
		c.unwritten = max(0, c.unwritten-int64(n))
	}
	account, unused := c.account, c.reserved-c.unwritten
	if account == nil || c.unwritten < 0 || unused <= 0 {
		c.mu.Unlock()
		return
	}
	c.reserved = c.unwritten
	c.mu.Unlock()
	c.buffer.giveBack(account, unused)
}

// writeAtOnce writes what the kernel takes without waiting.
func (c *callerConn) writeAtOnce(p []byte) (int, error) {
	c.attempt.p, c.attempt.n, c.attempt.err = p, 0, nil
	err := c.raw.Write(c.attempt.run)
	c.attempt.p = nil
	return c.attempt.n, errors.Join(err, c.attempt.err)
}

// attemptWrite is the attempt of writeAtOnce on the descriptor. It returns true, since it does not
// wait until the descriptor is ready.
func (c *callerConn) attemptWrite(fd uintptr) bool {
	a := &c.attempt
	for {
		n, err := unix.Write(int(fd), a.p)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
		case err != nil:
			a.err = os.NewSyscallError("write", err)
		default:
			a.n = n
		}
		return true
	}
}

// writeAndWait writes everything within stallTimeout.
func (c *callerConn) writeAndWait(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err == nil {
		// A deadline left behind would fail a later write at once.
		err = c.Conn.SetWriteDeadline(time.Time{})
	}
	return n, err
}
