package eventlog

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"time"
)

// maxLineBytes is the maximum length of one line of a log.
const maxLineBytes = 1 << 20

// Scan reads a log and calls visit for each line of text with the records found
// in it: none in the output of another program, one after a prefix, or several
// if lines were run together, of which the first may be truncated. Both
// arguments of visit are valid only during the call.
func Scan(r io.Reader, visit func(text []byte, records []Record)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var records []Record
	for scanner.Scan() {
		text := scanner.Bytes()
		records = records[:0]
		for start := bytes.IndexByte(text, '{'); start >= 0; start = nextBrace(text, start) {
			if record, end, ok := parseAt(text, start); ok {
				records = append(records, record)
				start = end - 1
			}
		}
		visit(text, records)
	}
	return scanner.Err()
}

// nextBrace returns the index of the first opening brace after start, at which
// the next record may begin, or -1.
func nextBrace(text []byte, start int) int {
	if start+1 >= len(text) {
		return -1
	}
	if i := bytes.IndexByte(text[start+1:], '{'); i >= 0 {
		return start + 1 + i
	}
	return -1
}

// parseAt parses the record that starts at the opening brace at start. Fields of
// log lines contain no objects, so the record ends at the first closing brace
// outside a string.
func parseAt(text []byte, start int) (record Record, end int, ok bool) {
	inString := false
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			inString = !inString
		case '}':
			if inString {
				continue
			}
			record, err := Parse(text[start : i+1])
			return record, i + 1, err == nil
		}
	}
	return Record{}, 0, false
}

// Process identifies one process of an instance.
type Process struct{ Instance, Run string }

// Process returns the process that wrote the line.
func (r Record) Process() Process { return Process{r.Instance, r.Run} }

// StartTimes returns the start time of each process by its machine's clock. It is the
// median of the estimates from all lines, so that a jump of the clock does not
// distort it.
func StartTimes(records []Record) map[Process]time.Time {
	estimates := map[Process][]time.Time{}
	for _, r := range records {
		estimates[r.Process()] = append(estimates[r.Process()], r.Time.Add(-r.Up))
	}
	starts := map[Process]time.Time{}
	for p, times := range estimates {
		slices.SortFunc(times, time.Time.Compare)
		starts[p] = times[len(times)/2]
	}
	return starts
}

// RequestIDOf returns the id of the request that a line is about; ok is false for
// lines that are not about a request.
func RequestIDOf(line Line) (id string, ok bool) {
	switch l := line.(type) {
	case RequestSent:
		return l.RequestID, true
	case SendFailed:
		return l.RequestID, true
	case RequestAnswered:
		return l.RequestID, true
	case RequestRefused:
		return l.RequestID, true
	case CallerDisconnected:
		return l.RequestID, true
	}
	return "", false
}
