package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/answer"
)

// TestRequestBytesAreBounded guards against an upstream that is sent more than it can hold, against
// a request that was not sent for this reason and is said to have run, and against room that is
// lost when a request ends in another way. It sends more bodies at once than may be unanswered.
func TestRequestBytesAreBounded(t *testing.T) {
	const body, limit = 40 << 10, 100 << 10
	var atUpstream, most atomic.Int64
	goOn := make(chan struct{})
	address := testserver.Listen(t, func(c net.Conn) {
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			n, _ := io.Copy(io.Discard, r.Body)
			most.Store(max(most.Load(), atUpstream.Add(n)))
			<-goOn
			atUpstream.Add(-n)
			_, _ = io.WriteString(c, plain("a", "ok"))
		}
	})
	var waited atomic.Int64
	client := NewClient(Options{DialTimeout: time.Second, MaxIdle: 4, ReadHead: readHead, MaxRequestBytes: limit,
		RequestWaits: func(*Request) { waited.Add(1) }})
	defer client.Close()
	send := func(ctx context.Context, size int) Result {
		c := &caller{}
		return client.Exchange(ctx, &Request{Address: address, Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size), ID: "a"},
			&CallerAnswer{Sink: c, Progress: c})
	}
	first := make(chan Result)
	for range 2 {
		go func() { first <- send(context.Background(), body) }()
	}
	require.Eventually(t, func() bool { return atUpstream.Load() == 2*body }, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 2*body, client.RequestBytes())

	result := send(context.Background(), body)
	require.Equal(t, NotRun, result.Status)
	require.True(t, result.UpstreamFull && result.Unsent && result.HoldOff > 0)
	require.Equal(t, answer.RanNo, result.Ran())
	expired, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	result = send(expired, body)
	require.Equal(t, Expired, result.Status)
	require.True(t, result.Unsent && !result.UpstreamFull)
	require.EqualValues(t, 2, waited.Load())

	close(goOn)
	for range 2 {
		require.Equal(t, Complete, (<-first).Status)
	}
	require.Equal(t, Complete, send(context.Background(), 2*limit).Status, "a body larger than the bound is sent alone")
	require.EqualValues(t, 2*limit, most.Load())
	require.Zero(t, client.RequestBytes())
	require.Empty(t, client.requestBytes.byAddress)
}
