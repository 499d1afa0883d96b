// Package trace tells the life of one request from the logs of gateways. It
// copes with lines that are torn or carry a prefix, with files in any order, and
// with clocks that jump or differ.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/eventlog"
)

const (
	// maxLine bounds one line of a log in bytes.
	maxLine = 1 << 20
	// contextBefore and contextAfter bound the lines on the process itself that
	// are shown around the request.
	contextBefore = 3 * time.Second
	contextAfter  = 3 * time.Second
)

// Entry is one line of a life.
type Entry struct {
	eventlog.Record
	// At is the time of the line by its process' own clock, without its jumps.
	At time.Time
	// Context is true for lines on the process, and not on the request.
	Context bool
}

// Life is what the logs tell of a request.
type Life struct {
	RequestID string
	Entries   []Entry
	// Torn counts lines that name the request and can not be read.
	Torn int
	// Clocks is true if several processes tell of the request, whose clocks may
	// differ.
	Clocks bool
}

// Collector reads logs and keeps what concerns one request.
type Collector struct {
	id      string
	records []eventlog.Record
	torn    int
}

// NewCollector returns a collector for the request.
func NewCollector(id string) *Collector { return &Collector{id: id} }

// Read takes in one log.
func (c *Collector) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		c.line(scanner.Bytes())
	}
	return scanner.Err()
}

// line takes in the lines that one line of text holds: none, one after a prefix,
// or some of which the first is torn.
func (c *Collector) line(text []byte) {
	named := bytes.Contains(text, []byte(`"request_id":"`+c.id+`"`))
	whole := false
	for start := bytes.IndexByte(text, '{'); start >= 0; start = next(text, start) {
		record, end, ok := parseAt(text, start)
		if !ok {
			continue
		}
		if id, about := requestOf(record.Line); !about || id == c.id {
			c.records = append(c.records, record)
			whole = whole || about
		}
		start = end - 1
	}
	if named && !whole {
		c.torn++
	}
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
func parseAt(text []byte, start int) (record eventlog.Record, end int, ok bool) {
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
			record, err := eventlog.Parse(text[start : i+1])
			return record, i + 1, err == nil
		}
	}
	return eventlog.Record{}, 0, false
}

// requestOf returns the request that a line is about.
func requestOf(line eventlog.Line) (id string, ok bool) {
	switch l := line.(type) {
	case eventlog.RequestSent:
		return l.RequestID, true
	case eventlog.SendFailed:
		return l.RequestID, true
	case eventlog.RequestAnswered:
		return l.RequestID, true
	case eventlog.RequestRefused:
		return l.RequestID, true
	case eventlog.CallerLeft:
		return l.RequestID, true
	}
	return "", false
}

// process identifies one process.
type process struct{ instance, run string }

// Life returns what was read, in order.
func (c *Collector) Life() Life {
	life := Life{RequestID: c.id, Torn: c.torn}
	starts := c.starts()
	tells := map[process][2]time.Time{}
	for _, r := range c.records {
		p := process{r.Instance, r.Run}
		at := starts[p].Add(r.Up)
		_, about := requestOf(r.Line)
		life.Entries = append(life.Entries, Entry{Record: r, At: at, Context: !about})
		if !about {
			continue
		}
		span, known := tells[p]
		if !known || at.Before(span[0]) {
			span[0] = at
		}
		if !known || at.After(span[1]) {
			span[1] = at
		}
		tells[p] = span
	}
	life.Clocks = len(tells) > 1
	life.Entries = slices.DeleteFunc(life.Entries, func(e Entry) bool { return e.Context && !near(e, tells) })
	slices.SortStableFunc(life.Entries, func(a, b Entry) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return life
}

// starts returns when each process started by its own clock: the median over its
// lines, so that a jump of the clock does not matter.
func (c *Collector) starts() map[process]time.Time {
	all := map[process][]time.Time{}
	for _, r := range c.records {
		p := process{r.Instance, r.Run}
		all[p] = append(all[p], r.Time.Add(-r.Up))
	}
	out := map[process]time.Time{}
	for p, times := range all {
		slices.SortFunc(times, time.Time.Compare)
		out[p] = times[len(times)/2]
	}
	return out
}

// near reports whether a line on a process is worth telling: it is on an
// instance that tells of the request, about that time.
func near(e Entry, tells map[process][2]time.Time) bool {
	if !worthTelling(e.Line) {
		return false
	}
	for p, span := range tells {
		if p.instance == e.Instance && !e.At.Before(span[0].Add(-contextBefore)) && !e.At.After(span[1].Add(contextAfter)) {
			return true
		}
	}
	return false
}

// worthTelling reports whether a line changes what a process can do for a request.
func worthTelling(line eventlog.Line) bool {
	switch line.(type) {
	case eventlog.InstanceStarted, eventlog.StopStarted, eventlog.ReadinessChanged, eventlog.ConfigInForce,
		eventlog.StoreLost, eventlog.StoreRegained, eventlog.InternalFault, eventlog.LinesDropped:
		return true
	}
	return false
}
