// Package lease gives one instance at a time the right to send orders to an
// upstream, by a lease object with a fencing number in the store.
package lease

import (
	"time"

	"github.com/citrongate/citrongate/pkg/store"
)

// Config holds the constants of a Manager; zero durations take defaults.
type Config struct {
	// Incarnation is the holder written into leases.
	Incarnation uint64
	IDs         *store.IDSource
	Seed        uint64
	// Duration of a lease; default 20 s. The margin is half of it.
	Duration time.Duration
	// OrderTimeout is how long an order waits for a lease; default 60 s.
	OrderTimeout time.Duration
}

// Order is an order to an upstream.
type Order struct {
	ID             uint64
	Upstream       string
	Verb, Argument string
	// ChecksFencing is true if the upstream refuses orders with an old fencing number.
	ChecksFencing bool
}

// Send is an order to send now.
type Send struct {
	Order         Order
	FencingNumber uint64
	// SendBy is the time on the local monotonic clock after which the edge must
	// not start to send it.
	SendBy time.Duration
}

// Manager holds the leases of one instance.
type Manager struct{}

// New returns a Manager without leases.
func New(cfg Config) *Manager { return &Manager{} }

// Submit queues an order. The lease of its upstream is taken if needed and kept
// while orders come.
func (m *Manager) Submit(now time.Duration, o Order) {}

// Drop gives up the lease of an upstream that this instance no longer orders
// and returns the ids of its orders that were not sent.
func (m *Manager) Drop(upstream string) []uint64 { return nil }

// OnStoreResult hands in the result of a call. It returns false if the call
// is not one of this manager's.
func (m *Manager) OnStoreResult(now time.Duration, id store.CallID, r store.Result) bool {
	return false
}

// OnPause tells the manager that the process did not run for a while. Every
// lease must be renewed before another order is sent.
func (m *Manager) OnPause(now time.Duration) {}

// Fenced tells the manager that an upstream refused a fencing number as stale.
func (m *Manager) Fenced(upstream string, fencingNumber uint64) {}

// Step runs timers. A gap of more than the margin between steps counts as a pause.
func (m *Manager) Step(now time.Duration) {}

// NextWake returns when Step has something to do; a negative value means never.
func (m *Manager) NextWake(now time.Duration) time.Duration { return -1 }

// Take returns and clears the store calls to make, the orders to send and the
// ids of the orders that will not be sent.
func (m *Manager) Take() (calls []store.Call, sends []Send, notSent []uint64) {
	return nil, nil, nil
}
