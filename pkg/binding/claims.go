package binding

import (
	"time"

	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// ClaimsConfig holds the constants of Claims; zero durations take defaults.
type ClaimsConfig struct {
	Incarnation uint64
	IDs         *store.IDSource
	Seed        uint64
	// ClaimTimeout bounds the wait for a claim; default 3 s.
	ClaimTimeout time.Duration
	// OutcomeDelay is how long an outcome waits for others of its bucket; default 200 ms.
	OutcomeDelay time.Duration
	// RecordTTL is how long a finished call is remembered in memory; default 10 min.
	RecordTTL time.Duration
	// Retention is how long a claim stays in the store, by the wall clock; default 168 h.
	Retention time.Duration
	// MaxRecords bounds the records kept; further new keys are refused. Default 20000.
	MaxRecords int
}

// Claims runs keys without a ticket, each after a claim in the store.
type Claims struct{}

// NewClaims returns Claims without records.
func NewClaims(cfg ClaimsConfig) *Claims { return &Claims{} }

// Submit decides on a call whose key carries no ticket. unixSeconds is the
// wall clock, used for retention only.
func (c *Claims) Submit(now time.Duration, unixSeconds int64, w Waiter, call Call) Decision {
	return Decision{}
}

// Finish is as Home.Finish. The outcome is written to the store when it is reachable.
func (c *Claims) Finish(now time.Duration, w Waiter, outcome *pb.BindingOutcome, refusal Refusal) []Decided {
	return nil
}

// NotRun is as Home.NotRun.
func (c *Claims) NotRun(now time.Duration, w Waiter, refusal Refusal) []Decided { return nil }

// Withdraw forgets a waiter whose caller is gone. A waiter that was told to
// run must be ended by Finish or NotRun instead.
func (c *Claims) Withdraw(now time.Duration, w Waiter) {}

// OnStoreResult hands in the result of a call. It returns false if the call
// is not one of these claims'.
func (c *Claims) OnStoreResult(now time.Duration, id store.CallID, r store.Result) bool {
	return false
}

// Step runs timers.
func (c *Claims) Step(now time.Duration, unixSeconds int64) {}

// NextWake returns when Step has something to do; a negative value means never.
func (c *Claims) NextWake(now time.Duration) time.Duration { return -1 }

// Take returns and clears the calls to make and the decisions made.
func (c *Claims) Take() (calls []store.Call, decided []Decided) { return nil, nil }
