package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startEngine(t *testing.T, configure func(*Config)) string {
	t.Helper()
	config := Defaults()
	config.Models = []string{"m"}
	config.StepBase = time.Millisecond
	configure(&config)
	e := New(config)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		e.Run(ctx)
		close(stopped)
	}()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-stopped
	})
	return server.URL
}

// answer is what a caller received of a stream.
type answer struct {
	status   int
	ids      map[string]bool
	text     string
	tokens   int
	usage    *usage
	complete bool
}

func sendChat(t *testing.T, url, id, question string) answer {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":100,"messages":[{"role":"user","content":%q}]}`, question)
	return sendRequest(t, "POST", url+"/v1/chat/completions", id, body)
}

func sendRequest(t *testing.T, method, url, id, body string) answer {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("X-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	return readStream(t, response)
}

func readStream(t *testing.T, response *http.Response) answer {
	t.Helper()
	got := answer{status: response.StatusCode, ids: map[string]bool{}}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			got.complete = true
			continue
		}
		var c chunk
		require.NoError(t, json.Unmarshal([]byte(data), &c))
		got.ids[c.ID] = true
		got.text += c.Choices[0].Delta.Content
		if c.Choices[0].Delta.Content != "" {
			got.tokens++
		}
		if c.Usage != nil {
			got.usage = c.Usage
		}
	}
	return got
}

func expectedText(question string, from, to int) string {
	text := ""
	for i := from; i < to; i++ {
		text += TokenText(question, i)
	}
	return text
}

func callControl(t *testing.T, url, path, body string, into any) {
	t.Helper()
	method := "GET"
	if body != "" {
		method = "POST"
	}
	request, err := http.NewRequest(method, url+path, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, 200, response.StatusCode, string(text))
	if into != nil {
		require.NoError(t, json.Unmarshal(text, into))
	}
}

// TestCompleteStream guards against chunks whose format differs from the engine
// protocol, and against a request id that is run twice.
func TestCompleteStream(t *testing.T) {
	url := startEngine(t, func(*Config) {})
	got := sendChat(t, url, "r1", "hello tokens=20")
	require.True(t, got.complete)
	require.Equal(t, map[string]bool{"r1": true}, got.ids)
	require.Equal(t, expectedText("hello tokens=20", 0, 20), got.text)
	require.Equal(t, 20, got.usage.CompletionTokens)
	require.Equal(t, 404, sendRequest(t, "GET", url+"/v1/streams/none?from=0", "", "").status)
	require.Equal(t, 409, sendChat(t, url, "r1", "again").status, "a request id is not run twice")
	var runs map[string]int
	callControl(t, url, "/control/runs", "", &runs)
	require.Equal(t, map[string]int{"r1": 2}, runs, "a second dispatch is counted")
}

// TestResume guards against a resumed stream that repeats or loses tokens.
func TestResume(t *testing.T) {
	url := startEngine(t, func(*Config) {})
	callControl(t, url, "/control/state", `{"break_streams":1,"break_after":7}`, nil)
	first := sendChat(t, url, "r1", "hello tokens=30")
	require.False(t, first.complete)
	require.Equal(t, 7, first.tokens)
	second := sendRequest(t, "GET", url+"/v1/streams/r1?from=7", "", "")
	require.True(t, second.complete)
	require.Equal(t, expectedText("hello tokens=30", 0, 30), first.text+second.text)
	require.Equal(t, 400, sendRequest(t, "GET", url+"/v1/streams/r1?from=31", "", "").status)

	callControl(t, url, "/control/state", `{"break_streams":1,"break_after":3,"forget_broken":true}`, nil)
	require.False(t, sendChat(t, url, "r2", "hello tokens=30").complete)
	require.Equal(t, 404, sendRequest(t, "GET", url+"/v1/streams/r2?from=3", "", "").status)
}

