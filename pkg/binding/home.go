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
	// MaxOutcomeBytes bounds the bytes of recorded answers; 0 means 16 MiB.
	MaxOutcomeBytes int
}

// Home runs the keys under this incarnation's tickets.
type Home struct{}

// NewHome returns a Home without records.
func NewHome(cfg HomeConfig) *Home { return &Home{} }

// Issue returns a new ticket and the time for which it may be used.
func (h *Home) Issue(now time.Duration) (ticket string, ttl time.Duration) { return "", 0 }

// Submit decides on a call whose key carries a ticket. Pending means that the
// waiter joined a running call and is answered by Finish or NotRun.
func (h *Home) Submit(now time.Duration, w Waiter, c Call) Decision { return Decision{} }

// Finish records that the call that w runs has ended. A nil outcome means that
// it is not known whether it ran; refusal is then what its waiters receive. It
// returns the decisions of all waiters that joined, without w.
func (h *Home) Finish(now time.Duration, w Waiter, outcome *pb.BindingOutcome, refusal Refusal) []Decided {
	return nil
}

// NotRun records that the call that w was to run did not run and never will
// for this attempt; the key may run again. It returns the decisions of all
// waiters that joined, without w.
func (h *Home) NotRun(now time.Duration, w Waiter, refusal Refusal) []Decided { return nil }

// Withdraw forgets a waiter that joined and whose caller is gone.
func (h *Home) Withdraw(w Waiter) {}

// Step drops records that are no longer needed.
func (h *Home) Step(now time.Duration) {}

// Len returns the number of records.
func (h *Home) Len() int { return 0 }
