// Package lease ensures that only one instance at a time sends orders, which are
// control commands, to an upstream. The right to do so is a lease object with a
// fencing number in the store. The package does no I/O: the caller makes the store
// calls and sends the orders that TakeOutputs returns.
//
// Invariants:
//   - an order is sent only under a lease that this instance holds, and whose
//     duration counts from before the request that took or renewed it was sent;
//   - an order to an upstream that ignores fencing numbers is sent only while more
//     than the margin of the lease remains;
//   - an instance takes over another's lease only after it has seen the lease
//     unchanged for its full duration, by its own clock.
package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/store"
)

// Config holds the settings of a Manager. Zero durations and MaxOrders take the
// stated defaults.
type Config struct {
	// Incarnation identifies this process run as the holder of its leases.
	Incarnation uint64
	IDs         *store.IDSource
	Seed        uint64
	// Duration of a lease; default 20 s. The margin is half of it: the time left for
	// an order on its way to arrive before another instance takes over.
	Duration time.Duration
	// OrderTimeout is how long an order may wait for a lease; default 60 s.
	OrderTimeout time.Duration
	// IdleTime is how long a lease is renewed after its last order; default Duration.
	// Leases are held only while orders are sent, since renewing one for each of
	// several thousand upstreams would exceed the store's rate.
	IdleTime time.Duration
	// MaxOrders bounds the waiting orders for one upstream; default 16.
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

// Order is a control command to an upstream.
type Order struct {
	ID             uint64
	Upstream       string
	Verb, Argument string
	// ChecksFencing is true if the upstream refuses orders with a stale fencing number.
	ChecksFencing bool
}

// Send is an order that the caller must send now.
type Send struct {
	Order         Order
	FencingNumber uint64
	// SendBy is the time on the local monotonic clock after which the caller must
	// not start to send the order. It may have passed if the process was paused.
	SendBy time.Duration
}

// Manager takes, renews and gives up the leases of one instance.
type Manager struct {
	cfg    Config
	leases map[string]*leaseState
	calls  map[store.CallID]func(now time.Duration, r store.Result)

	// steppedAt is the time of the last call; a large gap indicates a pause.
	steppedAt time.Duration
	stepped   bool
	// pausedAt is when the last pause was detected.
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

// margin is the time at the end of a lease in which no order is sent to an upstream
// that ignores fencing numbers.
func (m *Manager) margin() time.Duration { return m.cfg.Duration / 2 }

// Submit queues an order. The lease of its upstream is taken if it is not held, and
// renewed until IdleTime after the last order. An order above MaxOrders is not sent.
func (m *Manager) Submit(now time.Duration, o Order) {
	m.detectPause(now)
	l := m.leases[o.Upstream]
	if l == nil {
		l = newLeaseState(o.Upstream, m.cfg)
		m.leases[o.Upstream] = l
	}
	if len(l.orders) >= m.cfg.MaxOrders {
		m.outNotSent = append(m.outNotSent, o.ID)
		return
	}
	l.orders = append(l.orders, waitingOrder{order: o, expiresAt: now + m.cfg.OrderTimeout})
	m.advance(now, l)
}

// Drop stops renewing the lease of an upstream that this instance no longer controls
// and returns the ids of its orders that were not sent. The lease object stays in the
// store, so that fencing numbers keep increasing.
func (m *Manager) Drop(upstream string) []uint64 {
	l := m.leases[upstream]
	if l == nil {
		return nil
	}
	var ids []uint64
	for _, o := range l.orders {
		ids = append(ids, o.order.ID)
	}
	l.orders, l.renewUntil = nil, 0
	return ids
}

// OnStoreResult processes the result of a store call. It returns false if the call is
// not one of this manager's.
func (m *Manager) OnStoreResult(now time.Duration, id store.CallID, r store.Result) bool {
	handle, ok := m.calls[id]
	if !ok {
		return false
	}
	delete(m.calls, id)
	m.detectPause(now)
	handle(now, r)
	return true
}

// OnPause reports that the process was paused. Every lease must be renewed before
// another order is sent under it.
func (m *Manager) OnPause(now time.Duration) {
	m.pausedAt = now
	for _, l := range m.leases {
		l.heldUntil = 0
	}
}

// detectPause detects a pause of the process by the time since the last call.
func (m *Manager) detectPause(now time.Duration) {
	if m.stepped && now-m.steppedAt > m.margin() {
		m.OnPause(now)
	}
	m.steppedAt, m.stepped = now, true
}

// OnFencingRefused reports that an upstream refused a fencing number as stale: another instance
// has taken the lease.
func (m *Manager) OnFencingRefused(upstream string, fencingNumber uint64) {
	if l := m.leases[upstream]; l != nil && l.fencing <= fencingNumber {
		l.heldUntil = 0
		l.known = false
	}
}

// Step expires orders and starts the store calls that are due. A gap of more than the
// margin between calls counts as a pause.
func (m *Manager) Step(now time.Duration) {
	m.detectPause(now)
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		l := m.leases[name]
		m.expireOrders(now, l)
		m.advance(now, l)
		// The state stays while the result of a write is unknown: if the write took
		// effect, its start time bounds the lease.
		if !l.callInProgress && l.writeAttempt == nil && len(l.orders) == 0 && now >= l.renewUntil && now >= l.heldUntil {
			delete(m.leases, name)
		}
	}
}

// expireOrders removes orders that have waited longer than OrderTimeout for a lease.
func (m *Manager) expireOrders(now time.Duration, l *leaseState) {
	l.orders = slices.DeleteFunc(l.orders, func(o waitingOrder) bool {
		if o.expiresAt > now {
			return false
		}
		m.outNotSent = append(m.outNotSent, o.order.ID)
		return true
	})
}

// NextWake returns when Step must be called next; a negative value means never.
func (m *Manager) NextWake(now time.Duration) time.Duration {
	wake := time.Duration(-1)
	for _, l := range m.leases {
		at := l.nextAction(now, m.cfg)
		for _, o := range l.orders {
			at = min(at, max(o.expiresAt, now))
		}
		if at != never && (wake < 0 || at < wake) {
			wake = at
		}
	}
	return wake
}

// TakeOutputs returns and clears the store calls to make, the orders to send and the ids of
// the orders that will not be sent.
func (m *Manager) TakeOutputs() (calls []store.Call, sends []Send, notSent []uint64) {
	calls, sends, notSent = m.outCalls, m.outSends, m.outNotSent
	m.outCalls, m.outSends, m.outNotSent = nil, nil, nil
	return calls, sends, notSent
}
