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

// waitingOrder is an order that waits for a lease until expiresAt.
type waitingOrder struct {
	order     Order
	expiresAt time.Duration
}

// leaseState is this instance's view of one lease and the orders that wait for it.
type leaseState struct {
	upstream string
	orders   []waitingOrder
	// renewUntil is when this instance stops renewing the lease.
	renewUntil time.Duration
	// callInProgress is true while a store call is in progress.
	callInProgress bool

	// known is true if lease and version are the result of the last read or write; if
	// it is false, the lease must be read.
	known   bool
	lease   *pb.Lease
	version uint64
	// unchangedSince is when this instance first read the current version.
	unchangedSince time.Duration

	// fencing and heldUntil are valid while this instance holds the lease.
	fencing   uint64
	heldUntil time.Duration

	// writeAttempt is the write whose result is unknown, if any.
	writeAttempt *writeAttempt

	retryAt time.Duration
	backoff *store.Backoff
}

// writeAttempt is a conditional write of the lease.
type writeAttempt struct {
	lease       *pb.Lease
	baseVersion uint64
	// startedAt is a time before the first request with this content was sent.
	startedAt time.Duration
}

func newLeaseState(upstream string, cfg Config) *leaseState {
	return &leaseState{
		upstream: upstream,
		backoff:  store.NewBackoff(100*time.Millisecond, cfg.Duration/4, cfg.Seed^xxhash.Sum64String(upstream)),
	}
}

// advance sends the orders that may be sent and starts the next store call if it is
// due.
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

// sendOrders emits the waiting orders that may be sent under the lease.
func (m *Manager) sendOrders(now time.Duration, l *leaseState) {
	var remaining []waitingOrder
	for _, o := range l.orders {
		sendBy := l.heldUntil
		if !o.order.ChecksFencing {
			sendBy -= m.margin()
		}
		if l.heldUntil == 0 || now >= sendBy {
			remaining = append(remaining, o)
			continue
		}
		l.renewUntil = now + m.cfg.IdleTime
		m.outSends = append(m.outSends, Send{Order: o.order, FencingNumber: l.fencing, SendBy: sendBy})
	}
	l.orders = remaining
}

// never is a time that is never reached.
const never = time.Duration(math.MaxInt64)

// nextAction returns when the next store call is due, or now if it is overdue.
func (l *leaseState) nextAction(now time.Duration, cfg Config) time.Duration {
	if l.callInProgress {
		return never
	}
	at := max(now, l.retryAt, l.dueAt(cfg))
	if len(l.orders) == 0 && at >= l.renewUntil {
		return never
	}
	return at
}

// dueAt returns when the state of the lease requires a read or a write.
func (l *leaseState) dueAt(cfg Config) time.Duration {
	switch {
	case !l.known, l.lease == nil:
		return 0
	case l.lease.GetHolder() != cfg.Incarnation:
		// The holder's lease may have started as late as this instance's first read
		// of the current version.
		duration := time.Duration(l.lease.GetDurationMs()) * time.Millisecond
		return l.unchangedSince + max(duration, cfg.Duration)
	case l.heldUntil == 0:
		return 0
	}
	// Renew after a quarter of the lease, so that a failed renewal can be repeated
	// before the margin begins.
	return l.heldUntil - cfg.Duration*3/4
}

func (m *Manager) call(l *leaseState, op store.Op, handle func(now time.Duration, r store.Result)) {
	l.callInProgress = true
	id := m.cfg.IDs.Next()
	m.calls[id] = func(now time.Duration, r store.Result) {
		l.callInProgress = false
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

// onRead records the lease that was read. After a write with an unknown result, it
// determines whether the write took effect.
func (m *Manager) onRead(now time.Duration, l *leaseState, lease *pb.Lease, version uint64) {
	if version < l.version {
		// The store returned an old version.
		l.retryAt = now + l.backoff.Next()
		return
	}
	if version > l.version || !l.wasRead() {
		l.unchangedSince = now
	}
	l.known, l.lease, l.version = true, lease, version
	if a := l.writeAttempt; a != nil && version > a.baseVersion {
		l.writeAttempt = nil
		if proto.Equal(lease, a.lease) {
			m.confirmWrite(l, a)
			return
		}
	}
	if lease.GetHolder() != m.cfg.Incarnation {
		l.heldUntil = 0
	}
}

// wasRead reports whether the lease was read before, so that unchangedSince holds.
func (l *leaseState) wasRead() bool { return l.version != 0 }

// confirmWrite records that a write took effect: the lease is held, counted from
// before the write was first sent. A write that started before a pause gives no
// right to send.
func (m *Manager) confirmWrite(l *leaseState, a *writeAttempt) {
	l.backoff.Reset()
	l.retryAt = 0
	if a.startedAt < m.pausedAt {
		return
	}
	l.fencing = a.lease.FencingNumber
	l.heldUntil = a.startedAt + m.cfg.Duration
}

// write takes or renews the lease on the condition that it did not change. After an
// unknown result the same write is sent again, so that the lease counts from the
// first start, whichever of the requests takes effect.
func (m *Manager) write(now time.Duration, l *leaseState) {
	a := l.writeAttempt
	if a == nil || a.baseVersion != l.version {
		a = &writeAttempt{lease: m.nextLease(l), baseVersion: l.version, startedAt: now}
	}
	data, err := proto.Marshal(a.lease)
	if err != nil {
		l.retryAt = now + l.backoff.Next()
		return
	}
	op := store.Op{Kind: store.Update, Key: leaseKey(l.upstream), Value: data, Version: a.baseVersion}
	if a.baseVersion == 0 {
		op.Kind = store.Create
	}
	m.call(l, op, func(now time.Duration, r store.Result) {
		switch r.Status {
		case store.OK:
			l.writeAttempt = nil
			l.known, l.lease, l.version = true, a.lease, r.Version
			l.unchangedSince = now
			m.confirmWrite(l, a)
		case store.Unknown:
			l.writeAttempt = a
			l.known = false
			l.retryAt = now + l.backoff.Next()
		default:
			// If an earlier result of the same write was unknown, a conflict may be
			// the effect of that write; the next read determines this.
			l.known = false
			l.retryAt = now + l.backoff.Next()
		}
	})
}

// nextLease returns the content of the next write: a renewal if this instance is the
// holder, or else a takeover with the next fencing number.
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
