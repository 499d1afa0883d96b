package httpfront

import (
	"net/http"

	"github.com/joomcode/errorx"
)

// maxHeldBytes bounds, in bytes, an answer without a length that is held in memory for a
// caller of HTTP/1.0.
const maxHeldBytes = 4 << 20

// maxPieceBytes bounds, in bytes, what is handed to nbhttp at once. From 64 KiB on,
// nbhttp (1.6.8) frees the buffer of a chunk twice, and two answers may share it then.
const maxPieceBytes = 32 << 10

var errTooLongToHold = errorx.IllegalState.New("the answer has no length and is too long to be held for a caller of HTTP/1.0; call with HTTP/1.1")

// PieceWriter writes the body of an answer whose length is not known in advance, each
// piece at once. A caller of HTTP/1.0, which has no chunks, gets the body as a whole when
// the handler returns, since it could not tell a truncated one from a complete one.
type PieceWriter struct {
	w http.ResponseWriter
	// hold is true if nothing may be sent before the end of the body.
	hold bool
	// held is the number of bytes held so far.
	held int
}

// NewPieceWriter returns a writer for the answer w to the request r.
func NewPieceWriter(w http.ResponseWriter, r *http.Request) PieceWriter {
	return PieceWriter{w: w, hold: !r.ProtoAtLeast(1, 1)}
}

// Write sends one piece. It returns an error if the caller disconnected or the body is too
// long to be held.
func (p *PieceWriter) Write(piece []byte) error {
	for len(piece) > maxPieceBytes {
		if err := p.write(piece[:maxPieceBytes]); err != nil {
			return err
		}
		piece = piece[maxPieceBytes:]
	}
	return p.write(piece)
}

// write sends a piece of at most maxPieceBytes.
func (p *PieceWriter) write(piece []byte) error {
	if _, err := p.w.Write(piece); err != nil {
		return err
	}
	if p.hold {
		if p.held += len(piece); p.held > maxHeldBytes {
			return errTooLongToHold
		}
		return WriteFailure(p.w)
	}
	if flusher, ok := p.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return WriteFailure(p.w)
}
