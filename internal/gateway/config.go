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
	// promptSlowdown is the ratio of the time between events while an engine reads
	// a prompt in parts beside its streams to that without.
	promptSlowdown = 4
	// faultLogInterval is the least time between two log lines on faulty entries.
	faultLogInterval = 10 * time.Second
)

// snapshot is what the path of a request reads of the configuration. It is
// immutable.
type snapshot struct {
	table *ingress.Table
	// engines are the services whose upstreams are model engines.
	engines map[string]*ingress.Service
}

// configState follows the store. mu guards all fields but the atomics.
type configState struct {
	mu       sync.Mutex
	state    ingress.State
	revision uint64
	// away says of each part whether its newest read failed.
	away [len(refresh.Parts)]bool
	// addresses are those of the upstreams that were published last.
	addresses map[string]bool
	// readAt is when the newest read of the configuration began.
	readAt time.Duration
	// faultsAt is when entries were last reported, in boot time.
	faultsAt atomic.Int64
	// listedAt is the boot time at which the list of upstreams is known to have
	// been the newest; 0 before the first.
	listedAt atomic.Int64

	current atomic.Pointer[snapshot]
	// confirmation is in boot time; nil before the first.
	confirmation atomic.Pointer[ingress.Confirmation]
}

// refreshWithin returns the time within which changes of the store must count.
func refreshWithin(gateway *pb.GatewaySettings) time.Duration {
	return min(settings.Duration(gateway.GetConfigApply()), settings.Duration(gateway.GetUpstreamDrain()))
}

// readStore reads one part for the node and puts it in force. Parts are read
// side by side, so that a slow answer to one does not hold up the other.
func (g *Gateway) readStore(p refresh.Part) {
	started := boottime.Now()
	read := node.StoreRead{Part: p, Started: g.loop.Time(started)}
	switch p {
	case refresh.Config:
		config, err := g.store.Config(g.ctx)
		read.Version, read.OK = g.observeConfig(started, config, err)
	case refresh.Upstreams:
		upstreams, faults, err := g.store.Upstreams(g.ctx)
		g.logFaults(&g.config.faultsAt, "upstreams", faults)
		read.Version, read.OK = g.observeUpstreams(started, upstreams, err)
	}
	g.loop.Post(read)
}

// observeConfig puts a configuration in force and returns the version in force,
// and false if the read failed or showed an older one.
func (g *Gateway) observeConfig(started time.Duration, config *ingress.Config, err error) (uint64, bool) {
	g.countCall("config", err)
	c := &g.config
	c.mu.Lock()
	defer c.mu.Unlock()
	g.noteStore(refresh.Config, err)
	if err != nil {
		return 0, false
	}
	c.readAt = started
	version, changed, ok := c.state.ObserveConfig(started, config)
	g.publishIf(changed)
	// Last, so that no request is judged by the table before with the
	// confirmation of this one.
	c.confirm()
	return version, ok
}

// observeUpstreams puts a listing in force and returns its digest, and false if
// the read failed.
func (g *Gateway) observeUpstreams(started time.Duration, upstreams []ingress.Upstream, err error) (uint64, bool) {
	g.countCall("upstreams", err)
	c := &g.config
	c.mu.Lock()
	defer c.mu.Unlock()
	g.noteStore(refresh.Upstreams, err)
	if err != nil {
		return 0, false
	}
	c.listedAt.Store(int64(started))
	digest, changed := c.state.ObserveUpstreams(started, boottime.Now(), upstreams)
	g.publishIf(changed)
	return digest, true
}

// copyConfirmed takes in that another instance found this one's copy to be the
// store's at the time of the confirmation.
func (g *Gateway) copyConfirmed(a node.CopyConfirmed) {
	c := &g.config
	at := g.loop.BootTime(a.At)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch a.Part {
	case refresh.Config:
		if c.state.Tracker.Confirm(at, a.Version) {
			c.confirm()
		}
	case refresh.Upstreams:
		if changed, ok := c.state.ConfirmUpstreams(at, boottime.Now(), a.Version); ok {
			c.listedAt.Store(int64(at))
			g.publishIf(changed)
		}
	}
}

// publishIf publishes what has changed.
func (g *Gateway) publishIf(changed bool) {
	if changed {
		g.publish()
	}
}

// confirm publishes the newest confirmation to the path of requests.
func (c *configState) confirm() {
	confirmation := c.state.Tracker.Confirmation()
	c.confirmation.Store(&confirmation)
}

// confirmed returns the newest confirmation.
func (c *configState) confirmed() ingress.Confirmation {
	if confirmation := c.confirmation.Load(); confirmation != nil {
		return *confirmation
	}
	return ingress.Confirmation{}
}

