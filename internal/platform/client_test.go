package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/citrongate/citrongate/internal/standin/platform"
	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var allOpKinds = []store.OpKind{store.Get, store.Create, store.Update, store.Delete, store.List}

func isWrite(kind store.OpKind) bool {
	return kind == store.Create || kind == store.Update || kind == store.Delete
}

// rawServerClient starts a server that reads one request per connection and answers
// with the bytes of raw, and returns a client for it.
func rawServerClient(t *testing.T, raw string) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, raw)
			}
			_ = c.Close()
		}
	}()
	client := NewClient(listener.Addr().String(), 5*time.Second)
	t.Cleanup(func() { client.Close(); _ = listener.Close(); <-done })
	return client
}

// TestStatuses guards against reporting a write as without effect although it may
// have taken effect, and against reporting a refused write as unknown.
func TestStatuses(t *testing.T) {
	const lost = store.Status(0) // Unknown for writes, Unavailable for reads
	for _, c := range []struct {
		name, raw string
		want      store.Status
	}{
		{"no answer", "", lost},
		{"truncated header", "HTTP/1.1 200 O", lost},
		{"truncated body", "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 5\r\n\r\nab", lost},
		{"server error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", lost},
		{"gateway time-out", "HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n", lost},
		{"no version", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", lost},
		{"rate limit exceeded", "HTTP/1.1 429 Slow\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", store.Throttled},
		{"outage", "HTTP/1.1 503 Outage\r\nContent-Length: 0\r\n\r\n", store.Unavailable},
		{"condition not met", "HTTP/1.1 412 No\r\nETag: \"9\"\r\nContent-Length: 0\r\n\r\n", store.Conflict},
		{"missing", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", store.NotFound},
		{"malformed request", "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", store.Unavailable},
	} {
		client := rawServerClient(t, c.raw)
		for _, kind := range allOpKinds {
			want := c.want
			switch {
			case want == lost && isWrite(kind):
				want = store.Unknown
			case want == lost:
				want = store.Unavailable
			}
			if c.name == "no version" && kind == store.Delete {
				want = store.OK // a deletion has no version to answer with
			}
			got := client.Execute(context.Background(), store.Op{Kind: kind, Key: "a/b", Value: []byte("v"), Version: 3})
			require.Equal(t, want, got.Status, "%s, operation %d", c.name, kind)
		}
	}
}

// TestNotReached guards against reporting a write as unknown that was not sent
// because the platform could not be reached.
func TestNotReached(t *testing.T) {
	client := NewClient(testserver.Refuse(t), time.Second)
	for _, kind := range allOpKinds {
		require.Equal(t, store.Unavailable, client.Execute(context.Background(), store.Op{Kind: kind, Key: "a"}).Status)
	}
	require.False(t, client.Instances(context.Background()).OK)
}

// TestTimeout guards against waiting for an answer beyond the timeout.
func TestTimeout(t *testing.T) {
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-hold:
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	defer close(hold)
	client := NewClient(server.Listener.Addr().String(), 100*time.Millisecond)
	defer client.Close()
	require.Equal(t, store.Unknown, client.Execute(context.Background(), store.Op{Kind: store.Create, Key: "a"}).Status)
	require.Equal(t, store.Unavailable, client.Execute(context.Background(), store.Op{Kind: store.Get, Key: "a"}).Status)
}

// TestAgainstStandin guards against a client that interprets the platform's protocol
// differently from the platform stand-in.
func TestAgainstStandin(t *testing.T) {
	p := platform.New(platform.Config{InstanceTTL: time.Minute})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := NewClient(server.Listener.Addr().String(), 5*time.Second)
	defer client.Close()
	ctx := context.Background()
	do := func(op store.Op) store.Result { return client.Execute(ctx, op) }

	require.Equal(t, store.NotFound, do(store.Op{Kind: store.Get, Key: "config/head"}).Status)
	created := do(store.Op{Kind: store.Create, Key: "config/head", Value: []byte("one")})
	require.Equal(t, store.OK, created.Status)
	require.Equal(t, store.Conflict, do(store.Op{Kind: store.Create, Key: "config/head", Value: []byte("x")}).Status)
	read := do(store.Op{Kind: store.Get, Key: "config/head"})
	require.Equal(t, store.Result{Status: store.OK, Value: []byte("one"), Version: created.Version}, read)
	require.Equal(t, store.Conflict, do(store.Op{Kind: store.Update, Key: "config/head", Value: []byte("x"), Version: created.Version + 1}).Status)
	updated := do(store.Op{Kind: store.Update, Key: "config/head", Value: []byte("two"), Version: created.Version})
	require.Equal(t, store.OK, updated.Status)
	require.Greater(t, updated.Version, created.Version)
	require.Equal(t, []store.Entry{{Key: "config/head", Version: updated.Version}}, do(store.Op{Kind: store.List, Key: "config/"}).Entries)
	require.Equal(t, store.OK, do(store.Op{Kind: store.Delete, Key: "config/head", Version: updated.Version}).Status)

	require.True(t, client.Register(ctx, Registration{Name: "entry-1", Incarnation: "00ff", PeerAddress: "127.0.0.1:9", Leaving: true}))
	list := client.Instances(ctx)
	require.True(t, list.OK)
	require.Len(t, list.Instances, 1)
	require.Equal(t, "127.0.0.1:9", list.Instances[0].PeerAddress)
	require.True(t, list.Instances[0].Leaving)
	require.False(t, list.Instances[0].Upstream)
}
