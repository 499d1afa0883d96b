package binding

import (
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// HomeConfig configures a Home.
type HomeConfig struct {
	Incarnation uint64
	// MACKey authenticates tickets: at least 32 random bytes, known to this
	// incarnation only.
	MACKey []byte
	// TicketTTL is how long a ticket may be used for new keys.
	TicketTTL time.Duration
	// RecordTTL is how long a record is kept after its ticket has expired.
	RecordTTL time.Duration
	// MaxRecords limits the records kept; at the limit, new keys are refused.
	MaxRecords int
	// MaxRecordsPerOrganisation limits one organisation's records; 0 means half of MaxRecords.
	MaxRecordsPerOrganisation int
	// MaxOutcomeBytes limits the total size of recorded response bodies; 0 means 8 MiB.
	MaxOutcomeBytes int
}

// Home decides on calls whose keys carry a ticket. The home of a ticket is the
// incarnation that issued it: only the home runs calls with keys under the ticket,
// so that records in its memory suffice and no store is needed.
type Home struct {
	cfg           HomeConfig
	ticketsIssued uint64
	records       records
}

// NewHome returns a Home without records.
func NewHome(cfg HomeConfig) *Home {
	return &Home{cfg: cfg, records: newRecords(cfg.MaxRecords, cfg.MaxRecordsPerOrganisation, cfg.MaxOutcomeBytes)}
}

// Issue returns a new ticket and how long it may be used for new keys.
func (h *Home) Issue(now time.Duration) (text string, ttl time.Duration) {
	h.ticketsIssued++
	expiry := (now + h.cfg.TicketTTL).Truncate(time.Millisecond)
	t := ticket{incarnation: h.cfg.Incarnation, number: h.ticketsIssued, expiry: expiry}
	t.sign(h.cfg.MACKey)
	return t.encode(), expiry - now
}

// Submit decides on a call whose key carries a ticket. Pending means that the
// waiter joined a running call with the same key; its decision is returned by
// Finish or NotRun of that call.
//
// Only this instance runs keys under its tickets, so a refusal is authoritative
// for all calls with the key; KeyChecked tells the caller so.
func (h *Home) Submit(now time.Duration, w Waiter, c Call) Decision {
	d := h.decide(now, w, c)
	d.Refusal.KeyChecked = d.Verdict == Refuse
	return d
}

func (h *Home) decide(now time.Duration, w Waiter, c Call) Decision {
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
		return h.records.decideRepeat(rec, w, request)
	}
	if now >= t.expiry {
		return h.refuseExpired(now, t)
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

// refuseExpired refuses a key without a record under an expired ticket. Until
// RecordTTL after the expiry, when the ticket's records may have been dropped, a
// missing record proves that the call never ran.
func (h *Home) refuseExpired(now time.Duration, t ticket) Decision {
	ran, reason := RanNo, "the ticket in the idempotency key expired before the call arrived"
	if now >= t.expiry+h.cfg.RecordTTL {
		ran, reason = RanUnknown, "the ticket in the idempotency key expired so long ago that its records have been removed"
	}
	return refuse("ticket_expired", ran, reason, "take a new ticket from discovery")
}

// Finish records that the call that was run on behalf of w has ended. A nil outcome
// means that it is unknown whether it ran; the joined waiters then receive refusal.
// It returns the decisions for all joined waiters, not for w itself.
func (h *Home) Finish(now time.Duration, w Waiter, outcome *pb.BindingOutcome, refusal Refusal) []WaiterDecision {
	rec := h.records.finish(w, outcome, refusal)
	if rec == nil {
		return nil
	}
	h.records.scheduleExpiry(rec, rec.expires)
	return h.records.answerJoined(rec, outcome)
}

// NotRun records that the call that w was told to run did not run and never will
// for this attempt; a later call with the key may be told to run. It returns the
// decisions for all joined waiters, not for w itself.
func (h *Home) NotRun(now time.Duration, w Waiter, refusal Refusal) []WaiterDecision {
	rec := h.records.byWaiter[w]
	if rec == nil || rec.runner != w {
		return nil
	}
	delete(h.records.byWaiter, w)
	h.records.remove(rec)
	return h.records.decideJoined(rec, Decision{Verdict: Refuse, Refusal: refusal})
}

// Withdraw drops a joined waiter whose caller has disconnected. A waiter that was
// told to run must be ended by Finish or NotRun instead.
func (h *Home) Withdraw(w Waiter) { h.records.withdraw(w) }

// Step drops expired records.
func (h *Home) Step(now time.Duration) { h.records.dropExpired(now) }

// Len returns the number of records.
func (h *Home) Len() int { return len(h.records.byKey) }
