package httpfront

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/answerbuffer"
)

// bufferingServer starts a server whose handler answers with a body that its request's path seeds,
// in pieces of random sizes, with a length or in chunks, and waits until it was sent.
func bufferingServer(t *testing.T, secure bool, buffer *AnswerBuffer) *Server {
	config := ServerConfig{
		Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20, MaxHeaderBytes: 2048, MaxConnections: 200, MaxBufferedBytes: 1 << 20,
		ReadTimeout: 20 * time.Second, InputErrorBody: BadInputBody, Log: zerolog.Nop(), AnswerBuffer: buffer, SendBufferBytes: 16 << 10,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seed, body := seededBody(r.URL.Path)
			HoldAnswer(w, HeldAnswer{Organisation: fmt.Sprint(seed % 3)})
			length := int64(len(body))
			if seed%2 == 0 {
				length = -1
			}
			WriteHead(w, r, http.StatusOK, length)
			pieces := NewPieceWriter(w, r)
			random := rand.New(rand.NewPCG(seed, 1))
			for len(body) > 0 {
				n := 1 + random.IntN(min(len(body), 20<<10))
				write := pieces.Write
				if length >= 0 {
					write = func(p []byte) error { return WriteBody(w, p) }
				}
				if write(body[:n]) != nil {
					return
				}
				body = body[n:]
			}
			_ = WaitSent(w)
		}),
	}
	if secure {
		config.TLSCertificate, config.TLSKey = writeKeyPair(t)
	}
	server, err := NewServer(config)
	require.NoError(t, err)
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)
	return server
}

// seededBody is the body for a path "/SEED".
func seededBody(path string) (seed uint64, body []byte) {
	_, _ = fmt.Sscanf(path, "/%d", &seed)
	random := rand.New(rand.NewPCG(seed, 2))
	body = make([]byte, random.IntN(150<<10))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	return seed, body
}

// TestHeldAnswersAreExact guards against bytes that are lost, doubled or reordered where an answer
// changes between writes to the kernel, the queue and writes that wait; and against bytes that stay
// accounted for. Callers read at random speeds on connections that are used again, while the
// buffer has room for few of them.
func TestHeldAnswersAreExact(t *testing.T) {
	for _, secure := range []bool{false, true} {
		for _, limit := range []int64{64 << 10, 2 << 20, 64 << 20} {
			t.Run(fmt.Sprintf("TLS %v, %d bytes", secure, limit), func(t *testing.T) {
				buffer := NewAnswerBuffer(limit)
				server := bufferingServer(t, secure, buffer)
				const callers = 16
				failures := make(chan error, callers)
				for caller := range callers {
					go func() { failures <- readAnswers(server.Address(), secure, uint64(caller)*100) }()
				}
				aborted := 0
				for range callers {
					if err := <-failures; err != nil {
						require.ErrorIs(t, err, errTruncated)
						aborted++
					}
				}
				t.Logf("%d of %d callers had an answer aborted", aborted, callers)
				if limit/8 >= callers*answerbuffer.Minimum { // the minimum of all of them has room
					require.Zero(t, aborted)
				}
				require.Eventually(t, func() bool { return buffer.Held() == 0 && buffer.Waiting() == 0 }, 10*time.Second, time.Millisecond)
				require.Empty(t, buffer.conns)
			})
		}
	}
}

var errTruncated = fmt.Errorf("the answer was truncated")

// readAnswers reads some answers on one connection, with pauses, and compares them.
func readAnswers(address string, secure bool, seed uint64) error {
	raw, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	_ = raw.(*net.TCPConn).SetReadBuffer(16 << 10)
	conn := net.Conn(raw)
	if secure {
		conn = tls.Client(raw, &tls.Config{InsecureSkipVerify: true})
	}
	defer conn.Close()
	random := rand.New(rand.NewPCG(seed, 3))
	reader := bufio.NewReaderSize(conn, 1<<10)
	for answer := range uint64(2) {
		path := fmt.Sprintf("/%d", seed+answer)
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
		time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
		var body bytes.Buffer
		for err == nil {
			_, err = io.CopyN(&body, response.Body, int64(1+random.IntN(40<<10)))
			if random.IntN(4) == 0 {
				time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
			}
		}
		_, want := seededBody(path)
		switch {
		case !bytes.HasPrefix(want, body.Bytes()):
			return fmt.Errorf("answer %s differs", path)
		case err != io.EOF:
			return fmt.Errorf("%w: %w", errTruncated, err)
		case body.Len() != len(want):
			return fmt.Errorf("answer %s is framed as complete after %d of %d bytes", path, body.Len(), len(want))
		}
	}
	return nil
}

