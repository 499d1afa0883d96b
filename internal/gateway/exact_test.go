package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/ingress"
)

// exactStatuses are statuses of a server's answer, with and without a standard text.
var exactStatuses = []int{200, 201, 204, 206, 226, 299, 302, 304, 399, 400, 404, 408, 418, 420, 421, 429, 451, 460, 499, 500, 502, 503, 509, 520, 529, 599}

// exactFramings are the ways in which a server can frame the body "body" of an answer.
var exactFramings = map[string]struct {
	headers, body string
	// ends is true if the answer ends with its connection.
	ends bool
}{
	"length":              {"Content-Length: 4\r\n", "body", false},
	"chunks":              {"Transfer-Encoding: chunked\r\n", "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", false},
	"chunks and trailers": {"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", "4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", false},
	"length and chunks":   {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", false},
	"none":                {"", "body", true},
}

// exactCase is one combination of a request and the answer to it.
type exactCase struct {
	method, framing, protocol string
	status                    int
	sealed, interim           bool
}

func (c exactCase) bodyless() bool {
	return c.method == http.MethodHead || c.status == http.StatusNoContent || c.status == http.StatusNotModified
}

// answer is the server's answer.
func (c exactCase) answer() (text string, ends bool) {
	framing := exactFramings[c.framing]
	if c.interim {
		text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	}
	text += fmt.Sprintf("HTTP/1.1 %d Status\r\nId: a\r\nX-Own: yes\r\n", c.status)
	if c.sealed {
		text += "Seal: x\r\n"
	}
	if c.status == http.StatusNoContent {
		return text + "\r\n", false
	}
	text += framing.headers + "\r\n"
	if c.bodyless() {
		return text, false
	}
	return text + framing.body, framing.ends
}

// relayed reports whether the answer may reach the caller as it came.
func (c exactCase) relayed() bool {
	promise := slices.Contains([]int{408, 421, 429, 503}, c.status)
	return !promise && (c.sealed || c.status >= http.StatusMultipleChoices)
}

func exactCases() (all []exactCase) {
	for _, status := range exactStatuses {
		for framing := range exactFramings {
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
				for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
					if method == http.MethodPost && framing != "length" {
						continue // as GET
					}
					for _, sealed := range []bool{true, false} {
						all = append(all, exactCase{method, framing, protocol, status, sealed, status%2 == 0})
					}
				}
			}
		}
	}
	return all
}

// TestAnswersAreExact guards against a status, a body or a framing that is not the server's: a failure with a status
// that has no standard text and becomes a 200, a server's own 503 that becomes the promise that the request has not run,
// and bytes after an answer that has no body, which spoil the next one on the connection. It drives each method,
// status, framing, protocol and signature, and reads the caller's side with net/http.
func TestAnswersAreExact(t *testing.T) {
	for _, c := range exactCases() {
		t.Run(fmt.Sprintf("%s, %d, %s, %s, sealed %v", c.method, c.status, c.framing, c.protocol, c.sealed), func(t *testing.T) {
			t.Parallel()
			first, ends := c.answer()
			answers := make(chan string, 2)
			answers <- first
			answers <- answerHead + "Content-Length: 4\r\n\r\nnext"
			upstream := testserver.Listen(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					text := <-answers
					_, _ = io.WriteString(conn, text)
					if ends && text == first {
						return
					}
				}
			})
			front, _ := gatewayOf(t, upstream, &ingress.Route{Kind: ingress.NonIdempotent, MaxSends: 1}, time.Minute)
			conn, err := net.Dial("tcp", front)
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			reader := bufio.NewReader(conn)
			c.requireExact(t, exchangeOn(t, conn, reader, c.method, c.protocol))
			if c.protocol == "HTTP/1.0" {
				return
			}
			next := exchangeOn(t, conn, reader, http.MethodGet, c.protocol)
			require.Equal(t, http.StatusOK, next.StatusCode, "the next answer on the connection")
			require.Equal(t, "next", next.text)
		})
	}
}

// readResponse is an answer with its body.
type readResponse struct {
	*http.Response
	text string
}

// exchangeOn sends a request on a connection and reads its answer.
func exchangeOn(t *testing.T, conn net.Conn, reader *bufio.Reader, method, protocol string) readResponse {
	_, err := fmt.Fprintf(conn, "%s /p %s\r\nHost: h\r\nContent-Length: 0\r\n\r\n", method, protocol)
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return readResponse{response, string(body)}
}

// requireExact checks the answer that the caller received.
func (c exactCase) requireExact(t *testing.T, got readResponse) {
	if !c.relayed() {
		require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.StatusCode)
		require.Empty(t, got.Header.Get("Seal"))
		require.Empty(t, got.Header.Get("X-Own"))
		return
	}
	require.Equal(t, c.status, got.StatusCode)
	require.Equal(t, "yes", got.Header.Get("X-Own"))
	require.Equal(t, c.sealed, got.Header.Get("Seal") != "")
	if !c.bodyless() {
		require.Equal(t, "body", got.text)
		return
	}
	require.Empty(t, got.text)
	require.Empty(t, got.TransferEncoding)
	length := got.Header.Get("Content-Length")
	stated := strings.Contains(exactFramings[c.framing].headers, "Content-Length") && c.status != http.StatusNoContent
	require.True(t, length == "" || stated && length == "4", "the length %q is not the server's", length)
	if c.framing == "length" && c.method == http.MethodHead && c.status != http.StatusNoContent {
		require.Equal(t, "4", length)
	}
}
