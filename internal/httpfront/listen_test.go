package httpfront_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/httpfront"
)

// TestListenHoldsAddress guards against a race: the address is free when it is
// checked, an outgoing connection takes it before Start, and Start hangs in nbio.
func TestListenHoldsAddress(t *testing.T) {
	s := listeningServer(t, "127.0.0.1:0")
	taken, err := net.Listen("tcp", s.Address())
	if err == nil {
		taken.Close()
	}
	require.Error(t, err, "another program could bind the address")
	startWithin(t, s, true)
	response, err := http.Get("http://" + s.Address() + "/")
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

// TestStartOnTakenAddress guards against Start, without Listen before it, hanging
// when the address is in use.
func TestStartOnTakenAddress(t *testing.T) {
	for range 20 {
		taken, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		startWithin(t, newServer(t, taken.Addr().String()), false)
		taken.Close()
	}
}

// TestStopReleasesAddress guards against an address that stays bound after Stop of
// a server that was never started.
func TestStopReleasesAddress(t *testing.T) {
	s := listeningServer(t, "127.0.0.1:0")
	s.Stop()
	again, err := net.Listen("tcp", s.Address())
	require.NoError(t, err)
	again.Close()
}

func newServer(t *testing.T, address string) *httpfront.Server {
	s, err := httpfront.NewServer(httpfront.ServerConfig{
		Address: address, MaxBodyBytes: 1 << 10, MaxHeaderBytes: 1 << 10, MaxBufferedBytes: 1 << 20, MaxConnections: 10,
		ReadTimeout: time.Second, Log: zerolog.Nop(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	})
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	return s
}

func listeningServer(t *testing.T, address string) *httpfront.Server {
	s := newServer(t, address)
	require.NoError(t, s.Listen())
	return s
}

// startWithin requires that Start returns within 5 s, with or without success.
func startWithin(t *testing.T, s *httpfront.Server, success bool) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- s.Start() }()
	select {
	case err := <-done:
		require.Equal(t, success, err == nil, "%v", err)
	case <-time.After(5 * time.Second):
		require.FailNow(t, "Start hangs")
	}
}
