package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/answer"
)

// upstream starts a server that answers each request with the next raw text of
// the script, and returns its address. An empty text closes the connection.
func upstream(t *testing.T, script ...string) string {
	next := make(chan string, len(script))
	for _, s := range script {
		next <- s
	}
	return testserver.Listen(t, func(c net.Conn) { serve(c, next) })
}

// lateBytes separates what an upstream sends at once from what it sends lateBy
// later, when the client already treats the answer as complete.
const (
	lateBytes = "|late|"
	lateBy    = 20 * time.Millisecond
)

func serve(c net.Conn, next <-chan string) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, ok := <-next
		if !ok || text == "" {
			return
		}
		if text == "early" {
			// Answers before the body has been read, and reads on later.
			_, _ = fmt.Fprint(c, plain("a", "early"))
		}
		buffer := make([]byte, 64<<10)
		for err == nil {
			_, err = request.Body.Read(buffer)
		}
		if text != "early" {
			now, later, _ := strings.Cut(text, lateBytes)
			_, _ = c.Write([]byte(now))
			time.Sleep(lateBy)
			_, _ = c.Write([]byte(later))
		}
		if strings.Contains(text, "cut here") {
			return
		}
	}
}

func plain(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func readHead(code int, h http.Header) AnswerHead {
	return AnswerHead{RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", Encoded: h.Get("Content-Encoding") != ""}
}

func newClient(t *testing.T) *Client {
	c := NewClient(Options{DialTimeout: time.Second, MaxIdle: 4, ReadHead: readHead})
	t.Cleanup(c.Close)
	return c
}

// caller is a Sink and Progress that records what was relayed.
type caller struct {
	starts int
	code   int
	body   strings.Builder
	first  int
	refuse bool
}

func (c *caller) Start(code int, _ http.Header, _ int64) error { c.starts++; c.code = code; return nil }
func (c *caller) Head(AnswerHead)                              {}
func (c *caller) FirstEvent()                                  { c.first++ }
func (c *caller) Events(uint32)                                {}
func (c *caller) Write(p []byte) error {
	if c.refuse {
		return errors.New("caller disconnected")
	}
	c.body.Write(p)
	return nil
}

func (c *caller) relay() *CallerAnswer { return &CallerAnswer{Sink: c, Progress: c} }

func request(address, id string) *Request {
	return &Request{Address: address, Method: "POST", URI: "/p?q=1", Host: "h", Header: http.Header{"User-Agent": {""}}, Body: []byte("body"), ID: id, Repeatable: true}
}

// TestStatuses guards against a wrong status of an exchange, and against relaying
// an answer that must not reach the caller, for each kind of answer.
func TestStatuses(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		status Status
		body   string
	}{
		"complete":                  {plain("a", "hello"), Complete, "hello"},
		"failure with seal":         {"HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno", Complete, "no"},
		"not run":                   {"HTTP/1.1 503 E\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", NotRun, ""},
		"503 that may have run":     {"HTTP/1.1 503 E\r\nId: a\r\nContent-Length: 0\r\n\r\n", Broken, ""},
		"503 with seal":             {"HTTP/1.1 503 E\r\nId: a\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno", Failed, ""},
		"429 with seal":             {"HTTP/1.1 429 E\r\nId: a\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno", Failed, ""},
		"421 with seal":             {"HTTP/1.1 421 E\r\nId: a\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno", Failed, ""},
		"408 with seal":             {"HTTP/1.1 408 E\r\nId: a\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno", Failed, ""},
		"success without seal":      {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nno", Mismatched, ""},
		"encoded":                   {"HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno", Mismatched, ""},
		"another request's":         {plain("b", "no"), Mismatched, ""},
		"closed":                    {"", Broken, ""},
		"not HTTP":                  {"cut here: garbage\r\n\r\n", Broken, ""},
		"short":                     {"HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nContent-Length: 99\r\n\r\ncut here", Broken, "cut here"},
		"chunks without their end":  {"HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ncut here\r\n", Broken, "cut here"},
		"until the connection ends": {"HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\n\r\ncut here", Complete, "cut here"},
		"interim answer first":      {"HTTP/1.1 103 Early\r\n\r\n" + plain("a", "hello"), Complete, "hello"},
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient(t)
			got := &caller{}
			result := client.Exchange(context.Background(), request(upstream(t, c.answer), "a"), got.relay())
			require.Equal(t, c.status, result.Status, result.Detail)
			require.Equal(t, c.body, got.body.String())
		})
	}
}

// TestHeldFailure guards against relaying a failure while the request may still be
// sent again: nothing reaches the caller, and the connection can be reused.
func TestHeldFailure(t *testing.T) {
	client := newClient(t)
	address := upstream(t, "HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno", plain("a", "yes"))
	got := &caller{}
	relay := got.relay()
	r := request(address, "a")
	r.WithholdFailure = true
	result := client.Exchange(context.Background(), r, relay)
	require.Equal(t, Failed, result.Status)
	require.Equal(t, &Failure{Code: 500, Header: relay.Failure.Header, Body: []byte("no")}, relay.Failure)
	require.Zero(t, got.starts)
	require.Equal(t, Complete, client.Exchange(context.Background(), r, relay).Status)
	require.Equal(t, "yes", got.body.String())
}

