package httpfront

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sizeRecorder records the size of the largest write.
type sizeRecorder struct {
	*httptest.ResponseRecorder
	largest int
}

func (r *sizeRecorder) Write(p []byte) (int, error) {
	r.largest = max(r.largest, len(p))
	return r.ResponseRecorder.Write(p)
}

// TestLargePiecesAreSplit guards against pieces, such as a large event, that are handed to nbhttp whole: from 64 KiB on it
// frees the buffer of a chunk twice, and the answers of two callers may then share one.
func TestLargePiecesAreSplit(t *testing.T) {
	for _, protocol := range []int{0, 1} {
		w := &sizeRecorder{ResponseRecorder: httptest.NewRecorder()}
		pieces := NewPieceWriter(w, &http.Request{ProtoMajor: 1, ProtoMinor: protocol})
		text := strings.Repeat("0123456789", 20_000)
		require.NoError(t, pieces.Write([]byte(text)))
		require.Equal(t, text, w.Body.String())
		require.LessOrEqual(t, w.largest, maxPieceBytes)
	}
}
