package httpfront

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/upstream"
	"github.com/citrongate/citrongate/pkg/configstate"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TestMain checks for leaked goroutines, except the pollers that nbio leaves
// behind; see Server.Stop.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/lesismal/nbio.(*poller).readWriteLoop"),
		goleak.IgnoreAnyFunction("github.com/lesismal/nbio.(*Engine).Stop"))
}

// backend serves requests with a function and counts them.
type backend struct {
	serve  func(ctx context.Context, r *Request, answer Answer)
	served atomic.Int64
	// refused counts the refusals that the HTTP side reported.
	refused atomic.Int64
}

func (b *backend) Serve(ctx context.Context, r *Request, answer Answer) {
	b.served.Add(1)
	b.serve(ctx, r, answer)
}

func (b *backend) Discover(context.Context) (Discovery, *Refusal) {
	return Discovery{TTLMs: 5000, Addresses: []string{"127.0.0.1:1"}, Ticket: "t", TicketTTLMs: 600000}, nil
}

func (b *backend) CountRefusal(string) { b.refused.Add(1) }

func (b *backend) NewRequestID() string { return "generated-1" }

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func testSet() *configstate.Set {
	return &configstate.Set{
		Revision: 1,
		Organisations: map[string]*pb.Object{
			"acme":  {Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{TokenSha256: []string{digest("acme-token")}}}},
			"small": {Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{TokenSha256: []string{digest("small-token")}, AllowedKinds: []string{"order"}}}},
		},
		Kinds: map[string]*pb.Object{
			"default": {Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{ModelCall: true, MaxOutputTokens: 100}}},
			"order":   {Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{NonIdempotent: true}}},
			"quote":   {Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{}}},
		},
	}
}

type front struct {
	*backend
	server  *Server
	handler *Handler
}

// start starts a server whose requests are served by a function. Callers have so much time to send
// a request that no test runs into it on a busy machine.
func start(t *testing.T, serve func(ctx context.Context, r *Request, answer Answer)) *front {
	t.Helper()
	return startWithin(t, time.Minute, serve)
}

// startWithin is start with the time that a caller has to send a request.
func startWithin(t *testing.T, readTimeout time.Duration, serve func(ctx context.Context, r *Request, answer Answer)) *front {
	t.Helper()
	f := &front{backend: &backend{serve: serve}}
	f.handler = NewHandler(f.backend, time.Minute, eventlog.New(zerolog.Nop(), "", "", nil))
	f.handler.SetAccess(NewAccess(testSet()))
	server, err := NewServer(ServerConfig{
		Address: "127.0.0.1:0", MaxBodyBytes: 4096, MaxHeaderBytes: 2048, MaxConnections: 100, MaxBufferedBytes: 10_000,
		ReadTimeout: readTimeout, Handler: f.handler, InputErrorBody: BadInputBody, Log: zerolog.Nop(),
	})
	require.NoError(t, err)
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)
	f.server = server
	return f
}

// do sends one request on a new connection and returns the answer with its body.
func (f *front) do(t *testing.T, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+f.server.Address()+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer acme-token")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(text)
}

// refusalOf decodes an error body.
func refusalOf(t *testing.T, text string) errorDetail {
	t.Helper()
	var body errorBody
	require.NoError(t, json.Unmarshal([]byte(text), &body), text)
	return body.Error
}

func chunkOf(t *testing.T, text string) ([]byte, *upstream.Chunk) {
	t.Helper()
	var c upstream.Chunk
	require.NoError(t, json.Unmarshal([]byte(text), &c))
	return []byte(text), &c
}

func twoChunks(t *testing.T, r *Request, answer Answer) {
	for _, text := range []string{
		`{"choices":[{"delta":{"content":"a\"wire-1\""}}],"id":"wire-1"}`,
		`{"id":"wire-1","choices":[{"delta":{"content":"b"},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2}}`,
	} {
		raw, c := chunkOf(t, text)
		require.NoError(t, answer.Chunk(raw, c))
	}
}

// raw sends the bytes on a new connection and returns the answer. It fails the
// test if the connection is closed without one.
func (f *front) raw(t *testing.T, input string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	go func() { _, _ = io.WriteString(c, input) }()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	return resp
}
