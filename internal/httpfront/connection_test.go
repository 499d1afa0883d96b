package httpfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/upstream"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TestInputBounds checks that input beyond a limit and invalid HTTP are refused
// with the right status and code and never reach the backend.
func TestInputBounds(t *testing.T) {
	echoLength := func(_ context.Context, r *Request, answer Answer) {
		_ = answer.Outcome(&pb.BindingOutcome{HttpStatus: 200, Body: []byte(fmt.Sprint(len(r.Body)))})
	}
	f, impatient := start(t, echoLength), startWithin(t, 300*time.Millisecond, echoLength)
	chunk := "400\r\n" + strings.Repeat("a", 1024) + "\r\n"
	for _, c := range []struct {
		name, input string
		status      int
		code        string
	}{
		{"largest body", rawHead + "Content-Length: 4096\r\n\r\n" + strings.Repeat("a", 4096), 200, ""},
		{"declared body too large", rawHead + "Content-Length: 4097\r\n\r\n", 413, "too_large"},
		{"huge declared body", rawHead + "Content-Length: 99999999999\r\n\r\n", 413, "too_large"},
		{"chunked body too large", rawHead + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 40), 413, "too_large"},
		{"another chunked body too large", rawHead + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 12), 413, "too_large"},
		{"many headers", rawHead + strings.Repeat("X-A: 0123456789\r\n", 200) + "\r\n", 431, "too_large"},
		{"one long header", rawHead + "X-A: " + strings.Repeat("a", 3000) + "\r\n\r\n", 431, "too_large"},
		{"header without end", rawHead + "X-A: " + strings.Repeat("a", 200000), 431, "too_large"},
		{"long address", "GET /" + strings.Repeat("a", 3000) + " HTTP/1.1\r\nHost: x\r\n\r\n", 431, "too_large"},
		{"not HTTP", "BLAH\r\n\r\n", 400, "bad_request"},
		{"negative length", rawHead + "Content-Length: -1\r\n\r\n", 400, "bad_request"},
		{"two lengths", rawHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, "bad_request"},
		{"length and chunks", rawHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "bad_request"},
		{"header too slow", "POST /v1/ca", 408, "bad_request"},
		{"body too slow", rawHead + "Content-Length: 10\r\n\r\nabc", 408, "bad_request"},
	} {
		t.Log(c.name)
		server := f
		if c.status == 408 {
			server = impatient
		}
		// The body of the case before counts until its connection is closed.
		require.Eventually(t, func() bool { return server.server.buffered.Load() == 0 }, 10*time.Second, time.Millisecond)
		resp := server.raw(t, c.input)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err, c.name)
		require.Equal(t, c.status, resp.StatusCode, "%s: %s", c.name, text)
		if c.code != "" {
			require.Equal(t, c.code, refusalOf(t, string(text)).Code, c.name)
		}
	}
	require.Equal(t, int64(1), f.served.Load()+impatient.served.Load(), "refused input must not reach the backend")
}

// TestTruncatedRequest guards against serving a request whose caller closed the
// connection in the middle of the body.
func TestTruncatedRequest(t *testing.T) {
	f := start(t, func(_ context.Context, r *Request, answer Answer) {
		_ = answer.Outcome(&pb.BindingOutcome{HttpStatus: 200})
	})
	c, err := net.Dial("tcp", f.server.Address())
	require.NoError(t, err)
	_, err = io.WriteString(c, rawHead+"Content-Length: 10\r\n\r\nabc")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	resp, _ := f.do(t, "POST", "/v1/call/quote", "whole")
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, int64(1), f.served.Load())
}

// TestExpectContinue guards against callers that wait in vain for "100 Continue"
// before they send the body.
func TestExpectContinue(t *testing.T) {
	f := start(t, func(_ context.Context, r *Request, answer Answer) {
		_ = answer.Outcome(&pb.BindingOutcome{HttpStatus: 200, Body: r.Body})
	})
	c, err := net.Dial("tcp", f.server.Address())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, rawHead+"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	_, err = io.WriteString(c, "abc")
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "abc", string(text))
}

// TestPipelined guards against pipelined requests that are answered out of order.
func TestPipelined(t *testing.T) {
	f := start(t, func(_ context.Context, r *Request, answer Answer) {
		_ = answer.Outcome(&pb.BindingOutcome{HttpStatus: 200, Body: r.Body})
	})
	c, err := net.Dial("tcp", f.server.Address())
	require.NoError(t, err)
	defer c.Close()
	input := ""
	for i := range 3 {
		input += rawHead + fmt.Sprintf("Content-Length: 1\r\n\r\n%d", i)
	}
	_, err = io.WriteString(c, input)
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	for i := range 3 {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(i), string(text))
	}
}

