package client

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/testserver"
)

// brokenEntry starts an entry instance that answers discovery, and all other requests with the text; with
// TLS if a configuration is given.
func brokenEntry(t *testing.T, text string, secure *tls.Config) string {
	return testserver.Listen(t, func(c net.Conn) {
		if secure != nil {
			c = tls.Server(c, secure)
			defer c.Close()
		}
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
// is complete with it, or an administrator who reads from it that something has been done; with and
// without TLS.
func TestBrokenAnswersAreNone(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	roots := x509.NewCertPool()
	roots.AddCert(certified.Certificate())
	for scheme, secure := range map[string]*tls.Config{"http://": nil, "https://": {Certificates: certified.TLS.Certificates}} {
		caller := NewHTTP(roots)
		sound := "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":5}"
		result, err := callAndApply(scheme+brokenEntry(t, sound, secure), caller)
		require.NoError(t, err)
		require.True(t, result.Complete, "a sound answer")
		for name, text := range testserver.BrokenAnswers("", `{"revision":5}`) {
			result, err := callAndApply(scheme+brokenEntry(t, text, secure), caller)
			require.Error(t, err, "%q", name)
			require.NotNil(t, result)
			require.False(t, result.Complete, "%q", name)
			require.Equal(t, "unknown", result.Ran)
		}
	}
}

// callAndApply sends a call and a change to an instance. The error is that of the change, or that of a
// call which reached no instance.
func callAndApply(address string, caller *http.Client) (*Result, error) {
	ctx := context.Background()
	result, err := NewCaller([]string{address}, "", caller).Call(ctx, &Request{Kind: "k", MaxAttempts: 1})
	if err != nil {
		return nil, err
	}
	admin := Admin{Addresses: []string{address}, HTTP: caller}
	_, err = admin.Apply(ctx, Change{}, false)
	return result, err
}
