package eventlog

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"time"
)

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// Scan reads a log and calls visit for each line of text with the lines of a
// gateway in it: none, one after a prefix, or some of which the first is torn.
// Both arguments are valid during the call only.
func Scan(r io.Reader, visit func(text []byte, records []Record)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var records []Record
	for scanner.Scan() {
		text := scanner.Bytes()
		records = records[:0]
		for start := bytes.IndexByte(text, '{'); start >= 0; start = next(text, start) {
			if record, end, ok := parseAt(text, start); ok {
				records = append(records, record)
				start = end - 1
			}
		}
		visit(text, records)
	}
	return scanner.Err()
}

// next returns where the next object may start after start, or -1.
func next(text []byte, start int) int {
	if start+1 >= len(text) {
		return -1
	}
	if i := bytes.IndexByte(text[start+1:], '{'); i >= 0 {
		return start + 1 + i
	}
	return -1
}

// parseAt reads the line that starts at an opening brace. Fields hold no
// objects, so it ends at the first closing brace outside of a string.
func parseAt(text []byte, start int) (record Record, end int, ok bool) {
	quoted := false
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			quoted = !quoted
		case '}':
			if quoted {
				continue
			}
			record, err := Parse(text[start : i+1])
			return record, i + 1, err == nil
		}
	}
	return Record{}, 0, false
}

// Process identifies one process.
type Process struct{ Instance, Run string }

// Process returns the process that wrote the line.
func (r Record) Process() Process { return Process{r.Instance, r.Run} }

// Starts returns when each process started by its own clock: the median over its
// lines, so that a jump of the clock does not matter.
func Starts(records []Record) map[Process]time.Time {
	all := map[Process][]time.Time{}
	for _, r := range records {
		all[r.Process()] = append(all[r.Process()], r.Time.Add(-r.Up))
	}
	out := map[Process]time.Time{}
	for p, times := range all {
		slices.SortFunc(times, time.Time.Compare)
		out[p] = times[len(times)/2]
	}
	return out
}

// RequestOf returns the request that a line is about.
func RequestOf(line Line) (id string, ok bool) {
	switch l := line.(type) {
	case RequestSent:
		return l.RequestID, true
	case SendFailed:
		return l.RequestID, true
	case RequestAnswered:
		return l.RequestID, true
	case RequestRefused:
		return l.RequestID, true
	case CallerLeft:
		return l.RequestID, true
	}
	return "", false
}
