package nodeloop

import (
	"context"
	"sync"

	"github.com/citrongate/citrongate/pkg/node"
)

// Mailbox passes the node's actions for one request to the goroutine that
// serves it.
type Mailbox struct {
	mu      sync.Mutex
	actions []node.Action
	// cancel ends the exchange with the upstream that is in progress.
	cancel context.CancelFunc
	// canceled is true if the node canceled before an exchange began.
	canceled bool
	wake     chan struct{}
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox { return &Mailbox{wake: make(chan struct{}, 1)} }

// Deliver adds an action. It never blocks.
func (m *Mailbox) Deliver(a node.Action) {
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

// Begin registers the exchange that a CancelUpstream ends.
func (m *Mailbox) Begin(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancel = cancel
	if m.canceled {
		cancel()
	}
}

// End ends the registration.
func (m *Mailbox) End() {
	m.mu.Lock()
	m.cancel, m.canceled = nil, false
	m.mu.Unlock()
}

// Next waits for an action; it returns nil when ctx ends.
func (m *Mailbox) Next(ctx context.Context) node.Action {
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

// Mailboxes finds the mailbox of a request.
type Mailboxes struct {
	mu   sync.Mutex
	open map[node.RequestID]*Mailbox
}

// NewMailboxes returns no mailboxes.
func NewMailboxes() *Mailboxes { return &Mailboxes{open: map[node.RequestID]*Mailbox{}} }

// Add makes the mailbox of a new request.
func (r *Mailboxes) Add(id node.RequestID) *Mailbox {
	m := NewMailbox()
	r.mu.Lock()
	r.open[id] = m
	r.mu.Unlock()
	return m
}

// Remove drops the mailbox of a request that has ended.
func (r *Mailboxes) Remove(id node.RequestID) {
	r.mu.Lock()
	delete(r.open, id)
	r.mu.Unlock()
}

// Find returns nil for a request that has ended.
func (r *Mailboxes) Find(id node.RequestID) *Mailbox {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open[id]
}

// Deliver adds an action to the mailbox of a request. It returns false if the
// request has ended.
func (r *Mailboxes) Deliver(id node.RequestID, a node.Action) bool {
	m := r.Find(id)
	if m == nil {
		return false
	}
	m.Deliver(a)
	return true
}

// Len returns the number of requests that have not ended.
func (r *Mailboxes) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}
