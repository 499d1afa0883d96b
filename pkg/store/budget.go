package store

import "time"

// Priority orders calls that wait for the budget; smaller values go first.
type Priority uint8

// Priorities. The kinds of call whose volume is small and bounded come first,
// so that a flood of claims cannot delay a configuration change or a lease.
const (
	PriorityLease Priority = iota
	PriorityConfigWrite
	PriorityConfigRead
	PriorityClaim
	PriorityCleanup
)

// Reason says which part of the system asked for a call; it labels counters.
type Reason string

// Reasons of calls.
const (
	ReasonLease         Reason = "lease"
	ReasonConfigChange  Reason = "config_change"
	ReasonConfigCatchUp Reason = "config_catch_up"
	ReasonConfigCleanup Reason = "config_cleanup"
	ReasonClaim         Reason = "claim"
	ReasonClaimReadBack Reason = "claim_read_back"
	ReasonOutcome       Reason = "outcome"
)

// Call is one requested call. Exactly one result must be handed back for it.
type Call struct {
	ID       CallID
	Op       Op
	Priority Priority
	Reason   Reason
}

// IDSource issues call ids that are unique within one instance. The components
// of an instance share one source.
type IDSource struct{ last CallID }

// Next returns an id that was not returned before.
func (s *IDSource) Next() CallID {
	s.last++
	return s.last
}

// BudgetConfig holds the constants of a Budget; zero fields take defaults.
type BudgetConfig struct {
	// CallsPerSecond refills the token bucket; default 20.
	CallsPerSecond float64
	// Burst is the capacity of the token bucket in calls; default CallsPerSecond, at least 1.
	Burst float64
	// MaxWaiting bounds the calls that wait; default 1024.
	MaxWaiting int
	// MaxWait is how long a call waits before it is rejected; default 2 s.
	MaxWait time.Duration
	// BackoffBase and BackoffMax bound the pause after failed calls; default 100 ms and 5 s.
	BackoffBase, BackoffMax time.Duration
	// Seed makes the jitter repeatable.
	Seed uint64
}

// CallCount is how many calls of one kind and reason were started.
type CallCount struct {
	Kind   OpKind
	Reason Reason
	Calls  uint64
}

// Budget decides when calls to the object API start: a token bucket with
// priorities, and after failures a pause that grows exponentially with full jitter.
type Budget struct{}

// NewBudget returns a Budget with a full bucket.
func NewBudget(cfg BudgetConfig) *Budget { return &Budget{} }

// Submit queues a call. The calls that Step rejects were never started.
func (b *Budget) Submit(now time.Duration, c Call) {}

// Step returns the calls to start now, and the calls that were rejected because
// they waited too long or too many waited. For a rejected call the node hands
// a Result with status Unavailable to the component that asked for it.
func (b *Budget) Step(now time.Duration) (start, rejected []Call) { return nil, nil }

// OnResult tells the budget how a started call ended.
func (b *Budget) OnResult(now time.Duration, s Status) {}

// NextWake returns when Step has something to do; a negative value means never.
func (b *Budget) NextWake(now time.Duration) time.Duration { return -1 }

// Counts returns the started calls by kind and reason, in a fixed order.
func (b *Budget) Counts() []CallCount { return nil }
