package httpfront

import (
	"net/http"
	"strconv"
)

// WatchCaller calls gone once if the caller's connection closes before the
// returned function is called, immediately if it is closed already.
func WatchCaller(w http.ResponseWriter, gone func()) (stop func()) {
	c := connectionOf(w)
	if c == nil {
		return func() {}
	}
	c.notifyGone(gone)
	return func() { c.notifyGone(nil) }
}

// Abort closes the caller's connection, so that an answer that was begun does
// not look complete.
func Abort(w http.ResponseWriter) {
	if c := connectionOf(w); c != nil {
		c.failed.Store(true)
		_ = c.Conn.Close() // the connection is given up
	}
}

// Taken returns an error once the caller's connection takes no more bytes.
func Taken(w http.ResponseWriter) error {
	if c := connectionOf(w); c != nil {
		return c.takes()
	}
	return nil
}

// SetLength declares the length of an answer's body; a negative length is not
// known, and the body is then sent in chunks.
func SetLength(header http.Header, length int64) {
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// WriteError answers with a refusal under a status that the caller of this
// function chose.
func WriteError(w http.ResponseWriter, status int, r Refusal) {
	text := r.body("")
	w.Header().Set("Content-Type", "application/json")
	SetLength(w.Header(), int64(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text) // a failed write means that the caller is gone
}
