package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

// TestDecide guards against a retry that could run a call twice.
func TestDecide(t *testing.T) {
	notRun := func(code string) Refusal { return Refusal{Code: code, Ran: "no"} }
	unknown := func(code string) Refusal { return Refusal{Code: code, Ran: "unknown"} }
	cases := []struct {
		name string
		a    attempts
		want next
	}{
		{"whole", attempts{ending: Whole}, stop},
		{"not sent", attempts{ending: NotSent}, again},
		{"not sent, ticket", attempts{ending: NotSent, keyed: true, ticketed: true}, rekey},
		{"not sent after broken, ticket", attempts{ending: NotSent, keyed: true, ticketed: true, mayHaveRun: true}, again},
		{"shed", attempts{ending: Refused, refusal: notRun("shed_overload")}, again},
		{"draining, ticket", attempts{ending: Refused, refusal: notRun("draining"), keyed: true, ticketed: true}, rekey},
		{"draining after broken, ticket", attempts{ending: Refused, refusal: notRun("draining"), keyed: true, ticketed: true, mayHaveRun: true}, again},
		{"bad request", attempts{ending: Refused, refusal: notRun("bad_request")}, stop},
		{"infeasible", attempts{ending: Refused, refusal: notRun("infeasible_deadline")}, stop},
		{"expired ticket", attempts{ending: Refused, refusal: notRun("ticket_expired"), keyed: true, ticketed: true}, rekey},
		{"expired ticket of the caller's own key", attempts{ending: Refused, refusal: notRun("ticket_expired"), keyed: true}, stop},
		{"expired ticket, unknown", attempts{ending: Refused, refusal: unknown("ticket_expired"), keyed: true, ticketed: true, mayHaveRun: true}, stop},
		{"repetition refused for a passing reason", attempts{ending: Refused, refusal: unknown("shed_overload"), keyed: true, ticketed: true, mayHaveRun: true}, again},
		{"home gone", attempts{ending: Refused, refusal: unknown("ticket_home_gone"), keyed: true, ticketed: true, mayHaveRun: true}, again},
		{"upstream broke", attempts{ending: Refused, refusal: unknown("upstream_broke"), mayHaveRun: true}, stop},
		{"upstream broke, repeatable", attempts{ending: Refused, refusal: unknown("upstream_broke"), mayHaveRun: true, repeatable: true}, again},
		{"upstream broke, keyed", attempts{ending: Refused, refusal: unknown("upstream_broke"), mayHaveRun: true, keyed: true}, stop},
		{"draining but ran", attempts{ending: Refused, refusal: Refusal{Code: "draining", Ran: "yes"}, mayHaveRun: true}, stop},
		{"broken", attempts{ending: Broken, mayHaveRun: true}, stop},
		{"broken, repeatable", attempts{ending: Broken, mayHaveRun: true, repeatable: true}, again},
		{"broken, keyed", attempts{ending: Broken, mayHaveRun: true, keyed: true}, again},
		{"broken, ticket", attempts{ending: Broken, mayHaveRun: true, keyed: true, ticketed: true}, again},
	}
	for _, c := range cases {
		require.Equal(t, c.want, decide(c.a), c.name)
	}
}

// fakeEntry answers discovery with all entries of a test and calls with the
// next of its scripted steps; without steps it answers whole.
type fakeEntry struct {
	name   string
	server *httptest.Server
	fleet  *fleet

	mu    sync.Mutex
	steps []http.HandlerFunc
	keys  []string
}

type fleet struct{ entries []*fakeEntry }

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{}
	for i := range size {
		entry := &fakeEntry{name: fmt.Sprintf("t%d", i), fleet: f}
		entry.server = httptest.NewServer(entry)
		t.Cleanup(entry.server.Close)
		f.entries = append(f.entries, entry)
	}
	return f
}

func (f *fleet) addresses() []string {
	var all []string
	for _, entry := range f.entries {
		all = append(all, entry.address())
	}
	return all
}

func (f *fleet) keys() []string {
	var all []string
	for _, entry := range f.entries {
		entry.mu.Lock()
		all = append(all, entry.keys...)
		entry.mu.Unlock()
	}
	return all
}

func (e *fakeEntry) address() string { return strings.TrimPrefix(e.server.URL, "http://") }

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/discovery" {
		json.NewEncoder(w).Encode(Discovery{TTLMs: 60000, Addresses: e.fleet.addresses(), Ticket: e.name, TicketTTLMs: 60000})
		return
	}
	io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.keys = append(e.keys, r.Header.Get("Idempotency-Key"))
	step := whole
	if len(e.steps) > 0 {
		step, e.steps = e.steps[0], e.steps[1:]
	}
	e.mu.Unlock()
	step(w, r)
}

func whole(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	io.WriteString(w, "done")
}

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refused(code, ran string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(refusalBody{Error: &Refusal{Code: code, Ran: ran}})
	}
}

func do(t *testing.T, f *fleet, request Request) *Result {
	t.Helper()
	if request.Kind == "" {
		request.Kind = "k"
	}
	request.Deadline = 10 * time.Second
	result, err := NewCaller(f.addresses(), "token", NewHTTP(nil)).Do(context.Background(), &request)
	require.NoError(t, err)
	return result
}

// script gives every entry the same steps.
func (f *fleet) script(steps ...http.HandlerFunc) {
	for _, entry := range f.entries {
		entry.mu.Lock()
		entry.steps = append([]http.HandlerFunc{}, steps...)
		entry.mu.Unlock()
	}
}

