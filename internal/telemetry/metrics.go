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
	// maxCounters bounds the combinations of event name and reason.
	maxCounters = 512
	// maxSeries bounds the series of one gauge.
	maxSeries = 8192
	// maxUpstreams bounds the upstreams that have a send counter of their own.
	maxUpstreams = 1024
	// overflow is the label value under which further values are counted once a
	// limit is reached.
	overflow = "other"
)

// secondsBuckets cover queue waits, times to first token and gaps between events;
// one bound is the 0.98 s target of the time to first token.
var secondsBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 0.98, 1.5, 2.5, 5, 10, 30, 60, 300}

// tokenBuckets cover the inter-token time; one bound is its 54 ms target.
var tokenBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.08, 0.12, 0.25, 0.5, 1, 5}

// Counter is the value of one counter.
type Counter struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
	Value  int64  `json:"value"`
}

// Gauges is a snapshot of the waiting requests and those in flight.
type Gauges struct {
	Tiers     []TierGauge
	Kinds     []KindGauge
	Upstreams []UpstreamGauge
}

// TierGauge counts the requests of one tier.
type TierGauge struct {
	Tier              string
	Waiting, InFlight int64
}

// KindGauge counts the requests of one kind at this instance.
type KindGauge struct {
	Kind              string
	Waiting, InFlight int64
}

// UpstreamGauge holds the requests in flight and the concurrency limit of one
// upstream. ReportedLoad is the number of requests that the upstream itself last
// reported, which lags behind.
type UpstreamGauge struct {
	Upstream                      string
	InFlight, Limit, ReportedLoad int64
}

type counterKey struct{ name, reason string }

// Metrics holds all metrics of an instance. It is safe for concurrent use.
type Metrics struct {
	provider   *sdkmetric.MeterProvider
	handler    http.Handler
	events     metric.Int64Counter
	storeCalls metric.Int64Counter
	queueWait  metric.Float64Histogram
	ttft       metric.Float64Histogram
	interToken metric.Float64Histogram
	longestGap metric.Float64Histogram
	sends      metric.Int64Counter
	gauges     atomic.Pointer[Gauges]

	mu       sync.Mutex
	counters map[counterKey]int64
	// upstreams holds the upstreams that have a send counter of their own.
	upstreams map[string]bool
}

// NewMetrics returns metrics that are exported from a registry of their own.
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
	return m, m.registerInstruments(provider.Meter("citrongate"))
}

// registerInstruments registers all instruments and returns the first error.
func (m *Metrics) registerInstruments(meter metric.Meter) error {
	var err error
	keepFirst := func(next error) {
		if err == nil {
			err = next
		}
	}
	var e error
	m.events, e = meter.Int64Counter("citrongate_events", metric.WithDescription("Events by name and reason, for example refusals and retries."))
	keepFirst(e)
	m.storeCalls, e = meter.Int64Counter("citrongate_store_calls", metric.WithDescription("Calls to the object API by kind and status."))
	keepFirst(e)
	m.queueWait, e = secondsHistogram(meter, "citrongate_queue_wait", "Time from submission to dispatch.", secondsBuckets)
	keepFirst(e)
	m.ttft, e = secondsHistogram(meter, "citrongate_time_to_first_token", "Time from dispatch to the first token.", secondsBuckets)
	keepFirst(e)
	m.interToken, e = secondsHistogram(meter, "citrongate_time_between_tokens", "Time between tokens of one answer.", tokenBuckets)
	keepFirst(e)
	m.longestGap, e = secondsHistogram(meter, "citrongate_longest_pause", "Longest time between two events of one stream.", secondsBuckets)
	keepFirst(e)
	m.sends, e = meter.Int64Counter("citrongate_sends", metric.WithDescription("Sends by upstream and outcome."))
	keepFirst(e)
	keepFirst(m.registerGauges(meter))
	return err
}

// secondsHistogram registers a histogram of times in seconds.
func secondsHistogram(meter metric.Meter, name, description string, buckets []float64) (metric.Float64Histogram, error) {
	return meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(buckets...))
}

