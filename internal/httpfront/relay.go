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
		c.abort() // nothing is sent on the connection any more
	}
}

// HoldAnswer lets the server hold the part of the answer that its caller has not read yet, if it
// has an answer buffer. It is called before the answer is written.
func HoldAnswer(w http.ResponseWriter, answer HeldAnswer) {
	if c := connectionOf(w); c != nil && c.server.config.AnswerBuffer != nil {
		c.out.begin(&answer)
	}
}

// WriteBody writes the next piece of a body whose length WriteHead was given, without the buffer
// in which nbhttp would collect 64 KiB. The head is sent with the first byte, as nbhttp frames it.
func WriteBody(w http.ResponseWriter, p []byte) error {
	c := connectionOf(w)
	if c == nil || len(p) == 0 {
		_, err := w.Write(p)
		return err
	}
	if !c.bodyBegun {
		c.bodyBegun = true
		if _, err := w.Write(p[:1]); err != nil {
			return err
		}
		w.(http.Flusher).Flush()
		p = p[1:]
	}
	_, _ = c.Write(p) // never returns an error
	return c.writeFailure()
}

// WaitSent waits until what is held of the answer has been handed to the kernel. It returns an
// error if the connection failed or was aborted before.
func WaitSent(w http.ResponseWriter) error {
	if c := connectionOf(w); c != nil {
		return c.out.flush()
	}
	return nil
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
