package httpfront

import (
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// writer holds back writes while the kernel has not taken enough of the
// earlier ones. nbio buffers without a wait otherwise.
type writer struct {
	net.Conn
	mu     sync.Mutex
	space  sync.Cond
	handed int64
	kernel int64
	closed bool
}

func newWriter(c *nbio.Conn) *writer {
	w := &writer{Conn: c}
	w.space.L = &w.mu
	return w
}

// Write waits until the bytes held for the caller are within the window.
func (w *writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	if w.full() {
		w.waitForSpace()
	}
	if w.closed {
		w.mu.Unlock()
		return 0, net.ErrClosed
	}
	w.handed += int64(len(p))
	w.mu.Unlock()
	return w.Conn.Write(p)
}

func (w *writer) full() bool { return !w.closed && w.handed-w.kernel > writeWindow }

// waitForSpace is called with the lock held. It closes the connection if the
// caller takes nothing for stallTimeout.
func (w *writer) waitForSpace() {
	for w.full() {
		before := w.kernel
		timer := time.AfterFunc(stallTimeout, func() { w.abortIfStalled(before) })
		w.space.Wait()
		timer.Stop()
	}
}

func (w *writer) abortIfStalled(before int64) {
	w.mu.Lock()
	stalled := w.kernel == before
	w.mu.Unlock()
	if stalled {
		w.close()
		_ = w.Conn.Close()
	}
}

// taken counts n bytes that the kernel took.
func (w *writer) taken(n int) {
	w.mu.Lock()
	w.kernel += int64(n)
	w.mu.Unlock()
	w.space.Signal()
}

func (w *writer) unsent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.closed && w.handed > w.kernel
}

func (w *writer) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.space.Broadcast()
}
