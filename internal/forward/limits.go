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
	errEventTooLarge = errors.New("an event of the stream is larger than max_event_bytes")
	errBodyTooLarge  = errors.New("the answer's body is larger than max_answer_bytes")
)

// skipBody reads and discards the body of an answer that is not relayed. A body of
// more than maxSkippedBytes is an error.
func skipBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		return errBodyTooLarge
	}
	return err
}

// endsWithConnection reports whether an answer has a body that only the end of the connection ends.
func endsWithConnection(response *http.Response) bool {
	return !hasEndMarker(response) && response.Body != http.NoBody
}

// hasEndMarker reports whether a body has a length or is chunked, so that its end
// can be told from a connection that ended early.
func hasEndMarker(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
