package httpfront

import (
	"io"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestIdleServersTakeLittleMemory guards against buffers and queues that nbio allocates
// in advance and does not use here: an instance has four servers, on machines with
// little memory.
func TestIdleServersTakeLittleMemory(t *testing.T) {
	const servers, allowed = 4, 4 * 256 << 10
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range servers {
		plainServer(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(allowed))
}
