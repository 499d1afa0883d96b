package httpfront

import (
	"runtime/debug"
	"time"
)

// maxPipelined bounds the requests of one connection that wait for their handler.
const maxPipelined = 4

// idle reports whether no handler of the connection is running.
func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.running
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
// so that the reader still sees the caller disconnect. While the queue is full it
// waits, and nothing more is read from the caller, whose disconnect is noticed only
// once there is room. It returns false if the connection was refused or closed.
func (c *connection) enqueue(handler func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxPipelined && !c.refused && !c.disconnected {
		c.roomInQueue.Wait()
	}
	if c.refused || c.disconnected {
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
			refusal := c.refusal
			c.refusal = nil
			c.handlersDone.Broadcast()
			c.mu.Unlock()
			if refusal != nil {
				c.answerAndClose(*refusal)
			}
			if c.server.draining.Load() {
				c.drainIfIdle()
			}
			return
		}
		handler := c.queue[0]
		c.queue = c.queue[1:]
		c.roomInQueue.Signal()
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
