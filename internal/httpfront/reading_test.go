package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// readRequest is a request as one reader understood it.
type readRequest struct {
	method, target, host, body string
	// headers are the lines that do not concern framing, sorted.
	headers []string
}

// framingHeaders are headers that readers keep in other places, or add themselves.
var framingHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer", "Connection", "Cache-Control"}

func newReadRequest(r *http.Request, body []byte) readRequest {
	read := readRequest{method: r.Method, target: r.RequestURI, host: r.Host, body: string(body)}
	for name, values := range r.Header {
		for _, value := range values {
			if !slices.Contains(framingHeaders, name) {
				read.headers = append(read.headers, fmt.Sprintf("%s: %q", name, value))
			}
		}
	}
	slices.Sort(read.headers)
	return read
}

// readByNetHTTP returns the requests that net/http reads from the bytes of a connection.
func readByNetHTTP(data []byte) (read []readRequest) {
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return read
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return read
		}
		read = append(read, newReadRequest(r, body))
	}
}

// recordingServer is a server that keeps the requests that its handler gets.
type recordingServer struct {
	*Server
	mu   sync.Mutex
	read []readRequest
}

func newRecordingServer(t testing.TB) *recordingServer {
	s := &recordingServer{}
	server, err := NewServer(ServerConfig{
		Address: "127.0.0.1:0", MaxBodyBytes: 4096, MaxHeaderBytes: 4096, MaxConnections: 10, MaxBufferedBytes: 1 << 20,
		ReadTimeout: time.Minute, InputErrorBody: BadInputBody, Log: zerolog.Nop(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			s.mu.Lock()
			s.read = append(s.read, newReadRequest(r, body))
			s.mu.Unlock()
			w.WriteHeader(http.StatusOK)
		}),
	})
	require.NoError(t, err)
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)
	s.Server = server
	return s
}

// readFrom returns the requests that the handler gets from the pieces of a connection.
func (s *recordingServer) readFrom(t testing.TB, pieces ...[]byte) []readRequest {
	s.read = nil
	conn, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(time.Millisecond)
		}
		_, _ = conn.Write(piece)
	}
	_ = conn.(*net.TCPConn).CloseWrite() // fails if the server has closed the connection
	_, _ = io.Copy(io.Discard, conn)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return s.openConns.Load() == 0 && !s.Busy() }, 20*time.Second, 50*time.Microsecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read
}

// requireSameReading requires that each request that runs is one that net/http reads, and in
// the same way; the front may refuse what net/http takes.
func (s *recordingServer) requireSameReading(t testing.TB, data []byte) {
	ran, read := s.readFrom(t, data), readByNetHTTP(data)
	require.LessOrEqual(t, len(ran), len(read), "%q", data)
	if len(ran) > 0 {
		require.Equal(t, read[:len(ran)], ran, "%q", data)
	}
}

// soundRequests are requests that the front takes.
var soundRequests = []string{
	"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
	"PUT /a HTTP/1.0\r\nX-A: b, c \t\r\nContent-Length: 2\r\n\r\nok",
	"HEAD /%20 HTTP/1.1\r\nHost: h:1\r\nX-Empty:\r\nx-a:b\r\nX-A: c\r\n\r\n",
}

// oddPieces are bytes that readers of HTTP are known to read in different ways.
var oddPieces = []string{" ", "\t", "\r", "\n", "\r\n", "\n\r", "\x00", "\x0b", "\x7f", "\x80", ":", ",", ";", "0", "1", "+", "-", "x", "0x", "_", "/", "*",
	"Content-Length: 3\r\n", "Content-Length : 3\r\n", "Content-Length x: 3\r\n", "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: x\r\n",
	"Host: i\r\n", " Host: i\r\n", "HTTP/1.1", "HTTP/1.2", "get", "\r\n\r\n", "0\r\n\r\n", "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"}

// spoiltRequests returns two requests that follow each other, with some pieces inserted, replaced
// or removed.
func spoiltRequests(random *rand.Rand) []byte {
	text := soundRequests[random.IntN(len(soundRequests))] + soundRequests[random.IntN(len(soundRequests))]
	for range 1 + random.IntN(3) {
		at := random.IntN(len(text))
		end := at
		if random.IntN(2) == 0 {
			end = min(len(text), at+random.IntN(4))
		}
		text = text[:at] + oddPieces[random.IntN(len(oddPieces))] + text[end:]
	}
	return []byte(text)
}

// TestFrontReadsAsNetHTTP guards against a request that the front understands in another way than the
// server to which it is sent: another end, name, method or target. It spoils pairs of requests and
// compares what runs with what net/http reads.
func TestFrontReadsAsNetHTTP(t *testing.T) {
	const cases = 3000
	server := newRecordingServer(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range cases {
		server.requireSameReading(t, spoiltRequests(random))
	}
}

// FuzzFrontReadsAsNetHTTP guards against the same for any bytes.
func FuzzFrontReadsAsNetHTTP(f *testing.F) {
	for _, request := range soundRequests {
		f.Add([]byte(request + request))
	}
	for _, framing := range requestFramings {
		f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n" + soundRequests[0]))
	}
	server := newRecordingServer(f)
	f.Fuzz(func(t *testing.T, data []byte) { server.requireSameReading(t, data) })
}

// TestSoundRequestsRun guards against a sound request that is refused, wherever the network cuts it in two.
func TestSoundRequestsRun(t *testing.T) {
	server := newRecordingServer(t)
	for i, request := range soundRequests {
		data, requests := []byte(request), 1
		if !strings.Contains(request, "HTTP/1.0") {
			data, requests = append(data, soundRequests[(i+1)%len(soundRequests)]...), 2
		}
		for cut := range data {
			require.Len(t, server.readFrom(t, data[:cut], data[cut:]), requests, "%q|%q", data[:cut], data[cut:])
		}
	}
}
