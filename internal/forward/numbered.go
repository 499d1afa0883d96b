package forward

import (
	"bytes"
	"strconv"
	"unicode/utf8"

	"github.com/joomcode/errorx"
)

// errorNamespace holds the kinds of errors of answers.
var errorNamespace = errorx.NewNamespace("forward").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// errForeignBytes means that a stream contains bytes that are none of its events.
var errForeignBytes = errorNamespace.NewType("foreign_bytes")

// maxQuotedBytes bounds the bytes of an invalid event that its error quotes.
const maxQuotedBytes = 60

// numberedEvents checks the events of a stream in which every event has an id and
// the ids are increasing numbers.
type numberedEvents struct {
	// last is the id of the newest event, if any is true.
	last uint64
	any  bool
}

// next checks one complete event, with the empty line that ends it. An event without any
// field, such as a comment, needs no id. The error quotes the event.
func (n *numberedEvents) next(event []byte) error {
	fields, ids, id := 0, 0, uint64(0)
	for rest := event; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, hasValue := bytes.Cut(line, []byte(":"))
		if !isField(name, hasValue) {
			return foreignBytes(event, "a line that is no field")
		}
		fields++
		if string(name) != "id" {
			continue
		}
		ids++
		var err error
		if id, err = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err != nil {
			return foreignBytes(event, "an id that is no number")
		}
	}
	switch {
	case !utf8.Valid(event) || bytes.IndexByte(event, 0) >= 0:
		return foreignBytes(event, "bytes that are no text")
	case fields == 0:
		return nil
	case ids != 1:
		return foreignBytes(event, "an event with "+strconv.Itoa(ids)+" ids")
	case n.any && id <= n.last:
		return foreignBytes(event, "an event that does not follow "+strconv.FormatUint(n.last, 10))
	}
	n.last, n.any = id, true
	return nil
}

func foreignBytes(event []byte, what string) error {
	return errForeignBytes.New("the stream contains %s: %q; check the upstream", what, event[:min(len(event), maxQuotedBytes)])
}

// isField reports whether a line with the name is a field of an event: one that the
// standard defines, or another one with a value.
func isField(name []byte, hasValue bool) bool {
	switch string(name) {
	case "id", "data", "event", "retry":
		return true
	}
	if !hasValue || len(name) == 0 {
		return false
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
