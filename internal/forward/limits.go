package forward

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// refusalBodyTimeout bounds the time in which the body of an answer that states
// that the request was not run is skipped; the answer itself needs no body.
const refusalBodyTimeout = 100 * time.Millisecond

// Errors of answers that exceed a limit.
var (
	errHeadTooLarge  = errors.New("the answer's headers are larger than max_answer_header_bytes")
	errEventTooLarge = errors.New("an event of the stream is larger than max_event_bytes")
	errBodyTooLarge  = errors.New("the answer's body is larger than max_answer_bytes")
)

// headReader reads from a connection. While the head of an answer is read, it fails
// once more bytes than the head may have were read.
type headReader struct {
	io.Reader
	inHead bool
	// left is the number of bytes that may still be read for the head.
	left int
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.Reader.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// begin starts a head of at most limit bytes; 0 means no limit.
func (r *headReader) begin(limit int) { r.inHead, r.left = limit > 0, limit }

// end ends the head.
func (r *headReader) end() { r.inHead = false }

// skipBody reads and discards the body of an answer that is not relayed. A body of
// more than maxSkippedBytes is an error.
func skipBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		return errBodyTooLarge
	}
	return err
}

// hasEndMarker reports whether a body has a length or is chunked, so that its end
// can be told from a connection that ended early.
func hasEndMarker(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
