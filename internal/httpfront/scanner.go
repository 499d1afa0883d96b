package httpfront

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

// errorNamespace holds the kinds of errors of input.
var errorNamespace = errorx.NewNamespace("httpfront").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Kinds of malformed requests. Their names label a counter.
var (
	errLineEnd     = errorNamespace.NewType("line_end")
	errCharacter   = errorNamespace.NewType("character")
	errRequestLine = errorNamespace.NewType("request_line")
	errHeaderName  = errorNamespace.NewType("header_name")
	errFoldedLine  = errorNamespace.NewType("folded_line")
	errLength      = errorNamespace.NewType("content_length")
	errCoding      = errorNamespace.NewType("transfer_encoding")
	errHost        = errorNamespace.NewType("host")
	errChunk       = errorNamespace.NewType("chunk")
	errTrailer     = errorNamespace.NewType("trailer")
	errLongHeader  = errorNamespace.NewType("long_header")
	errLongLine    = errorNamespace.NewType("long_line")
)

// scanState is the part of a request that a scanner expects next.
type scanState uint8

const (
	scanRequestLine scanState = iota
	scanHeader
	scanBody
	scanChunkSize
	scanChunk
	scanChunkEnd
	scanTrailer
)

// requestScanner checks the bytes of a connection against the grammar of HTTP/1.1 (RFC 9112)
// before nbhttp parses them. nbhttp takes more than that, such as a header name with
// white space behind it; a server that reads such a request in another way sees another
// request in its body (request smuggling). The zero value expects the first request.
type requestScanner struct {
	// maxLine bounds a line in bytes.
	maxLine int
	state   scanState
	// partial is the start of a line whose end has not been read.
	partial []byte
	// left counts the bytes that are left of the body or the chunk.
	left uint64
	head scannedHead
}

// scannedHead is what a scanner keeps of the head of a request.
type scannedHead struct {
	// length is the length of the body; hasLength is true if the head states it.
	length             uint64
	hasLength, chunked bool
	hasHost            bool
	// old is true for HTTP/1.0, which has no chunks.
	old bool
}

// scan checks the bytes of the next read. With an error it returns the number of bytes before
// the request that is malformed; without one, that of all.
func (s *requestScanner) scan(data []byte) (sound int, err error) {
	for rest := data; len(rest) > 0; {
		if s.state == scanRequestLine && len(s.partial) == 0 {
			sound = len(data) - len(rest)
		}
		if s.state == scanBody || s.state == scanChunk {
			rest = s.skip(rest)
			continue
		}
		line, after, err := s.nextLine(rest)
		if err != nil {
			return sound, err
		}
		rest = after
		if line == nil {
			break
		}
		if err := s.scanLine(line); err != nil {
			return sound, err
		}
	}
	return len(data), nil
}

// skip passes over bytes of a body or a chunk.
func (s *requestScanner) skip(rest []byte) []byte {
	n := min(s.left, uint64(len(rest)))
	s.left -= n
	switch {
	case s.left > 0:
	case s.state == scanBody:
		s.state = scanRequestLine
	default:
		s.state = scanChunkEnd
	}
	return rest[n:]
}

// nextLine returns the next line without its end, or nil if its end has not been read, and
// the bytes behind it.
func (s *requestScanner) nextLine(data []byte) (line, rest []byte, err error) {
	end := bytes.IndexByte(data, '\n')
	line = data
	if end >= 0 {
		line, rest = data[:end], data[end+1:]
	}
	if len(s.partial)+len(line) > s.maxLine {
		return nil, nil, s.longLine()
	}
	if end < 0 {
		s.partial = append(s.partial, line...)
		return nil, nil, nil
	}
	if len(s.partial) > 0 {
		line = append(s.partial, line...)
		s.partial = nil
	}
	line, found := bytes.CutSuffix(line, []byte("\r"))
	if !found {
		return nil, nil, errLineEnd.New("a line does not end with CR LF")
	}
	return line, rest, nil
}

// longLine is the error of a line that is too long.
func (s *requestScanner) longLine() error {
	if s.state == scanRequestLine || s.state == scanHeader {
		return errLongHeader.New("a line of the head is longer than %d bytes", s.maxLine)
	}
	return errLongLine.New("a line of the body is longer than %d bytes", s.maxLine)
}

