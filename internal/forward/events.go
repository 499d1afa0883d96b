package forward

import (
	"bytes"
	"strconv"
)

// splitter cuts a stream into whole events.
type splitter struct {
	pending []byte
	whole   []byte
	// first and last are the ids of the first and last event that add returned.
	first, last string
}

// reset forgets a part of an event that came before the stream broke.
func (s *splitter) reset() { s.pending = s.pending[:0] }

// rest returns the bytes after the last whole event.
func (s *splitter) rest() []byte { return s.pending }

var eventEnd = []byte("\n\n")

// add takes bytes of the stream and returns the events that they complete. The
// result is valid until the next call.
func (s *splitter) add(p []byte) (whole []byte, events int) {
	s.pending = append(s.pending, p...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		return nil, 0
	}
	end += len(eventEnd)
	s.whole = append(s.whole[:0], s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	s.first = ""
	for rest := s.whole; len(rest) > 0; events++ {
		cut := bytes.Index(rest, eventEnd) + len(eventEnd)
		if id := eventID(rest[:cut]); id != "" {
			if s.first == "" {
				s.first = id
			}
			s.last = id
		}
		rest = rest[cut:]
	}
	return s.whole, events
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

// follows reports whether the first event after the one with id before is its
// successor. Ids that are not numbers cannot be checked.
func (s *splitter) follows(before string) bool {
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
