package store

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Priority orders the calls that wait for the budget; smaller values go first.
type Priority uint8

// Priorities. Calls whose number is small and bounded come first, so that a flood of
// claims cannot delay a configuration change or a lease. The write of a claim precedes
// reads of claims: the longer it waits after its own read, the more likely another
// instance writes in between, which makes it conflict.
const (
	PriorityLease Priority = iota
	PriorityConfigWrite
	PriorityConfigRead
	PriorityClaimWrite
	PriorityClaim
	PriorityOutcome
	PriorityCleanup

	priorityCount
)

// Reason tells which part of the system requested a call; it is a label of counters.
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

// Call is a requested call. Exactly one Result must be returned for it.
type Call struct {
	ID       CallID
	Op       Op
	Priority Priority
	Reason   Reason
}

// IDSource issues call ids that are unique within one instance. All components of an
// instance use the same source.
type IDSource struct{ last CallID }

// Next returns an id that was not returned before.
func (s *IDSource) Next() CallID {
	s.last++
	return s.last
}

// BudgetConfig configures a Budget; zero fields take their defaults.
type BudgetConfig struct {
	// CallsPerSecond is the refill rate of the token bucket; default 20.
	CallsPerSecond float64
	// Burst is the capacity of the token bucket in calls; default CallsPerSecond, at least 1.
	Burst float64
	// MaxWaiting limits the number of waiting calls; default 1024.
	MaxWaiting int
	// MaxWait is how long a call may wait before it is rejected; default 2 s.
	MaxWait time.Duration
	// BackoffBase and BackoffMax are the upper bounds of the first and of the longest
	// pause after failed calls; default 100 ms and 5 s.
	BackoffBase, BackoffMax time.Duration
	// Seed makes the jitter reproducible.
	Seed uint64
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	c.CallsPerSecond = valueOrDefault(c.CallsPerSecond, 20)
	c.Burst = max(1, valueOrDefault(c.Burst, c.CallsPerSecond))
	c.MaxWaiting = valueOrDefault(c.MaxWaiting, 1024)
	c.MaxWait = valueOrDefault(c.MaxWait, 2*time.Second)
	c.BackoffBase = valueOrDefault(c.BackoffBase, 100*time.Millisecond)
	c.BackoffMax = valueOrDefault(c.BackoffMax, 5*time.Second)
	return c
}

func valueOrDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// CallCount is the number of started calls with one kind and reason.
type CallCount struct {
	Kind   OpKind
	Reason Reason
	Calls  uint64
}

type countKey struct {
	kind   OpKind
	reason Reason
}

type waitingCall struct {
	call     Call
	rejectAt time.Duration
}

// Budget decides when calls to the object API start. It is a token bucket with
// priorities that pauses after failures, with exponential backoff and full jitter.
type Budget struct {
	cfg      BudgetConfig
	waiting  [priorityCount][]waitingCall
	length   int
	rejected []Call

	tokens     float64
	refilledAt time.Duration

	backoff  *Backoff
	resumeAt time.Duration

	counts map[countKey]uint64
}

// NewBudget returns a Budget with a full token bucket.
func NewBudget(cfg BudgetConfig) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{
		cfg:     cfg,
		tokens:  cfg.Burst,
		backoff: NewBackoff(cfg.BackoffBase, cfg.BackoffMax, cfg.Seed),
		counts:  map[countKey]uint64{},
	}
}

// Submit queues a call. If more than MaxWaiting calls wait, the newest call of the
// lowest priority is rejected by the next Step.
func (b *Budget) Submit(now time.Duration, c Call) {
	p := min(c.Priority, priorityCount-1)
	b.waiting[p] = append(b.waiting[p], waitingCall{call: c, rejectAt: now + b.cfg.MaxWait})
	b.length++
	if b.length <= b.cfg.MaxWaiting {
		return
	}
	for p := len(b.waiting) - 1; p >= 0; p-- {
		if last := len(b.waiting[p]) - 1; last >= 0 {
			b.rejected = append(b.rejected, b.waiting[p][last].call)
			b.waiting[p] = b.waiting[p][:last]
			b.length--
			return
		}
	}
}

