package httpfront

import (
	"context"
	"time"
)

// drainInterval is the time between two searches for idle connections.
const drainInterval = 5 * time.Millisecond

// Drain ends each connection as soon as no request is in progress on it, until none
// is open or ctx ends. Every request that was received gets its answer first;
// requests on new connections are refused.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		open := false
		s.conns.Range(func(c, _ any) bool {
			open = true
			c.(*connection).drainIfIdle()
			return true
		})
		if !open {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
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
