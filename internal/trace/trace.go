// Package trace tells the life of one request from the logs of gateways. It
// copes with lines that are torn or carry a prefix, with files in any order, and
// with clocks that jump or differ.
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
func (c *Collector) Read(r io.Reader) error { return eventlog.Scan(r, c.take) }

// take takes in the lines that one line of text holds.
func (c *Collector) take(text []byte, records []eventlog.Record) {
	named, whole := bytes.Contains(text, []byte(`"request_id":"`+c.id+`"`)), false
	for _, record := range records {
		if id, about := eventlog.RequestOf(record.Line); !about || id == c.id {
			c.records = append(c.records, record)
			whole = whole || about
		}
	}
	if named && !whole {
		c.torn++
	}
}

// Life returns what was read, in order.
func (c *Collector) Life() Life {
	life := Life{RequestID: c.id, Torn: c.torn}
	starts := eventlog.Starts(c.records)
	tells := map[eventlog.Process][2]time.Time{}
	for _, r := range c.records {
		p := r.Process()
		at := starts[p].Add(r.Up)
		_, about := eventlog.RequestOf(r.Line)
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

// near reports whether a line on a process is worth telling: it is on an
// instance that tells of the request, about that time.
func near(e Entry, tells map[eventlog.Process][2]time.Time) bool {
	if !worthTelling(e.Line) {
		return false
	}
	for p, span := range tells {
		if p.Instance == e.Instance && !e.At.Before(span[0].Add(-contextBefore)) && !e.At.After(span[1].Add(contextAfter)) {
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
