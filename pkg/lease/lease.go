// Package lease gives one instance at a time the right to send orders to an
// upstream, by a lease object with a fencing number in the store.
//
// Invariants:
//   - an order is sent only under a lease that this instance holds, by a clock
//     that started before the request that took or renewed it was sent;
//   - an order to an upstream that ignores fencing numbers is sent only while
//     at least the margin of the lease remains;
//   - an instance takes over another's lease only after it saw it unchanged
//     for the whole duration, by its own clock.
package lease

import (
	"maps"
	"slices"
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
	// IdleTime is how long a lease is renewed after its last order; default Duration.
	// Leases are held only around orders, since renewing one for each of several
	// thousand upstreams would exceed the store's rate.
	IdleTime time.Duration
	// MaxOrders bounds the orders that wait for one upstream; default 16.
	MaxOrders int
}

func (c Config) withDefaults() Config {
	if c.IDs == nil {
		c.IDs = &store.IDSource{}
	}
	if c.Duration == 0 {
		c.Duration = 20 * time.Second
	}
	if c.OrderTimeout == 0 {
		c.OrderTimeout = time.Minute
	}
	if c.IdleTime == 0 {
		c.IdleTime = c.Duration
	}
	if c.MaxOrders == 0 {
		c.MaxOrders = 16
	}
	return c
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
	// not start to send it, for example because the process was paused.
	SendBy time.Duration
}

// Manager holds the leases of one instance.
type Manager struct {
	cfg    Config
	leases map[string]*leaseState
	calls  map[store.CallID]func(now time.Duration, r store.Result)

	// steppedAt is the time of the last Step; a large gap is a pause.
	steppedAt time.Duration
	stepped   bool
	// pausedAt is when the last pause was noticed.
	pausedAt time.Duration

	outCalls   []store.Call
	outSends   []Send
	outNotSent []uint64
}

// New returns a Manager without leases.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:    cfg.withDefaults(),
		leases: map[string]*leaseState{},
		calls:  map[store.CallID]func(time.Duration, store.Result){},
	}
}

// margin is the part of a lease in which no order is sent to an upstream that
// ignores fencing numbers.
func (m *Manager) margin() time.Duration { return m.cfg.Duration / 2 }

// Submit queues an order. The lease of its upstream is taken if needed and kept
// while orders come.
func (m *Manager) Submit(now time.Duration, o Order) {
	m.checkPause(now)
	l := m.leases[o.Upstream]
	if l == nil {
		l = newLeaseState(o.Upstream, m.cfg)
		m.leases[o.Upstream] = l
	}
	if len(l.orders) >= m.cfg.MaxOrders {
		m.outNotSent = append(m.outNotSent, o.ID)
		return
	}
	l.orders = append(l.orders, waitingOrder{order: o, giveUpAt: now + m.cfg.OrderTimeout})
	m.advance(now, l)
}

// Drop gives up the lease of an upstream that this instance no longer orders
// and returns the ids of its orders that were not sent. The lease object stays,
// so that fencing numbers keep growing.
func (m *Manager) Drop(upstream string) []uint64 {
	l := m.leases[upstream]
	if l == nil {
		return nil
	}
	var ids []uint64
	for _, o := range l.orders {
		ids = append(ids, o.order.ID)
	}
	l.orders, l.wantedUntil = nil, 0
	return ids
}

// OnStoreResult hands in the result of a call. It returns false if the call
// is not one of this manager's.
func (m *Manager) OnStoreResult(now time.Duration, id store.CallID, r store.Result) bool {
	handle, ok := m.calls[id]
	if !ok {
		return false
	}
	delete(m.calls, id)
	m.checkPause(now)
	handle(now, r)
	return true
}

// OnPause tells the manager that the process did not run for a while. Every
// lease must be renewed before another order is sent.
func (m *Manager) OnPause(now time.Duration) {
	m.pausedAt = now
	for _, l := range m.leases {
		l.heldUntil = 0
	}
}

// checkPause notices a pause by the gap since the last step.
func (m *Manager) checkPause(now time.Duration) {
	if m.stepped && now-m.steppedAt > m.margin() {
		m.OnPause(now)
	}
	m.steppedAt, m.stepped = now, true
}

// Fenced tells the manager that an upstream refused a fencing number as stale:
// another instance has taken the lease.
func (m *Manager) Fenced(upstream string, fencingNumber uint64) {
	if l := m.leases[upstream]; l != nil && l.fencing <= fencingNumber {
		l.heldUntil = 0
		l.known = false
	}
}

// Step runs timers. A gap of more than the margin between steps counts as a pause.
func (m *Manager) Step(now time.Duration) {
	m.checkPause(now)
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		l := m.leases[name]
		m.dropLate(now, l)
		m.advance(now, l)
		// A write in doubt is remembered: its start bounds the lease that it takes.
		if !l.busy && l.attempt == nil && len(l.orders) == 0 && now >= l.wantedUntil && now >= l.heldUntil {
			delete(m.leases, name)
		}
	}
}

// dropLate gives up orders that waited too long for a lease.
func (m *Manager) dropLate(now time.Duration, l *leaseState) {
	l.orders = slices.DeleteFunc(l.orders, func(o waitingOrder) bool {
		if o.giveUpAt > now {
			return false
		}
		m.outNotSent = append(m.outNotSent, o.order.ID)
		return true
	})
}

// NextWake returns when Step has something to do; a negative value means never.
func (m *Manager) NextWake(now time.Duration) time.Duration {
	wake := time.Duration(-1)
	for _, l := range m.leases {
		at := l.nextAction(now, m.cfg)
		for _, o := range l.orders {
			at = min(at, max(o.giveUpAt, now))
		}
		if at != never && (wake < 0 || at < wake) {
			wake = at
		}
	}
	return wake
}

// Take returns and clears the store calls to make, the orders to send and the
// ids of the orders that will not be sent.
func (m *Manager) Take() (calls []store.Call, sends []Send, notSent []uint64) {
	calls, sends, notSent = m.outCalls, m.outSends, m.outNotSent
	m.outCalls, m.outSends, m.outNotSent = nil, nil, nil
	return calls, sends, notSent
}
