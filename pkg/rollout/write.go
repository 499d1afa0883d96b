package rollout

import "time"

const (
	// retryFirst is the time from a failed write to its repetition; it doubles up to retryMax.
	retryFirst = 100 * time.Millisecond
	retryMax   = time.Second
	// foreignWait is how long an order pauses after the record of another order was found in its
	// place. A reading of the store shows meanwhile which of the two is in force.
	foreignWait = 2 * time.Second
	// badStep is by how much the number of bad answers grows before it is written by itself.
	badStep = 5
)

// storeState is what is known of the record in the store.
type storeState struct {
	// rec holds what an operator or an earlier owner set: Hold and Bad.
	rec Record
	// stored is the record that the store is known to hold.
	stored Record
	// writing is set while a write is in progress, sent is that write.
	writing   bool
	sent      Record
	sentAt    time.Duration
	writeTime time.Duration
	// reservedAt is when the reservation was last raised.
	reservedAt time.Duration
	// failures counts the failed writes since the last answer of the store; no write is sent
	// before retryAt.
	failures int
	retryAt  time.Duration
}

// record returns the record that the store should hold.
func (r *Rollout) record() Record {
	phase := r.phase
	if r.next != 0 && !r.rec.Hold {
		phase = r.next
	}
	rec := Record{
		Order: r.order.ID, Phase: phase, Hold: r.rec.Hold, Revision: r.stored.Revision,
		Bad: r.rec.Bad + uint64(r.evidence.excess()), Elapsed: r.elapsed(r.now),
		Reserved: max(r.stored.Reserved, r.spent), Served: r.stored.Served,
	}
	if r.stored.Order == r.order.ID {
		rec.Bad = max(rec.Bad, r.stored.Bad)
	}
	if want := r.reservable(); want > rec.Reserved {
		rec.Reserved, rec.Served = want, r.arrived
	}
	return rec
}

// nextWrite returns the write that is due.
func (r *Rollout) nextWrite() *Record {
	if r.writing || r.now < r.retryAt {
		return nil
	}
	rec := r.record()
	reserves := r.reservable() > r.stored.Reserved && (r.reservedAt == 0 || r.now-r.reservedAt >= reserveEvery)
	due := r.stored.Order != r.order.ID || rec.Phase != r.stored.Phase || rec.Hold != r.stored.Hold
	if !due && !reserves && rec.Bad < r.stored.Bad+badStep {
		return nil
	}
	if r.failures > 0 && r.sent.Order == r.order.ID && rec.Phase == r.sent.Phase && rec.Hold == r.sent.Hold {
		// The failed write may be in effect. It is repeated as it was, so that nothing more is
		// reserved before the store has answered.
		rec = r.sent
	}
	if rec.Reserved > r.stored.Reserved {
		r.reservedAt = r.now
	}
	r.writing, r.sent, r.sentAt = true, rec, r.now
	return &rec
}

// Stored reports the result of a write.
func (r *Rollout) Stored(now time.Duration, w WriteResult) {
	r.now = now
	r.writing = false
	switch w.Outcome {
	case Failed:
		r.retryAt = now + min(retryFirst<<min(r.failures, 10), retryMax)
		r.failures++
		return
	case Acknowledged:
		r.failures = 0
		r.writeTime = now - r.sentAt
		r.stored = r.sent
		r.stored.Revision = w.Record.Revision
	case Conflict:
		r.failures = 0
		if w.Record.Order != r.order.ID && w.Record.Order != 0 && r.stored.Order == r.order.ID {
			r.stored = Record{Revision: w.Record.Revision}
			r.spent = max(r.spent, r.sent.Reserved)
			r.retryAt = now + foreignWait
			return
		}
		r.adopt(w.Record)
	}
	r.enter(r.stored.Phase)
}

// adopt takes over the record of another owner. What it reserved counts as spent there.
func (r *Rollout) adopt(found Record) {
	if found.Order != r.order.ID {
		r.stored = Record{Revision: found.Revision}
		return
	}
	before := r.stored.Reserved
	if r.stored.Order != r.order.ID {
		before = 0
	}
	if found.Reserved > before {
		r.spent += found.Reserved - before
	}
	r.arrived = max(r.arrived, found.Served)
	if r.rec.Hold == r.stored.Hold {
		r.rec.Hold = found.Hold
	}
	// The record may be this owner's own, of a write whose response was lost.
	if own := uint64(r.evidence.excess()); found.Bad > own {
		r.rec.Bad = max(r.rec.Bad, found.Bad-own)
	}
	r.start = min(r.start, r.now-found.Elapsed)
	r.stored = found
}

// enter puts a phase into force that the store holds. A final phase there is final; a revert that
// is not written yet stands against any other.
func (r *Rollout) enter(p Phase) {
	switch {
	case p == Completed, p == Reverted && r.phase != Completed:
		if p != r.phase {
			r.setPhase(p, "%s", r.reasonFor(p))
		}
		r.next = 0
	case r.phase.Final():
	case p == Shifting && r.phase != Shifting:
		r.setPhase(p, "%s", r.reasonFor(p))
		if r.next == Shifting {
			r.next = 0
		}
	case p == Judging && r.phase == Waiting && r.up.Target > 0:
		r.setPhase(p, "another owner judges the version")
	}
}

func (r *Rollout) reasonFor(p Phase) string {
	if r.next == p {
		return r.nextReason
	}
	return "the store holds it of another owner"
}
