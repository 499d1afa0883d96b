package forward

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream of server-sent events into complete events.
type eventSplitter struct {
	pending  []byte
	complete []byte
	// first is the id of the first event with an id that the last call of add
	// returned, last that of the last event with an id since the start.
	first, last string
}

// reset discards the start of an event that was incomplete when the stream broke.
func (s *eventSplitter) reset() { s.pending = s.pending[:0] }

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte { return s.pending }

var eventEnd = []byte("\n\n")

// add takes bytes of the stream and returns the events that they complete. The
// result is valid until the next call.
func (s *eventSplitter) add(p []byte) (complete []byte, events int) {
	s.pending = append(s.pending, p...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		return nil, 0
	}
	end += len(eventEnd)
	s.complete = append(s.complete[:0], s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	s.first = ""
	for rest := s.complete; len(rest) > 0; events++ {
		cut := bytes.Index(rest, eventEnd) + len(eventEnd)
		if id := eventID(rest[:cut]); id != "" {
			if s.first == "" {
				s.first = id
			}
			s.last = id
		}
		rest = rest[cut:]
	}
	return s.complete, events
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
