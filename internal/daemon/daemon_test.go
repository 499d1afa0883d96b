package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/citrongate/citrongate/internal/nodeloop"
	"github.com/citrongate/citrongate/internal/settings"
	"github.com/citrongate/citrongate/internal/standin/engine"
	"github.com/citrongate/citrongate/internal/standin/platform"
	"github.com/citrongate/citrongate/internal/standin/service"
	"github.com/citrongate/citrongate/pkg/node"
)

// TestMain checks for leaked goroutines, except for the pollers that nbio
// leaves behind; see httpfront.Server.Stop.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/lesismal/nbio.(*poller).readWriteLoop"),
		goleak.IgnoreAnyFunction("github.com/lesismal/nbio.(*Engine).Stop"))
}

func tokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// testEnvironment holds the external systems that instances of a test use: the
// platform, an engine and a service.
type testEnvironment struct {
	t             *testing.T
	platform      string
	engine        *httptest.Server
	service       *httptest.Server
	instanceCount int
	log           zerolog.Logger
}

func newTestEnvironment(t *testing.T) *testEnvironment {
	t.Helper()
	p := httptest.NewServer(platform.New(platform.Config{InstanceTTL: 5 * time.Second}).Handler())
	t.Cleanup(p.Close)
	config := engine.Defaults()
	config.Models, config.CacheEventLag = []string{"m"}, 0
	config.StepBase = time.Millisecond
	e := engine.New(config)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); e.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	s := &testEnvironment{t: t, log: zerolog.Nop(), platform: p.Listener.Addr().String(), engine: httptest.NewServer(e.Handler()), service: httptest.NewServer(service.New(service.Config{}).Handler())}
	t.Cleanup(s.engine.Close)
	t.Cleanup(s.service.Close)
	return s
}

// freeAddress returns an address that was free a moment ago.
func freeAddress(t *testing.T) string { return freeAddresses(t, 1)[0] }

// freeAddresses returns different addresses that were free a moment ago.
func freeAddresses(t *testing.T, count int) (addresses []string) {
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

type instance struct {
	*Daemon
	t             *testing.T
	adminAddress  string
	callerAddress string
}

// start runs an instance with the real node. It retries with other addresses if
// another process has bound one of them meanwhile.
func (s *testEnvironment) start(extra string) *instance {
	s.t.Helper()
	s.instanceCount++
	for attempt := 0; ; attempt++ {
		i, err := s.tryStart(extra)
		if err == nil {
			return i
		}
		require.True(s.t, errors.Is(err, syscall.EADDRINUSE) && attempt < 5, err)
	}
}

func (s *testEnvironment) tryStart(extra string) (*instance, error) {
	s.t.Helper()
	addresses := freeAddresses(s.t, 3)
	callerAddress, adminAddress, peerAddress := addresses[0], addresses[1], addresses[2]
	text := fmt.Sprintf("[instance]\nname = entry-%d\nfailure_domain = z\nregion = r\n[listen]\ncaller = %s\nadmin = %s\npeer = %s\n[platform]\naddress = %s\n[bootstrap]\noperator_token_sha256 = %s\n%s",
		s.instanceCount, callerAddress, adminAddress, peerAddress, s.platform, tokenDigest("op"), extra)
	loaded, err := settings.Parse("test", []byte(text))
	require.NoError(s.t, err)
	d, err := New(loaded, s.log, func(cfg node.Config, seed uint64) nodeloop.Machine { return node.New(cfg, seed) })
	require.NoError(s.t, err)
	if err := d.Start(); err != nil {
		return nil, err
	}
	s.t.Cleanup(func() {
		if d.ctx.Err() == nil {
			d.Close()
		}
	})
	return &instance{Daemon: d, t: s.t, adminAddress: adminAddress, callerAddress: callerAddress}, nil
}

// configure applies the test configuration and waits until it is in force.
func (s *testEnvironment) configure(instances ...*instance) {
	s.t.Helper()
	objects := fmt.Sprintf(`{"objects":[
		{"meta":{"kind":"Tier","name":"t"},"tier":{"rank":0,"default_deadline_ms":20000}},
		{"meta":{"kind":"Organisation","name":"acme"},"organisation":{"token_sha256":[%q]}},
		{"meta":{"kind":"Organisation","name":"other"},"organisation":{"token_sha256":[%q]}},
		{"meta":{"kind":"RequestKind","name":"default"},"request_kind":{"tier":"t","model_call":true,"max_output_tokens":100000}},
		{"meta":{"kind":"RequestKind","name":"lookup"},"request_kind":{"tier":"t"}},
		{"meta":{"kind":"RequestKind","name":"book"},"request_kind":{"tier":"t","non_idempotent":true}},
		{"meta":{"kind":"Upstream","name":"e1"},"upstream":{"address":%q,"type":"engine","failure_domain":"z","models":["m"]}},
		{"meta":{"kind":"Upstream","name":"s1"},"upstream":{"address":%q,"type":"service","failure_domain":"z"}},
		{"meta":{"kind":"Route","name":"models"},"route":{"order":1,"requests":"kind=default","upstreams":"type=engine"}},
		{"meta":{"kind":"Route","name":"services"},"route":{"order":2,"requests":"kind in (lookup,book)","upstreams":"type=service"}},
		{"meta":{"kind":"Operator","name":"reader"},"operator":{"token_sha256":[%q],"read_only":true}}]}`,
		tokenDigest("acme-token"), tokenDigest("other-token"), s.engine.Listener.Addr(), s.service.Listener.Addr(), tokenDigest("reader-token"))
	status, _, text := instances[0].call("POST", instances[0].adminAddress, "/admin/v1/apply", "op", objects)
	require.Equal(s.t, 200, status, text)
	for _, i := range instances {
		i.waitUntil("configuration in force and ready", func() bool {
			status, _, _ := i.call("GET", i.adminAddress, "/readyz", "", "")
			return status == 200 && i.config.Load() != nil
		})
	}
}

// waitUntil waits until reached returns true. The bound only ends a test that hangs.
func (i *instance) waitUntil(what string, reached func() bool) {
	i.t.Helper()
	for range 3000 {
		if reached() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.FailNow(i.t, "timed out waiting for: "+what)
}

func newRequest(method, address, path, token, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for n := 0; n < len(header); n += 2 {
		req.Header.Set(header[n], header[n+1])
	}
	return req
}

func (i *instance) call(method, address, path, token, body string, header ...string) (int, http.Header, string) {
	i.t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(newRequest(method, address, path, token, body, header...))
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(i.t, err)
	return resp.StatusCode, resp.Header, string(text)
}

// readControl reads a resource of a stand-in's control API.
func readControl[T any](t *testing.T, server *httptest.Server, path string) T {
	t.Helper()
	var out T
	resp, err := http.Get(server.URL + path)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

func setFaults(t *testing.T, server *httptest.Server, faults string) {
	t.Helper()
	resp, err := http.Post(server.URL+"/control/state", "application/json", strings.NewReader(faults))
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, 200, resp.StatusCode)
}

func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"hello there"}],"max_tokens":%d,"stream":%t}`, tokens, stream)
}

type errorAnswer struct {
	Error struct {
		Code, Ran string
		RequestID string `json:"request_id"`
	}
}

func parseError(t *testing.T, text string) (code, ran string) {
	t.Helper()
	var body errorAnswer
	require.NoError(t, json.Unmarshal([]byte(text), &body), text)
	return body.Error.Code, body.Error.Ran
}
