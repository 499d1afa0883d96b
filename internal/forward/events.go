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
		line, after, complete := bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if !complete || len(line) > 0 && line[0] != ':' {
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

// longestEventEnd is the longest text that ends an event: an empty line after a
// line. Both may end with LF alone.
const longestEventEnd = "\n\r\n"

// eventEnd returns the offset after the first end of an event that starts at or
// after from, or -1.
func eventEnd(p []byte, from int) int {
	for {
		next := bytes.IndexByte(p[from:], '\n')
		if next < 0 {
			return -1
		}
		from += next + 1
		rest := p[from:]
		if len(rest) > 0 && rest[0] == '\n' {
			return from + 1
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return from + 2
		}
	}
}
