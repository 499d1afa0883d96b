package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clock is a clock that a test advances.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func startPlatform(t *testing.T, config Config) (*Platform, string) {
	t.Helper()
	p := New(config)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return p, server.URL
}

// call returns the status, the ETag and the body of an answer; the status is 0
// if the connection was closed without an answer.
func call(t *testing.T, method, url, body string, header ...string) (int, string, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header.Get("ETag"), string(text)
}

// TestConditionalWrites guards against a store that reports success to both of two
// writers whose conditional writes conflict.
func TestConditionalWrites(t *testing.T) {
	_, url := startPlatform(t, Config{})
	key := url + "/v1/objects/config/head"
	status, tag, _ := call(t, "PUT", key, "a", "If-None-Match", "*")
	require.Equal(t, 201, status)
	status, again, _ := call(t, "PUT", key, "b", "If-None-Match", "*")
	require.Equal(t, 412, status)
	require.Equal(t, tag, again, "a conflict returns the current version")
	status, second, _ := call(t, "PUT", key, "c", "If-Match", tag)
	require.Equal(t, 200, status)
	status, _, _ = call(t, "PUT", key, "d", "If-Match", tag)
	require.Equal(t, 412, status)
	status, read, value := call(t, "GET", key, "")
	require.Equal(t, 200, status)
	require.Equal(t, second, read)
	require.Equal(t, "c", value)
	status, _, _ = call(t, "PUT", key, "e")
	require.Equal(t, 428, status, "a write without a condition is refused")
	status, _, _ = call(t, "DELETE", key, "", "If-Match", tag)
	require.Equal(t, 412, status)
	status, _, _ = call(t, "DELETE", key, "", "If-Match", second)
	require.Equal(t, 204, status)
	status, _, _ = call(t, "PUT", key, "f", "If-Match", second)
	require.Equal(t, 404, status)
	status, third, _ := call(t, "PUT", key, "g", "If-None-Match", "*")
	require.Equal(t, 201, status)
	require.NotEqual(t, tag, third, "a version is never reused")
}

// TestConcurrentUpdates guards against updates of concurrent writers that are lost.
func TestConcurrentUpdates(t *testing.T) {
	_, url := startPlatform(t, Config{})
	key := url + "/v1/objects/claims/1"
	call(t, "PUT", key, "", "If-None-Match", "*")
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 20 {
				for done := false; !done; {
					_, tag, value := call(t, "GET", key, "")
					status, _, _ := call(t, "PUT", key, value+"x", "If-Match", tag)
					done = status == 200
				}
			}
		})
	}
	writers.Wait()
	_, _, value := call(t, "GET", key, "")
	require.Len(t, value, 160)
}

// TestLostAnswers guards against a stand-in that does not apply a write whose answer
// is dropped, or applies one whose request is dropped.
func TestLostAnswers(t *testing.T) {
	_, url := startPlatform(t, Config{})
	key := url + "/v1/objects/k"
	call(t, "POST", url+"/control/state", `{"drop_answers":1}`)
	status, _, _ := call(t, "PUT", key, "applied", "If-None-Match", "*")
	require.Zero(t, status)
	status, tag, value := call(t, "GET", key, "")
	require.Equal(t, 200, status)
	require.Equal(t, "applied", value)
	call(t, "POST", url+"/control/state", `{"drop_requests":1}`)
	status, _, _ = call(t, "PUT", key, "lost", "If-Match", tag)
	require.Zero(t, status)
	_, _, value = call(t, "GET", key, "")
	require.Equal(t, "applied", value)
	status, _, _ = call(t, "PUT", key, "next", "If-Match", tag)
	require.Equal(t, 200, status, "only the requested number of calls is dropped")
}