// Step returns the calls to start now, and the calls rejected because they waited too
// long or too many calls waited. For a rejected call the node returns a Result with
// status Unavailable to the component that requested it.
func (b *Budget) Step(now time.Duration) (start, rejected []Call) {
	b.refill(now)
	rejected = append(b.rejected, b.rejectTimedOut(now)...)
	b.rejected = nil
	for now >= b.resumeAt && b.tokens >= 1 {
		call, ok := b.popHighestPriority()
		if !ok {
			break
		}
		b.tokens--
		b.counts[countKey{call.Op.Kind, call.Reason}]++
		start = append(start, call)
	}
	return start, rejected
}

func (b *Budget) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.cfg.Burst, b.tokens+(now-b.refilledAt).Seconds()*b.cfg.CallsPerSecond)
	b.refilledAt = now
}

func (b *Budget) rejectTimedOut(now time.Duration) []Call {
	var timedOut []Call
	for p := range b.waiting {
		// Calls of one priority are in order of arrival, so those that have timed out
		// come first.
		n := 0
		for n < len(b.waiting[p]) && b.waiting[p][n].rejectAt <= now {
			timedOut = append(timedOut, b.waiting[p][n].call)
			n++
		}
		b.waiting[p] = slices.Delete(b.waiting[p], 0, n)
		b.length -= n
	}
	return timedOut
}

func (b *Budget) popHighestPriority() (Call, bool) {
	for p := range b.waiting {
		if len(b.waiting[p]) > 0 {
			call := b.waiting[p][0].call
			b.waiting[p] = slices.Delete(b.waiting[p], 0, 1)
			b.length--
			return call, true
		}
	}
	return Call{}, false
}

// OnResult records how a started call ended. A lost response counts as a failure too,
// so that a store that is too slow to respond is not called faster.
func (b *Budget) OnResult(now time.Duration, s Status) {
	switch s {
	case Unavailable, Throttled, Unknown:
		b.resumeAt = max(b.resumeAt, now+b.backoff.Next())
	default:
		b.backoff.Reset()
	}
}

// NextWake returns when Step must be called next; a negative value means never.
func (b *Budget) NextWake(now time.Duration) time.Duration {
	if len(b.rejected) > 0 {
		return now
	}
	if b.length == 0 {
		return -1
	}
	wake := max(now, b.resumeAt)
	if b.tokens < 1 {
		missing := (1 - b.tokens) / b.cfg.CallsPerSecond
		refilled := b.refilledAt + time.Duration(missing*float64(time.Second)) + 1
		wake = max(wake, refilled)
	}
	for p := range b.waiting {
		if len(b.waiting[p]) > 0 {
			wake = min(wake, b.waiting[p][0].rejectAt)
		}
	}
	return max(now, wake)
}

// Counts returns the numbers of started calls, ordered by kind and reason.
func (b *Budget) Counts() []CallCount {
	out := make([]CallCount, 0, len(b.counts))
	for k, n := range b.counts {
		out = append(out, CallCount{Kind: k.kind, Reason: k.reason, Calls: n})
	}
	slices.SortFunc(out, func(x, y CallCount) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Reason, y.Reason))
	})
	return out
}

// Backoff computes pauses by exponential backoff with full jitter: each pause is
// uniform between 0 and a bound that doubles with each failure.
type Backoff struct {
	base, max time.Duration
	failures  int
	random    *rand.Rand
}

// NewBackoff returns a Backoff whose first pause is at most base and whose longest
// pause is at most maximum.
func NewBackoff(base, maximum time.Duration, seed uint64) *Backoff {
	return &Backoff{base: base, max: maximum, random: rand.New(rand.NewPCG(seed, 0x73746f7265))}
}

// Next returns the pause after one more failure.
func (b *Backoff) Next() time.Duration {
	// 30 doublings exceed any maximum in use and cannot overflow.
	bound := min(b.max, b.base<<min(b.failures, 30))
	if bound <= 0 {
		bound = b.max
	}
	b.failures++
	return time.Duration(b.random.Int64N(int64(bound) + 1))
}

// Reset starts again from the base after a success.
func (b *Backoff) Reset() { b.failures = 0 }
