// Package answerhead checks the heads of HTTP/1.1 responses against the grammar of RFC 9112.
// net/http accepts heads that the grammar does not have, such as a status of 000 or a length
// whose name ends with a blank, and then reads a body that the sender did not mean. A Checker
// looks at what is read from a connection before net/http does.
package answerhead

import (
	"bytes"
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

// MaxStatus is the highest status of an answer.
const MaxStatus = 599

const (
	minStatus = 100
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

// Checker checks the bytes of an answer up to the end of its head, with those of the interim
// (1xx) heads before it. The zero value checks nothing until Begin.
type Checker struct {
	state state
	// line holds the start of a line whose end has not come yet.
	line []byte
	// interim is true if the head that is being checked is not the final one.
	interim bool
	// minor is the minor version of HTTP that the head states.
	minor byte
	// length and coding are true if the head states a length and a transfer coding.
	length, coding bool
	err            error
}

// Begin starts a head.
func (c *Checker) Begin() { *c = Checker{state: atStatusLine} }

// Check checks the next bytes as far as they belong to a head. Once it has returned an error, it
// returns that until Begin.
func (c *Checker) Check(p []byte) error {
	for c.err == nil && c.state != afterHead {
		line, rest, ends := bytes.Cut(p, []byte("\n"))
		if !ends {
			c.line = append(c.line, p...)
			break
		}
		p = rest
		if len(c.line) > 0 {
			c.line = append(c.line, line...)
			line = c.line
		}
		c.err = c.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		c.line = c.line[:0]
	}
	if c.state == afterHead {
		c.line = nil // a connection may stay idle for long
	}
	return c.err
}

// TwoFramings reports whether the final head states a length and a transfer coding. The coding
// goes before the length, but what follows the body may be meant as a part of it.
func (c *Checker) TwoFramings() bool { return c.length && c.coding }

// checkLine checks one line without its end.
func (c *Checker) checkLine(line []byte) error {
	switch {
	case c.state == atStatusLine:
		return c.checkStatusLine(line)
	case len(line) > 0:
		return c.checkField(line)
	case c.interim:
		c.state = atStatusLine
	default:
		c.state = afterHead
	}
	return nil
}

// checkStatusLine checks HTTP-version SP status-code [ SP reason-phrase ]. The grammar has a
// space even without a reason, but many servers leave it out.
func (c *Checker) checkStatusLine(line []byte) error {
	const version, code = len("HTTP/1.1"), len("HTTP/1.1 200")
	switch {
	case len(line) < code, !bytes.HasPrefix(line, []byte("HTTP/1.")), !isDigit(line[version-1]), line[version] != ' ':
		return malformed("status line", line)
	case len(line) > code && line[code] != ' ', !validText(line[code:]):
		return malformed("status line", line)
	}
	digits := line[version+1 : code]
	status, err := strconv.Atoi(string(digits))
	if err != nil || !isDigit(digits[0]) || status < minStatus || status > MaxStatus || status == statusSwitchingProtocols {
		return malformed("status", line)
	}
	c.state, c.interim, c.minor = atField, status < minFinalStatus, line[version-1]
	c.length, c.coding = false, false
	return nil
}

// checkField checks field-name ":" field-value. A line that continues the one before, which starts
// with a blank, is obsolete: a gateway may replace such an answer by a failure. HTTP/1.0 has no
// transfer codings, so that the end of a body with one can't be told.
func (c *Checker) checkField(line []byte) error {
	name, value, hasValue := bytes.Cut(line, []byte(":"))
	if !hasValue || !httpguts.ValidHeaderFieldName(string(name)) || !validText(value) {
		return malformed("header", line)
	}
	c.length = c.length || bytes.EqualFold(name, contentLength)
	c.coding = c.coding || bytes.EqualFold(name, transferEncoding)
	if c.coding && c.minor == '0' {
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
