package telemetry

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/stretchr/testify/require"
)

// TestScrape guards against a metric that is registered but not exported under its
// name.
func TestScrape(t *testing.T) {
	m, err := NewMetrics()
	require.NoError(t, err)
	m.Count("refusals", "shed_overload")
	m.Count("refusals", "shed_overload")
	m.Count("retries", "connect_refused")
	m.StoreCall("get", "unavailable")
	m.QueueWait(time.Millisecond)
	m.FirstToken(time.Second)
	m.BetweenTokens(time.Millisecond)
	m.LongestPause(time.Second)
	m.Send("e1", "complete")
	require.NoError(t, m.Observe("citrongate_config_age", "d", func() (time.Duration, bool) { return 2 * time.Second, true }))
	m.SetGauges(&Gauges{
		Tiers:     []TierGauge{{Tier: "0", Waiting: 3, InFlight: 4}},
		Kinds:     []KindGauge{{Kind: "chat", Waiting: 5}},
		Upstreams: []UpstreamGauge{{Upstream: "e1", InFlight: 6, Limit: 7, ReportedLoad: 8}},
	})
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	text := recorder.Body.String()
	for _, line := range []string{
		`citrongate_events_total{name="refusals",reason="shed_overload"} 2`,
		`citrongate_events_total{name="retries",reason="connect_refused"} 1`,
		`citrongate_store_calls_total{kind="get",status="unavailable"} 1`,
		`citrongate_queue_wait_seconds_count 1`,
		`citrongate_time_to_first_token_seconds_bucket{le="0.98"} 0`,
		`citrongate_time_between_tokens_seconds_count 1`,
		`citrongate_longest_pause_seconds_count 1`,
		`citrongate_sends_total{outcome="complete",upstream="e1"} 1`,
		`citrongate_config_age_seconds 2`,
		`citrongate_tier_waiting{tier="0"} 3`,
		`citrongate_tier_in_flight{tier="0"} 4`,
		`citrongate_kind_waiting{kind="chat"} 5`,
		`citrongate_upstream_in_flight{upstream="e1"} 6`,
		`citrongate_upstream_limit{upstream="e1"} 7`,
		`citrongate_upstream_reported_load{upstream="e1"} 8`,
	} {
		require.Contains(t, text, line)
	}
	require.Equal(t, []Counter{{"refusals", "shed_overload", 2}, {"retries", "connect_refused", 1}}, m.Counters())
}

// TestCounterCardinality guards against an unbounded number of label values.
func TestCounterCardinality(t *testing.T) {
	m, err := NewMetrics()
	require.NoError(t, err)
	for i := range 2 * maxCounters {
		m.Count("refusals", fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(m.Counters()), maxCounters+1)
	for i := range 2 * maxUpstreams {
		m.Send(fmt.Sprint(i), "complete")
	}
	require.Len(t, m.upstreams, maxUpstreams)
}

// TestLog guards against log lines of nbio that are not JSON or ignore the level.
func TestLog(t *testing.T) {
	var out bytes.Buffer
	before := logging.DefaultLogger
	t.Cleanup(func() { logging.SetLogger(before) })
	RouteNBIO(NewLogger(&out, "info"))
	logging.Info("start %d", 1)
	logging.Error("broken %s", "pipe")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 1)
	require.Contains(t, lines[0], `"component":"nbio"`)
	require.Contains(t, lines[0], `"message":"broken pipe"`)
	require.True(t, strings.HasPrefix(lines[0], "{"))
}
