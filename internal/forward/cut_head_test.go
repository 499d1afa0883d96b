package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
)

// wholeHeads are heads of answers. A prefix of any of them is none.
var wholeHeads = map[string]string{
	"length":        okHead + "Content-Length: 12\r\n\r\n",
	"no body":       okHead + "Content-Length: 0\r\n\r\n",
	"chunks":        okHead + "Transfer-Encoding: chunked\r\n\r\n",
	"unframed":      okHead + "\r\n",
	"HTTP/1.0":      "HTTP/1.0 200 OK\r\nId: a\r\nSeal: x\r\n\r\n",
	"LF":            "HTTP/1.1 200 OK\nId: a\nSeal: x\n\n",
	"stream":        okHead + "Content-Type: text/event-stream\r\n\r\n",
	"after interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okHead + "Content-Length: 0\r\n\r\n",
	"not run":       "HTTP/1.1 503 E\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
}

// TestCutHeadIsNoAnswer guards against an answer whose connection ends or is reset inside its head, at any
// byte, and that reaches the caller with an empty or a short body, or as a statement that the request has
// not run; on a new and on a kept connection.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for name, head := range wholeHeads {
		for _, kept := range []bool{false, true} {
			for _, resets := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, kept %v, resets %v", name, kept, resets), func(t *testing.T) {
					t.Parallel()
					for cut := range len(head) {
						result, got := exchangeCut(t, head[:cut], kept, resets, name == "stream")
						require.Equal(t, Broken, result.Status, "%q: %s", head[:cut], result.Detail)
						require.Zero(t, got.starts, "%q reaches the caller", head[:cut])
					}
				})
			}
		}
	}
}

// exchangeCut exchanges a request with a server that sends the start of an answer and then ends the
// connection.
func exchangeCut(t *testing.T, text string, kept, resets, stream bool) (Result, *caller) {
	address := testserver.Listen(t, func(c net.Conn) {
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if kept && r.Header.Get("First") != "" {
				_, _ = io.WriteString(c, plain("first", "sound"))
				continue
			}
			_, _ = io.WriteString(c, text)
			if resets {
				reset(c)
			}
			return
		}
	})
	client := boundedClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if kept {
		first := request(address, "first")
		first.Header = http.Header{"First": {"1"}}
		require.Equal(t, Complete, client.Exchange(ctx, first, (&caller{}).relay()).Status)
	}
	r, got := request(address, "a"), &caller{}
	r.Stream = stream
	result := client.Exchange(ctx, r, got.relay())
	require.NoError(t, ctx.Err())
	return result, got
}
