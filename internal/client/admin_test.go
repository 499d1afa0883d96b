package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

// TestChangeIsSentOnce guards against a change that is sent to a second instance
// although the first one, which broke the connection, may have applied it.
func TestChangeIsSentOnce(t *testing.T) {
	var calls atomic.Int32
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer aborting.Close()
	working := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Write([]byte(`{"revision":1}`))
	}))
	defer working.Close()
	admin := &Admin{Addresses: []string{aborting.URL, working.URL}, HTTP: NewHTTP(nil)}
	_, err := admin.Apply(context.Background(), Change{}, false)
	require.True(t, errorx.IsOfType(err, NotReached))
	require.ErrorContains(t, err, "may have taken effect")
	require.EqualValues(t, 1, calls.Load())

	admin.Addresses = []string{"127.0.0.1:1", working.URL}
	revision, err := admin.Apply(context.Background(), Change{}, false)
	require.NoError(t, err)
	require.EqualValues(t, 1, revision)
}

// TestAdminErrors guards against problems in the answer of an instance that are
// missing from the error that the operator sees.
func TestAdminErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		w.Write([]byte(`{"error":{"code":"invalid","reason":"r","remedy":"m","problems":["p1","p2"]}}`))
	}))
	defer server.Close()
	admin := &Admin{Addresses: []string{server.URL}, HTTP: NewHTTP(nil)}
	_, err := admin.Delete(context.Background(), Name{Kind: "Tier", Name: "a"})
	require.True(t, errorx.IsOfType(err, Failed))
	for _, part := range []string{"invalid", "r", "p1", "p2", "remedy: m"} {
		require.ErrorContains(t, err, part)
	}
}
