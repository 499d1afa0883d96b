// Package trace reconstructs the lifecycle of one request from the logs of
// gateways. It accepts log files in any order, lines that are torn or carry a
// prefix, and clocks that jump or differ between machines.
package trace

import (
	"bytes"
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/eventlog"
)

const (
	// Lines about the process itself are shown if they were written between
	// contextBefore the request's first line and contextAfter its last line.
	contextBefore = 3 * time.Second
	contextAfter  = 3 * time.Second
)

// Entry is one log line that is shown for a request.
type Entry struct {
	eventlog.Record
	// At is the time of the line by the clock of its process, corrected for jumps
	// of that clock: the start time of the process plus its uptime.
	At time.Time
	// Context is true for a line about the process instead of the request.
	Context bool
}

// History is the lifecycle of a request as the logs record it.
type History struct {
	RequestID string
	Entries   []Entry
	// Torn counts the lines that name the request but can not be parsed.
	Torn int
	// Clocks is true if several processes, whose clocks may differ, logged the
	// request.
	Clocks bool
}

// Collector reads logs and keeps the lines about one request, and all lines about
// processes.
type Collector struct {
	id      string
	records []eventlog.Record
	torn    int
}

// NewCollector returns a collector for the request with the id.
func NewCollector(id string) *Collector { return &Collector{id: id} }

// Read reads one log; it may be called for several logs.
func (c *Collector) Read(r io.Reader) error { return eventlog.Scan(r, c.addLine) }

// addLine adds the records parsed from one line of text. It counts the line as torn
// if it names the request and no record of the request could be parsed from it.
func (c *Collector) addLine(text []byte, records []eventlog.Record) {
	named, parsed := bytes.Contains(text, []byte(`"request_id":"`+c.id+`"`)), false
	for _, record := range records {
		if id, about := eventlog.RequestIDOf(record.Line); !about || id == c.id {
			c.records = append(c.records, record)
			parsed = parsed || about
		}
	}
	if named && !parsed {
		c.torn++
	}
}

// History returns the lifecycle from the lines read so far, ordered by time.
func (c *Collector) History() History {
	life := History{RequestID: c.id, Torn: c.torn}
	starts := eventlog.StartTimes(c.records)
	spans := map[eventlog.Process][2]time.Time{}
	for _, r := range c.records {
		p := r.Process()
		at := starts[p].Add(r.Up)
		_, aboutRequest := eventlog.RequestIDOf(r.Line)
		life.Entries = append(life.Entries, Entry{Record: r, At: at, Context: !aboutRequest})
		if !aboutRequest {
			continue
		}
		span, known := spans[p]
		if !known || at.Before(span[0]) {
			span[0] = at
		}
		if !known || at.After(span[1]) {
			span[1] = at
		}
		spans[p] = span
	}
	life.Clocks = len(spans) > 1
	life.Entries = slices.DeleteFunc(life.Entries, func(e Entry) bool { return e.Context && !showsContext(e, spans) })
	slices.SortStableFunc(life.Entries, func(a, b Entry) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return life
}

// showsContext reports whether a line about a process is shown: it is of a kind that
// matters, and an instance that logged the request wrote it around that time.
func showsContext(e Entry, spans map[eventlog.Process][2]time.Time) bool {
	if !affectsRequests(e.Line) {
		return false
	}
	for p, span := range spans {
		if p.Instance == e.Instance && !e.At.Before(span[0].Add(-contextBefore)) && !e.At.After(span[1].Add(contextAfter)) {
			return true
		}
	}
	return false
}

// affectsRequests reports whether a line records an event that affects how a process
// serves requests.
func affectsRequests(line eventlog.Line) bool {
	switch line.(type) {
	case eventlog.InstanceStarted, eventlog.StopStarted, eventlog.ReadinessChanged, eventlog.LimitSharersChanged, eventlog.ConfigInForce,
		eventlog.StoreLost, eventlog.StoreRegained, eventlog.RolloutChanged, eventlog.InternalFault, eventlog.LinesDropped:
		return true
	}
	return false
}
