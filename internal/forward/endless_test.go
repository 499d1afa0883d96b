package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/answer"
)

// endless starts a server that answers each request with start and then repeats
// text until the caller closes the connection.
func endless(t testing.TB, start, text string) string {
	block := []byte(strings.Repeat(text, 1+(32<<10)/len(text)))
	return testserver.Listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := c.Write([]byte(start))
		for err == nil {
			_, err = c.Write(block)
		}
	})
}

// discard is a Sink that counts what it receives.
type discard struct {
	caller
	bytes int
}

func (d *discard) Write(p []byte) error { d.bytes += len(p); return nil }

const okHead = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\n"

// endlessAnswers are answers whose head, framing, event or body never ends.
var endlessAnswers = map[string]struct {
	start, text string
	stream      bool
	// headless is true if nothing may reach the caller.
	headless bool
}{
	"status line":             {"HTTP/1.1 200 ", "x", false, true},
	"no HTTP":                 {"", "garbage ", false, true},
	"no HTTP, lines":          {"", "garbage\r\n", false, true},
	"one header":              {okHead + "A: ", "x", false, true},
	"header lines":            {okHead, "A: b\r\n", false, true},
	"continued header":        {okHead + "A: b\r\n", " b\r\n", false, true},
	"interim answers":         {"", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n", false, true},
	"answers to others":       {"", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nx", false, true},
	"body, no length":         {okHead + "\r\n", "x", false, false},
	"body of a failure":       {"HTTP/1.1 500 E\r\nId: a\r\nSeal: x\r\n\r\n", "x", false, false},
	"body of a refusal":       {"HTTP/1.1 503 E\r\nId: a\r\nNot-Run: 1\r\n\r\n", "x", false, true},
	"body, length too large":  {okHead + "Content-Length: 99999999999\r\n\r\n", "x", false, true},
	"chunks":                  {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false, false},
	"chunk extension":         {okHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x", false, false},
	"chunk size":              {okHead + "Transfer-Encoding: chunked\r\n\r\n", "0", false, false},
	"trailer line":            {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x", false, false},
	"trailer lines":           {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false, false},
	"event":                   {okHead + "Content-Type: text/event-stream\r\n\r\ndata: ", "x", true, true},
	"event of many lines":     {okHead + "Content-Type: text/event-stream\r\n\r\n", "data: x\n", true, true},
	"events":                  {okHead + "Content-Type: text/event-stream\r\n\r\n", "data: x\n\n", true, false},
	"event in a chunked body": {okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true, true},
}

const (
	testMaxHead  = 16 << 10
	testMaxEvent = 64 << 10
	testMaxBody  = 1 << 20
)

func boundedClient(t testing.TB) *Client {
	c := NewClient(Options{DialTimeout: time.Second, MaxIdle: 4, ReadHead: readHead,
		MaxHeadBytes: testMaxHead, MaxEventBytes: testMaxEvent, MaxBodyBytes: testMaxBody})
	t.Cleanup(c.Close)
	return c
}

// TestEndlessAnswers guards against a server whose answer never ends and that
// occupies memory or the request: the exchange ends long before its deadline, says
// that the request may have run, never calls the answer complete, and relays no
// more than the limits allow. The upstream's own statement that it did not run the
// request holds, whatever follows it.
func TestEndlessAnswers(t *testing.T) {
	client := boundedClient(t)
	for name, c := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			r := request(endless(t, c.start, c.text), "a")
			r.Stream = c.stream
			got := &discard{}
			relay := &CallerAnswer{Sink: got, Progress: got}
			result := client.Exchange(ctx, r, relay)
			require.NoError(t, ctx.Err())
			require.NotContains(t, []Status{Complete, Failed, Expired}, result.Status, result.Detail)
			require.Equal(t, name == "body of a refusal", result.Ran() == answer.RanNo, result.Detail)
			require.LessOrEqual(t, got.bytes, testMaxBody)
			require.Equal(t, c.headless, !relay.Started())
			require.Empty(t, client.idle)
		})
	}
}

// TestEndlessAnswersTakeNoMemory guards against servers that fill the memory of an
// instance: fifty of them at once, of each kind in turn, may take a few MB.
func TestEndlessAnswersTakeNoMemory(t *testing.T) {
	const servers, allowed = 50, 16 << 20
	client := boundedClient(t)
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	peak, stop := watchHeap()
	var wait sync.WaitGroup
	kinds := make([]string, 0, len(endlessAnswers))
	for name := range endlessAnswers {
		kinds = append(kinds, name)
	}
	for i := range servers {
		c := endlessAnswers[kinds[i%len(kinds)]]
		r := request(endless(t, c.start, c.text), "a")
		r.Stream = c.stream
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			got := &discard{}
			client.Exchange(ctx, r, &CallerAnswer{Sink: got, Progress: got})
		})
	}
	wait.Wait()
	stop()
	require.Less(t, peak.Load(), before.HeapAlloc+allowed)
}

