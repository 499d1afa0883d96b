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
	// registerInterval is below the platform's 5 s by a margin of several losses.
	registerInterval = time.Second
	// statusInterval is the age of gauges and readiness.
	statusInterval = 250 * time.Millisecond
	// pollInterval is the pause between polls of one upstream each. The cost of
	// polling is so the same for any number of upstreams.
	pollInterval = 500 * time.Millisecond
)

// configInForce publishes a configuration. Compiling the callers' tokens takes
// milliseconds with many organisations, so it is not done on the loop.
func (d *Daemon) configInForce(a node.ConfigInForce) {
	set := d.loop.Machine.ConfigSet()
	if set == nil {
		return
	}
	d.log.Write(eventlog.TableInForce{Revision: a.Revision})
	select {
	case <-d.compile:
	default:
	}
	d.compile <- set
}

// compileConfigs builds the snapshots that the request paths read.
func (d *Daemon) compileConfigs() {
	for {
		select {
		case set := <-d.compile:
			d.config.Store(set)
			d.front.SetAccess(httpfront.NewAccess(set))
			d.admin.SetOperators(adminapi.NewOperators(set, d.settings.GetBootstrap().GetOperatorTokenSha256()))
		case <-d.ctx.Done():
			return
		}
	}
}

// every runs f now and at the interval until the daemon stops.
func (d *Daemon) every(interval time.Duration, f func()) {
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

func (d *Daemon) keepRegistered() { d.every(registerInterval, d.register) }

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

// refreshStatus keeps readiness and gauges up to date.
func (d *Daemon) refreshStatus() { d.every(statusInterval, d.readStatus) }

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
	g := &telemetry.Gauges{Kinds: d.kinds.read()}
	for _, t := range tiers {
		g.Tiers = append(g.Tiers, telemetry.TierGauge{Tier: tierName(t.Tier), Waiting: int64(t.Waiting), InFlight: int64(t.InFlight)})
	}
	for _, u := range upstreams {
		g.Upstreams = append(g.Upstreams, telemetry.UpstreamGauge{Upstream: u.Name, InFlight: int64(u.InFlight), Limit: int64(u.Limit), ReportedLoad: d.loads.get(u.Name)})
	}
	d.metrics.SetGauges(g)
}

// pollUpstreams reads load and cache events of one engine after the other.
func (d *Daemon) pollUpstreams() {
	next := 0
	d.every(pollInterval, func() {
		engines := engineNames(d.config.Load())
		if len(engines) == 0 {
			return
		}
		next = (next + 1) % len(engines)
		d.pollEngine(engines[next])
	})
}

func engineNames(set *configstate.Set) []engineAddress {
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
		d.loads.set(e.name, int64(report.Running)+int64(report.Waiting))
	}
	events, next, err := d.upstream.CacheEventsSince(d.ctx, e.address, d.loads.since(e.name))
	if err != nil {
		return
	}
	d.loads.advance(e.name, next)
	if len(events.Cached)+len(events.Evicted) > 0 || events.Gap {
		events.Upstream = e.name
		d.loop.Post(events)
	}
}

// loadReports holds what engines reported last.
type loadReports struct {
	mu      sync.Mutex
	load    map[string]int64
	cursors map[string]uint64
}

func newLoadReports() *loadReports {
	return &loadReports{load: map[string]int64{}, cursors: map[string]uint64{}}
}

func (l *loadReports) set(name string, load int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load[name] = load
}

func (l *loadReports) get(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load[name]
}

func (l *loadReports) since(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cursors[name]
}

func (l *loadReports) advance(name string, next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cursors[name] = next
}

// kindGauge counts the requests of one kind at this instance.
type kindGauge struct{ waiting, inFlight atomic.Int64 }

func (k *kindGauge) dispatched() { k.waiting.Add(-1); k.inFlight.Add(1) }
func (k *kindGauge) returned()   { k.inFlight.Add(-1); k.waiting.Add(1) }

// kindGauges holds the gauges of all kinds that were used. Kinds come from the
// configuration, so their number is bounded by it.
type kindGauges struct{ byName sync.Map }

func newKindGauges() *kindGauges { return &kindGauges{} }

func (k *kindGauges) of(name string) *kindGauge {
	if gauge, ok := k.byName.Load(name); ok {
		return gauge.(*kindGauge)
	}
	gauge, _ := k.byName.LoadOrStore(name, &kindGauge{})
	return gauge.(*kindGauge)
}

func (k *kindGauges) read() []telemetry.KindGauge {
	var out []telemetry.KindGauge
	k.byName.Range(func(name, gauge any) bool {
		g := gauge.(*kindGauge)
		out = append(out, telemetry.KindGauge{Kind: name.(string), Waiting: g.waiting.Load(), InFlight: g.inFlight.Load()})
		return true
	})
	return out
}

// pending holds operators' requests that wait for the node's answer.
type pending[T any] struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan T
}

func newPending[T any]() *pending[T] { return &pending[T]{waiting: map[uint64]chan T{}} }

func (p *pending[T]) add() (uint64, <-chan T) {
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

func (p *pending[T]) done(id uint64, answer T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result, ok := p.waiting[id]; ok {
		result <- answer
		delete(p.waiting, id)
	}
}

// waitFor returns an answer, or ok false if ctx ends first.
func waitFor[T any](ctx context.Context, result <-chan T) (answer T, ok bool) {
	select {
	case answer = <-result:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}
