package telemetry

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

const (
	// maxCounters bounds the combinations of counter name and reason.
	maxCounters = 512
	// maxSeries bounds the series of one gauge.
	maxSeries = 8192
	// maxUpstreams bounds the upstreams that sends are counted by.
	maxUpstreams = 1024
	// overflow is the reason that counts once the bound is reached.
	overflow = "other"
)

// secondsBuckets cover queue waits and times to first token around the 0.98 s target.
var secondsBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 0.98, 1.5, 2.5, 5, 10, 30, 60, 300}

// tokenBuckets cover the time between tokens around the 54 ms target.
var tokenBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.08, 0.12, 0.25, 0.5, 1, 5}

// Counter is the value of one counter.
type Counter struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
	Value  int64  `json:"value"`
}

// Gauges is a snapshot of what is waiting and in progress.
type Gauges struct {
	Tiers     []TierGauge
	Kinds     []KindGauge
	Upstreams []UpstreamGauge
}

// TierGauge is the work of one tier.
type TierGauge struct {
	Tier              string
	Waiting, InFlight int64
}

// KindGauge is the work of one request kind at this instance.
type KindGauge struct {
	Kind              string
	Waiting, InFlight int64
}

// UpstreamGauge is the work and the limit of one upstream. ReportedLoad is the
// upstream's own, late report.
type UpstreamGauge struct {
	Upstream                      string
	InFlight, Limit, ReportedLoad int64
}

type counterKey struct{ name, reason string }

// Metrics holds all metrics of an instance. Its methods are safe for concurrent use.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	handler  http.Handler
	events   metric.Int64Counter
	stores   metric.Int64Counter
	wait     metric.Float64Histogram
	ttft     metric.Float64Histogram
	token    metric.Float64Histogram
	pause    metric.Float64Histogram
	sends    metric.Int64Counter
	gauges   atomic.Pointer[Gauges]

	mu        sync.Mutex
	counters  map[counterKey]int64
	upstreams map[string]bool
}

// NewMetrics returns metrics with a registry of their own.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Metrics{
		provider: provider,
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		counters: map[counterKey]int64{}, upstreams: map[string]bool{},
	}
	return m, m.create(provider.Meter("citrongate"))
}

// create registers all instruments.
func (m *Metrics) create(meter metric.Meter) error {
	var err error
	keep := func(next error) {
		if err == nil {
			err = next
		}
	}
	var e error
	m.events, e = meter.Int64Counter("citrongate_events", metric.WithDescription("Events by name and reason, for example refusals and retries."))
	keep(e)
	m.stores, e = meter.Int64Counter("citrongate_store_calls", metric.WithDescription("Calls to the object API by kind and status."))
	keep(e)
	m.wait, e = seconds(meter, "citrongate_queue_wait", "Time from submission to dispatch.", secondsBuckets)
	keep(e)
	m.ttft, e = seconds(meter, "citrongate_time_to_first_token", "Time from dispatch to the first token.", secondsBuckets)
	keep(e)
	m.token, e = seconds(meter, "citrongate_time_between_tokens", "Time between tokens of one answer.", tokenBuckets)
	keep(e)
	m.pause, e = seconds(meter, "citrongate_longest_pause", "Longest time between two events of one stream.", secondsBuckets)
	keep(e)
	m.sends, e = meter.Int64Counter("citrongate_sends", metric.WithDescription("Sends by upstream and outcome."))
	keep(e)
	keep(m.createGauges(meter))
	return err
}

func seconds(meter metric.Meter, name, description string, buckets []float64) (metric.Float64Histogram, error) {
	return meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(buckets...))
}

