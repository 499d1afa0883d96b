package configstate

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// changeQueue runs changes one at a time, in the order of Apply.
type changeQueue struct {
	waiting []*runningChange
	running *runningChange
	// sequence numbers this incarnation's changes.
	sequence uint64
}

// runningChange is one change on its way into the store.
type runningChange struct {
	change   Change
	deadline time.Duration
	// id is recorded in the head, so that the change is recognised there.
	id uint64
	// inDoubt is true while a head update was sent whose effect is not known.
	inDoubt bool
	// base and baseVersion are the head that the plan builds on; version 0
	// means that there is none.
	base        *pb.ConfigHead
	baseVersion uint64
	// highest is the highest revision for which a segment was written.
	highest uint64
	plan    plan
}

// Apply starts a change; its Done follows in a later Output.
func (m *Machine) Apply(now time.Duration, c Change) {
	q := &m.changes
	if len(q.waiting) >= m.cfg.MaxQueuedChanges {
		m.out.Done = append(m.out.Done, Done{ID: c.ID, Code: CodeStoreUnavailable,
			Problems: []string{"too many changes wait at this instance; try again later"}})
		return
	}
	q.sequence++
	r := &runningChange{change: c, deadline: now + m.cfg.ChangeTimeout, id: changeID(m.cfg.Incarnation, q.sequence)}
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

// finish answers the running change and starts the next one.
func (m *Machine) finish(now time.Duration, d Done) {
	d.ID = m.changes.running.change.ID
	m.changes.running = nil
	m.out.Done = append(m.out.Done, d)
	m.startNext(now)
}

// again repeats a step after a pause, or gives up at the deadline.
func (m *Machine) again(now time.Duration, r *runningChange, step func(now time.Duration, r *runningChange)) {
	if now >= r.deadline {
		m.giveUp(now, r)
		return
	}
	m.after(min(now+m.retry.Next(), r.deadline), func(now time.Duration) { step(now, r) })
}

func (m *Machine) giveUp(now time.Duration, r *runningChange) {
	if r.inDoubt {
		m.finish(now, Done{Code: CodeOutcomeUnknown, Problems: []string{
			"the store did not confirm the change in time and it may still take effect; read the objects before you repeat it"}})
		return
	}
	m.finish(now, Done{Code: CodeStoreUnavailable, Problems: []string{
		"the store did not answer in time and the change is not in effect; repeat it later"}})
}

// readBase reads the head that the change builds on, or that shows whether an
// update in doubt took effect.
func (m *Machine) readBase(now time.Duration, r *runningChange) {
	op := store.Op{Kind: store.Get, Key: headKey}
	m.call(op, store.PriorityConfigWrite, store.ReasonConfigChange, func(now time.Duration, res store.Result) {
		head := &pb.ConfigHead{SegmentRevisions: make([]uint64, SegmentCount)}
		version := uint64(0)
		switch res.Status {
		case store.OK:
			var ok bool
			if head, ok = m.parseHead(res.Value); !ok {
				m.again(now, r, m.readBase)
				return
			}
			version = res.Version
		case store.NotFound:
		default:
			m.again(now, r, m.readBase)
			return
		}
		m.onBase(now, r, head, version)
	})
}

func (m *Machine) onBase(now time.Duration, r *runningChange, head *pb.ConfigHead, version uint64) {
	if revision, found := acceptedAs(head, r.id); found {
		m.accepted(now, r, revision)
		m.load(head, store.PriorityConfigRead, store.ReasonConfigCatchUp, func(time.Duration, bool) {})
		return
	}
	if head.Revision < m.current.Revision {
		// The store answered with an old state; building on it would conflict.
		m.again(now, r, m.readBase)
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

// resolveDoubt decides about a head update whose answer was lost and whose
// change id the head does not show. It returns true if the update is known to
// have no effect, now or later.
func (m *Machine) resolveDoubt(now time.Duration, r *runningChange, head *pb.ConfigHead) bool {
	if head.Revision <= r.base.Revision {
		// The lost update may still arrive. Sending the same one again is safe:
		// both have the same condition and content, so at most one takes effect.
		m.again(now, r, m.writeHead)
		return false
	}
	if len(head.RecentChanges) >= RecentChanges && head.RecentChanges[0].Revision > r.plan.head.Revision {
		// The list is too short to tell.
		m.giveUp(now, r)
		return false
	}
	r.inDoubt = false
	return true
}

// accepted brings the change into force and answers it.
func (m *Machine) accepted(now time.Duration, r *runningChange, revision uint64) {
	if revision == r.plan.head.GetRevision() {
		m.install(r.plan.head, r.plan.segments)
	}
	m.finish(now, Done{Accepted: true, Revision: revision})
	m.startCleanup(now)
}

func acceptedAs(head *pb.ConfigHead, id uint64) (revision uint64, found bool) {
	for _, c := range head.GetRecentChanges() {
		if c.GetChangeId() == id {
			return c.GetRevision(), true
		}
	}
	return 0, false
}

// loadThen catches up with a head and then continues.
func (m *Machine) loadThen(now time.Duration, r *runningChange, head *pb.ConfigHead, next func(now time.Duration)) {
	m.load(head, store.PriorityConfigWrite, store.ReasonConfigChange, func(later time.Duration, ok bool) {
		later = max(now, later)
		if !ok {
			m.again(later, r, m.readBase)
			return
		}
		next(later)
	})
}

// planChange checks the change against the set in force, which is the base,
// and writes its segments.
func (m *Machine) planChange(now time.Duration, r *runningChange) {
	if m.current.Revision != r.base.Revision {
		// A newer set came into force while the base was loaded.
		m.again(now, r, m.readBase)
		return
	}
	if r.change.Conditional {
		if conflicts := versionConflicts(m.current, r.change); len(conflicts) > 0 {
			m.finish(now, Done{Code: CodeConflict, Problems: conflicts})
			return
		}
	}
	revision := max(r.base.Revision, r.highest) + 1
	p, problems := m.buildPlan(r, revision)
	switch {
	case len(problems) > 0:
		m.finish(now, Done{Code: CodeInvalid, Problems: problems})
	case r.change.DryRun || len(p.written) == 0:
		// Nothing to write; the present set already says what the change says.
		m.finish(now, Done{Accepted: true, Revision: m.current.Revision})
	default:
		r.plan = p
		r.highest = revision
		m.writeSegments(now, r)
	}
}

func (m *Machine) writeSegments(now time.Duration, r *runningChange) {
	r.plan.pending = len(r.plan.written)
	for _, i := range r.plan.written {
		m.writeSegment(now, r, i)
	}
}

// writeSegment creates one segment. A segment with this key that is already
// there is either this one, after a lost answer, or another writer's that never
// became the head's.
func (m *Machine) writeSegment(now time.Duration, r *runningChange, i int) {
	segment := r.plan.segments[i]
	op := store.Op{Kind: store.Create, Key: segmentKey(i, segment.Revision), Value: marshal(segment)}
	m.call(op, store.PriorityConfigWrite, store.ReasonConfigChange, func(now time.Duration, res store.Result) {
		switch res.Status {
		case store.OK:
			m.segmentDone(now, r, nil)
		case store.Conflict:
			m.compareSegment(now, r, i, op.Value)
		default:
			m.retrySegment(now, r, func(now time.Duration) { m.writeSegment(now, r, i) })
		}
	})
}

func (m *Machine) compareSegment(now time.Duration, r *runningChange, i int, want []byte) {
	op := store.Op{Kind: store.Get, Key: segmentKey(i, r.plan.segments[i].Revision)}
	m.call(op, store.PriorityConfigWrite, store.ReasonConfigChange, func(now time.Duration, res store.Result) {
		switch {
		case res.Status == store.OK && bytes.Equal(res.Value, want):
			m.segmentDone(now, r, nil)
		case res.Status == store.OK:
			m.segmentDone(now, r, &r.plan.taken)
		default:
			m.retrySegment(now, r, func(now time.Duration) { m.compareSegment(now, r, i, want) })
		}
	})
}

func (m *Machine) retrySegment(now time.Duration, r *runningChange, step func(now time.Duration)) {
	if now >= r.deadline {
		m.segmentDone(now, r, &r.plan.failed)
		return
	}
	m.after(min(now+m.retry.Next(), r.deadline), step)
}

// segmentDone counts a segment as done; mark, if given, is set to true.
func (m *Machine) segmentDone(now time.Duration, r *runningChange, mark *bool) {
	if mark != nil {
		*mark = true
	}
	r.plan.pending--
	if r.plan.pending > 0 {
		return
	}
	switch {
	case r.plan.failed:
		m.giveUp(now, r)
	case r.plan.taken:
		// Segments are immutable, so the change needs a revision of its own.
		m.again(now, r, m.readBase)
	default:
		m.writeHead(now, r)
	}
}

// writeHead makes the change the newest revision if the head is still the base.
func (m *Machine) writeHead(now time.Duration, r *runningChange) {
	op := store.Op{Kind: store.Update, Key: headKey, Value: marshal(r.plan.head), Version: r.baseVersion}
	if r.baseVersion == 0 {
		op.Kind = store.Create
	}
	m.call(op, store.PriorityConfigWrite, store.ReasonConfigChange, func(now time.Duration, res store.Result) {
		switch res.Status {
		case store.OK:
			m.accepted(now, r, r.plan.head.Revision)
		case store.Conflict, store.NotFound:
			m.again(now, r, m.readBase)
		case store.Unknown:
			r.inDoubt = true
			m.again(now, r, m.readBase)
		default:
			m.again(now, r, m.writeHead)
		}
	})
}
