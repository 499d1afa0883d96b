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

// TestDecide guards against a retry that could run a call twice, and against giving
// up where a retry is safe.
func TestDecide(t *testing.T) {
	notRun := func(code string) Refusal { return Refusal{Code: code, Ran: "no"} }
	unknown := func(code string) Refusal { return Refusal{Code: code, Ran: "unknown"} }
	cases := []struct {
		name string
		a    attemptState
		want nextAction
	}{
		{"complete", attemptState{ending: Complete}, stop},
		{"not sent", attemptState{ending: NotSent}, resend},
		{"not sent, ticket", attemptState{ending: NotSent, keyed: true, ticketed: true}, resendWithNewKey},
		{"not sent after incomplete answer, ticket", attemptState{ending: NotSent, keyed: true, ticketed: true, mayHaveRun: true}, resend},
		{"shed", attemptState{ending: Refused, refusal: notRun("shed_overload")}, resend},
		{"draining, ticket", attemptState{ending: Refused, refusal: notRun("draining"), keyed: true, ticketed: true}, resendWithNewKey},
		{"draining after incomplete answer, ticket", attemptState{ending: Refused, refusal: notRun("draining"), keyed: true, ticketed: true, mayHaveRun: true}, resend},
		{"bad request", attemptState{ending: Refused, refusal: notRun("bad_request")}, stop},
		{"infeasible", attemptState{ending: Refused, refusal: notRun("infeasible_deadline")}, stop},
		{"expired ticket", attemptState{ending: Refused, refusal: notRun("ticket_expired"), keyed: true, ticketed: true}, resendWithNewKey},
		{"expired ticket of the caller's own key", attemptState{ending: Refused, refusal: notRun("ticket_expired"), keyed: true}, stop},
		{"expired ticket, unknown", attemptState{ending: Refused, refusal: unknown("ticket_expired"), keyed: true, ticketed: true, mayHaveRun: true}, stop},
		{"retry refused for a transient reason", attemptState{ending: Refused, refusal: unknown("shed_overload"), keyed: true, ticketed: true, mayHaveRun: true}, resend},
		{"issuer of the ticket unreachable", attemptState{ending: Refused, refusal: unknown("ticket_home_gone"), keyed: true, ticketed: true, mayHaveRun: true}, resend},
		{"incomplete answer of upstream", attemptState{ending: Refused, refusal: unknown("upstream_broke"), mayHaveRun: true}, stop},
		{"incomplete answer of upstream, repeatable", attemptState{ending: Refused, refusal: unknown("upstream_broke"), mayHaveRun: true, repeatable: true}, resend},
		{"incomplete answer of upstream, keyed", attemptState{ending: Refused, refusal: unknown("upstream_broke"), mayHaveRun: true, keyed: true}, stop},
		{"draining but ran", attemptState{ending: Refused, refusal: Refusal{Code: "draining", Ran: "yes"}, mayHaveRun: true}, stop},
		{"incomplete answer", attemptState{ending: Incomplete, mayHaveRun: true}, stop},
		{"incomplete answer, repeatable", attemptState{ending: Incomplete, mayHaveRun: true, repeatable: true}, resend},
		{"incomplete answer, keyed", attemptState{ending: Incomplete, mayHaveRun: true, keyed: true}, resend},
		{"incomplete answer, ticket", attemptState{ending: Incomplete, mayHaveRun: true, keyed: true, ticketed: true}, resend},
	}
	for _, c := range cases {
		require.Equal(t, c.want, decide(c.a), c.name)
	}
}

// fakeEntry is an entry instance that answers discovery with all entries of the
// test, and each call with its next step. Without steps left it answers
// completely.
type fakeEntry struct {
	name   string
	server *httptest.Server
	fleet  *fleet

	mu    sync.Mutex
	steps []http.HandlerFunc
	keys  []string
}

// fleet is the set of entries of one test.
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
	step := answerComplete
	if len(e.steps) > 0 {
		step, e.steps = e.steps[0], e.steps[1:]
	}
	e.mu.Unlock()
	step(w, r)
}

func answerComplete(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	io.WriteString(w, "done")
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuse(code, ran string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(refusalBody{Error: &Refusal{Code: code, Ran: ran}})
	}
}

func sendCall(t *testing.T, f *fleet, request Request) *Result {
	t.Helper()
	if request.Kind == "" {
		request.Kind = "k"
	}
	request.Deadline = 10 * time.Second
	result, err := NewCaller(f.addresses(), "token", NewHTTP(nil)).Call(context.Background(), &request)
	require.NoError(t, err)
	return result
}

// setSteps gives every entry the same steps.
func (f *fleet) setSteps(steps ...http.HandlerFunc) {
	for _, entry := range f.entries {
		entry.mu.Lock()
		entry.steps = append([]http.HandlerFunc{}, steps...)
		entry.mu.Unlock()
	}
}

// TestBrokenCallIsNotRepeated guards against a second run of a call without a key
// after an attempt that got no complete answer.
func TestBrokenCallIsNotRepeated(t *testing.T) {
	f := newFleet(t, 2)
	f.setSteps(abortConnection)
	result := sendCall(t, f, Request{})
	require.False(t, result.Complete)
	require.Equal(t, "unknown", result.Ran)
	require.Len(t, f.keys(), 1)
}