// registerGauges registers the gauges whose values come from the latest snapshot.
func (m *Metrics) registerGauges(meter metric.Meter) error {
	read := func(name, description string, observe func(*Gauges, observer)) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				if g := m.gauges.Load(); g != nil {
					remaining := maxSeries
					observe(g, observer{o: o, remaining: &remaining})
				}
				return nil
			}))
		return err
	}
	for _, err := range []error{
		read("citrongate_tier_waiting", "Waiting requests, by tier.", func(g *Gauges, o observer) {
			for _, t := range g.Tiers {
				o.observe("tier", t.Tier, t.Waiting)
			}
		}),
		read("citrongate_tier_in_flight", "Requests in flight, by tier.", func(g *Gauges, o observer) {
			for _, t := range g.Tiers {
				o.observe("tier", t.Tier, t.InFlight)
			}
		}),
		read("citrongate_kind_waiting", "Waiting requests of this instance, by kind.", func(g *Gauges, o observer) {
			for _, k := range g.Kinds {
				o.observe("kind", k.Kind, k.Waiting)
			}
		}),
		read("citrongate_kind_in_flight", "Requests of this instance in flight, by kind.", func(g *Gauges, o observer) {
			for _, k := range g.Kinds {
				o.observe("kind", k.Kind, k.InFlight)
			}
		}),
		read("citrongate_upstream_in_flight", "Requests in flight, by upstream.", func(g *Gauges, o observer) {
			for _, u := range g.Upstreams {
				o.observe("upstream", u.Upstream, u.InFlight)
			}
		}),
		read("citrongate_upstream_limit", "Concurrency limit in force, by upstream.", func(g *Gauges, o observer) {
			for _, u := range g.Upstreams {
				o.observe("upstream", u.Upstream, u.Limit)
			}
		}),
		read("citrongate_upstream_reported_load", "Requests that the upstream itself last reported; lags behind.", func(g *Gauges, o observer) {
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

// observer observes the values of one gauge and drops those beyond maxSeries.
type observer struct {
	o         metric.Int64Observer
	remaining *int
}

func (o observer) observe(label, value string, n int64) {
	if *o.remaining == 0 {
		return
	}
	*o.remaining--
	o.o.Observe(n, metric.WithAttributes(attribute.String(label, value)))
}

// Handler returns the handler of scrapes.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the export of metrics.
func (m *Metrics) Close(ctx context.Context) { _ = m.provider.Shutdown(ctx) }

// Count adds one to the counter of an event and its reason, for example
// ("refusals", "shed_overload").
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
	m.storeCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("status", status)))
}

// QueueWait records the time from submission to dispatch.
func (m *Metrics) QueueWait(d time.Duration) { m.queueWait.Record(context.Background(), d.Seconds()) }

// FirstToken records the time from dispatch to the first token.
func (m *Metrics) FirstToken(d time.Duration) { m.ttft.Record(context.Background(), d.Seconds()) }

// BetweenTokens records an inter-token time.
func (m *Metrics) BetweenTokens(d time.Duration) {
	m.interToken.Record(context.Background(), d.Seconds())
}

// LongestPause records the longest gap between two events of a stream.
func (m *Metrics) LongestPause(d time.Duration) {
	m.longestGap.Record(context.Background(), d.Seconds())
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

// Observe registers a gauge in seconds whose value is read at each scrape; read
// returns false while there is no value.
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

// ObserveBytes registers a gauge in bytes whose value is read at each scrape.
func (m *Metrics) ObserveBytes(name, description string, read func() int64) error {
	_, err := m.provider.Meter("citrongate").Int64ObservableGauge(name, metric.WithUnit("By"), metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// ObserveCount registers a gauge that counts things and is read at each scrape.
func (m *Metrics) ObserveCount(name, description string, read func() int64) error {
	_, err := m.provider.Meter("citrongate").Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// SetGauges replaces the snapshot that the gauges export.
func (m *Metrics) SetGauges(g *Gauges) { m.gauges.Store(g) }
