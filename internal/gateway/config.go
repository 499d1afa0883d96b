package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/quota"
	"github.com/citrongate/citrongate/pkg/refresh"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// promptSlowdown is the ratio of the inter-token time of an engine's streams
	// while it also processes a prompt in chunks to that without a prompt.
	promptSlowdown = 4
	// faultLogInterval is the minimum time between two log lines on invalid entries.
	faultLogInterval = 10 * time.Second
)

// snapshot is the immutable view of the configuration that requests read without
// a lock.
type snapshot struct {
	table *ingress.Table
	// engines are the services whose upstreams are model engines.
	engines map[string]*ingress.Service
}

// configState holds the configuration and the upstreams read from the store. mu
// guards all fields but the atomics.
type configState struct {
	mu       sync.Mutex
	state    ingress.State
	revision uint64
	// unavailable says for each part of the store whether its newest read failed.
	unavailable [len(refresh.Parts)]bool
	// upstreamAddresses are the addresses of the upstreams published last.
	upstreamAddresses map[string]bool
	// configReadAt is when the newest read of the configuration began, or when this
	// instance started if there was none.
	configReadAt time.Duration
	// faultsLoggedAt is the boot time at which invalid upstream entries were last
	// logged.
	faultsLoggedAt atomic.Int64
	// rollouts are the orders published last; nil before the first.
	rollouts atomic.Pointer[[]ingress.ServiceRollout]
	// upstreamsListedAt is the newest boot time at which this instance's list of
	// upstreams is known to have been the store's; 0 before the first listing.
	upstreamsListedAt atomic.Int64

	current atomic.Pointer[snapshot]
	// confirmation is the newest confirmation, in boot time; nil before the first.
	confirmation atomic.Pointer[ingress.Confirmation]
}

// refreshWithin returns the time within which changes of the store must be in
// force.
func refreshWithin(gateway *pb.GatewaySettings) time.Duration {
	return min(settings.Duration(gateway.GetConfigApply()), settings.Duration(gateway.GetUpstreamDrain()))
}

// readStore reads one part of the store for the node and puts it in force. Parts
// are read concurrently, so that a slow read of one does not delay the other.
func (g *Gateway) readStore(p refresh.Part) {
	started := boottime.Now()
	read := node.StoreReadDone{Part: p, Started: g.loop.FromBootTime(started)}
	switch p {
	case refresh.Config:
		config, err := g.store.Config(g.ctx)
		read.Version, read.OK = g.observeConfig(started, config, err)
	case refresh.Upstreams:
		listing, err := g.readListing(g.ctx)
		read.Version, read.OK = g.observeListing(started, listing, err)
	}
	g.loop.Post(read)
}

// observeConfig puts a configuration that was read in force and returns the
// version in force, and false if the read failed or returned an older version.
func (g *Gateway) observeConfig(started time.Duration, config *ingress.Config, err error) (uint64, bool) {
	g.countStoreCall("config", err)
	c := &g.config
	c.mu.Lock()
	defer c.mu.Unlock()
	g.logStoreAvailability(refresh.Config, err)
	if err != nil {
		return 0, false
	}
	c.configReadAt = started
	version, changed, ok := c.state.ObserveConfig(started, config)
	g.publishIfChanged(changed)
	// The confirmation is published after the table, so that no request is checked
	// against the previous table with the confirmation of the new one.
	c.publishConfirmation()
	return version, ok
}

// observeListing puts a listing of the upstreams and the orders in force and returns its
// digest, and false if the read failed.
func (g *Gateway) observeListing(started time.Duration, listing ingress.Listing, err error) (uint64, bool) {
	c := &g.config
	c.mu.Lock()
	defer c.mu.Unlock()
	g.logStoreAvailability(refresh.Upstreams, err)
	if err != nil {
		return 0, false
	}
	c.upstreamsListedAt.Store(int64(started))
	digest, changed := c.state.ObserveListing(started, boottime.Now(), listing)
	c.publishRollouts()
	g.publishIfChanged(changed)
	return digest, true
}

// copyConfirmed records that another instance read from the store, at the given
// time, the same version of a part that this instance has.
func (g *Gateway) copyConfirmed(a node.CopyConfirmed) {
	c := &g.config
	at := g.loop.ToBootTime(a.At)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch a.Part {
	case refresh.Config:
		if c.state.Tracker.Confirm(at, a.Version) {
			c.publishConfirmation()
		}
	case refresh.Upstreams:
		if changed, ok := c.state.ConfirmUpstreams(at, boottime.Now(), a.Version); ok {
			c.upstreamsListedAt.Store(int64(at))
			g.publishIfChanged(changed)
		}
	}
}

// publishIfChanged publishes configuration and upstreams if they have changed.
func (g *Gateway) publishIfChanged(changed bool) {
	if changed {
		g.publish()
	}
}

// publishConfirmation makes the newest confirmation visible to requests.
func (c *configState) publishConfirmation() {
	confirmation := c.state.Tracker.Confirmation()
	c.confirmation.Store(&confirmation)
}

// confirmed returns the newest confirmation, or the zero value before the first.
func (c *configState) confirmed() ingress.Confirmation {
	if confirmation := c.confirmation.Load(); confirmation != nil {
		return *confirmation
	}
	return ingress.Confirmation{}
}

