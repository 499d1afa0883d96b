package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stalledWriter is a log output that blocks all writes until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

// Write blocks until release is closed.
func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestBufferNeverBlocks guards against requests that block because the log output is
// stalled, and against dropping lines without counting them.
func TestBufferNeverBlocks(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	b := NewBuffer(out)
	line := strings.Repeat("x", 1000) + "\n"
	const lines = 5000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			_, err := b.Write([]byte(line))
			require.NoError(t, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		require.FailNow(t, "a write blocks")
	}
	close(out.release)
	require.NoError(t, b.Close())
	require.Equal(t, lines, strings.Count(out.got.String(), "\n")+b.TakeLost())
	require.Zero(t, b.TakeLost())
}

// TestBufferWritesSoon guards against lines written out of order, and against lines
// that are only written by Close.
func TestBufferWritesSoon(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	close(out.release)
	b := NewBuffer(out)
	want := ""
	for n := range 100 {
		line := fmt.Sprintf("line %d\n", n)
		want += line
		_, err := b.Write([]byte(line))
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	require.Eventually(t, func() bool {
		out.mu.Lock()
		defer out.mu.Unlock()
		return out.got.String() == want
	}, 5*time.Second, 10*time.Millisecond)
}