// TestOutageAndRateLimit guards against injected faults that have no effect.
func TestOutageAndRateLimit(t *testing.T) {
	now := &clock{now: time.Unix(1000, 0)}
	_, url := startPlatform(t, Config{WritesPerSecond: 2, Now: now.Now})
	status, _, _ := call(t, "PUT", url+"/v1/objects/a", "", "If-None-Match", "*")
	require.Equal(t, 201, status)
	status, _, _ = call(t, "PUT", url+"/v1/objects/b", "", "If-None-Match", "*")
	require.Equal(t, 201, status)
	status, _, _ = call(t, "PUT", url+"/v1/objects/c", "", "If-None-Match", "*")
	require.Equal(t, 429, status)
	now.advance(time.Second)
	call(t, "POST", url+"/control/state", `{"outage":true}`)
	status, _, _ = call(t, "PUT", url+"/v1/objects/c", "", "If-None-Match", "*")
	require.Equal(t, 503, status)
	call(t, "POST", url+"/control/state", `{"outage":false}`)
	status, _, _ = call(t, "PUT", url+"/v1/objects/c", "", "If-None-Match", "*")
	require.Equal(t, 201, status)
	_, _, text := call(t, "GET", url+"/control/counters", "")
	var counters Counters
	require.NoError(t, json.Unmarshal([]byte(text), &counters))
	require.Equal(t, Counters{Writes: 4, Throttled: 1, Refused: 1}, counters)
}

// TestWatch guards against changes that a watch omits or reports twice.
func TestWatch(t *testing.T) {
	_, url := startPlatform(t, Config{})
	answers := make(chan string)
	go func() {
		_, _, text := call(t, "GET", url+"/v1/watch?prefix=config/&after=1&wait_ms=30000", "")
		answers <- text
	}()
	call(t, "PUT", url+"/v1/objects/other", "", "If-None-Match", "*")
	_, tag, _ := call(t, "PUT", url+"/v1/objects/config/head", "", "If-None-Match", "*")
	require.JSONEq(t, `{"version":2,"events":[{"key":"config/head","version":2}]}`, <-answers)
	call(t, "DELETE", url+"/v1/objects/config/head", "", "If-Match", tag)
	_, _, text := call(t, "GET", url+"/v1/watch?prefix=config/&after=2&wait_ms=30000", "")
	require.JSONEq(t, `{"version":3,"events":[{"key":"config/head","version":3,"deleted":true}]}`, text)
	_, _, text = call(t, "GET", url+"/v1/watch?prefix=config/&after=3&wait_ms=1", "")
	require.JSONEq(t, `{"version":3,"events":[]}`, text)
}

// TestInstanceList guards against a list that loses the leaving mark, keeps instances
// whose heartbeats ended, or lags by a time other than the configured one.
func TestInstanceList(t *testing.T) {
	now := &clock{now: time.Unix(1000, 0)}
	p, url := startPlatform(t, Config{ListLag: time.Second, InstanceTTL: 5 * time.Second, Now: now.Now})
	p.AddUpstream("engine-1", "1")
	heartbeat := `{"name":"entry-1","incarnation":"a","peer_address":"127.0.0.1:1"}`
	status, _, _ := call(t, "POST", url+"/v1/instances", heartbeat)
	require.Equal(t, 204, status)
	require.Empty(t, listInstances(t, url), "the list lags by a second")
	now.advance(time.Second)
	require.Len(t, listInstances(t, url), 2)

	call(t, "POST", url+"/control/instances/engine-1/leaving", "")
	call(t, "POST", url+"/v1/instances", strings.Replace(heartbeat, "}", `,"leaving":true}`, 1))
	call(t, "POST", url+"/v1/instances", heartbeat)
	call(t, "POST", url+"/control/state", `{"stale_list":true}`)
	now.advance(time.Second)
	require.False(t, listInstances(t, url)[0].Leaving, "a stale list doesn't show the change")
	call(t, "POST", url+"/control/state", `{"stale_list":false}`)
	for _, instance := range listInstances(t, url) {
		require.True(t, instance.Leaving, "leaving stays set")
	}

	now.advance(5 * time.Second)
	p.instances.expire(now.Now())
	now.advance(time.Second)
	require.Len(t, listInstances(t, url), 1, "an instance whose heartbeats ended is no longer listed")
}

func listInstances(t *testing.T, url string) []Instance {
	t.Helper()
	_, _, text := call(t, "GET", url+"/v1/instances", "")
	var answer struct{ Instances []Instance }
	require.NoError(t, json.Unmarshal([]byte(text), &answer))
	return answer.Instances
}
