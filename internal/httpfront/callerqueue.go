package httpfront

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/citrongate/citrongate/pkg/answerbuffer"
)

// hold holds bytes that the kernel did not take, or writes them while the handler waits.
// written is the number of bytes before them that it took.
func (c *callerConn) hold(p []byte, written int) error {
	for len(p) > 0 {
		account, ask, err := c.roomFor(p, written)
		switch {
		case err != nil:
			return err
		case account == nil:
			_, err := c.writeAndWait(p)
			return err
		case ask == 0:
			c.enqueue(p)
			return nil
		case c.buffer.reserve(account, ask):
			c.grant(account, ask)
			continue
		}
		n, err := c.waitForRoom(account, p)
		if err != nil {
			return err
		}
		p, written = p[n:], written+n
	}
	return nil
}

// roomFor returns the account of the answer, nil if it cannot be held, and the number of bytes to
// be reserved before p can be.
func (c *callerConn) roomFor(p []byte, written int) (account *answerbuffer.Account, ask int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.answer == nil {
		return nil, 0, c.err
	}
	if c.account == nil {
		// Never blocks on a lock of a connection: open calls none back.
		c.account = c.buffer.open(c.answer.Organisation, c)
	}
	if c.roomInLast(len(p)) {
		return c.account, 0, nil
	}
	ask = max(c.pieceBytes(len(p)), c.unwritten-int64(written)) - c.reserved
	if c.pieceBytes(len(p)) <= c.reserved {
		ask = 0
	}
	c.asked = ask
	return c.account, ask, nil
}

// pieceBytes is the size of the piece that holds n bytes.
func (c *callerConn) pieceBytes(n int) int64 {
	if c.unwritten >= 0 {
		return int64(n)
	}
	return int64(max(n, heldPieceBytes))
}

// roomInLast reports whether the last piece of the queue has room for n more bytes.
func (c *callerConn) roomInLast(n int) bool {
	if len(c.queue) == 0 {
		return false
	}
	last := c.queue[len(c.queue)-1]
	return cap(last)-len(last) >= n
}

// enqueue copies bytes for which there is room to the queue.
func (c *callerConn) enqueue(p []byte) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	notify := c.answer.Buffered
	c.answer.Buffered = nil
	if c.roomInLast(len(p)) {
		at := len(c.queue) - 1
		c.queue[at] = append(c.queue[at], p...)
	} else {
		size := c.pieceBytes(len(p))
		c.reserved -= size
		c.queue = append(c.queue, append(make([]byte, 0, size), p...))
	}
	if !c.writer {
		c.writer = true
		go c.writeQueue(c.account)
	}
	c.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// writeQueue writes the pieces of the queue until it is empty or a write fails.
func (c *callerConn) writeQueue(account *answerbuffer.Account) {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.writer = false
			c.changed.Broadcast()
			c.mu.Unlock()
			return
		}
		piece := c.queue[0]
		c.queue[0] = nil
		c.queue = c.queue[1:]
		c.mu.Unlock()
		if _, err := c.writeAndWait(piece); err != nil {
			c.fail(err)
			c.onFailure()
		}
		c.buffer.sent(account, int64(cap(piece)))
	}
}

// waitForRoom waits until the refused reservation is granted. If nothing is held, it writes p
// meanwhile, and returns the number of bytes that were written.
func (c *callerConn) waitForRoom(account *answerbuffer.Account, p []byte) (n int, err error) {
	c.notifyWaits()
	c.mu.Lock()
	for c.writer && c.asked > 0 && c.err == nil {
		c.changed.Wait()
	}
	if c.asked > 0 && c.err == nil {
		n, err = c.writeUntilGranted(p)
	} else {
		err = c.err
	}
	c.asked = 0
	c.mu.Unlock()
	c.buffer.stopWaiting(account, int64(n))
	return n, err
}

// notifyWaits tells once per answer that it waits for room.
func (c *callerConn) notifyWaits() {
	c.mu.Lock()
	notify := c.answer.Waits
	c.answer.Waits = nil
	c.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// writeUntilGranted writes p while the handler waits, until it is written, room is granted or
// stallTimeout has passed. c.mu is held before and after.
func (c *callerConn) writeUntilGranted(p []byte) (n int, err error) {
	c.blocked = true
	err = c.Conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	c.mu.Unlock()
	if err == nil {
		n, err = c.Conn.Write(p)
	}
	c.mu.Lock()
	c.blocked = false
	if c.asked == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil // the grant set the deadline
	}
	if err == nil {
		err = c.Conn.SetWriteDeadline(time.Time{})
	}
	return n, err
}

// grant tells that the account has room for bytes more.
func (c *callerConn) grant(account *answerbuffer.Account, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.account != account {
		return // the answer has ended
	}
	c.reserved += bytes
	c.asked = 0
	if c.blocked {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // wakes writeUntilGranted
	}
	c.changed.Broadcast()
}

// abortForMemory closes the connection, since the bound of the answer buffer is exceeded.
func (c *callerConn) abortForMemory() {
	c.mu.Lock()
	var notify func()
	if c.answer != nil {
		notify = c.answer.Aborted
	}
	c.mu.Unlock()
	c.fail(net.ErrClosed)
	c.onFailure()
	if notify != nil {
		notify()
	}
}
