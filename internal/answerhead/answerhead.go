// Package answerhead checks the heads of HTTP/1.1 responses against the grammar of RFC 9112.
// net/http accepts heads that the grammar does not have, such as a status of 000 or a length
// whose name ends with a blank, and then reads a body that the sender did not mean. A Reader stands between a connection and
// net/http, and passes on no byte of a head in which it has found a fault.
package answerhead

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"
)

// Errors is the namespace of errors of this package.
var Errors = errorx.NewNamespace("answerhead").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// ErrMalformed means that the head of an answer violates the grammar of HTTP/1.1.
	ErrMalformed = Errors.NewType("malformed")
	// ErrTooLarge means that the head is larger than its limit.
	ErrTooLarge = Errors.NewType("too_large")
)

const (
	minStatus = 100
	maxStatus = 599
	// minFinalStatus is the lowest status of a final answer; those below are interim.
	minFinalStatus = 200
	// statusSwitchingProtocols ends HTTP on a connection. No request of this program asks for it.
	statusSwitchingProtocols = 101
	// maxQuotedBytes bounds the part of a line that an error quotes.
	maxQuotedBytes = 60
)

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// state says which line of an answer comes next.
type state uint8

const (
	// afterHead means that the final head is complete; what follows is not checked.
	afterHead state = iota
	atStatusLine
	atField
)

// Reader reads from a connection and checks the head of one answer with the interim (1xx)
// heads before it. The zero value with a source checks nothing until Begin.
type Reader struct {
	source io.Reader
	state  state
	// bounded is true if the heads have a limit, of which left bytes may still be read.
	bounded bool
	left    int
	// line holds the start of a line whose end has not been read yet.
	line []byte
	// interim is true if the head that is being read is not the final one.
	interim bool
	// minor is the minor version of HTTP that the head states.
	minor byte
	// length and coding are true if the head states a length and a transfer coding.
	length, coding bool
	err            error
}

// NewReader returns a reader of a connection.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Begin starts a head, of which buffered was read before. Together with the interim heads before
// it, the head may have limit bytes; 0 means no limit.
func (r *Reader) Begin(buffered []byte, limit int) error {
	r.state, r.bounded, r.left, r.err = atStatusLine, limit > 0, limit, nil
	r.line, r.interim = r.line[:0], false
	r.err = r.check(buffered)
	return r.err
}

// TwoFramings reports whether the final head states a length and a transfer coding. The coding
// goes before the length, but what follows the body may be meant as a part of it.
func (r *Reader) TwoFramings() bool { return r.length && r.coding }

// Read implements io.Reader. It fails on a fault in a head, and once more bytes were read for it
// than the limit.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if r.state == afterHead {
		return r.source.Read(p)
	}
	if r.bounded {
		if r.left <= 0 {
			return 0, ErrTooLarge.New("the answer's headers are larger than max_answer_header_bytes; check the upstream or raise the limit")
		}
		p = p[:min(len(p), r.left)]
	}
	n, err := r.source.Read(p)
	r.left -= n
	if r.err = r.check(p[:n]); r.err != nil {
		return 0, r.err
	}
	return n, err
}

// check checks the next bytes as far as they belong to a head.
func (r *Reader) check(p []byte) error {
	for r.state != afterHead {
		line, rest, ends := bytes.Cut(p, []byte("\n"))
		if !ends {
			r.line = append(r.line, p...)
			return nil
		}
		p = rest
		if len(r.line) > 0 {
			r.line = append(r.line, line...)
			line = r.line
		}
		err := r.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		r.line = r.line[:0]
		if err != nil {
			return err
		}
	}
	return nil
}

// checkLine checks one line without its end.
func (r *Reader) checkLine(line []byte) error {
	switch {
	case r.state == atStatusLine:
		return r.checkStatusLine(line)
	case len(line) > 0:
		return r.checkField(line)
	case r.interim:
		r.state = atStatusLine
	default:
		r.state = afterHead
	}
	return nil
}

// checkStatusLine checks HTTP-version SP status-code [ SP reason-phrase ]. The grammar has a
// space even without a reason, but many servers leave it out.
func (r *Reader) checkStatusLine(line []byte) error {
	const version, code = len("HTTP/1.1"), len("HTTP/1.1 200")
	switch {
	case len(line) < code, !bytes.HasPrefix(line, []byte("HTTP/1.")), !isDigit(line[version-1]), line[version] != ' ':
		return malformed("status line", line)
	case len(line) > code && line[code] != ' ', !validText(line[code:]):
		return malformed("status line", line)
	}
	digits := line[version+1 : code]
	status, err := strconv.Atoi(string(digits))
	if err != nil || !isDigit(digits[0]) || status < minStatus || status > maxStatus || status == statusSwitchingProtocols {
		return malformed("status", line)
	}
	r.state, r.interim, r.minor = atField, status < minFinalStatus, line[version-1]
	r.length, r.coding = false, false
	return nil
}

// checkField checks field-name ":" field-value. A line that continues the one before, which starts
// with a blank, is obsolete: a gateway may replace such an answer by a failure. HTTP/1.0 has no
// transfer codings, so that the end of a body with one can't be told.
func (r *Reader) checkField(line []byte) error {
	name, value, hasValue := bytes.Cut(line, []byte(":"))
	if !hasValue || !httpguts.ValidHeaderFieldName(string(name)) || !validText(value) {
		return malformed("header", line)
	}
	r.length = r.length || bytes.EqualFold(name, contentLength)
	r.coding = r.coding || bytes.EqualFold(name, transferEncoding)
	if r.coding && r.minor == '0' {
		return malformed("framing in HTTP/1.0", line)
	}
	return nil
}

// CheckTrailers returns an error if the trailers that net/http has read have an invalid name.
func CheckTrailers(trailers http.Header) error {
	for name := range trailers {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("trailer", []byte(name))
		}
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// validText reports whether a text has no control bytes but tabs. Bytes above 127 are permitted.
func validText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func malformed(what string, line []byte) error {
	return ErrMalformed.New("the answer has an invalid %s: %q; check the upstream", what, line[:min(len(line), maxQuotedBytes)])
}