// boundsOf returns the bounds of the settings.
func boundsOf(gateway *pb.GatewaySettings) ingress.Bounds {
	b := ingress.Bounds{Apply: settings.Duration(gateway.GetConfigApply())}
	if gateway.GetStrictRevocation() == "true" {
		b.Revoke = settings.Duration(gateway.GetRevocation())
	}
	return b
}

// publish puts configuration and upstreams in force.
func (g *Gateway) publish() {
	c := &g.config
	c.revision++
	table := c.state.Tracker.Table()
	upstreams := c.state.Registry.Upstreams()
	next := &snapshot{table: table, engines: map[string]*ingress.Service{}}
	config := table.Config()
	for i := range config.Services {
		if config.Services[i].Slots > 0 {
			next.engines[config.Services[i].Name] = &config.Services[i]
		}
	}
	g.log.Write(eventlog.ConfigInForce{Version: config.Version, Routes: len(config.Routes), Upstreams: len(upstreams),
		Organisations: len(config.Organisations), AgeMs: eventlog.Milliseconds(boottime.Now() - c.state.Tracker.Confirmation().At)})
	g.loop.Post(g.lines.setUpstreams(upstreams))
	first, gap := config.Targets()
	g.loop.Post(node.UseConfiguration{
		TargetTTFT: first, TargetInterToken: gap, PromptSlowdown: promptSlowdown,
		Set: ingress.Objects(c.revision, config, upstreams), Quotas: g.quotas(config)})
	c.current.Store(next)
	g.forgetConnections(upstreams)
}

// forgetConnections closes the idle connections to upstreams that are not
// registered any more, whose addresses others may get.
func (g *Gateway) forgetConnections(upstreams []ingress.Upstream) {
	present := make(map[string]bool, len(upstreams))
	for i := range upstreams {
		present[upstreams[i].Address] = true
	}
	for address := range g.config.addresses {
		if !present[address] {
			g.upstreams.Forget(address)
		}
	}
	g.config.addresses = present
}

// quotas returns the quotas of the organisations, widened by the tolerance.
func (g *Gateway) quotas(config *ingress.Config) map[string]quota.Limit {
	gateway := g.settings.GetGateway()
	tolerance := quota.Tolerance{Window: settings.Duration(gateway.GetQuotaWindow()), Over: gateway.GetQuotaOver(), Slack: gateway.GetQuotaSlack()}
	limits := config.Quotas(tolerance)
	for name, limit := range limits {
		g.log.Write(eventlog.QuotaInForce{Organisation: name, PerSecond: limit.PerSecond, Burst: limit.Burst})
	}
	return limits
}

// countCall counts one call to the store by its result.
func (g *Gateway) countCall(kind string, err error) {
	status := "ok"
	if err != nil {
		status = "failed"
	}
	g.metrics.StoreCall(kind, status)
}

// noteStore logs when the store goes away and when it is back: when reads of
// all parts succeed again.
func (g *Gateway) noteStore(p refresh.Part, err error) {
	c := &g.config
	none := [len(refresh.Parts)]bool{}
	before := c.away != none
	c.away[p] = err != nil && g.ctx.Err() == nil
	switch after := c.away != none; {
	case after && !before:
		g.log.Write(eventlog.StoreLost{Error: err.Error()})
	case before && !after:
		g.log.Write(eventlog.StoreRegained{AwayMs: eventlog.Milliseconds(boottime.Now() - c.readAt)})
	}
}

// logFaults logs entries of the store that can not be used, seldom. last is when
// it did so before.
func (g *Gateway) logFaults(last *atomic.Int64, kind string, faults []error) {
	now, before := boottime.Now(), last.Load()
	if len(faults) == 0 || before != 0 && now-time.Duration(before) < faultLogInterval || !last.CompareAndSwap(before, int64(now)) {
		return
	}
	g.log.Write(eventlog.EntriesUnused{Kind: kind, Entries: len(faults), Error: faults[0].Error()})
}

// announce writes this instance's entry and reports whether it is written.
func (g *Gateway) announce(ctx context.Context) bool {
	s := g.settings
	err := g.store.Announce(ctx, Instance{
		Name: s.GetInstance().GetName(), Incarnation: g.identity.String(),
		PeerAddress: s.GetListen().GetPeer(), CallerAddress: s.GetListen().GetCaller(),
		FailureDomain: s.GetInstance().GetFailureDomain(), Leaving: g.leaving.Load(),
	})
	g.countCall("announce", err)
	if err != nil {
		g.log.Write(eventlog.NotAnnounced{Error: err.Error()})
		return false
	}
	return true
}