// scanLine checks a complete line.
func (s *requestScanner) scanLine(line []byte) error {
	if err := checkCharacters(line); err != nil {
		return err
	}
	switch s.state {
	case scanRequestLine:
		return s.requestLine(line)
	case scanHeader:
		if len(line) == 0 {
			return s.endHead()
		}
		return s.header(line)
	case scanChunkSize:
		return s.chunkSize(line)
	case scanChunkEnd:
		if len(line) > 0 {
			return errChunk.New("a chunk is longer than its size")
		}
		s.state = scanChunkSize
		return nil
	}
	if len(line) == 0 {
		s.state = scanRequestLine
		return nil
	}
	return checkTrailer(line)
}

// checkCharacters returns an error if a line contains a control character other than a
// tab; a CR or LF inside a line is one.
func checkCharacters(line []byte) error {
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return errCharacter.New("a line contains the control character 0x%02x", c)
		}
	}
	return nil
}

// requestLine checks the first line of a request and expects the headers.
func (s *requestScanner) requestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if len(target) == 0 || bytes.IndexByte(target, '\t') >= 0 {
		return errRequestLine.New("the first line is not METHOD TARGET VERSION")
	}
	if !isMethod(method) {
		return errRequestLine.New("%.20q is no method", method)
	}
	s.head = scannedHead{old: string(version) == "HTTP/1.0"}
	if !s.head.old && string(version) != "HTTP/1.1" {
		return errRequestLine.New("%.20q is no version that this server speaks", version)
	}
	s.state = scanHeader
	return nil
}

// header checks one header line and records what it says of the body.
func (s *requestScanner) header(line []byte) error {
	name, value, err := splitHeader(line)
	switch {
	case err != nil:
		return err
	case isName(name, "Content-Length"):
		return s.contentLength(string(value))
	case isName(name, "Transfer-Encoding"):
		if s.head.chunked || !isName(value, "chunked") {
			return errCoding.New("the transfer encoding is not chunked, once")
		}
		s.head.chunked = true
	case isName(name, "Host"):
		if s.head.hasHost {
			return errHost.New("the request has more than one Host")
		}
		s.head.hasHost = true
	}
	return nil
}

// contentLength records the length of the body.
func (s *requestScanner) contentLength(text string) error {
	if s.head.hasLength {
		return errLength.New("the body has more than one length")
	}
	length, err := strconv.ParseUint(text, 10, 63)
	if err != nil || !isNumber(text) {
		return errLength.New("the length of the body is not a number")
	}
	s.head.length, s.head.hasLength = length, true
	return nil
}

// endHead expects the body that the headers announced, or the next request.
func (s *requestScanner) endHead() error {
	head := &s.head
	switch {
	case head.chunked && head.hasLength:
		return errLength.New("the body has a length and chunks")
	case head.chunked && head.old:
		return errCoding.New("HTTP/1.0 has no chunks")
	case head.chunked:
		s.state = scanChunkSize
	case head.length > 0:
		s.state, s.left = scanBody, head.length
	default:
		s.state = scanRequestLine
	}
	return nil
}

// maxChunkDigits bounds the digits of the size of a chunk.
const maxChunkDigits = 15

// chunkSize checks the line before a chunk and expects the chunk, or the trailers behind
// the last one.
func (s *requestScanner) chunkSize(line []byte) error {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 64)
	if err != nil || len(digits) > maxChunkDigits {
		return errChunk.New("%.20q is no size of a chunk", digits)
	}
	s.state, s.left = scanChunk, size
	if size == 0 {
		s.state = scanTrailer
	}
	return nil
}

// framingNames are headers that must not stand behind the body.
var framingNames = []string{"Content-Length", "Transfer-Encoding", "Host", "Trailer"}

// checkTrailer checks a header line behind the last chunk.
func checkTrailer(line []byte) error {
	name, _, err := splitHeader(line)
	if err != nil {
		return err
	}
	for _, framing := range framingNames {
		if isName(name, framing) {
			return errTrailer.New("the header %s may only stand before the body", framing)
		}
	}
	return nil
}

// splitHeader returns the name and the value of a header line.
func splitHeader(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, errFoldedLine.New("a header is continued on a second line")
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, errHeaderName.New("%.40q is no name of a header with a colon", name)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// isName reports whether a text is a name, in any letters.
func isName(text []byte, name string) bool {
	return len(text) == len(name) && strings.EqualFold(string(text), name)
}

// isNumber reports whether a text consists of digits.
func isNumber(text string) bool {
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return text != ""
}

// isMethod reports whether a text is a method in capitals; nbhttp takes one in other letters
// for the same method.
func isMethod(text []byte) bool { return isToken(text) && bytes.Equal(bytes.ToUpper(text), text) }

// isToken reports whether a text is a token as the grammar defines it.
func isToken(text []byte) bool {
	for _, c := range text {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}