// TestNotSent guards against counting a request as sent if no connection could be
// opened.
func TestNotSent(t *testing.T) {
	address := testserver.Refuse(t)
	result := newClient(t).Exchange(context.Background(), request(address, "a"), (&caller{}).relay())
	require.Equal(t, NotSent, result.Status)
	require.Equal(t, answer.RanNo, result.Ran())
}

// TestNothingSentAfterDeadline guards against sending a request whose deadline has
// passed, and against a result that leaves open whether it ran.
func TestNothingSentAfterDeadline(t *testing.T) {
	client := newClient(t)
	address := upstream(t, plain("a", "one"), plain("b", "two"))
	require.Equal(t, Complete, client.Exchange(context.Background(), request(address, "a"), (&caller{}).relay()).Status)
	ctx, cancel := context.WithTimeout(context.Background(), -time.Second)
	defer cancel()
	result := client.Exchange(ctx, request(address, "b"), (&caller{}).relay())
	require.Equal(t, Expired, result.Status)
	require.Equal(t, answer.RanNo, result.Ran())
}

// TestReuse guards against an answer given to the wrong request on a reused
// connection: bytes after an answer, and a late second answer to an earlier
// request, belong to no other request.
func TestReuse(t *testing.T) {
	client := newClient(t)
	address := upstream(t, plain("a", "one"), plain("b", "two")+lateBytes+"extra bytes", plain("c", "three"),
		plain("c", "again")+plain("d", "four"), plain("e", "five"))
	for i, id := range []string{"a", "b", "c"} {
		got := &caller{}
		result := client.Exchange(context.Background(), request(address, id), got.relay())
		require.Equal(t, Complete, result.Status, result.Detail)
		require.Equal(t, []string{"one", "two", "three"}[i], got.body.String())
		if id == "b" {
			client.mu.Lock()
			kept := client.idle[address][0]
			client.mu.Unlock()
			require.Eventually(t, func() bool { return !kept.usable() }, 10*time.Second, time.Millisecond)
		}
	}
	got := &caller{}
	result := client.Exchange(context.Background(), request(address, "d"), got.relay())
	require.Equal(t, Complete, result.Status, result.Detail)
	require.Equal(t, "four", got.body.String())
}

// TestEarlyAnswer guards against reusing a connection on which a long body has not
// been sent completely, which happens if the upstream answers early.
func TestEarlyAnswer(t *testing.T) {
	client := newClient(t)
	address := upstream(t, "early", plain("b", "second"))
	long := request(address, "a")
	long.Body = make([]byte, 8<<20)
	got := &caller{}
	result := client.Exchange(context.Background(), long, got.relay())
	require.Equal(t, Complete, result.Status, result.Detail)
	require.Equal(t, "early", got.body.String())
	got = &caller{}
	result = client.Exchange(context.Background(), request(address, "b"), got.relay())
	require.Equal(t, Complete, result.Status, result.Detail)
	require.Equal(t, "second", got.body.String())
}

func streamAnswer(body string) string {
	return "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + body
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const streamEnd = "0\r\n\r\n"

// TestContinuedStream guards against lost, repeated or truncated events of a stream
// that breaks in the middle of an event: only complete events are relayed, and
// another exchange continues after the last one.
func TestContinuedStream(t *testing.T) {
	client := newClient(t)
	broken := upstream(t, streamAnswer(chunk("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\nda")+"cut here"))
	got := &caller{}
	relay := got.relay()
	first := request(broken, "a")
	first.Stream = true
	result := client.Exchange(context.Background(), first, relay)
	require.Equal(t, Broken, result.Status)
	require.Equal(t, "2", relay.LastEvent())
	require.Equal(t, uint32(2), result.Events)

	repeats := request(upstream(t, streamAnswer(chunk("id: 2\ndata: y\n\n")+streamEnd)), "a")
	repeats.Stream = true
	require.Equal(t, Broken, client.Exchange(context.Background(), repeats, relay).Status, "a repeated event is not relayed")

	rest := request(upstream(t, streamAnswer(chunk("id: 3\ndata: z\n\n")+streamEnd)), "a")
	rest.Stream = true
	result = client.Exchange(context.Background(), rest, relay)
	require.Equal(t, Complete, result.Status, result.Detail)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n", got.body.String())
	require.Equal(t, 1, got.starts, "the caller receives headers only once")
	require.Equal(t, 1, got.first)
}

// TestCallerGone guards against an upstream that keeps working on a request whose
// caller disconnected or does not read the answer.
func TestCallerGone(t *testing.T) {
	client := newClient(t)
	stopped := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(stopped)
		c, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		_, err = c.Read(buffer)
		cancel()
		for err == nil {
			_, err = c.Read(buffer)
		}
	}()
	done := make(chan Result, 1)
	go func() { done <- client.Exchange(ctx, request(listener.Addr().String(), "a"), (&caller{}).relay()) }()
	select {
	case result := <-done:
		require.Equal(t, Canceled, result.Status)
	case <-time.After(5 * time.Second):
		require.FailNow(t, "the exchange continues after its caller disconnected")
	}
	<-stopped

	got := &caller{refuse: true}
	result := client.Exchange(context.Background(), request(upstream(t, plain("a", "hello")), "a"), got.relay())
	require.Equal(t, Canceled, result.Status)
}

// TestDeadline guards against an exchange that lasts beyond its deadline because
// the upstream sends nothing.
func TestDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	result := newClient(t).Exchange(ctx, request(listener.Addr().String(), "a"), (&caller{}).relay())
	require.Equal(t, Expired, result.Status)
}
