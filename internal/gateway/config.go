package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/quota"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// pollShare is the part of the time within which changes must be in force
	// after which the store is read again. It leaves room for one lost read.
	pollShare = 0.33
	// promptSlowdown is the ratio of the time between events while an engine reads
	// a prompt in parts beside its streams to that without.
	promptSlowdown = 4
	// behindAfter is the time without a read of the store after which others
	// are preferred as owners. Short disturbances move no pool.
	behindAfter = 1500 * time.Millisecond
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

// configState follows the store. The poller owns all fields but the atomics.
type configState struct {
	tracker   ingress.Tracker
	registry  *ingress.Registry
	revision  uint64
	faultsAt  atomic.Int64
	storeAway bool
	// addresses are those of the upstreams that were published last.
	addresses map[string]bool
	// readAt is when the newest whole read began; behind is what the node was told.
	readAt time.Duration
	behind bool
	// listedAt is the boot time of the start of the newest listing of upstreams;
	// 0 before the first.
	listedAt atomic.Int64

	current atomic.Pointer[snapshot]
	// confirmation is in boot time; nil before the first.
	confirmation atomic.Pointer[ingress.Confirmation]
}

// pollStore reads configuration and upstreams until the gateway stops.
func (g *Gateway) pollStore() {
	gateway := g.settings.GetGateway()
	bound := min(settings.Duration(gateway.GetConfigApply()), settings.Duration(gateway.GetUpstreamDrain()))
	interval := time.Duration(float64(bound) * pollShare)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		g.pollOnce()
		select {
		case <-ticker.C:
		case <-g.ctx.Done():
			return
		}
	}
}

// listed is the result of one listing of the upstreams.
type listed struct {
	upstreams []ingress.Upstream
	faults    []error
	err       error
}

// pollOnce reads configuration and upstreams side by side. Each is put in force
// as it comes, so that a slow answer to one does not hold up the other.
func (g *Gateway) pollOnce() {
	started := boottime.Now()
	listing := make(chan listed, 1)
	go func() {
		var l listed
		l.upstreams, l.faults, l.err = g.store.Upstreams(g.ctx)
		g.countCall("upstreams", l.err)
		listing <- l
	}()
	config, configErr := g.store.Config(g.ctx)
	g.countCall("config", configErr)
	if configErr == nil {
		g.publishIf(g.config.tracker.Observe(started, config) != nil)
		// Last, so that no request is judged by the table before with the
		// confirmation of this one.
		g.config.confirm()
	}
	l := <-listing
	if l.err == nil {
		g.config.listedAt.Store(int64(started))
		g.logFaults(&g.config.faultsAt, "upstreams", l.faults)
		g.publishIf(g.config.registry.Observe(started, boottime.Now(), l.upstreams))
	}
	g.noteStore(configErr, l.err)
	g.noteReach(started, configErr == nil && l.err == nil)
}

// publishIf publishes what has changed, once there is a configuration.
func (g *Gateway) publishIf(changed bool) {
	if changed && g.config.tracker.Table() != nil {
		g.publish()
	}
}

// confirm publishes the newest confirmation to the path of requests.
func (c *configState) confirm() {
	confirmation := c.tracker.Confirmation()
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
	table := c.tracker.Table()
	upstreams := c.registry.Upstreams()
	next := &snapshot{table: table, engines: map[string]*ingress.Service{}}
	config := table.Config()
	for i := range config.Services {
		if config.Services[i].Slots > 0 {
			next.engines[config.Services[i].Name] = &config.Services[i]
		}
	}
	g.log.Write(eventlog.ConfigInForce{Version: config.Version, Routes: len(config.Routes), Upstreams: len(upstreams),
		Organisations: len(config.Organisations), AgeMs: eventlog.Milliseconds(boottime.Now() - c.tracker.Confirmation().At)})
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

// noteReach tells the node when this instance has not read the store for long
// enough to know less than others.
func (g *Gateway) noteReach(started time.Duration, read bool) {
	c := &g.config
	if read {
		c.readAt = started
	}
	reached := started-c.readAt < behindAfter
	if c.behind == reached {
		c.behind = !reached
		g.loop.Post(node.StoreReach{Reached: reached})
	}
}

// countCall counts one call to the store by its result.
func (g *Gateway) countCall(kind string, err error) {
	status := "ok"
	if err != nil {
		status = "failed"
	}
	g.metrics.StoreCall(kind, status)
}

// noteStore logs when the store goes away and when it is back.
func (g *Gateway) noteStore(errs ...error) {
	for _, err := range errs {
		if err == nil {
			continue
		}
		if !g.config.storeAway && g.ctx.Err() == nil {
			g.config.storeAway = true
			g.log.Write(eventlog.StoreLost{Error: err.Error()})
		}
		return
	}
	if g.config.storeAway {
		g.config.storeAway = false
		g.log.Write(eventlog.StoreRegained{AwayMs: eventlog.Milliseconds(boottime.Now() - g.config.readAt)})
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
