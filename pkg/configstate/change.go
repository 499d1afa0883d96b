package configstate

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// changeQueue runs changes one at a time, in the order of the calls to Apply.
type changeQueue struct {
	waiting []*pendingChange
	running *pendingChange
	// sequence numbers this incarnation's changes.
	sequence uint64
}

// pendingChange is a change that waits or is being written to the store.
type pendingChange struct {
	change   Change
	deadline time.Duration
	// id is recorded in the head, so that the change is recognised there.
	id uint64
	// inDoubt is true while a head update was sent whose effect is not known.
	inDoubt bool
	// base is the head that the plan is based on and baseVersion its version in
	// the store; version 0 means that there is no head yet.
	base        *pb.ConfigHead
	baseVersion uint64
	// highestRevision is the highest revision for which this change wrote
	// segments.
	highestRevision uint64
	plan            plan
}

// Apply starts a change; its Done follows in a later Output.
func (m *Machine) Apply(now time.Duration, c Change) {
	q := &m.changes
	if len(q.waiting) >= m.cfg.MaxQueuedChanges {
		m.out.Done = append(m.out.Done, Done{ID: c.ID, Code: CodeStoreUnavailable,
			Problems: []string{"too many changes are queued at this instance; try again later"}})
		return
	}
	q.sequence++
	r := &pendingChange{change: c, deadline: now + m.cfg.ChangeTimeout, id: changeID(m.cfg.Incarnation, q.sequence)}
	q.waiting = append(q.waiting, r)
	m.startNext(now)
}

// changeID returns the id of an incarnation's n-th change. Incarnations are
// random, so ids of different instances differ.
func changeID(incarnation, n uint64) uint64 {
	var seed [16]byte
	binary.BigEndian.PutUint64(seed[:8], incarnation)
	binary.BigEndian.PutUint64(seed[8:], n)
	return xxhash.Sum64(seed[:])
}

func (m *Machine) startNext(now time.Duration) {
	q := &m.changes
	if q.running != nil || len(q.waiting) == 0 {
		return
	}
	q.running = q.waiting[0]
	q.waiting = q.waiting[1:]
	m.retry.Reset()
	m.readBase(now, q.running)
}

// finish reports the result of the running change and starts the next one.
func (m *Machine) finish(now time.Duration, d Done) {
	d.ID = m.changes.running.change.ID
	m.changes.running = nil
	m.out.Done = append(m.out.Done, d)
	m.startNext(now)
}

// retryStep repeats a step after a backoff delay, or gives up at the deadline.
func (m *Machine) retryStep(now time.Duration, r *pendingChange, step func(now time.Duration, r *pendingChange)) {
	if now >= r.deadline {
		m.giveUp(now, r)
		return
	}
	m.after(min(now+m.retry.Next(), r.deadline), func(now time.Duration) { step(now, r) })
}

// giveUp finishes a change whose deadline passed or whose outcome cannot be
// determined.
func (m *Machine) giveUp(now time.Duration, r *pendingChange) {
	if r.inDoubt {
		m.finish(now, Done{Code: CodeOutcomeUnknown, Problems: []string{
			"the store did not confirm the change in time and it may still take effect; read the objects before you repeat it"}})
		return
	}
	m.finish(now, Done{Code: CodeStoreUnavailable, Problems: []string{
		"the store did not answer in time and the change is not in effect; repeat it later"}})
}

// readBase reads the head that the change is based on, or that shows whether an
// update in doubt took effect.
func (m *Machine) readBase(now time.Duration, r *pendingChange) {
	op := store.Op{Kind: store.Get, Key: headKey}
	m.call(op, store.PriorityConfigWrite, store.ReasonConfigChange, func(now time.Duration, res store.Result) {
		head := &pb.ConfigHead{SegmentRevisions: make([]uint64, SegmentCount)}
		version := uint64(0)
		switch res.Status {
		case store.OK:
			var ok bool
			if head, ok = m.parseHead(res.Value); !ok {
				m.retryStep(now, r, m.readBase)
				return
			}
			version = res.Version
		case store.NotFound:
		default:
			m.retryStep(now, r, m.readBase)
			return
		}
		m.onBase(now, r, head, version)
	})
}

// onBase continues with the head that was read.
func (m *Machine) onBase(now time.Duration, r *pendingChange, head *pb.ConfigHead, version uint64) {
	if revision, found := acceptedRevision(head, r.id); found {
		m.accepted(now, r, revision)
		m.load(head, store.PriorityConfigRead, store.ReasonConfigCatchUp, func(time.Duration, bool) {})
		return
	}
	if head.Revision < m.current.Revision {
		// The store returned a stale head; an update based on it would conflict.
		m.retryStep(now, r, m.readBase)
		return
	}
	if r.inDoubt && !m.resolveDoubt(now, r, head) {
		return
	}
	m.loadThen(now, r, head, func(now time.Duration) {
		r.base, r.baseVersion = head, version
		m.planChange(now, r)
	})
}

// resolveDoubt handles a head update whose answer was lost and whose change id
// is not in the head. It returns true if the update is known to have no effect,
// now or later.
func (m *Machine) resolveDoubt(now time.Duration, r *pendingChange, head *pb.ConfigHead) bool {
	if head.Revision <= r.base.Revision {
		// The lost update may still arrive. Sending the same one again is safe:
		// both have the same condition and content, so at most one takes effect.
		m.retryStep(now, r, m.writeHead)
		return false
	}
	if len(head.RecentChanges) >= RecentChanges && head.RecentChanges[0].Revision > r.plan.head.Revision {
		// The update may have taken effect and its id been dropped from the list of
		// recent changes since.
		m.giveUp(now, r)
		return false
	}
	r.inDoubt = false
	return true
}