// TestReadCallerCostsNothing guards against a copy or a goroutine per event for a caller that reads
// as fast as its answer arrives.
func TestReadCallerCostsNothing(t *testing.T) {
	var reading sync.WaitGroup
	reading.Add(1)
	address := testserver.Listen(t, func(c net.Conn) {
		defer reading.Done()
		_, _ = io.Copy(io.Discard, c)
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	buffer := NewAnswerBuffer(1 << 20)
	c := newCallerConn(conn, buffer, func() {})
	c.begin(&HeldAnswer{Organisation: "o"})
	event := bytes.Repeat([]byte("x"), 200)
	allocations := testing.AllocsPerRun(200, func() {
		if n, err := c.Write(event); n != len(event) || err != nil {
			panic(err)
		}
		time.Sleep(10 * time.Microsecond)
	})
	require.Less(t, allocations, 1.0)
	require.Nil(t, c.account, "an event was held")
	c.end()
	require.NoError(t, c.Close())
	reading.Wait()
}

// BenchmarkCallerWrite measures the write of one event to a caller that reads, with and without an
// answer buffer.
func BenchmarkCallerWrite(b *testing.B) {
	for name, buffer := range map[string]*AnswerBuffer{"blocking": nil, "buffered": NewAnswerBuffer(1 << 20)} {
		b.Run(name, func(b *testing.B) {
			address := testserver.Listen(b, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
			conn, err := net.Dial("tcp", address)
			require.NoError(b, err)
			c := newCallerConn(conn, buffer, func() {})
			defer c.Close()
			c.begin(&HeldAnswer{Organisation: "o"})
			event := bytes.Repeat([]byte("x"), 200)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(event); err != nil {
					b.Fatal(err)
				}
			}
			c.end()
		})
	}
}

// TestWaitEndsWithTheWrite guards against an answer that counts as waiting after its caller has read
// what it waited with.
func TestWaitEndsWithTheWrite(t *testing.T) {
	read := make(chan struct{})
	address := testserver.Listen(t, func(c net.Conn) {
		<-read
		_, _ = io.Copy(io.Discard, c)
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	buffer := NewAnswerBuffer(answerbuffer.Minimum)
	c := newCallerConn(conn, buffer, func() {})
	c.begin(&HeldAnswer{Organisation: "o", Waits: func() { close(read) }})
	_, err = c.Write(make([]byte, 16<<20))
	require.NoError(t, err)
	require.Zero(t, buffer.Waiting())
	require.Zero(t, buffer.Held())
	c.end()
	require.NoError(t, c.Close())
}

// TestCaughtUpCallerNeedsNoRoom guards against room that stays reserved for the rest of an answer
// whose caller lagged once and then reads as fast as the answer arrives.
func TestCaughtUpCallerNeedsNoRoom(t *testing.T) {
	const length, first, piece = 32 << 20, 16 << 20, 1 << 10
	read := make(chan struct{})
	address := testserver.Listen(t, func(c net.Conn) {
		<-read
		_, _ = io.Copy(io.Discard, c)
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	buffer := NewAnswerBuffer(length * 4)
	c := newCallerConn(conn, buffer, func() {})
	c.begin(&HeldAnswer{Organisation: "o"})
	c.expect(length)
	_, err = c.Write(make([]byte, first))
	require.NoError(t, err)
	require.Greater(t, buffer.Held(), int64(length-first))
	close(read)
	require.NoError(t, c.flush())
	require.EqualValues(t, length-first, buffer.Held())
	_, err = c.Write(make([]byte, piece))
	require.NoError(t, err)
	require.NoError(t, c.flush())
	require.EqualValues(t, length-first-piece, buffer.Held())
	c.end()
	require.Zero(t, buffer.Held())
	require.NoError(t, c.Close())
}
