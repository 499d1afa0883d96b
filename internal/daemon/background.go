package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citrongate/citrongate/internal/adminapi"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/platform"
	"github.com/citrongate/citrongate/internal/telemetry"
	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
)

const (
	// registerInterval is far enough below the platform's registration lifetime
	// of 5 s that several registrations may be lost in a row.
	registerInterval = time.Second
	// statusInterval is the period at which gauges and readiness are refreshed.
	statusInterval = 250 * time.Millisecond
	// pollInterval is the period at which one engine is polled, the engines taking
	// turns. The cost of polling is therefore independent of their number.
	pollInterval = 500 * time.Millisecond
)

// configInForce queues a new configuration for compileConfigs, replacing one that
// still waits. Compiling the callers' tokens takes milliseconds with many
// organisations, so it is not done on the loop's goroutine.
func (d *Daemon) configInForce(a node.ConfigInForce) {
	set := d.loop.Machine.ConfigSet()
	if set == nil {
		return
	}
	d.log.Write(eventlog.TableInForce{Revision: a.Revision})
	select {
	case <-d.configsToCompile:
	default:
	}
	d.configsToCompile <- set
}

// compileConfigs builds the snapshots that the caller and administration
// handlers read.
func (d *Daemon) compileConfigs() {
	for {
		select {
		case set := <-d.configsToCompile:
			d.config.Store(set)
			d.callerHandler.SetAccess(httpfront.NewAccess(set))
			d.admin.SetOperators(adminapi.NewOperators(set, d.settings.GetBootstrap().GetOperatorTokenSha256()))
		case <-d.ctx.Done():
			return
		}
	}
}

// runEvery calls f at once and then at each interval until the daemon stops.
func (d *Daemon) runEvery(interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Daemon) keepRegistered() { d.runEvery(registerInterval, d.register) }

// register announces this instance to the platform.
func (d *Daemon) register() {
	s := d.settings
	ok := d.platform.Register(d.ctx, platform.Registration{
		Name: s.GetInstance().GetName(), Incarnation: d.identity.String(),
		PeerAddress: s.GetListen().GetPeer(), CallerAddress: s.GetListen().GetCaller(), AdminAddress: s.GetListen().GetAdmin(),
		FailureDomain: s.GetInstance().GetFailureDomain(), Leaving: d.leaving.Load(),
	})
	if !ok {
		d.metrics.Count("registration", "failed")
	}
}

// refreshStatus updates readiness and gauges at each statusInterval.
func (d *Daemon) refreshStatus() { d.runEvery(statusInterval, d.readStatus) }

func (d *Daemon) readStatus() {
	var reason string
	var pools []node.PoolSummary
	if !d.loop.Query(d.ctx, func(time.Duration) {
		reason = d.loop.Machine.NotReadyReason()
		pools = d.loop.Machine.PoolSummaries()
	}) {
		return
	}
	d.notReady.Store(&reason)
	tiers, upstreams := summarise(pools)
	g := &telemetry.Gauges{Kinds: d.requestGauges.snapshot()}
	for _, t := range tiers {
		g.Tiers = append(g.Tiers, telemetry.TierGauge{Tier: tierName(t.Tier), Waiting: int64(t.Waiting), InFlight: int64(t.InFlight)})
	}
	for _, u := range upstreams {
		g.Upstreams = append(g.Upstreams, telemetry.UpstreamGauge{Upstream: u.Name, InFlight: int64(u.InFlight), Limit: int64(u.Limit), ReportedLoad: d.latestReports.lastLoad(u.Name)})
	}
	d.metrics.SetGauges(g)
}

// pollUpstreams reads the load and the KV cache events of one engine per
// pollInterval, in turn.
func (d *Daemon) pollUpstreams() {
	next := 0
	d.runEvery(pollInterval, func() {
		engines := engineAddresses(d.config.Load())
		if len(engines) == 0 {
			return
		}
		next = (next + 1) % len(engines)
		d.pollEngine(engines[next])
	})
}

