// Package node composes the decision packages into one deterministic state
// machine: events and the time go in, actions come out. It does no I/O, starts
// no goroutine and reads no clock, so a test can run many nodes in one process
// and replay a run from its seed.
//
// Step accepts any event in any state. Late, repeated and unknown events have
// no effect beyond returning a permit or answering a peer.
package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/binding"
	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/lease"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/poison"
	"github.com/citrongate/citrongate/pkg/refresh"
	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/scheduler"
	"github.com/citrongate/citrongate/pkg/store"
)

// Node is the state of one instance. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	seed uint64
	// self is the incarnation of this instance.
	self uint64
	// now and out are the time and the actions of the Step in progress.
	now time.Duration
	out []Action

	// view is the membership of the cell; table holds the dispatch records of this
	// instance's requests; frames collects the messages of the Step in progress.
	view     *membership.View
	table    *dispatch.Table
	requests map[dispatch.ID]*request
	frames   outbox

	// set is the configuration in force; routes, poolOf, kinds and orgs are derived
	// from it.
	set     *configstate.Set
	routes  *routing.Table
	poolOf  map[string]routing.PoolID
	kinds   flowTable
	orgs    flowTable
	configs *configstate.Machine
	// nextHeadRead is when the head of the stored configuration is read next;
	// lastFrameAt is when the last frame of another instance arrived.
	nextHeadRead time.Duration
	lastFrameAt  time.Duration

	pools            poolSet
	ownership        ownershipState
	progressReports  map[reportKey]*progressReport
	nextReportWindow time.Duration
	// digests holds the digest schedules of pools that other instances own;
	// digestPools lists its keys in order of first use.
	digests     map[uint64]*digestState
	digestPools []uint64

	ids    *store.IDSource
	budget *store.Budget
	// home binds idempotency keys with a ticket, claims those without.
	home       *binding.Home
	claims     *binding.Claims
	calls      callSet
	leases     *lease.Manager
	sentOrders map[uint64]sentOrder
	quotas     quotaState
	refresher  *refresh.Refresher
	rollouts   rolloutSet
	poison     *poison.Registry
	partStore  partStore
	// watches finds the ends of upstreams, by pool. A pool has one also after it was
	// given up or lost all its upstreams, until its ends are judged.
	watches map[uint64]*poison.Watch
	// learnedAddresses holds the addresses of upstreams that are known only from
	// grants so far; removedUpstreams holds when upstreams left the configuration.
	learnedAddresses map[string]string
	removedUpstreams map[string]time.Duration

	drain           drainState
	holdOffs        holdOffs
	decisions       []scheduler.Decision
	lastForwardedID dispatch.ID
	// untrusted is true after a process pause until the membership view is
	// trusted again, which last happened at trustedAt.
	untrusted       bool
	trustedAt       time.Duration
	outputPredictor outputPredictor
}

// New returns a node that has not started; the first Tick starts it.
func New(cfg Config, seed uint64) *Node {
	cfg = cfg.withDefaults()
	self := uint64(cfg.Incarnation)
	ids := &store.IDSource{}
	n := &Node{
		cfg: cfg, seed: seed, self: self, ids: ids,
		requests:         map[dispatch.ID]*request{},
		progressReports:  map[reportKey]*progressReport{},
		digests:          map[uint64]*digestState{},
		sentOrders:       map[uint64]sentOrder{},
		kinds:            newFlowTable(),
		orgs:             newFlowTable(),
		pools:            newPoolSet(),
		calls:            newCallSet(),
		outputPredictor:  newOutputPredictor(),
		quotas:           newQuotaState(),
		refresher:        refresh.New(cfg.RefreshWithin),
		rollouts:         newRolloutSet(),
		poison:           poison.New(cfg.PartBlocks),
		partStore:        newPartStore(),
		watches:          map[uint64]*poison.Watch{},
		learnedAddresses: map[string]string{},
		removedUpstreams: map[string]time.Duration{},
		view: membership.New(membership.Config{
			Self: membership.Member{
				Incarnation: self, PeerAddress: cfg.PeerAddress, CallerAddress: cfg.CallerAddress,
				AdminAddress: cfg.AdminAddress, FailureDomain: cfg.FailureDomain, Cell: cfg.Cell,
			},
			PingInterval: cfg.PingInterval, DeadAfter: cfg.DeadAfter, ListInterval: cfg.ListInterval,
			Seeds: cfg.Seeds, AwaitList: len(cfg.Seeds) == 0 && cfg.Bootstrap == nil,
			Seed: seed, IgnoreLeaving: cfg.Mutations.IgnoreLeaving,
		}),
		table: dispatch.NewTable(dispatch.Config{
			Self: self, RetryBudgetPercent: cfg.RetryBudgetPercent, RepeatedSends: cfg.RepeatedSends,
			MaxRequests: cfg.MaxRequests, Seed: seed,
			DispatchTwice: cfg.Mutations.DispatchTwice, CancelOnDrain: cfg.Mutations.DrainCancels, ReportNotRun: cfg.Mutations.ReportNotRun,
		}),
		configs: configstate.New(configstate.Config{Incarnation: self, IDs: ids, Seed: seed}),
		budget:  store.NewBudget(store.BudgetConfig{CallsPerSecond: cfg.CallsPerSecond, Seed: seed}),
		home: binding.NewHome(binding.HomeConfig{Incarnation: self, MACKey: cfg.TicketSecret,
			TicketTTL: cfg.TicketTTL, RecordTTL: cfg.RecordTTL, MaxRecords: cfg.MaxRecords}),
		claims: binding.NewClaims(binding.ClaimsConfig{Incarnation: self, IDs: ids, Seed: seed,
			Retention: cfg.ClaimRetention, MaxRecords: cfg.MaxRecords}),
		leases: lease.New(lease.Config{Incarnation: self, IDs: ids, Seed: seed, Duration: cfg.LeaseDuration}),
	}
	if cfg.Bootstrap != nil {
		n.activateConfig(cfg.Bootstrap)
	}
	return n
}