// watchHeap samples the live heap until stop is called; the result is its largest
// size in bytes.
func watchHeap() (peak *atomic.Uint64, stop func()) {
	peak = &atomic.Uint64{}
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			var now runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&now)
			peak.Store(max(peak.Load(), now.HeapAlloc))
		}
	}()
	return peak, func() { close(done); <-stopped }
}

// TestLongHeadBelowLimit guards against a limit that refuses valid answers: a head
// just below the limit is read, also on a reused connection and with interim
// answers before it.
func TestLongHeadBelowLimit(t *testing.T) {
	client := boundedClient(t)
	long := "A: " + strings.Repeat("x", testMaxHead-200) + "\r\n"
	text := func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: x\r\n" + long + "Content-Length: 2\r\n\r\nok"
	}
	address := upstream(t, "HTTP/1.1 103 Early\r\n\r\n"+text("a"), text("b"))
	for _, id := range []string{"a", "b"} {
		got := &caller{}
		result := client.Exchange(context.Background(), request(address, id), got.relay())
		require.Equal(t, Complete, result.Status, result.Detail)
		require.Equal(t, "ok", got.body.String())
	}
}

// TestLateCopyOfSameRequest guards against the second copy of an answer that is
// taken for the answer to a later send of the same request: a copy of "not run"
// would hide that the later send ran.
func TestLateCopyOfSameRequest(t *testing.T) {
	notRun := "HTTP/1.1 503 E\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	client := boundedClient(t)
	// The copy is sent in the place of the next answer on the same connection.
	address := copyingServer(t, notRun, plain("a", "ran"))
	result := client.Exchange(context.Background(), request(address, "a"), (&caller{}).relay())
	require.Equal(t, NotRun, result.Status)
	got := &caller{}
	result = client.Exchange(context.Background(), request(address, "a"), got.relay())
	require.Equal(t, Complete, result.Status, result.Detail)
	require.Equal(t, "ran", got.body.String())
}

// TestForeignAnswerOnKeptConnection guards against waiting until the deadline behind an
// answer that belongs to no request of the connection: it is no late copy, so no other
// answer follows it.
func TestForeignAnswerOnKeptConnection(t *testing.T) {
	client := boundedClient(t)
	address := upstream(t, plain("a", "one"), plain("z", "foreign"))
	require.Equal(t, Complete, client.Exchange(context.Background(), request(address, "a"), (&caller{}).relay()).Status)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got := &caller{}
	result := client.Exchange(ctx, request(address, "b"), got.relay())
	require.Equal(t, Mismatched, result.Status, result.Detail)
	require.Empty(t, got.body.String())
	require.NoError(t, ctx.Err())
}

// copyingServer answers the first request with first. It sends a second copy of the
// first answer of a connection before any later answer on it; all other requests
// get the answer then.
func copyingServer(t *testing.T, first, then string) string {
	var served atomic.Int32
	return testserver.Listen(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		copied := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(request.Body).WriteTo(&strings.Builder{})
			text := then
			if served.Add(1) == 1 {
				text = first
			}
			_, _ = fmt.Fprint(c, copied, text)
			copied = text
		}
	})
}

