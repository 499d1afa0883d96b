package daemon

import (
	"context"
	"sync"

	"github.com/citrongate/citrongate/pkg/node"
)

// mailbox passes the node's actions for one request to the goroutine that
// serves it.
type mailbox struct {
	mu      sync.Mutex
	actions []node.Action
	// cancel ends the exchange with the upstream that is in progress.
	cancel context.CancelFunc
	// canceled is true if the node canceled before an exchange began.
	canceled bool
	wake     chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// deliver adds an action. It never blocks.
func (m *mailbox) deliver(a node.Action) {
	m.mu.Lock()
	if _, ok := a.(node.CancelUpstream); ok {
		m.canceled = true
		if m.cancel != nil {
			m.cancel()
		}
	} else {
		m.actions = append(m.actions, a)
	}
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// begin registers the exchange that a CancelUpstream ends.
func (m *mailbox) begin(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancel = cancel
	if m.canceled {
		cancel()
	}
}

// end ends the registration.
func (m *mailbox) end() {
	m.mu.Lock()
	m.cancel, m.canceled = nil, false
	m.mu.Unlock()
}

// next waits for an action; it returns nil when ctx ends.
func (m *mailbox) next(ctx context.Context) node.Action {
	for {
		m.mu.Lock()
		if len(m.actions) > 0 {
			a := m.actions[0]
			m.actions = m.actions[1:]
			m.mu.Unlock()
			return a
		}
		m.mu.Unlock()
		select {
		case <-m.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// requests finds the mailbox of a request.
type requests struct {
	mu   sync.Mutex
	open map[node.RequestID]*mailbox
}

func newRequests() *requests { return &requests{open: map[node.RequestID]*mailbox{}} }

func (r *requests) add(id node.RequestID) *mailbox {
	m := newMailbox()
	r.mu.Lock()
	r.open[id] = m
	r.mu.Unlock()
	return m
}

func (r *requests) remove(id node.RequestID) {
	r.mu.Lock()
	delete(r.open, id)
	r.mu.Unlock()
}

// find returns nil for a request that has ended.
func (r *requests) find(id node.RequestID) *mailbox {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open[id]
}
