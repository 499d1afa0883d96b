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

// errOutOfOrder means that an event does not follow the last one relayed.
var errOutOfOrder = errorNamespace.NewType("out_of_order")

// eventOrder checks the events of a stream, over all answers that continue it.
type eventOrder struct {
	// numbered is true if the stream consists of events that each have one id, and
	// these are increasing numbers. Otherwise ids are compared only where both are numbers.
	numbered bool
	// last is the id of the newest event that has one; empty before the first.
	last string
}

// event is one complete block of lines of a stream, up to its empty line.
type event struct {
	// fields and ids count the lines that are fields, and those that are ids.
	fields, ids int
	// id is the first id; comment is true if a line is a comment.
	id      string
	comment bool
	// invalid is the first line that is no field, or nil.
	invalid []byte
}

func parseEvent(block []byte) (e event) {
	for len(block) > 0 {
		var line []byte
		line, block, _ = cutLine(block)
		name, value, hasValue := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0:
		case len(name) == 0:
			e.comment = true
		case !isField(name, hasValue):
			if e.invalid == nil {
				e.invalid = line
			}
		case string(name) == "id":
			if e.ids == 0 {
				e.id = string(bytes.TrimSpace(value))
			}
			e.ids++
			e.fields++
		default:
			e.fields++
		}
	}
	return e
}

// empty reports whether a block consists of empty lines only.
func (e *event) empty() bool { return e.fields == 0 && !e.comment && e.invalid == nil }

// next checks the event of a block against the last one. In a numbered stream, a comment
// needs no id. The error quotes the block.
func (o *eventOrder) next(block []byte, e *event) error {
	if o.numbered {
		if err := checkNumbered(block, e); err != nil {
			return err
		}
	}
	if e.id == "" {
		return nil
	}
	if !follows(e.id, o.last) {
		return errOutOfOrder.New("the stream contains an event that does not follow %.20q: %q; check the upstream", o.last, quoted(block))
	}
	o.last = e.id
	return nil
}

// follows reports whether an id is larger than the one before. Ids that are not numbers
// are not compared.
func follows(id, before string) bool {
	known, err := strconv.ParseUint(before, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseUint(id, 10, 64)
	return err != nil || next > known
}

// checkNumbered returns an error unless a block is an event with one id that is a number,
// or a comment.
func checkNumbered(block []byte, e *event) error {
	switch {
	case e.invalid != nil:
		return foreignBytes(block, "a line that is no field")
	case !utf8.Valid(block) || bytes.IndexByte(block, 0) >= 0:
		return foreignBytes(block, "bytes that are no text")
	case e.fields == 0:
		return nil
	case e.ids != 1:
		return foreignBytes(block, "an event with "+strconv.Itoa(e.ids)+" ids")
	}
	if _, err := strconv.ParseUint(e.id, 10, 64); err != nil {
		return foreignBytes(block, "an id that is no number")
	}
	return nil
}

func foreignBytes(block []byte, what string) error {
	return errForeignBytes.New("the stream contains %s: %q; check the upstream", what, quoted(block))
}

// quoted returns the part of a block that an error quotes.
func quoted(block []byte) []byte { return block[:min(len(block), maxQuotedBytes)] }

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