// TestBrokenCallIsNotRepeated guards against a second run after a broken answer.
func TestBrokenCallIsNotRepeated(t *testing.T) {
	f := newFleet(t, 2)
	f.script(broken)
	result := do(t, f, Request{})
	require.False(t, result.Whole)
	require.Equal(t, "unknown", result.Ran)
	require.Len(t, f.keys(), 1)
}

// TestRefusedCallMovesOn guards against giving up although nothing ran.
func TestRefusedCallMovesOn(t *testing.T) {
	f := newFleet(t, 2)
	f.script(refused("draining", "no"))
	result := do(t, f, Request{})
	require.True(t, result.Whole)
	require.GreaterOrEqual(t, len(result.Attempts), 2)
	f.script(refused("no_route", "no"))
	result = do(t, f, Request{})
	require.Equal(t, "no", result.Ran)
	require.Len(t, result.Attempts, 1)
}

// TestServiceErrorIsAnAnswer guards against taking an error that a service
// answered for a refusal that may be tried again.
func TestServiceErrorIsAnAnswer(t *testing.T) {
	f := newFleet(t, 2)
	f.script(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		http.Error(w, "no such article", http.StatusNotFound)
	})
	result := do(t, f, Request{})
	require.True(t, result.Whole)
	require.Equal(t, 404, result.Status)
	f.script(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "proxy", http.StatusBadGateway) })
	require.Equal(t, "unknown", do(t, f, Request{}).Ran)
}

// TestKeyedCallKeepsItsKey guards against a call that runs under two keys after
// a broken answer.
func TestKeyedCallKeepsItsKey(t *testing.T) {
	f := newFleet(t, 3)
	f.script(broken, broken)
	result := do(t, f, Request{Keyed: true})
	require.True(t, result.Whole)
	keys := f.keys()
	require.Len(t, keys, 3)
	require.Equal(t, keys[0], keys[1])
	require.Equal(t, keys[0], keys[2])
	require.Len(t, strings.Split(keys[0], "."), 2)
}

// TestUnusedKeyIsReplaced guards against a call that stays bound to an entry
// that is gone, although nothing ran under its key.
func TestUnusedKeyIsReplaced(t *testing.T) {
	f := newFleet(t, 2)
	f.script(refused("draining", "no"))
	result := do(t, f, Request{Keyed: true})
	require.True(t, result.Whole)
	keys := f.keys()
	require.NotEqual(t, keys[0], keys[1])

	stays := do(t, f, Request{Key: "own-key"})
	require.Equal(t, "own-key", stays.Key)
}

// TestDeadEntryIsAvoided guards against calls that fail because one of the
// listed entries is gone.
func TestDeadEntryIsAvoided(t *testing.T) {
	f := newFleet(t, 3)
	f.entries[0].server.Close()
	for range 20 {
		require.True(t, do(t, f, Request{Keyed: true}).Whole)
		require.True(t, do(t, f, Request{}).Whole)
	}
	f.entries[1].server.Close()
	f.entries[2].server.Close()
	_, err := NewCaller(f.addresses(), "", NewHTTP(nil)).Do(context.Background(), &Request{Kind: "k"})
	require.True(t, errorx.IsOfType(err, NotReached))
}

// TestRefusedDiscovery guards against a refused token that is reported as an
// entry that cannot be reached.
func TestRefusedDiscovery(t *testing.T) {
	server := httptest.NewServer(refused("unauthenticated", "no"))
	defer server.Close()
	_, err := NewCaller([]string{server.URL}, "", NewHTTP(nil)).Do(context.Background(), &Request{Kind: "k"})
	require.True(t, errorx.IsOfType(err, Failed))
	require.ErrorContains(t, err, "unauthenticated")
}

// TestStreamMustBeWhole guards against an answer that is accepted without its
// end marker or with another request's id.
func TestStreamMustBeWhole(t *testing.T) {
	stream := func(id func(string) string, tail string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\n%s", id(r.Header.Get("X-Request-Id")), tail)
		}
	}
	own := func(id string) string { return id }
	other := func(id string) string { return "x" + id }
	cases := []struct {
		name  string
		step  http.HandlerFunc
		whole bool
		ran   string
	}{
		{"whole", stream(own, "data: [DONE]\n\n"), true, "yes"},
		{"cut", stream(own, ""), false, "unknown"},
		{"mismatched", stream(other, "data: [DONE]\n\n"), false, "unknown"},
		{"without chunks", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "data: [DONE]\n\n") }, false, "unknown"},
		{"error", stream(own, "data: {\"error\":{\"code\":\"upstream_broke\",\"ran\":\"unknown\"}}\n\n"), false, "unknown"},
	}
	for _, c := range cases {
		f := newFleet(t, 1)
		f.script(c.step)
		result := do(t, f, Request{Model: "m", Stream: true, Messages: []Message{{Role: "user", Content: "x"}}})
		require.Equal(t, c.whole, result.Whole, c.name)
		require.Equal(t, c.ran, result.Ran, c.name)
	}
}

// TestBackoff guards against retries without a pause and against pauses
// shorter than the entry asked for.
func TestBackoff(t *testing.T) {
	for n := range 20 {
		require.GreaterOrEqual(t, backoff(n, 0, 0), firstBackoff/2)
		require.LessOrEqual(t, backoff(n, 0, 0.999), maxBackoff)
		require.GreaterOrEqual(t, backoff(n, 3*time.Second, 0.5), 3*time.Second)
	}
}