// createGauges registers gauges that are read from the latest snapshot.
func (m *Metrics) createGauges(meter metric.Meter) error {
	read := func(name, description string, observe func(*Gauges, observer)) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				if g := m.gauges.Load(); g != nil {
					left := maxSeries
					observe(g, observer{o: o, left: &left})
				}
				return nil
			}))
		return err
	}
	for _, err := range []error{
		read("citrongate_tier_waiting", "Requests that wait, by tier.", func(g *Gauges, o observer) {
			for _, t := range g.Tiers {
				o.observe("tier", t.Tier, t.Waiting)
			}
		}),
		read("citrongate_tier_in_flight", "Requests in progress, by tier.", func(g *Gauges, o observer) {
			for _, t := range g.Tiers {
				o.observe("tier", t.Tier, t.InFlight)
			}
		}),
		read("citrongate_kind_waiting", "Requests of this instance that wait, by kind.", func(g *Gauges, o observer) {
			for _, k := range g.Kinds {
				o.observe("kind", k.Kind, k.Waiting)
			}
		}),
		read("citrongate_kind_in_flight", "Requests of this instance in progress, by kind.", func(g *Gauges, o observer) {
			for _, k := range g.Kinds {
				o.observe("kind", k.Kind, k.InFlight)
			}
		}),
		read("citrongate_upstream_in_flight", "Requests in progress, by upstream.", func(g *Gauges, o observer) {
			for _, u := range g.Upstreams {
				o.observe("upstream", u.Upstream, u.InFlight)
			}
		}),
		read("citrongate_upstream_limit", "Concurrency limit in force, by upstream.", func(g *Gauges, o observer) {
			for _, u := range g.Upstreams {
				o.observe("upstream", u.Upstream, u.Limit)
			}
		}),
		read("citrongate_upstream_reported_load", "Requests that the upstream itself reports, late.", func(g *Gauges, o observer) {
			for _, u := range g.Upstreams {
				o.observe("upstream", u.Upstream, u.ReportedLoad)
			}
		}),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

// observer bounds the series of one gauge.
type observer struct {
	o    metric.Int64Observer
	left *int
}

func (o observer) observe(label, value string, n int64) {
	if *o.left == 0 {
		return
	}
	*o.left--
	o.o.Observe(n, metric.WithAttributes(attribute.String(label, value)))
}

// Handler answers scrapes.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close ends the export.
func (m *Metrics) Close(ctx context.Context) { _ = m.provider.Shutdown(ctx) }

// Count adds one to a counter, for example ("refusals", "shed_overload").
func (m *Metrics) Count(name, reason string) {
	key := counterKey{name, reason}
	m.mu.Lock()
	if _, known := m.counters[key]; !known && len(m.counters) >= maxCounters {
		key = counterKey{overflow, overflow}
	}
	m.counters[key]++
	m.mu.Unlock()
	m.events.Add(context.Background(), 1, metric.WithAttributes(attribute.String("name", key.name), attribute.String("reason", key.reason)))
}

// Counters returns all counters, sorted by name and reason.
func (m *Metrics) Counters() []Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Counter, 0, len(m.counters))
	for key, value := range m.counters {
		out = append(out, Counter{Name: key.name, Reason: key.reason, Value: value})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Name != out[j].Name {
			return out[i].Name < out[j].Name
		}
		return out[i].Reason < out[j].Reason
	})
	return out
}

// StoreCall counts one call to the object API.
func (m *Metrics) StoreCall(kind, status string) {
	m.stores.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("status", status)))
}

// QueueWait records the time from submission to dispatch.
func (m *Metrics) QueueWait(d time.Duration) { m.wait.Record(context.Background(), d.Seconds()) }

// FirstToken records the time from dispatch to the first token.
func (m *Metrics) FirstToken(d time.Duration) { m.ttft.Record(context.Background(), d.Seconds()) }

// BetweenTokens records a time between tokens.
func (m *Metrics) BetweenTokens(d time.Duration) { m.token.Record(context.Background(), d.Seconds()) }

// LongestPause records the longest time between two events of a stream.
func (m *Metrics) LongestPause(d time.Duration) {
	m.pause.Record(context.Background(), d.Seconds())
}

// Send counts the outcome of one send to an upstream.
func (m *Metrics) Send(upstream, outcome string) {
	m.mu.Lock()
	if !m.upstreams[upstream] {
		if len(m.upstreams) < maxUpstreams {
			m.upstreams[upstream] = true
		} else {
			upstream = overflow
		}
	}
	m.mu.Unlock()
	m.sends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("upstream", upstream), attribute.String("outcome", outcome)))
}

// Observe registers a gauge in seconds that is read at each scrape. read returns
// false while there is no value.
func (m *Metrics) Observe(name, description string, read func() (time.Duration, bool)) error {
	_, err := m.provider.Meter("citrongate").Float64ObservableGauge(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			if d, ok := read(); ok {
				o.Observe(d.Seconds())
			}
			return nil
		}))
	return err
}

// SetGauges replaces the snapshot that gauges are read from.
func (m *Metrics) SetGauges(g *Gauges) { m.gauges.Store(g) }