// TestStreamEndsInsideEvent guards against a stream without a length that ends
// inside an event and is relayed as complete. The events before the end are kept,
// so that the stream can be continued.
func TestStreamEndsInsideEvent(t *testing.T) {
	client := boundedClient(t)
	address := upstream(t, okHead+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: cut here")
	r := request(address, "a")
	r.Stream = true
	got := &caller{}
	result := client.Exchange(context.Background(), r, got.relay())
	require.Equal(t, Broken, result.Status)
	require.Equal(t, "id: 1\ndata: x\n\n", got.body.String())
}

// TestEventEnds guards against events that are not recognised since their lines end
// with CR LF, and against an event that is split between two reads.
func TestEventEnds(t *testing.T) {
	const text = "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\nid: 3\r\ndata: z\r\n\r\n"
	for size := 1; size <= len(text); size++ {
		s := eventSplitter{order: eventOrder{numbered: size%2 == 0}}
		var out strings.Builder
		events := 0
		for from := 0; from < len(text); from += size {
			complete, n, err := s.add([]byte(text[from:min(len(text), from+size)]))
			require.NoError(t, err)
			out.Write(complete)
			events += n
		}
		require.Equal(t, text, out.String(), "pieces of %d bytes", size)
		require.Equal(t, 3, events)
		require.Equal(t, "3", s.order.last)
		require.Empty(t, s.remainder())
	}
}

// TestEventEndsOfCR guards against events that are held back until the end of the stream since its lines end
// with CR, and then taken for a truncated one, and against a line that hides behind a CR. Each text is read
// in pieces of every size; its events are complete with their last byte.
func TestEventEndsOfCR(t *testing.T) {
	for _, events := range [][]string{
		{"id: 1\rdata: x\r\r", "id: 2\rdata: y\r\r"},
		{"id: 1\rdata: x\n\n", "id: 2\r\ndata: y\r\r", "id: 3\ndata: z\r\n\r\n"},
	} {
		text := strings.Join(events, "")
		for size := 1; size <= len(text); size++ {
			s := eventSplitter{order: eventOrder{numbered: true}}
			out := ""
			for from := 0; from < len(text); from += size {
				to := min(len(text), from+size)
				complete, _, err := s.add([]byte(text[from:to]))
				require.NoError(t, err)
				out += string(complete)
				require.Equal(t, wholeEvents(events, to), out, "pieces of %d bytes", size)
			}
			require.False(t, s.insideEvent())
		}
	}
	s := eventSplitter{order: eventOrder{numbered: true}}
	_, _, err := s.add([]byte("id: 1\ndata: x\rid: 9\n\n"))
	require.Error(t, err, "an event with two ids")
}

// wholeEvents returns the events that end within a number of bytes.
func wholeEvents(events []string, length int) (whole string) {
	for _, e := range events {
		if len(whole)+len(e) > length {
			break
		}
		whole += e
	}
	return whole
}

// answerOnce starts a server that reads one request of each connection and answers it
// with a function, and returns its address.
func answerOnce(t *testing.T, answer func(c net.Conn)) string {
	return testserver.Listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			answer(c)
		}
	})
}

// TestSlowRefusal guards against a refusal that reaches its caller only at the
// deadline because the body of the upstream's "not run" does not end.
func TestSlowRefusal(t *testing.T) {
	address := answerOnce(t, func(c net.Conn) {
		_, err := c.Write([]byte("HTTP/1.1 503 E\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 9999\r\n\r\n"))
		for err == nil {
			time.Sleep(10 * time.Millisecond)
			_, err = c.Write([]byte("x"))
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	result := boundedClient(t).Exchange(ctx, request(address, "a"), (&caller{}).relay())
	require.Equal(t, NotRun, result.Status)
	require.NoError(t, ctx.Err())
}

// TestSlowStreamLives guards against a slow but sound stream that is cut: pauses
// between its bytes do not end it while its deadline has not passed.
func TestSlowStreamLives(t *testing.T) {
	address := answerOnce(t, func(c net.Conn) {
		for _, b := range []byte(streamAnswer(chunk("id: 1\ndata: x\n\n") + streamEnd)) {
			time.Sleep(5 * time.Millisecond)
			_, _ = c.Write([]byte{b})
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r := request(address, "a")
	r.Stream = true
	got := &caller{}
	result := boundedClient(t).Exchange(ctx, r, got.relay())
	require.Equal(t, Complete, result.Status, result.Detail)
	require.Equal(t, "id: 1\ndata: x\n\n", got.body.String())
}

// TestDrippingStreamEnds guards against a stalled stream that is kept for ever by a
// byte now and then: its deadline ends it.
func TestDrippingStreamEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, err = c.Write([]byte(okHead + "Content-Type: text/event-stream\r\n\r\n"))
		for err == nil {
			time.Sleep(5 * time.Millisecond)
			_, err = c.Write([]byte(":"))
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r := request(listener.Addr().String(), "a")
	r.Stream = true
	result := boundedClient(t).Exchange(ctx, r, (&caller{}).relay())
	require.Equal(t, Expired, result.Status)
	<-closed
}
