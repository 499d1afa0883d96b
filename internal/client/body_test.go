package client

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadLimited guards against an answer that is cut at the limit without an error.
func TestReadLimited(t *testing.T) {
	body, err := readLimited(strings.NewReader("12345"), 5)
	require.NoError(t, err)
	require.Equal(t, "12345", string(body))
	_, err = readLimited(strings.NewReader("123456"), 5)
	require.Error(t, err)
}

// TestAnswerWithoutEnd guards against a truncated answer that is taken as complete: an
// answer needs a length or chunks.
func TestAnswerWithoutEnd(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n{\"seat\": 1"))
		_ = c.Close()
	}))
	defer server.Close()
	response, err := http.Get(server.URL)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = readAnswer(response)
	require.ErrorIs(t, err, errNoEndMarker)
}

// TestRefusalWithoutRan guards against a refusal that says nothing about the execution
// and is taken as a promise that the call has not run.
func TestRefusalWithoutRan(t *testing.T) {
	require.NotEqual(t, "no", string(ranOf(Refused, Refusal{Code: "internal"})))
	require.Equal(t, "no", string(ranOf(Refused, Refusal{Ran: "no"})))
	require.Equal(t, "unknown", string(ranOf(Incomplete, Refusal{})))
}