// TestRefusedCallIsRetried guards against giving up on a call that did not run, and
// against retries after a refusal that is not transient.
func TestRefusedCallIsRetried(t *testing.T) {
	f := newFleet(t, 2)
	f.setSteps(refuse("draining", "no"))
	result := sendCall(t, f, Request{})
	require.True(t, result.Complete)
	require.GreaterOrEqual(t, len(result.Attempts), 2)
	f.setSteps(refuse("no_route", "no"))
	result = sendCall(t, f, Request{})
	require.Equal(t, "no", result.Ran)
	require.Len(t, result.Attempts, 1)
}

// TestServiceErrorIsAnAnswer guards against treating an HTTP error of a service as
// a refusal, and an HTTP error of a proxy as an answer of the service.
func TestServiceErrorIsAnAnswer(t *testing.T) {
	f := newFleet(t, 2)
	f.setSteps(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		http.Error(w, "no such article", http.StatusNotFound)
	})
	result := sendCall(t, f, Request{})
	require.True(t, result.Complete)
	require.Equal(t, 404, result.Status)
	f.setSteps(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "proxy", http.StatusBadGateway) })
	require.Equal(t, "unknown", sendCall(t, f, Request{}).Ran)
}

// TestKeyedCallKeepsItsKey guards against a call that is sent under two keys after
// an attempt without a complete answer, so that it could run twice.
func TestKeyedCallKeepsItsKey(t *testing.T) {
	f := newFleet(t, 3)
	f.setSteps(abortConnection, abortConnection)
	result := sendCall(t, f, Request{Keyed: true})
	require.True(t, result.Complete)
	keys := f.keys()
	require.Len(t, keys, 3)
	require.Equal(t, keys[0], keys[1])
	require.Equal(t, keys[0], keys[2])
	require.Len(t, strings.Split(keys[0], "."), 2)
}

// TestUnusedKeyIsReplaced guards against a call that stays bound to an entry that
// is leaving although nothing ran under its key, and against replacing a key of
// the caller's own.
func TestUnusedKeyIsReplaced(t *testing.T) {
	f := newFleet(t, 2)
	f.setSteps(refuse("draining", "no"))
	result := sendCall(t, f, Request{Keyed: true})
	require.True(t, result.Complete)
	keys := f.keys()
	require.NotEqual(t, keys[0], keys[1])

	stays := sendCall(t, f, Request{Key: "own-key"})
	require.Equal(t, "own-key", stays.Key)
}

// TestUnreachableEntryIsAvoided guards against calls that fail because one of
// the listed entries has ended.
func TestUnreachableEntryIsAvoided(t *testing.T) {
	f := newFleet(t, 3)
	f.entries[0].server.Close()
	for range 20 {
		require.True(t, sendCall(t, f, Request{Keyed: true}).Complete)
		require.True(t, sendCall(t, f, Request{}).Complete)
	}
	f.entries[1].server.Close()
	f.entries[2].server.Close()
	_, err := NewCaller(f.addresses(), "", NewHTTP(nil)).Call(context.Background(), &Request{Kind: "k"})
	require.True(t, errorx.IsOfType(err, NotReached))
}

// TestRefusedDiscovery guards against reporting a refused token as an unreachable
// entry.
func TestRefusedDiscovery(t *testing.T) {
	server := httptest.NewServer(refuse("unauthenticated", "no"))
	defer server.Close()
	_, err := NewCaller([]string{server.URL}, "", NewHTTP(nil)).Call(context.Background(), &Request{Kind: "k"})
	require.True(t, errorx.IsOfType(err, Failed))
	require.ErrorContains(t, err, "unauthenticated")
}

// TestStreamMustBeComplete guards against accepting an answer without its end
// marker or with the id of another request.
func TestStreamMustBeComplete(t *testing.T) {
	stream := func(id func(string) string, tail string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\n%s", id(r.Header.Get("X-Request-Id")), tail)
		}
	}
	own := func(id string) string { return id }
	other := func(id string) string { return "x" + id }
	cases := []struct {
		name     string
		step     http.HandlerFunc
		complete bool
		ran      string
	}{
		{"complete", stream(own, "data: [DONE]\n\n"), true, "yes"},
		{"truncated", stream(own, ""), false, "unknown"},
		{"mismatched", stream(other, "data: [DONE]\n\n"), false, "unknown"},
		{"without chunks", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "data: [DONE]\n\n") }, false, "unknown"},
		{"error", stream(own, "data: {\"error\":{\"code\":\"upstream_broke\",\"ran\":\"unknown\"}}\n\n"), false, "unknown"},
	}
	for _, c := range cases {
		f := newFleet(t, 1)
		f.setSteps(c.step)
		result := sendCall(t, f, Request{Model: "m", Stream: true, Messages: []Message{{Role: "user", Content: "x"}}})
		require.Equal(t, c.complete, result.Complete, c.name)
		require.Equal(t, c.ran, result.Ran, c.name)
	}
}

// TestBackoff guards against retries without a delay and against delays shorter
// than the entry requested.
func TestBackoff(t *testing.T) {
	for n := range 20 {
		require.GreaterOrEqual(t, backoff(n, 0, 0), initialBackoff/2)
		require.LessOrEqual(t, backoff(n, 0, 0.999), maxBackoff)
		require.GreaterOrEqual(t, backoff(n, 3*time.Second, 0.5), 3*time.Second)
	}
}
