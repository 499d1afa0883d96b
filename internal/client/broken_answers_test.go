package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
)

// brokenEntry starts an entry instance that answers discovery, and all other requests with the text.
func brokenEntry(t *testing.T, text string) string {
	return testserver.Listen(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "/discovery") {
			body := fmt.Sprintf(`{"ttl_ms":60000,"addresses":[%q]}`, c.LocalAddr())
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			return
		}
		_, _ = io.WriteString(c, text)
	})
}

// TestBrokenAnswersAreNone guards against a broken answer of an instance that counts as one: a call that
// is complete with it, or an administrator who reads from it that something has been done.
func TestBrokenAnswersAreNone(t *testing.T) {
	ctx, caller := context.Background(), NewHTTP(nil)
	for name, text := range testserver.BrokenAnswers("", `{"revision":5}`) {
		address := brokenEntry(t, text)
		result, err := NewCaller([]string{address}, "", caller).Call(ctx, &Request{Kind: "k", MaxAttempts: 1})
		require.NoError(t, err)
		require.False(t, result.Complete, "%q", name)
		require.Equal(t, "unknown", result.Ran)
		admin := Admin{Addresses: []string{address}, HTTP: caller}
		_, err = admin.Apply(ctx, Change{}, false)
		require.Error(t, err, "%q", name)
	}
}
