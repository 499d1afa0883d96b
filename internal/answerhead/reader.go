package answerhead

import "io"

// Reader reads from a connection and checks the heads of answers, with a limit on their size. It
// passes on no byte of a head in which it has found a fault. It is used by one goroutine.
type Reader struct {
	Checker
	source io.Reader
	// bounded is true if the heads have a limit, of which left bytes may still be read.
	bounded bool
	left    int
}

// NewReader returns a reader of a connection. It checks nothing until Begin.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Begin starts a head, of which buffered was read before. Together with the interim heads before
// it, the head may have limit bytes; 0 means no limit.
func (r *Reader) Begin(buffered []byte, limit int) error {
	r.bounded, r.left = limit > 0, limit
	r.Checker.Begin()
	return r.Check(buffered)
}

// Read implements io.Reader. It fails on a fault in a head, and once more bytes were read for it
// than the limit.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if r.bounded && r.state != afterHead {
		if r.left <= 0 {
			return 0, ErrTooLarge.New("the answer's headers are larger than max_answer_header_bytes; check the upstream or raise the limit")
		}
		p = p[:min(len(p), r.left)]
	}
	n, err := r.source.Read(p)
	r.left -= n
	if fault := r.Check(p[:n]); fault != nil {
		return 0, fault
	}
	return n, err
}