// TestCancelAndRefuse guards against a canceled sequence that stays in the batch
// and against a refusal of a request that was already started.
func TestCancelAndRefuse(t *testing.T) {
	url := startEngine(t, func(c *Config) { c.Models = append(c.Models, "n") })
	callControl(t, url, "/control/state", `{"stall":true}`, nil)
	canceled := make(chan answer)
	go func() { canceled <- sendChat(t, url, "r1", "hello tokens=50") }()
	var counters Counters
	for counters.Started == 0 {
		callControl(t, url, "/control/counters", "", &counters)
	}
	require.Equal(t, 204, sendRequest(t, "DELETE", url+"/v1/streams/r1", "", "").status)
	require.False(t, (<-canceled).complete)
	callControl(t, url, "/control/state", `{"stall":false,"refuse":true}`, nil)
	require.Equal(t, 503, sendChat(t, url, "r2", "hello").status)
	callControl(t, url, "/control/state", `{"refuse":false,"mismatch_answers":1}`, nil)
	require.Equal(t, map[string]bool{"other-r3": true}, sendChat(t, url, "r3", "hello").ids)
	callControl(t, url, "/control/counters", "", &counters)
	require.Equal(t, uint64(1), counters.Canceled)
	require.Equal(t, uint64(1), counters.Refused)
	require.Equal(t, uint64(1), counters.Completed)
}

// TestPrefixCache guards against a cache that grows without bound, or that reports
// a hit for a different prompt.
func TestPrefixCache(t *testing.T) {
	url := startEngine(t, func(c *Config) {
		c.CacheBlocks, c.CacheEventLag, c.CacheEventGap = 20, 0, 0
	})
	long := strings.Repeat("the same words ", 80) + "tokens=2"
	other := strings.Repeat("other words now ", 80) + "tokens=2"
	require.Zero(t, sendChat(t, url, "r1", long).usage.PromptTokensDetails.CachedTokens)
	require.Positive(t, sendChat(t, url, "r2", long).usage.PromptTokensDetails.CachedTokens)
	require.Zero(t, sendChat(t, url, "r3", other).usage.PromptTokensDetails.CachedTokens)
	require.Zero(t, sendChat(t, url, "r4", long).usage.PromptTokensDetails.CachedTokens, "the first prompt was evicted")
	var published struct {
		Events []CacheEvent
		Next   uint64
		Gap    bool
	}
	callControl(t, url, "/v1/cache-events?since=0", "", &published)
	digest := fmt.Sprintf("%016x", PrefixDigest("user\n"+long+"\n"))
	require.Equal(t, CacheEvent{Seq: 1, Type: "cached", Prefix: digest}, published.Events[0])
	require.Contains(t, published.Events, CacheEvent{Seq: 3, Type: "evicted", Prefix: digest})
	require.False(t, published.Gap)
}

// TestEventLog guards against events that are published before their lag has
// passed, and against missing events that are not reported.
func TestEventLog(t *testing.T) {
	log := eventLog{lag: time.Second, gap: 2}
	start := time.Unix(1000, 0)
	for i := range 4 {
		log.add(start.Add(time.Duration(i)*time.Second), "cached", uint64(i))
	}
	events, next, gap := log.since(start.Add(time.Second), 0)
	require.Len(t, events, 1)
	require.Equal(t, uint64(1), next)
	require.False(t, gap)
	events, next, gap = log.since(start.Add(4*time.Second), next)
	require.Len(t, events, 1)
	require.Equal(t, uint64(3), next)
	require.True(t, gap)
}

// TestOrders guards against an engine that checks fencing numbers and still applies
// an order from a previous lease holder.
func TestOrders(t *testing.T) {
	for _, checkFencing := range []bool{true, false} {
		url := startEngine(t, func(c *Config) { c.CheckFencing = checkFencing })
		order := func(fencing int, verb string) int {
			body := fmt.Sprintf(`{"fencing_number":%d,"verb":%q,"argument":"m"}`, fencing, verb)
			return sendRequest(t, "POST", url+"/v1/orders", "", body).status
		}
		require.Equal(t, 200, order(5, "unload_model"))
		require.Equal(t, 404, sendChat(t, url, "r1", "hello").status)
		want := map[bool]int{true: 409, false: 200}[checkFencing]
		require.Equal(t, want, order(4, "load_model"))
		require.Equal(t, 200, order(5, "load_model"))
		require.True(t, sendChat(t, url, "r2", "hello tokens=3").complete)
	}
}
