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
	// cancelExchange cancels the exchange with the upstream in progress, nil if there is none.
	cancelExchange context.CancelFunc
	// canceled is true if the node has canceled the request since the last
	// exchange ended, possibly before the next one began.
	canceled bool
	wake     chan struct{}
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox { return &Mailbox{wake: make(chan struct{}, 1)} }

// Deliver queues an action, or cancels the exchange in progress if the action is
// a CancelUpstream. It never blocks.
func (m *Mailbox) Deliver(a node.Action) {
	m.mu.Lock()
	if _, ok := a.(node.CancelUpstream); ok {
		m.canceled = true
		if m.cancelExchange != nil {
			m.cancelExchange()
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

// BeginExchange registers the function that cancels the exchange that begins. It is called
// by a later CancelUpstream, or at once if one has already been delivered.
func (m *Mailbox) BeginExchange(cancelExchange context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelExchange = cancelExchange
	if m.canceled {
		cancelExchange()
	}
}

// EndExchange removes the registration made by BeginExchange.
func (m *Mailbox) EndExchange() {
	m.mu.Lock()
	m.cancelExchange, m.canceled = nil, false
	m.mu.Unlock()
}

// Next returns the next action, waiting for it if necessary. It returns nil if
// ctx ends first.
func (m *Mailbox) Next(ctx context.Context) node.Action {
	action, _ := m.NextUnless(ctx, nil)
	return action
}

// NextUnless is Next that also ends if there is no action and interrupt is closed.
func (m *Mailbox) NextUnless(ctx context.Context, interrupt <-chan struct{}) (action node.Action, interrupted bool) {
	for {
		m.mu.Lock()
		if len(m.actions) > 0 {
			a := m.actions[0]
			m.actions = m.actions[1:]
			m.mu.Unlock()
			return a, false
		}
		m.mu.Unlock()
		select {
		case <-m.wake:
		case <-interrupt:
			return nil, true
		case <-ctx.Done():
			return nil, false
		}
	}
}

// Mailboxes holds the mailboxes of the requests that have not ended.
type Mailboxes struct {
	mu        sync.Mutex
	byRequest map[node.RequestID]*Mailbox
}

// NewMailboxes returns an empty set of mailboxes.
func NewMailboxes() *Mailboxes { return &Mailboxes{byRequest: map[node.RequestID]*Mailbox{}} }

// Add creates the mailbox of a new request.
func (r *Mailboxes) Add(id node.RequestID) *Mailbox {
	m := NewMailbox()
	r.mu.Lock()
	r.byRequest[id] = m
	r.mu.Unlock()
	return m
}

// Remove removes the mailbox of a request that has ended.
func (r *Mailboxes) Remove(id node.RequestID) {
	r.mu.Lock()
	delete(r.byRequest, id)
	r.mu.Unlock()
}

// Find returns the mailbox of a request, nil if the request has ended.
func (r *Mailboxes) Find(id node.RequestID) *Mailbox {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRequest[id]
}

// Deliver delivers an action to the mailbox of a request. It returns false if the
// request has ended.
func (r *Mailboxes) Deliver(id node.RequestID, a node.Action) bool {
	m := r.Find(id)
	if m == nil {
		return false
	}
	m.Deliver(a)
	return true
}

// CancelExchanges cancels the exchanges in progress.
func (r *Mailboxes) CancelExchanges() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, m := range r.byRequest {
		m.Deliver(node.CancelUpstream{ID: id})
	}
}

// Len returns the number of requests that have not ended.
func (r *Mailboxes) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byRequest)
}
