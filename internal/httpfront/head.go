package httpfront

import (
	"bytes"
	"fmt"
	"net/http"
)

// exactAnswers is a handler that makes the answers of another one end where they do by
// definition: an answer to HEAD has no body, whatever its handler writes.
type exactAnswers struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (h exactAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connectionOf(w); c != nil {
		c.correction.Store(nil)
		c.bodyBegun = false
		if r.Method == http.MethodHead {
			c.correction.Store(&headCorrection{bodyless: true})
		}
		defer c.out.end()
	}
	h.Handler.ServeHTTP(w, r)
}

// WriteHead writes the status of an answer to the request r; its other headers are set
// already. length is that of its body, -1 if it is not known. It returns false if the
// answer has no body by definition.
//
// nbhttp sends a status without a standard text as 200, and ends an answer without a
// length with an empty chunk whatever its method. Both are corrected when the head is
// written to the connection.
func WriteHead(w http.ResponseWriter, r *http.Request, status int, length int64) (hasBody bool) {
	noContent := status == http.StatusNoContent || status == http.StatusNotModified
	if !noContent {
		SetLength(w.Header(), length)
	}
	correction := headCorrection{bodyless: noContent || r.Method == http.MethodHead}
	correction.noLength = correction.bodyless && w.Header().Get("Content-Length") == ""
	known := status
	if http.StatusText(status) == "" {
		known, correction.status = http.StatusOK, status
	}
	if c := connectionOf(w); c != nil {
		if correction != (headCorrection{}) {
			c.correction.Store(&correction)
		}
		if length >= 0 && !correction.bodyless {
			c.out.expect(length)
		}
	}
	w.WriteHeader(known)
	return !correction.bodyless
}

// headCorrection says how an answer that nbhttp writes is corrected.
type headCorrection struct {
	// status replaces the status of the head; 0 leaves it.
	status int
	// bodyless is true if the answer ends with its head.
	bodyless bool
	// noLength is true if the head must state neither a length nor chunks.
	noLength bool
	// headWritten is true once the head was corrected.
	headWritten bool
}

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// apply returns what is sent in place of the next bytes of an answer. The first ones contain
// the whole head.
func (h *headCorrection) apply(p []byte) []byte {
	if h.headWritten {
		if h.bodyless {
			return nil
		}
		return p
	}
	h.headWritten = true
	if end := bytes.Index(p, headEnd); h.bodyless && end >= 0 {
		p = p[:end+len(headEnd)]
	}
	if h.noLength {
		p = withoutLine(withoutLine(p, "Content-Length: "), "Transfer-Encoding: ")
	}
	if protocol, rest, ok := bytes.Cut(p, []byte(" ")); ok && h.status != 0 {
		_, rest, _ = bytes.Cut(rest, lineEnd)
		p = append(fmt.Appendf(nil, "%s %d \r\n", protocol, h.status), rest...)
	}
	return p
}

// withoutLine returns a head without the first line after the status that starts with a
// text.
func withoutLine(head []byte, start string) []byte {
	at := bytes.Index(head, append([]byte("\r\n"), start...))
	if at < 0 {
		return head
	}
	end := at + len(lineEnd) + bytes.Index(head[at+len(lineEnd):], lineEnd)
	return append(bytes.Clone(head[:at]), head[end:]...)
}
