package forward

import "bytes"

// eventSplitter splits a stream of server-sent events into complete events.
type eventSplitter struct {
	pending  []byte
	complete []byte
	// scanned is the number of bytes of pending in which no event ends.
	scanned int
	// order checks the events; it outlasts reset.
	order eventOrder
}

// reset discards the start of an event that was incomplete when the stream broke.
func (s *eventSplitter) reset() { s.pending, s.scanned = s.pending[:0], 0 }

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte { return s.pending }

// insideEvent reports whether the bytes after the last complete event belong to an
// event. Empty lines and complete comment lines belong to none.
func (s *eventSplitter) insideEvent() bool {
	rest := s.pending
	for len(rest) > 0 {
		line, after, ended := cutLine(rest)
		if !ended || len(line) > 0 && line[0] != ':' {
			return true
		}
		rest = after
	}
	return false
}

// add takes bytes of the stream and returns the events that they complete, up to the
// first that is out of order or, in a numbered stream, is none, which is an error. Empty
// lines between the events of a numbered stream are left out. The result is valid until
// the next call.
func (s *eventSplitter) add(p []byte) (complete []byte, events int, err error) {
	s.pending = append(s.pending, p...)
	s.complete = s.complete[:0]
	start := 0
	for err == nil {
		end := eventEnd(s.pending, s.scanned)
		if end < 0 {
			break
		}
		var found bool
		if found, err = s.take(s.pending[start:end]); found {
			events++
		}
		start, s.scanned = end, end
	}
	s.pending = append(s.pending[:0], s.pending[start:]...)
	s.scanned = max(0, len(s.pending)-len(longestEventEnd))
	return s.complete, events, err
}

// take adds a complete block to the result, and reports whether it is an event.
func (s *eventSplitter) take(block []byte) (found bool, err error) {
	if s.order.numbered {
		block = bytes.TrimLeft(bytes.TrimPrefix(block, byteOrderMark), "\r\n")
	}
	e := parseEvent(block)
	if s.order.numbered && e.empty() {
		return false, nil
	}
	if err := s.order.next(block, &e); err != nil {
		return false, err
	}
	s.complete = append(s.complete, block...)
	return true, nil
}

// byteOrderMark may stand at the start of a stream.
var byteOrderMark = []byte("\ufeff")

// longestEventEnd is the longest text that may be the start of an event's end, after which more has
// to be read.
const longestEventEnd = "\r\n\r"

// eventEnd returns the offset after the first end of an event that starts at or
// after from, or -1: a line end and an empty line. Where lines end with CR alone, the end
// is found at once, since the next byte may come much later.
func eventEnd(p []byte, from int) int {
	for {
		at := lineEnd(p[from:])
		if at < 0 {
			return -1
		}
		next, onlyCR := from+at+1, p[from+at] == '\r'
		if onlyCR && next < len(p) && p[next] == '\n' {
			next, onlyCR = next+1, false
		}
		switch rest := p[next:]; {
		case len(rest) == 0, len(rest) == 1 && rest[0] == '\r' && !onlyCR:
			return -1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return next + 2
		case rest[0] == '\r', rest[0] == '\n':
			return next + 1
		}
		from = next
	}
}

// cutLine cuts p after its first line, which is returned without its end. ended is false if no line
// ends in p.
func cutLine(p []byte) (line, rest []byte, ended bool) {
	at := lineEnd(p)
	if at < 0 {
		return p, nil, false
	}
	rest = p[at+1:]
	if p[at] == '\r' {
		rest = bytes.TrimPrefix(rest, []byte("\n"))
	}
	return p[:at], rest, true
}

// lineEnd returns the offset of the first byte of a line end, or -1. Lines of a stream end with LF,
// CR LF or CR.
func lineEnd(p []byte) int {
	lf := bytes.IndexByte(p, '\n')
	if lf >= 0 {
		p = p[:lf]
	}
	if cr := bytes.IndexByte(p, '\r'); cr >= 0 {
		return cr
	}
	return lf
}
