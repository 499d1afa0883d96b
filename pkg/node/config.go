package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/poison"
	"github.com/citrongate/citrongate/pkg/rollout"
)

// Config holds the settings of one instance. Zero durations and counts take
// the defaults named with each field.
type Config struct {
	// Name of the instance in status answers.
	Name string
	// Incarnation of this run; required.
	Incarnation Incarnation
	// PeerAddress, CallerAddress and AdminAddress are announced to the other
	// instances.
	PeerAddress, CallerAddress, AdminAddress string
	FailureDomain, Region                    string
	// Cell is the group of instances that share upstreams; the region if empty.
	Cell string
	// CellFailureDomains are the failure domains whose upstreams this cell
	// uses; none means all. It must be the same at all instances of a cell.
	CellFailureDomains []string
	// Seeds are peer addresses to join through before the instance list is known.
	Seeds []string
	// Bootstrap is a configuration set to start from, for tests and
	// single-process use. If nil, the set is learned from peers or the store.
	Bootstrap *configstate.Set
	// ExternalConfig is true if configuration sets come by UseConfiguration
	// only. Instances may then number their revisions differently, and pools
	// and classes are identified by selectors in place of their upstreams, since
	// instances learn of upstreams at different times.
	ExternalConfig bool
	// Started is when this process started, by the clock of Step; 0 if that
	// clock starts with it.
	Started time.Duration

	// PingInterval is the interval between failure-detection pings; 500 ms.
	PingInterval time.Duration
	// DeadAfter is the time from suspicion to death; 2 s.
	DeadAfter time.Duration
	// ListInterval is the interval at which a reader polls the instance list; 1 s.
	ListInterval time.Duration
	// OwnerTimeout is the time without an answer from a pool's owner before it
	// is suspected or replaced by a local pool with a fixed share; 300 ms.
	OwnerTimeout time.Duration
	// DiscoveryTTL is how long callers may use an old discovery answer; a
	// draining instance accepts requests for this long. 5 s.
	DiscoveryTTL time.Duration

	// TargetTTFT and TargetInterToken are the latency targets of engines; 980 ms and 54 ms.
	TargetTTFT, TargetInterToken time.Duration
	// PromptSlowdown is scheduler.Config.PromptSlowdown; 0 disables it.
	PromptSlowdown float64
	// MaxQueue bounds the descriptors that one pool queues; 100,000.
	MaxQueue int
	// MaxRequests bounds the requests held by this instance; 8,192.
	MaxRequests int
	// MaxDeadline is the longest deadline that a caller may ask for; 600 s.
	MaxDeadline time.Duration
	// RetryBudgetPercent is the number of retries allowed for every 100 first
	// attempts; 10. A negative value allows none.
	RetryBudgetPercent int
	// RepeatedSends bounds the repeated sends to the upstreams of each pool, over all
	// instances; by default there are no repeated sends.
	RepeatedSends dispatch.SendBudget

	// TicketTTL, RecordTTL and ClaimRetention bound the age of tickets, recorded
	// outcomes and claims of non-idempotent calls; 600 s, 3600 s and 168 h.
	TicketTTL, RecordTTL, ClaimRetention time.Duration
	// MaxRecords bounds the recorded outcomes kept in memory; 20,000.
	MaxRecords int
	// TicketSecret keys the MAC of this incarnation's tickets.
	TicketSecret []byte
	// CallsPerSecond is the budget of object API calls; 20.
	CallsPerSecond float64
	// LeaseDuration is the duration of a lease on an upstream's orders; 20 s.
	LeaseDuration time.Duration
	// WallClockOffset is the Unix time at process time zero. It is used for
	// the retention of claims only, never for a decision.
	WallClockOffset time.Duration

	// RefreshWithin is the time within which changes of the store's state must
	// take effect here. If it is set, the node decides when the state is read
	// and which copies are confirmed; 0 leaves that to its caller.
	RefreshWithin time.Duration

	// PartBlocks says when a part of prompts is blocked under which upstreams ended; by
	// default none is.
	PartBlocks poison.Config

	// Rollouts bounds what a version that is not proven may get; by default the orders to
	// move a service to another version are ignored.
	Rollouts rollout.Bounds

	// Mutations break guarantees on purpose, so that a test can show that its
	// checks detect the violation. It must be zero outside tests.
	Mutations Mutations
}

// Mutations are injected faults that the checks of a test must detect.
type Mutations struct {
	// DispatchTwice uses every grant, also for a request already dispatched.
	DispatchTwice bool
	// IgnoreTiers submits all work to pools in one tier.
	IgnoreTiers bool
	// IgnoreLeaving keeps using leaving upstreams.
	IgnoreLeaving bool
	// SkipClaim runs non-idempotent calls that have no ticket without claiming
	// their key.
	SkipClaim bool
	// DrainCancels cancels requests in progress when a planned stop starts.
	DrainCancels bool
	// ReportNotRun reports requests as not run although they were dispatched.
	ReportNotRun bool
	// TreatRetriesAsFirst treats every call with a key as its first attempt.
	TreatRetriesAsFirst bool
	// QuotaFullAtStart starts with full quota buckets.
	QuotaFullAtStart bool
}

// withDefaults returns the configuration with defaults filled in.
func (c Config) withDefaults() Config {
	defaultDuration(&c.PingInterval, 500*time.Millisecond)
	defaultDuration(&c.DeadAfter, 2*time.Second)
	defaultDuration(&c.ListInterval, time.Second)
	defaultDuration(&c.OwnerTimeout, 300*time.Millisecond)
	defaultDuration(&c.DiscoveryTTL, 5*time.Second)
	defaultDuration(&c.TargetTTFT, 980*time.Millisecond)
	defaultDuration(&c.TargetInterToken, 54*time.Millisecond)
	defaultDuration(&c.MaxDeadline, 600*time.Second)
	defaultDuration(&c.TicketTTL, 600*time.Second)
	defaultDuration(&c.RecordTTL, 3600*time.Second)
	defaultDuration(&c.ClaimRetention, 168*time.Hour)
	defaultInt(&c.MaxQueue, 100_000)
	defaultInt(&c.MaxRequests, 8192)
	defaultInt(&c.RetryBudgetPercent, 10)
	defaultInt(&c.MaxRecords, 20_000)
	if c.CallsPerSecond <= 0 {
		c.CallsPerSecond = 20
	}
	if c.Cell == "" {
		c.Cell = c.Region
	}
	return c
}

func defaultDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

func defaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}