// TestBothEndsClose guards against answers lost because nbio's poller closes a
// newer connection that reuses a closed one's descriptor. It happened when the
// server and the caller closed a connection at the same time.
func TestBothEndsClose(t *testing.T) {
	f := start(t, func(_ context.Context, r *Request, answer Answer) {
		_ = answer.Outcome(&pb.BindingOutcome{HttpStatus: 200, Body: []byte("ok")})
	})
	const callers, calls = 4, 3000
	failures := make(chan error, callers)
	for range callers {
		go func() {
			var first error
			for range calls {
				if err := closeTogether(f.server.Address()); err != nil && first == nil {
					first = err
				}
			}
			failures <- first
		}()
	}
	for range callers {
		require.NoError(t, <-failures)
	}
}

// TestMaxConnections guards against more open connections than MaxConnections,
// and against closed connections that are still counted.
func TestMaxConnections(t *testing.T) {
	f := start(t, func(_ context.Context, r *Request, answer Answer) {
		_ = answer.Outcome(&pb.BindingOutcome{HttpStatus: 200})
	})
	var open []net.Conn
	for range 100 {
		c, err := net.Dial("tcp", f.server.Address())
		require.NoError(t, err)
		open = append(open, c)
	}
	for f.server.OpenConnections() < 100 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		resp := f.raw(t, "")
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, 503, resp.StatusCode)
		require.Equal(t, "limit_in_flight", refusalOf(t, string(text)).Code)
	}
	for _, c := range open {
		_ = c.Close()
	}
	for f.server.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
	resp, _ := f.do(t, "POST", "/v1/call/quote", "")
	require.Equal(t, 200, resp.StatusCode)
}

// TestBufferedBytes guards against bodies that together exceed MaxBufferedBytes,
// and against bytes that are still counted after their request has ended.
func TestBufferedBytes(t *testing.T) {
	release := make(chan struct{})
	f := start(t, func(_ context.Context, r *Request, answer Answer) {
		<-release
		_ = answer.Outcome(&pb.BindingOutcome{HttpStatus: 200})
	})
	body := strings.Repeat("x", 4000)
	done := make(chan int, 2)
	for range 2 {
		go func() {
			resp, _ := f.do(t, "POST", "/v1/call/quote", body)
			done <- resp.StatusCode
		}()
	}
	for f.served.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	resp, text := f.do(t, "POST", "/v1/call/quote", body)
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, "shed_overload", refusalOf(t, text).Code)
	close(release)
	require.Equal(t, 200, <-done)
	require.Equal(t, 200, <-done)
	for f.server.buffered.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	resp, _ = f.do(t, "POST", "/v1/call/quote", body)
	require.Equal(t, 200, resp.StatusCode)
}

// TestStalledCaller guards against a writer that stays blocked after its caller
// has stopped reading and closed the connection.
func TestStalledCaller(t *testing.T) {
	ended := make(chan error, 1)
	f := start(t, func(_ context.Context, r *Request, answer Answer) {
		body := []byte(`"` + strings.Repeat("x", 64<<10) + `"`)
		for {
			if err := answer.Chunk(body, &upstream.Chunk{ID: "none"}); err != nil {
				ended <- err
				return
			}
		}
	})
	c, err := net.Dial("tcp", f.server.Address())
	require.NoError(t, err)
	body := chatJSON + `,"stream":true}`
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer acme-token\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 1024))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Error(t, <-ended)
}

// TestBackPressure guards against buffering a whole stream in memory for a caller
// that reads slowly, and against a blocked writer that is never woken up.
func TestBackPressure(t *testing.T) {
	const total, chunk = 64 << 20, 16 << 10
	// Bytes in flight: the TCP window and both socket buffers; loopback sockets
	// buffer up to 6 MB each.
	const bound = 16 << 20
	var written atomic.Int64
	f := start(t, func(_ context.Context, r *Request, answer Answer) {
		body := []byte(`"` + strings.Repeat("x", chunk-2) + `"`)
		for written.Load() < total {
			if answer.Chunk(body, &upstream.Chunk{ID: "none"}) != nil {
				return
			}
			written.Add(chunk)
		}
		_ = answer.Done()
	})
	req, err := http.NewRequest("POST", "http://"+f.server.Address()+"/v1/chat/completions", strings.NewReader(chatJSON+`,"stream":true}`))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer acme-token")
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	read := int64(0)
	buffer := make([]byte, 1<<20)
	for {
		n, err := io.ReadFull(resp.Body, buffer)
		read += int64(n)
		require.LessOrEqual(t, written.Load()-read, int64(bound))
		if err != nil {
			break
		}
	}
	require.Greater(t, read, int64(total))
}
