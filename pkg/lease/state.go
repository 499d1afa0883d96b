package lease

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

func leaseKey(upstream string) string { return "lease/upstream/" + upstream }

type waitingOrder struct {
	order    Order
	giveUpAt time.Duration
}

// leaseState is what this instance knows of one lease.
type leaseState struct {
	upstream string
	orders   []waitingOrder
	// wantedUntil is when this instance stops renewing.
	wantedUntil time.Duration
	// busy is true while a store call is in progress.
	busy bool

	// known is true if lease and version are the newest that were read or written.
	known   bool
	lease   *pb.Lease
	version uint64
	// unchangedSince is when this instance first read the present version.
	unchangedSince time.Duration

	// fencing and heldUntil are valid while this instance holds the lease.
	fencing   uint64
	heldUntil time.Duration

	// attempt is the write whose answer was lost, if any.
	attempt *attempt

	retryAt time.Duration
	backoff *store.Backoff
}

// attempt is a conditional write of the lease.
type attempt struct {
	lease *pb.Lease
	base  uint64
	// startedAt is before the first request with this content was sent.
	startedAt time.Duration
}

func newLeaseState(upstream string, cfg Config) *leaseState {
	return &leaseState{
		upstream: upstream,
		backoff:  store.NewBackoff(100*time.Millisecond, cfg.Duration/4, cfg.Seed^xxhash.Sum64String(upstream)),
	}
}

// advance sends the orders that may be sent and starts the next store call.
func (m *Manager) advance(now time.Duration, l *leaseState) {
	m.sendOrders(now, l)
	if now < l.nextAction(now, m.cfg) {
		return
	}
	if !l.known {
		m.read(l)
		return
	}
	m.write(now, l)
}

// sendOrders hands out waiting orders as far as the lease allows.
func (m *Manager) sendOrders(now time.Duration, l *leaseState) {
	var rest []waitingOrder
	for _, o := range l.orders {
		sendBy := l.heldUntil
		if !o.order.ChecksFencing {
			sendBy -= m.margin()
		}
		if l.heldUntil == 0 || now >= sendBy {
			rest = append(rest, o)
			continue
		}
		l.wantedUntil = now + m.cfg.IdleTime
		m.outSends = append(m.outSends, Send{Order: o.order, FencingNumber: l.fencing, SendBy: sendBy})
	}
	l.orders = rest
}

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// nextAction returns when the next store call is due, at now at the earliest.
func (l *leaseState) nextAction(now time.Duration, cfg Config) time.Duration {
	if l.busy {
		return never
	}
	at := max(now, l.retryAt, l.dueAt(cfg))
	if len(l.orders) == 0 && at >= l.wantedUntil {
		return never
	}
	return at
}

// dueAt returns when the state of the lease calls for a read or a write.
func (l *leaseState) dueAt(cfg Config) time.Duration {
	switch {
	case !l.known, l.lease == nil:
		return 0
	case l.lease.GetHolder() != cfg.Incarnation:
		// The holder's clock may have started as late as this instance's first
		// read of the unchanged lease.
		duration := time.Duration(l.lease.GetDurationMs()) * time.Millisecond
		return l.unchangedSince + max(duration, cfg.Duration)
	case l.heldUntil == 0:
		return 0
	}
	// A quarter of the lease is used up, so that a renewal can be repeated
	// before the margin begins.
	return l.heldUntil - cfg.Duration*3/4
}

func (m *Manager) call(l *leaseState, op store.Op, handle func(now time.Duration, r store.Result)) {
	l.busy = true
	id := m.cfg.IDs.Next()
	m.calls[id] = func(now time.Duration, r store.Result) {
		l.busy = false
		handle(now, r)
		m.advance(now, l)
	}
	m.outCalls = append(m.outCalls, store.Call{ID: id, Op: op, Priority: store.PriorityLease, Reason: store.ReasonLease})
}

func (m *Manager) read(l *leaseState) {
	m.call(l, store.Op{Kind: store.Get, Key: leaseKey(l.upstream)}, func(now time.Duration, r store.Result) {
		lease := &pb.Lease{}
		switch {
		case r.Status == store.OK && proto.Unmarshal(r.Value, lease) == nil:
			m.onRead(now, l, lease, r.Version)
		case r.Status == store.NotFound:
			m.onRead(now, l, nil, 0)
		default:
			l.retryAt = now + l.backoff.Next()
		}
	})
}

// onRead takes the state read. After a lost answer it shows whether the write
// is in effect.
func (m *Manager) onRead(now time.Duration, l *leaseState, lease *pb.Lease, version uint64) {
	if version < l.version {
		// The store answered with an old state.
		l.retryAt = now + l.backoff.Next()
		return
	}
	if version > l.version || !l.seen() {
		l.unchangedSince = now
	}
	l.known, l.lease, l.version = true, lease, version
	if a := l.attempt; a != nil && version > a.base {
		l.attempt = nil
		if proto.Equal(lease, a.lease) {
			m.hold(l, a)
			return
		}
	}
	if lease.GetHolder() != m.cfg.Incarnation {
		l.heldUntil = 0
	}
}

// seen reports whether the lease was read before, so that unchangedSince holds.
func (l *leaseState) seen() bool { return l.version != 0 }

// hold takes the effect of a write: the lease counts from before it was sent.
// An attempt from before a pause does not count.
func (m *Manager) hold(l *leaseState, a *attempt) {
	l.backoff.Reset()
	l.retryAt = 0
	if a.startedAt < m.pausedAt {
		return
	}
	l.fencing = a.lease.FencingNumber
	l.heldUntil = a.startedAt + m.cfg.Duration
}

// write takes or renews the lease on the condition that it did not change. The
// same write is sent again after a lost answer, so that the attempt's first
// start stays the beginning of the lease, whichever of them takes effect.
func (m *Manager) write(now time.Duration, l *leaseState) {
	a := l.attempt
	if a == nil || a.base != l.version {
		a = &attempt{lease: m.nextLease(l), base: l.version, startedAt: now}
	}
	data, err := proto.Marshal(a.lease)
	if err != nil {
		return
	}
	op := store.Op{Kind: store.Update, Key: leaseKey(l.upstream), Value: data, Version: a.base}
	if a.base == 0 {
		op.Kind = store.Create
	}
	m.call(l, op, func(now time.Duration, r store.Result) {
		switch r.Status {
		case store.OK:
			l.attempt = nil
			l.known, l.lease, l.version = true, a.lease, r.Version
			l.unchangedSince = now
			m.hold(l, a)
		case store.Unknown:
			l.attempt = a
			l.known = false
			l.retryAt = now + l.backoff.Next()
		default:
			// After an earlier lost answer of the same write, a conflict may be
			// its own effect; the read tells.
			l.known = false
			l.retryAt = now + l.backoff.Next()
		}
	})
}

// nextLease returns the content of the next write: a renewal by the holder, or
// a take-over with the next fencing number.
func (m *Manager) nextLease(l *leaseState) *pb.Lease {
	next := &pb.Lease{
		Holder:        m.cfg.Incarnation,
		FencingNumber: l.lease.GetFencingNumber(),
		DurationMs:    uint32(m.cfg.Duration / time.Millisecond),
		Renewal:       l.lease.GetRenewal() + 1,
	}
	if l.lease.GetHolder() != m.cfg.Incarnation {
		next.FencingNumber++
		next.Renewal = 0
	}
	return next
}
