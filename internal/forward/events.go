package forward

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream of server-sent events into complete events.
type eventSplitter struct {
	pending  []byte
	complete []byte
	// scanned is the number of bytes of pending in which no event ends.
	scanned int
	// first is the id of the first event with an id that the last call of add
	// returned, last that of the last event with an id since the start.
	first, last string
	// numbered checks the events if the stream's events are numbered; nil otherwise.
	numbered *numberedEvents
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
// first that is not an event of a numbered stream, which is an error. The result is valid
// until the next call.
func (s *eventSplitter) add(p []byte) (complete []byte, events int, err error) {
	s.pending = append(s.pending, p...)
	s.first = ""
	start := 0
	for {
		end := eventEnd(s.pending, s.scanned)
		if end < 0 {
			break
		}
		if s.numbered != nil {
			if err = s.numbered.next(s.pending[start:end]); err != nil {
				break
			}
		}
		s.noteID(s.pending[start:end])
		start, s.scanned = end, end
		events++
	}
	if events == 0 {
		s.scanned = max(0, len(s.pending)-len(longestEventEnd))
		return nil, 0, err
	}
	s.complete = append(s.complete[:0], s.pending[:start]...)
	s.pending = append(s.pending[:0], s.pending[start:]...)
	s.scanned = 0
	return s.complete, events, err
}

// noteID records the id of a complete event, if it has one.
func (s *eventSplitter) noteID(event []byte) {
	id := eventID(event)
	if id == "" {
		return
	}
	if s.first == "" {
		s.first = id
	}
	s.last = id
}

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

// eventID returns the id field of an event, or empty.
func eventID(event []byte) string {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
		event = rest
	}
	return ""
}

// continuesAfter reports whether the first event that add returned has a larger id
// than before, the id of the last event relayed. Ids that are not numbers are not
// compared.
func (s *eventSplitter) continuesAfter(before string) bool {
	if before == "" || s.first == "" {
		return true
	}
	known, err := strconv.ParseUint(before, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseUint(s.first, 10, 64)
	return err != nil || next > known
}
