package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sendCall returns the status and the echoed request id; the status is 0 if the
// connection was closed without an answer.
func sendCall(t *testing.T, url, id, key string) (int, string) {
	t.Helper()
	request, err := http.NewRequest("POST", url+"/call/book", strings.NewReader("{}"))
	require.NoError(t, err)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Idempotency-Key", key)
	// Without GetBody the client cannot replay the body, so it does not repeat the
	// call after a closed connection.
	request.GetBody = nil
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("X-Request-Id")
}

func setFaults(t *testing.T, url, body string) {
	t.Helper()
	response, err := http.Post(url+"/control/state", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, 200, response.StatusCode)
}

// TestLedger guards against a ledger that omits a run whose answer was lost, or
// counts a call that did not run.
func TestLedger(t *testing.T) {
	server := httptest.NewServer(New(Config{}).Handler())
	defer server.Close()
	status, id := sendCall(t, server.URL, "r1", "k1")
	require.Equal(t, 200, status)
	require.Equal(t, "r1", id)
	setFaults(t, server.URL, `{"drop_answers":1}`)
	status, _ = sendCall(t, server.URL, "r2", "k1")
	require.Zero(t, status)
	setFaults(t, server.URL, `{"drop_requests":1}`)
	status, _ = sendCall(t, server.URL, "r3", "k2")
	require.Zero(t, status)
	setFaults(t, server.URL, `{"fail":true}`)
	status, _ = sendCall(t, server.URL, "r4", "k3")
	require.Equal(t, 500, status)
	setFaults(t, server.URL, `{"fail":false,"mismatch_answers":1}`)
	_, id = sendCall(t, server.URL, "r5", "k4")
	require.Equal(t, "other-r5", id)

	response, err := http.Get(server.URL + "/control/ledger")
	require.NoError(t, err)
	defer response.Body.Close()
	var ledger Ledger
	require.NoError(t, json.NewDecoder(response.Body).Decode(&ledger))
	require.Equal(t, Ledger{
		ByKey:     map[string]int{"k1": 2, "k4": 1},
		ByRequest: map[string]int{"r1": 1, "r2": 1, "r5": 1},
		ByName:    map[string]int{"book": 3},
	}, ledger)
}
