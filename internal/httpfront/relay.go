package httpfront

import (
	"net/http"
	"strconv"
)

// OnDisconnect calls onDisconnect if the caller's connection closes before stop is
// called, or at once if it is already closed.
func OnDisconnect(w http.ResponseWriter, onDisconnect func()) (stop func()) {
	c := connectionOf(w)
	if c == nil {
		return func() {}
	}
	c.setOnDisconnect(onDisconnect)
	return func() { c.setOnDisconnect(nil) }
}

// Abort closes the caller's connection, so that a truncated answer does not look
// complete.
func Abort(w http.ResponseWriter) {
	if c := connectionOf(w); c != nil {
		c.failed.Store(true)
		_ = c.Conn.Close() // nothing is sent on the connection any more
	}
}

// WriteFailure returns an error once a write to the caller's connection has failed.
func WriteFailure(w http.ResponseWriter) error {
	if c := connectionOf(w); c != nil {
		return c.writeFailure()
	}
	return nil
}

// SetLength sets the Content-Length of an answer's body. A negative length means
// that it is unknown; the body is then sent with chunked encoding.
func SetLength(header http.Header, length int64) {
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// WriteError writes a refusal's error body with the given HTTP status instead of
// that of its code.
func WriteError(w http.ResponseWriter, status int, r Refusal) {
	writeErrorBody(w, status, r.body(""))
}

func writeErrorBody(w http.ResponseWriter, status int, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	SetLength(w.Header(), int64(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text) // a failed write means that the caller disconnected
}