func engineAddresses(set *configstate.Set) []engineAddress {
	if set == nil {
		return nil
	}
	var out []engineAddress
	for _, object := range set.OfKind(configstate.KindUpstream) {
		if object.GetUpstream().GetType() == "engine" {
			out = append(out, engineAddress{object.GetMeta().GetName(), object.GetUpstream().GetAddress()})
		}
	}
	sortEngines(out)
	return out
}

func (d *Daemon) pollEngine(e engineAddress) {
	if report, err := d.upstream.Load(d.ctx, e.address); err == nil {
		d.latestReports.setLoad(e.name, int64(report.Running)+int64(report.Waiting))
	}
	events, next, err := d.upstream.CacheEventsSince(d.ctx, e.address, d.latestReports.cacheEventCursor(e.name))
	if err != nil {
		return
	}
	d.latestReports.setCacheEventCursor(e.name, next)
	if len(events.Cached)+len(events.Evicted) > 0 || events.Gap {
		events.Upstream = e.name
		d.loop.Post(events)
	}
}

// engineReports holds, by engine name, the load last reported and the position up
// to which KV cache events have been read.
type engineReports struct {
	mu                sync.Mutex
	load              map[string]int64
	cacheEventCursors map[string]uint64
}

func newEngineReports() *engineReports {
	return &engineReports{load: map[string]int64{}, cacheEventCursors: map[string]uint64{}}
}

func (l *engineReports) setLoad(name string, load int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load[name] = load
}

func (l *engineReports) lastLoad(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load[name]
}

func (l *engineReports) cacheEventCursor(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cacheEventCursors[name]
}

func (l *engineReports) setCacheEventCursor(name string, next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cacheEventCursors[name] = next
}

// kindGauge counts the waiting and in-flight requests of one request kind at
// this instance. A request counts as waiting again once its exchange with an
// upstream has ended, until its call ends.
type kindGauge struct{ waiting, inFlight atomic.Int64 }

func (k *kindGauge) dispatched() { k.waiting.Add(-1); k.inFlight.Add(1) }
func (k *kindGauge) requeued()   { k.inFlight.Add(-1); k.waiting.Add(1) }

// kindGauges holds a gauge for each request kind seen. Kinds come from the
// configuration, which bounds their number.
type kindGauges struct{ byName sync.Map }

func newKindGauges() *kindGauges { return &kindGauges{} }

func (k *kindGauges) gaugeOf(name string) *kindGauge {
	if gauge, ok := k.byName.Load(name); ok {
		return gauge.(*kindGauge)
	}
	gauge, _ := k.byName.LoadOrStore(name, &kindGauge{})
	return gauge.(*kindGauge)
}

func (k *kindGauges) snapshot() []telemetry.KindGauge {
	var out []telemetry.KindGauge
	k.byName.Range(func(name, gauge any) bool {
		g := gauge.(*kindGauge)
		out = append(out, telemetry.KindGauge{Kind: name.(string), Waiting: g.waiting.Load(), InFlight: g.inFlight.Load()})
		return true
	})
	return out
}

// pending holds the operators' requests that wait for a result of the node, by id.
type pending[T any] struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan T
}

func newPending[T any]() *pending[T] { return &pending[T]{waiting: map[uint64]chan T{}} }

// register returns the id of a new request and the channel of its result.
func (p *pending[T]) register() (uint64, <-chan T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	result := make(chan T, 1)
	p.waiting[p.next] = result
	return p.next, result
}

func (p *pending[T]) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

func (p *pending[T]) complete(id uint64, answer T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result, ok := p.waiting[id]; ok {
		result <- answer
		delete(p.waiting, id)
	}
}

// waitFor waits for a result; ok is false if ctx ends first.
func waitFor[T any](ctx context.Context, result <-chan T) (answer T, ok bool) {
	select {
	case answer = <-result:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}
