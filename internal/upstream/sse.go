package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 256 << 10

var errEventTooLong = errors.New("server-sent event is longer than 256 KiB")

// eventReader reads the data of server-sent events. Events without data are skipped.
type eventReader struct {
	r    *bufio.Reader
	line []byte
	data []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the data of the next complete event, which is valid until the next
// call. For an event that is truncated before its blank line it returns an error.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	seen := false
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return e.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if seen {
			e.data = append(e.data, '\n')
		}
		seen = true
		e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(e.data) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// readLine returns the next line without its end. A line that is truncated is an
// error.
func (e *eventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		e.line = append(e.line, part...)
		if len(e.line) > maxEventBytes {
			return nil, errEventTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		return bytes.TrimRight(e.line, "\r\n"), nil
	}
}