// accepted brings the change into force and reports it as accepted.
func (m *Machine) accepted(now time.Duration, r *pendingChange, revision uint64) {
	if revision == r.plan.head.GetRevision() {
		m.install(r.plan.head, r.plan.segments)
	}
	m.finish(now, Done{Accepted: true, Revision: revision})
	m.startCleanup(now)
}

// acceptedRevision returns the revision in which a head records a change.
func acceptedRevision(head *pb.ConfigHead, id uint64) (revision uint64, found bool) {
	for _, c := range head.GetRecentChanges() {
		if c.GetChangeId() == id {
			return c.GetRevision(), true
		}
	}
	return 0, false
}

// loadThen loads a head's segments and then calls next; if that fails, it retries
// from readBase.
func (m *Machine) loadThen(now time.Duration, r *pendingChange, head *pb.ConfigHead, next func(now time.Duration)) {
	m.load(head, store.PriorityConfigWrite, store.ReasonConfigChange, func(later time.Duration, ok bool) {
		later = max(now, later)
		if !ok {
			m.retryStep(later, r, m.readBase)
			return
		}
		next(later)
	})
}

// planChange checks the change against the set in force, which is the base,
// and writes its segments.
func (m *Machine) planChange(now time.Duration, r *pendingChange) {
	if m.current.Revision != r.base.Revision {
		// A newer set came into force while the base was loaded.
		m.retryStep(now, r, m.readBase)
		return
	}
	if r.change.Conditional {
		if conflicts := versionConflicts(m.current, r.change); len(conflicts) > 0 {
			m.finish(now, Done{Code: CodeConflict, Problems: conflicts})
			return
		}
	}
	revision := max(r.base.Revision, r.highestRevision) + 1
	p, problems := m.buildPlan(r, revision)
	switch {
	case len(problems) > 0:
		m.finish(now, Done{Code: CodeInvalid, Problems: problems})
	case r.change.DryRun || len(p.written) == 0:
		// Nothing to write: a dry run, or a change without effect on the set.
		m.finish(now, Done{Accepted: true, Revision: m.current.Revision})
	default:
		r.plan = p
		r.highestRevision = revision
		m.writeSegments(now, r)
	}
}

func (m *Machine) writeSegments(now time.Duration, r *pendingChange) {
	r.plan.pending = len(r.plan.written)
	for _, i := range r.plan.written {
		m.writeSegment(now, r, i)
	}
}

// writeSegment creates one segment. If the key already exists, its value is
// either this segment, written by an attempt whose answer was lost, or that of
// another writer whose head update never took effect.
func (m *Machine) writeSegment(now time.Duration, r *pendingChange, i int) {
	segment := r.plan.segments[i]
	op := store.Op{Kind: store.Create, Key: segmentKey(i, segment.Revision), Value: marshal(segment)}
	m.call(op, store.PriorityConfigWrite, store.ReasonConfigChange, func(now time.Duration, res store.Result) {
		switch res.Status {
		case store.OK:
			m.segmentDone(now, r, nil)
		case store.Conflict:
			m.compareSegment(now, r, i, op.Value)
		default:
			m.retrySegmentStep(now, r, func(now time.Duration) { m.writeSegment(now, r, i) })
		}
	})
}

// compareSegment checks whether the existing segment is the one to be written.
func (m *Machine) compareSegment(now time.Duration, r *pendingChange, i int, want []byte) {
	op := store.Op{Kind: store.Get, Key: segmentKey(i, r.plan.segments[i].Revision)}
	m.call(op, store.PriorityConfigWrite, store.ReasonConfigChange, func(now time.Duration, res store.Result) {
		switch {
		case res.Status == store.OK && bytes.Equal(res.Value, want):
			m.segmentDone(now, r, nil)
		case res.Status == store.OK:
			m.segmentDone(now, r, &r.plan.taken)
		default:
			m.retrySegmentStep(now, r, func(now time.Duration) { m.compareSegment(now, r, i, want) })
		}
	})
}

// retrySegmentStep repeats a step of writing a segment after a backoff delay, or
// marks the plan as failed at the deadline.
func (m *Machine) retrySegmentStep(now time.Duration, r *pendingChange, step func(now time.Duration)) {
	if now >= r.deadline {
		m.segmentDone(now, r, &r.plan.failed)
		return
	}
	m.after(min(now+m.retry.Next(), r.deadline), step)
}

// segmentDone counts a segment as done, after setting flag if it is given. After
// the last segment it writes the head, retries or gives up.
func (m *Machine) segmentDone(now time.Duration, r *pendingChange, flag *bool) {
	if flag != nil {
		*flag = true
	}
	r.plan.pending--
	if r.plan.pending > 0 {
		return
	}
	switch {
	case r.plan.failed:
		m.giveUp(now, r)
	case r.plan.taken:
		// Segments are immutable, so the change needs a revision that no other
		// writer used.
		m.retryStep(now, r, m.readBase)
	default:
		m.writeHead(now, r)
	}
}

// writeHead makes the change the newest revision, on condition that the head is
// still the base.
func (m *Machine) writeHead(now time.Duration, r *pendingChange) {
	op := store.Op{Kind: store.Update, Key: headKey, Value: marshal(r.plan.head), Version: r.baseVersion}
	if r.baseVersion == 0 {
		op.Kind = store.Create
	}
	m.call(op, store.PriorityConfigWrite, store.ReasonConfigChange, func(now time.Duration, res store.Result) {
		switch res.Status {
		case store.OK:
			m.accepted(now, r, r.plan.head.Revision)
		case store.Conflict, store.NotFound:
			m.retryStep(now, r, m.readBase)
		case store.Unknown:
			r.inDoubt = true
			m.retryStep(now, r, m.readBase)
		default:
			m.retryStep(now, r, m.writeHead)
		}
	})
}
