package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/adminwire"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/standin/engine"
	"github.com/citrongate/citrongate/internal/standin/service"
	"github.com/citrongate/citrongate/internal/trace"
)

// TestServe guards against a broken path from caller to upstream and back.
func TestServe(t *testing.T) {
	s := newSite(t)
	i := s.start("")
	status, _, text := i.call("POST", i.entry, "/v1/chat/completions", "acme-token", chat(5, true))
	code, ran := errorOf(t, text)
	require.Equal(t, []any{503, "not_ready", "no"}, []any{status, code, ran}, "an empty store serves nobody")
	s.configure(i)

	status, header, text := i.call("POST", i.entry, "/v1/chat/completions", "acme-token", chat(5, true), "X-Request-Id", "mine")
	require.Equal(t, 200, status, text)
	require.Equal(t, "mine", header.Get("X-Request-Id"))
	require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"), text)
	require.Contains(t, text, `"id":"mine"`)

	status, _, text = i.call("POST", i.entry, "/v1/chat/completions", "acme-token", chat(5, false))
	require.Equal(t, 200, status)
	require.Contains(t, text, `"object":"chat.completion"`)

	status, _, text = i.call("POST", i.entry, "/v1/call/lookup", "acme-token", "what")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"received":"what"`)

	setFaults(t, s.engine, `{"break_streams":1,"break_after":3}`)
	_, _, text = i.call("POST", i.entry, "/v1/chat/completions", "acme-token", chat(9, true))
	require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"), "a cut stream is resumed: %s", text)

	setFaults(t, s.engine, `{"break_streams":1,"break_after":2,"forget_broken":true}`)
	_, _, text = i.call("POST", i.entry, "/v1/chat/completions", "acme-token", chat(9, true))
	_, event, found := strings.Cut(text, "event: error\ndata: ")
	require.True(t, found, text)
	code, ran = errorOf(t, event)
	require.Equal(t, []string{"upstream_broke", "unknown"}, []string{code, ran})

	setFaults(t, s.engine, `{"mismatch_answers":1}`)
	status, _, text = i.call("POST", i.entry, "/v1/chat/completions", "acme-token", chat(9, true))
	code, _ = errorOf(t, text)
	require.Equal(t, []any{502, "answer_mismatched"}, []any{status, code})

	for id, runs := range control[map[string]int](t, s.engine, "/control/runs") {
		require.Equal(t, 1, runs, id)
	}
}

// TestNonIdempotent guards against a key that runs twice, at one entry or at
// two, or whose outcome is lost with its caller.
func TestNonIdempotent(t *testing.T) {
	s := newSite(t)
	a := s.start("")
	b := s.start("")
	s.configure(a, b)
	members := func(i *instance) int {
		var status adminwire.Status
		_, _, text := i.call("GET", i.admin, "/admin/v1/status", "op", "")
		_ = json.Unmarshal([]byte(text), &status)
		return len(status.Instances)
	}
	a.until("both know each other", func() bool { return members(a) == 2 && members(b) == 2 })

	var discovery httpfront.Discovery
	_, _, text := a.call("GET", a.entry, "/v1/discovery", "acme-token", "")
	require.NoError(t, json.Unmarshal([]byte(text), &discovery))
	require.ElementsMatch(t, []string{a.entry, b.entry}, discovery.Addresses)
	key := discovery.Ticket + ".one"
	status, _, first := b.call("POST", b.entry, "/v1/call/book", "acme-token", "seat 1", "Idempotency-Key", key)
	require.Equal(t, 200, status, first)
	status, _, second := a.call("POST", a.entry, "/v1/call/book", "acme-token", "seat 1", "Idempotency-Key", key)
	require.Equal(t, 200, status, second)
	require.Equal(t, first, second)

	// A caller that goes away during its call finds the outcome later.
	setFaults(t, s.service, `{"delay_ms":300}`)
	gone := discovery.Ticket + ".two"
	ctx, stop := context.WithCancel(context.Background())
	req := request("POST", a.entry, "/v1/call/book", "acme-token", "seat 2", "Idempotency-Key", gone)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req.WithContext(ctx))
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	a.until("the call runs", func() bool {
		return control[service.Ledger](t, s.service, "/control/ledger").ByKey[gone] == 1
	})
	stop()
	<-ended
	status, _, text = b.call("POST", b.entry, "/v1/call/book", "acme-token", "seat 2", "Idempotency-Key", gone)
	require.Equal(t, 200, status, text)
	require.Contains(t, text, "seat 2")

	status, _, text = a.call("POST", a.entry, "/v1/call/book", "acme-token", "seat 3", "Idempotency-Key", "no-ticket")
	require.Equal(t, 200, status, text)
	for key, runs := range control[service.Ledger](t, s.service, "/control/ledger").ByKey {
		require.Equal(t, 1, runs, key)
	}
}

// TestCallerDisconnect guards against an engine that works for a caller who left.
func TestCallerDisconnect(t *testing.T) {
	s := newSite(t)
	i := s.start("")
	s.configure(i)
	ctx, stop := context.WithCancel(context.Background())
	req := request("POST", i.entry, "/v1/chat/completions", "acme-token", chat(50000, true)).WithContext(ctx)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	require.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 100))
	require.NoError(t, err)
	stop()
	_ = resp.Body.Close()
	i.until("the engine canceled", func() bool {
		return control[engine.Counters](t, s.engine, "/control/counters").Canceled == 1
	})
	i.until("nothing is held", func() bool { return i.held.Load() == 0 && i.requests.Len() == 0 })
}

// TestMaxRequests guards against holding more requests than the bound.
func TestMaxRequests(t *testing.T) {
	s := newSite(t)
	i := s.start("[limits]\nmax_requests = 16\n")
	s.configure(i)
	setFaults(t, s.engine, `{"stall":true}`)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	for range 16 {
		go func() {
			defer func() { ended <- struct{}{} }()
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request("POST", i.entry, "/v1/chat/completions", "acme-token", chat(5, true)).WithContext(ctx))
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}()
	}
	i.until("all are held", func() bool { return i.held.Load() == 16 })
	status, header, text := i.call("POST", i.entry, "/v1/chat/completions", "acme-token", chat(5, true))
	code, ran := errorOf(t, text)
	require.Equal(t, []any{503, "shed_overload", "no"}, []any{status, code, ran})
	require.Equal(t, "1", header.Get("Retry-After"))
	stop()
	for range 16 {
		<-ended
	}
	i.until("none is held", func() bool { return i.held.Load() == 0 })
}

// TestOrder guards against an operator's order that does not reach the engine,
// or is answered before the engine has carried it out.
func TestOrder(t *testing.T) {
	s := newSite(t)
	i := s.start("")
	s.configure(i)
	for range 2 {
		status, _, text := i.call("POST", i.admin, "/admin/v1/orders", "op", `{"upstream":"e1","verb":"load_model","argument":"m9"}`)
		require.Equal(t, 200, status, text)
	}
	orders := control[[]engine.Order](t, s.engine, "/control/orders")
	require.Len(t, orders, 2)
	require.Equal(t, "m9", orders[1].Argument)
	require.Equal(t, orders[0].FencingNumber, orders[1].FencingNumber, "one lease for both")
}

// TestDrain guards against a planned stop that cuts an answer, refuses callers
// with an old discovery answer, stays in discovery or never ends.
func TestDrain(t *testing.T) {
	s := newSite(t)
	i := s.start("")
	s.configure(i)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request("POST", i.entry, "/v1/chat/completions", "acme-token", chat(400, true)))
	require.NoError(t, err)
	defer resp.Body.Close()
	status, _, _ := i.call("POST", i.admin, "/admin/v1/drain", "reader-token", "")
	require.Equal(t, 403, status)
	status, _, _ = i.call("POST", i.admin, "/admin/v1/drain", "op", "")
	require.Equal(t, 202, status)
	<-i.Draining()
	i.until("not ready", func() bool { status, _, _ := i.call("GET", i.admin, "/readyz", "", ""); return status == 503 })
	_, _, text := i.call("GET", i.entry, "/v1/discovery", "acme-token", "")
	require.NotContains(t, text, i.entry)
	status, _, text = i.call("POST", i.entry, "/v1/call/lookup", "acme-token", "late")
	require.Equal(t, 200, status, text)
	answer, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.True(t, bytes.HasSuffix(answer, []byte("data: [DONE]\n\n")))
	i.Finish(context.Background())
	i.Close()
	status, _, _ = i.call("GET", i.admin, "/healthz", "", "")
	require.Zero(t, status, "the administration address is closed")
}

// TestOperatorAPI guards against wrong rights, lost conditions and missing reports.
func TestOperatorAPI(t *testing.T) {
	s := newSite(t)
	i := s.start("")
	s.configure(i)
	const tier = "/admin/v1/objects/Tier/t"
	status, header, _ := i.call("GET", i.admin, tier, "reader-token", "")
	require.Equal(t, 200, status)
	etag := header.Get("ETag")
	for _, c := range []struct {
		method, path, token, body string
		header                    []string
		status                    int
		code                      string
	}{
		{"GET", tier, "", "", nil, 401, "unauthenticated"},
		{"GET", tier, "acme-token", "", nil, 401, "unauthenticated"},
		{"PUT", tier, "reader-token", `{"tier":{"rank":0}}`, nil, 403, "forbidden"},
		{"PUT", tier, "op", `{"tier":{"rank":0}}`, []string{"If-Match", `"99"`}, 412, "conflict"},
		{"PUT", tier, "op", `{"tier":{"rank":0}}`, []string{"If-None-Match", "*"}, 412, "conflict"},
		{"PUT", tier, "op", `{"tier":{"rank":99}}`, []string{"If-Match", etag}, 400, "invalid"},
		{"PUT", tier, "op", `{"meta":{"name":"x"},"tier":{"rank":0}}`, nil, 400, "invalid"},
		{"PUT", tier, "op", `{`, nil, 400, "invalid"},
		{"DELETE", tier, "op", "", []string{"If-Match", etag}, 400, "invalid"}, // still referenced
		{"DELETE", "/admin/v1/objects/Tier/none", "op", "", nil, 404, "not_found"},
		{"GET", "/admin/v1/objects?kind=None", "op", "", nil, 400, "invalid"},
		{"POST", "/admin/v1/apply", "op", `{"objects":[{"bad":1}]}`, nil, 400, "invalid"},
		{"GET", "/admin/v1/none", "op", "", nil, 404, "not_found"},
	} {
		status, _, text := i.call(c.method, i.admin, c.path, c.token, c.body, c.header...)
		code, _ := errorOf(t, text)
		require.Equal(t, []any{c.status, c.code}, []any{status, code}, "%s %s %s", c.method, c.path, text)
	}
	status, _, text := i.call("PUT", i.admin, tier, "op", `{"tier":{"rank":0,"default_deadline_ms":9000}}`, "If-Match", etag)
	require.Equal(t, 200, status, text)
	require.JSONEq(t, `{"revision":2}`, text)
	i.until("revision 2 in force", func() bool { return i.config.Load().Revision == 2 })
	status, _, text = i.call("POST", i.admin, "/admin/v1/apply?dry_run=true", "reader-token", `{"objects":[{"meta":{"kind":"Tier","name":"t"},"tier":{"rank":99}}]}`)
	require.Equal(t, 400, status)
	require.Contains(t, text, "problems")

	_, _, text = i.call("GET", i.admin, "/admin/v1/status", "op", "")
	var report adminwire.Status
	require.NoError(t, json.Unmarshal([]byte(text), &report))
	require.True(t, report.Ready)
	require.True(t, report.StoreAvailable)
	require.Len(t, report.Instances, 1)
	require.Equal(t, uint64(2), report.Instances[0].ConfigRevision)
	require.Len(t, report.Upstreams, 2)

	_, _, text = i.call("GET", i.admin, "/admin/v1/explain?kind=default&organisation=acme&model=m", "op", "")
	var explanation adminwire.Explanation
	require.NoError(t, json.Unmarshal([]byte(text), &explanation))
	require.Equal(t, "models", explanation.Route)
	require.Equal(t, "t", explanation.Tier)
	require.Equal(t, i.identity.String(), explanation.Owner)
	require.Contains(t, explanation.Upstreams, adminwire.ExplainedUpstream{Name: "e1", Eligible: true, Why: "all requirements hold"})

	i.until("gauges", func() bool {
		_, _, text := i.call("GET", i.admin, "/metrics", "", "")
		return strings.Contains(text, `citrongate_upstream_limit{upstream="e1"}`) && strings.Contains(text, "citrongate_store_calls_total")
	})
}

// TestUpstreamDown guards against a refused connection reported as anything but not run.
func TestUpstreamDown(t *testing.T) {
	s := newSite(t)
	i := s.start("")
	s.configure(i)
	s.engine.Close()
	_, _, text := i.call("POST", i.entry, "/v1/chat/completions", "acme-token", chat(5, true), "Citrongate-Deadline-Ms", "2000")
	code, ran := errorOf(t, text)
	require.Equal(t, "no", ran)
	require.Contains(t, []string{"connect_failed", "expired_waiting", "shed_overload"}, code)
}

// TestLog guards against lines of an entry instance that citrongate trace does
// not know, and against a refused request without one.
func TestLog(t *testing.T) {
	var out lockedBuffer
	s := newSite(t)
	s.log = zerolog.New(&out)
	i := s.start("")
	s.configure(i)
	status, header, _ := i.call(http.MethodPost, i.entry, "/v1/call/unknown", "wrong", "{}", "X-Request-Id", "r1")
	require.Equal(t, http.StatusUnauthorized, status)
	require.Equal(t, "r1", header.Get("X-Request-Id"))
	collector := trace.NewCollector("r1")
	require.NoError(t, collector.Read(strings.NewReader(out.String())))
	life := collector.Life()
	require.Zero(t, life.Torn)
	var refused []eventlog.RequestRefused
	for _, e := range life.Entries {
		if line, ok := e.Line.(eventlog.RequestRefused); ok {
			refused = append(refused, line)
		}
	}
	require.Len(t, refused, 1)
	require.Equal(t, http.StatusUnauthorized, refused[0].Status)
	require.Contains(t, out.String(), "instance started")
}

// lockedBuffer is a buffer that several goroutines may write.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