// boundsOf returns the times, from the settings, within which a changed
// configuration and, if strict, the revocation of a key must be in force.
func boundsOf(gateway *pb.GatewaySettings) ingress.Bounds {
	b := ingress.Bounds{Apply: settings.Duration(gateway.GetConfigApply())}
	if gateway.GetStrictRevocation() == "true" {
		b.Revoke = settings.Duration(gateway.GetRevocation())
	}
	return b
}

// publish puts configuration and upstreams in force, for the node first and then
// for requests.
func (g *Gateway) publish() {
	c := &g.config
	c.revision++
	table := c.state.Tracker.Table()
	upstreams := c.state.Registry.Upstreams()
	used := c.state.Upstreams()
	c.publishRollouts()
	next := &snapshot{table: table, engines: map[string]*ingress.Service{}}
	config := table.Config()
	for i := range config.Services {
		if config.Services[i].ModelEngine {
			next.engines[config.Services[i].Name] = &config.Services[i]
		}
	}
	g.log.Write(eventlog.ConfigInForce{Version: config.Version, Routes: len(config.Routes), Upstreams: len(upstreams),
		Organisations: len(config.Organisations), AgeMs: eventlog.Milliseconds(boottime.Now() - c.state.Tracker.Confirmation().At)})
	g.loop.Post(g.known.set(upstreams))
	ttft, interToken := config.Targets()
	g.loop.Post(node.UseConfiguration{
		TargetTTFT: ttft, TargetInterToken: interToken, PromptSlowdown: promptSlowdown,
		Set: ingress.Objects(c.revision, config, used), Quotas: g.quotas(config),
		Rollouts: rolloutOrders(boottime.Now(), *c.rollouts.Load())})
	c.current.Store(next)
	g.closeConnectionsToRemoved(used)
}

// closeConnectionsToRemoved closes the idle connections to upstreams that are no
// longer used, since their addresses may be given to other upstreams.
func (g *Gateway) closeConnectionsToRemoved(upstreams []ingress.Upstream) {
	registered := make(map[string]bool, len(upstreams))
	for i := range upstreams {
		registered[upstreams[i].Address] = true
	}
	for address := range g.config.upstreamAddresses {
		if !registered[address] {
			g.upstreams.CloseIdle(address)
		}
	}
	g.config.upstreamAddresses = registered
}

// quotas returns the quotas of the organisations, raised by the tolerance that the
// settings allow.
func (g *Gateway) quotas(config *ingress.Config) map[string]quota.Limit {
	gateway := g.settings.GetGateway()
	tolerance := quota.Tolerance{Window: settings.Duration(gateway.GetQuotaWindow()), Over: gateway.GetQuotaOver(), Slack: gateway.GetQuotaSlack()}
	limits := config.Quotas(tolerance)
	for name, limit := range limits {
		g.log.Write(eventlog.QuotaInForce{Organisation: name, PerSecond: limit.PerSecond, Burst: limit.Burst})
	}
	return limits
}

// countStoreCall counts one call to the store by its result.
func (g *Gateway) countStoreCall(kind string, err error) {
	status := "ok"
	if err != nil {
		status = "failed"
	}
	g.metrics.StoreCall(kind, status)
}

// logStoreAvailability logs when the store becomes unavailable, and when it is
// available again, that is when reads of all parts succeed.
func (g *Gateway) logStoreAvailability(p refresh.Part, err error) {
	c := &g.config
	none := [len(refresh.Parts)]bool{}
	before := c.unavailable != none
	c.unavailable[p] = err != nil && g.ctx.Err() == nil
	switch after := c.unavailable != none; {
	case after && !before:
		g.log.Write(eventlog.StoreLost{Error: err.Error()})
	case before && !after:
		g.log.Write(eventlog.StoreRegained{AwayMs: eventlog.Milliseconds(boottime.Now() - c.configReadAt)})
	}
}

// logFaults logs invalid entries of the store, at most once per faultLogInterval.
// lastLogged is the boot time of the previous log line; 0 before the first.
func (g *Gateway) logFaults(lastLogged *atomic.Int64, kind string, faults []error) {
	now, before := boottime.Now(), lastLogged.Load()
	if len(faults) == 0 || before != 0 && now-time.Duration(before) < faultLogInterval || !lastLogged.CompareAndSwap(before, int64(now)) {
		return
	}
	g.log.Write(eventlog.EntriesUnused{Kind: kind, Entries: len(faults), Error: faults[0].Error()})
}

// announce writes this instance's entry to the store and reports whether that
// succeeded.
func (g *Gateway) announce(ctx context.Context) bool {
	s := g.settings
	err := g.store.WriteInstance(ctx, InstanceEntry{
		Name: s.GetInstance().GetName(), Incarnation: g.identity.String(),
		PeerAddress: s.GetListen().GetPeer(), CallerAddress: s.GetListen().GetCaller(),
		FailureDomain: s.GetInstance().GetFailureDomain(), Leaving: g.leaving.Load(),
	})
	g.countStoreCall("announce", err)
	if err != nil {
		g.log.Write(eventlog.NotAnnounced{Error: err.Error()})
		return false
	}
	return true
}