// Step handles one event at the time now and appends the actions that follow
// to out. Times must not decrease from call to call.
func (n *Node) Step(now time.Duration, ev Event, out []Action) []Action {
	n.now, n.out = max(now, n.now), out
	n.handle(ev)
	n.applyPending()
	n.flush()
	out, n.out = n.out, nil
	return out
}

func (n *Node) emit(a Action) { n.out = append(n.out, a) }

func (n *Node) handle(ev Event) {
	switch e := ev.(type) {
	case SubmitRequest:
		n.submit(e)
	case CallerDisconnected:
		n.callerDisconnected(dispatch.ID(e.ID))
	case DispatchFailed:
		n.table.OnDispatchFailed(n.now, dispatch.ID(e.ID))
	case UpstreamFirstToken:
		n.table.ReportLoad(dispatch.ID(e.ID), e.SlowdownPercent)
		n.table.FirstToken(n.now, dispatch.ID(e.ID))
	case UpstreamTokens:
		n.table.Tokens(n.now, dispatch.ID(e.ID), e.Total)
	case UpstreamDone:
		n.upstreamDone(e)
	case FrameReceived:
		n.frameReceived(e.Frame)
	case StoreDone:
		n.storeDone(e.Call, e.Result)
	case InstanceList:
		n.instanceList(e)
	case UpstreamList:
		n.upstreamList(e)
	case UpstreamLeaves:
		n.view.OnUpstreamLeaves(n.now, e.Upstream, e.Incarnation)
		n.updateOwnership()
	case UpstreamHoldsOff:
		n.holdOffs.add(n.now, e.Upstream, e.For)
		n.table.ReportHoldOff(dispatch.ID(e.ID), e.For)
	case OrderUpstream:
		n.orderUpstream(e)
	case SendOrderDone:
		n.orderDone(e)
	case CacheEvents:
		n.cacheEvents(e)
	case ApplyChange:
		n.applyChange(e)
	case UseConfiguration:
		n.useConfiguration(e)
	case StoreReadDone:
		n.storeRead(e)
	case RolloutWritten:
		n.rolloutWritten(e)
	case PartRecordsRead:
		n.partRecordsRead(e)
	case PartRecordWritten:
		n.partRecordWritten(e)
	case Drain:
		n.startDrain()
	case Tick:
		n.tick()
	}
}

// applyPending applies the pending effects and decisions of all components until
// none is left. Each round consumes decisions, so the loop ends.
func (n *Node) applyPending() {
	for {
		effects := n.table.TakeEffects()
		for _, effect := range effects {
			n.applyEffect(effect)
		}
		planned := n.stepRollouts()
		decided := n.stepPools()
		if n.applyComponentOutput() || planned || decided || len(effects) > 0 {
			continue
		}
		return
	}
}

// applyComponentOutput applies the output of the configuration, claim and lease
// state machines and reports whether there was any.
func (n *Node) applyComponentOutput() bool {
	config := n.applyConfigOutput()
	claims := n.applyClaimOutput()
	orders := n.applyLeaseOutput()
	return config || claims || orders
}

func (n *Node) tick() {
	paused := n.view.Tick(n.now)
	if paused {
		n.untrusted = true
		n.leases.OnPause(n.now)
	}
	if n.view.WantsList(n.now) {
		n.emit(ListInstances{})
	}
	n.view.ExpireUpstreams(n.now, n.configured)
	n.updateOwnership()
	n.checkOwners()
	n.table.LimitSharers = n.view.LimitSharers(n.now)
	n.table.Tick(n.now)
	n.tickPools()
	n.tickReports()
	n.tickDigests()
	n.tickConfig()
	n.tickCalls()
	n.tickQuotas()
	n.tickRefresh()
	n.tickParts()
	n.home.Step(n.now)
	n.claims.Step(n.now, n.unixSeconds())
	n.leases.Step(n.now)
	n.tickDrain()
}

func (n *Node) unixSeconds() int64 {
	return int64((n.cfg.WallClockOffset + n.now) / time.Second)
}

func (n *Node) count(name, reason string) { n.emit(Count{Name: name, Reason: reason}) }
