package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requestFramings are header lines that say where the body of a request ends, in front of a body that is itself a request.
var requestFramings = map[string]string{
	"length without a value":          "Content-Length:\r\n",
	"length of white space":           "Content-Length: \r\n",
	"length with a sign":              "Content-Length: +0\r\n",
	"negative length":                 "Content-Length: -1\r\n",
	"length with a letter":            "Content-Length: 0x0\r\n",
	"length with a fraction":          "Content-Length: 0.0\r\n",
	"length in quotes":                "Content-Length: \"0\"\r\n",
	"two lengths in one":              "Content-Length: 0, 0\r\n",
	"two numbers":                     "Content-Length: 0 0\r\n",
	"length twice":                    "Content-Length: 0\r\nContent-Length: 0\r\n",
	"length twice, other letters":     "Content-Length: 0\r\ncontent-length: 5\r\n",
	"length, then one without value":  "Content-Length: 0\r\nContent-Length:\r\n",
	"length too large":                "Content-Length: 99999999999999999999999\r\n",
	"length and chunks":               "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
	"chunks and length":               "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n",
	"chunks and length without value": "Transfer-Encoding: chunked\r\nContent-Length:\r\n",
	"coding without a value":          "Transfer-Encoding:\r\n",
	"another coding":                  "Transfer-Encoding: gzip\r\n",
	"chunked not last":                "Transfer-Encoding: chunked, gzip\r\n",
	"chunked after another":           "Transfer-Encoding: gzip, chunked\r\n",
	"chunked twice":                   "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"identity":                        "Transfer-Encoding: identity\r\n",
	"chunked in quotes":               "Transfer-Encoding: \"chunked\"\r\n",
	"chunked and more":                "Transfer-Encoding: chunkedx\r\n",
	"folded length":                   "Content-Length:\r\n 0\r\n",
	"tab before the colon":            "Transfer-Encoding\t: chunked\r\n",
}

// TestAmbiguousFramingIsRefused guards against a request inside the body of another one that runs (request smuggling): where the
// length of a body is not plainly stated, the request is answered 400, nothing of it reaches a handler, and
// the connection is closed.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	for name, framing := range requestFramings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireRefused(t, framing)
		})
	}
}

// TestSpaceBeforeTheColonIsRefused guards against the same where another server may take the name of the header for another
// one, and where a header line is continued.
func TestSpaceBeforeTheColonIsRefused(t *testing.T) {
	for _, framing := range []string{"Content-Length : 0\r\n", "Transfer-Encoding : chunked\r\n", "X-A: b\r\n Content-Length: 9\r\n"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			requireRefused(t, framing)
		})
	}
}

// requireRefused sends a request whose header has the lines and whose body is a request itself, and requires that neither
// runs.
func requireRefused(t *testing.T, lines string) {
	const inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	var ran atomic.Int64
	server := pipelineServer(t, 10, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		echoPath(w, r)
	})
	conn, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /outer HTTP/1.1\r\nHost: h\r\n%s\r\n%s", lines, inner)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.True(t, response.Close)
	_, _ = io.Copy(io.Discard, conn)
	require.Zero(t, ran.Load())
}

// TestPlainFramingIsTaken guards against refusing a body whose length is plainly stated.
func TestPlainFramingIsTaken(t *testing.T) {
	for name, c := range map[string]struct{ request, body string }{
		"no body":            {"\r\n", ""},
		"length":             {"Content-Length: 4\r\n\r\nbody", "body"},
		"length of 0":        {"Content-Length: 0\r\n\r\n", ""},
		"length with zeros":  {"Content-Length: 0004\r\n\r\nbody", "body"},
		"no space":           {"Content-Length:4\r\n\r\nbody", "body"},
		"more space":         {"Content-Length:  4  \r\n\r\nbody", "body"},
		"chunks":             {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body"},
		"chunks in capitals": {"TRANSFER-ENCODING: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := pipelineServer(t, 10, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				w.WriteHeader(http.StatusOK)
				_, _ = w.Write(append([]byte(">"), body...))
			})
			conn, err := net.Dial("tcp", server.Address())
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s", c.request)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, ">"+c.body, string(body))
		})
	}
}
