package binding

import (
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// HomeConfig holds the constants of a Home.
type HomeConfig struct {
	Incarnation uint64
	// MACKey authenticates tickets; at least 32 random bytes that no other
	// incarnation has.
	MACKey []byte
	// TicketTTL is how long a ticket may be used for a new key.
	TicketTTL time.Duration
	// RecordTTL is how long a record is kept after its ticket expired.
	RecordTTL time.Duration
	// MaxRecords bounds the records kept; further new keys are refused.
	MaxRecords int
	// MaxRecordsPerOrganisation bounds one organisation's records; 0 means half of MaxRecords.
	MaxRecordsPerOrganisation int
	// MaxOutcomeBytes bounds the bytes of recorded answers; 0 means 8 MiB.
	MaxOutcomeBytes int
}

// Home runs the keys under this incarnation's tickets.
type Home struct {
	cfg     HomeConfig
	issued  uint64
	records records
}

// NewHome returns a Home without records.
func NewHome(cfg HomeConfig) *Home {
	return &Home{cfg: cfg, records: newRecords(cfg.MaxRecords, cfg.MaxRecordsPerOrganisation, cfg.MaxOutcomeBytes)}
}

// Issue returns a new ticket and the time for which it may be used.
func (h *Home) Issue(now time.Duration) (text string, ttl time.Duration) {
	h.issued++
	expiry := (now + h.cfg.TicketTTL).Truncate(time.Millisecond)
	t := ticket{incarnation: h.cfg.Incarnation, number: h.issued, expiry: expiry}
	t.sign(h.cfg.MACKey)
	return t.encode(), expiry - now
}

// Submit decides on a call whose key carries a ticket. Pending means that the
// waiter joined a running call and is answered by Finish or NotRun.
//
// Only this instance runs keys under its tickets, so a refusal holds for all
// calls with the key.
func (h *Home) Submit(now time.Duration, w Waiter, c Call) Decision {
	d := h.submit(now, w, c)
	d.Refusal.KeyChecked = d.Verdict == Refuse
	return d
}

func (h *Home) submit(now time.Duration, w Waiter, c Call) Decision {
	kind, t := classify(c.Key)
	if kind != KeyTicket {
		return refuse("bad_request", RanNo, "the idempotency key carries no valid ticket", "form the key as <ticket>.<suffix> with a ticket from discovery")
	}
	if t.incarnation != h.cfg.Incarnation {
		return Decision{Verdict: Forward, Holder: t.incarnation}
	}
	if !t.verify(h.cfg.MACKey) {
		return refuse("bad_request", RanNo, "the ticket in the idempotency key was not issued by this instance", "take a new ticket from discovery")
	}
	key, request := keyDigest(c.Organisation, c.Key), requestDigest(c)
	if rec := h.records.byKey[key]; rec != nil {
		return h.records.repeat(rec, w, request)
	}
	if now >= t.expiry {
		return h.expired(now, t)
	}
	if d, full := h.records.full(now, c.Organisation); full {
		return d
	}
	h.records.add(&record{
		key: key, organisation: c.Organisation, request: request,
		state: stateRunning, runner: w, expires: t.expiry + h.cfg.RecordTTL,
	})
	return Decision{Verdict: Run}
}

// expired decides on a key without a record under an expired ticket. Until the
// ticket's records may have been dropped, no record means that it never ran.
func (h *Home) expired(now time.Duration, t ticket) Decision {
	ran, reason := RanNo, "the ticket in the idempotency key expired before the call arrived"
	if now >= t.expiry+h.cfg.RecordTTL {
		ran, reason = RanUnknown, "the ticket in the idempotency key expired so long ago that its records are gone"
	}
	return refuse("ticket_expired", ran, reason, "take a new ticket from discovery")
}

// Finish records that the call that w runs has ended. A nil outcome means that
// it is not known whether it ran; refusal is then what its waiters receive. It
// returns the decisions of all waiters that joined, without w.
func (h *Home) Finish(now time.Duration, w Waiter, outcome *pb.BindingOutcome, refusal Refusal) []Decided {
	rec := h.records.finish(w, outcome, refusal)
	if rec == nil {
		return nil
	}
	h.records.expireAt(rec, rec.expires)
	return h.records.answerJoined(rec, outcome)
}

// NotRun records that the call that w was to run did not run and never will
// for this attempt; the key may run again. It returns the decisions of all
// waiters that joined, without w.
func (h *Home) NotRun(now time.Duration, w Waiter, refusal Refusal) []Decided {
	rec := h.records.byWaiter[w]
	if rec == nil || rec.runner != w {
		return nil
	}
	delete(h.records.byWaiter, w)
	h.records.remove(rec)
	return h.records.release(rec, Decision{Verdict: Refuse, Refusal: refusal})
}

// Withdraw forgets a waiter that joined and whose caller is gone. A waiter that
// was told to run must be ended by Finish or NotRun instead.
func (h *Home) Withdraw(w Waiter) { h.records.withdraw(w) }

// Step drops records that are no longer needed.
func (h *Home) Step(now time.Duration) { h.records.dropExpired(now) }

// Len returns the number of records.
func (h *Home) Len() int { return len(h.records.byKey) }
