package node

import "time"

// drainState tracks a planned stop.
type drainState struct {
	started bool
	// closed is true once callers can no longer hold a discovery answer that
	// names this instance; new requests are then refused.
	closed  bool
	closeAt time.Duration
	done    bool
}

// startDrain withdraws this instance from discovery and gives up its pools.
// Requests from callers with an old discovery answer are still served.
func (n *Node) startDrain() {
	if n.drain.started {
		return
	}
	n.drain.started = true
	n.drain.closeAt = n.now + n.cfg.DiscoveryTTL
	n.view.Leave(n.now)
	n.table.Drain(n.now)
	n.updateOwnership()
}

func (n *Node) tickDrain() {
	if !n.drain.started || n.drain.done {
		return
	}
	n.drain.closed = n.now >= n.drain.closeAt
	if n.drain.closed && len(n.requests) == 0 {
		n.drain.done = true
		n.emit(Drained{})
	}
}
