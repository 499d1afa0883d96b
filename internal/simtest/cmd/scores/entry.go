package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// entry is a journal entry of a scored site.
type entry struct {
	ID    string   `json:"id"`
	Why   string   `json:"why"`
	Head  string   `json:"head"`
	Site  string   `json:"site"`
	Score *float64 `json:"score"`
	Days  []day    `json:"days"`
}

// day is one day of an entry. Worth, Served, Refused and Failed are fractions.
type day struct {
	Name    string  `json:"name"`
	Worth   float64 `json:"G"`
	Used    int     `json:"used"`
	Servers int     `json:"servers"`
	// MarkOne is the worth of a day that scores 1.
	MarkOne *float64         `json:"top"`
	Score   float64          `json:"score"`
	Served  float64          `json:"served"`
	Refused float64          `json:"refused"`
	Failed  float64          `json:"failed"`
	Prices  []price          `json:"prices"`
	Rules   map[string]any   `json:"rules"`
	Fault   *json.RawMessage `json:"fault"`
	// KBInstance is the memory of one instance at its peak, in KB.
	KBInstance float64 `json:"kb_an_instance"`
}

// price is what a day pays for one resource, written as [name, amount, price].
type price struct {
	name          string
	amount, worth float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *price) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.name, &p.amount, &p.worth})
}

// readEntry reads the journal entry with the id, whose file name ends with it.
func readEntry(dir, id string) (*entry, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*-"+id+".json"))
	if err != nil {
		return nil, err
	}
	if len(files) != 1 {
		return nil, fmt.Errorf("there are %d entries with the id %q in %s; name one that exists", len(files), id, dir)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		return nil, err
	}
	e := &entry{}
	if err := json.Unmarshal(text, e); err != nil {
		return nil, fmt.Errorf("%s can not be read: %w", files[0], err)
	}
	return e, nil
}

// write prints the entry as a Markdown table.
func (e *entry) write(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, entry %s, sources %.7s", e.Site, e.ID, e.Head)
	if e.Score != nil {
		fmt.Fprintf(&b, ", score %.3f", *e.Score)
	}
	b.WriteString("\n\n| day | instances, servers | score | worth | mark one | served | refused | failed | largest price | calls to the store | MB an instance | GB between zones | rules |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range e.Days {
		e.Days[i].write(&b)
	}
	b.WriteString("\n")
	_, err := io.WriteString(out, b.String())
	return err
}

func (d *day) write(b *strings.Builder) {
	mark := "-"
	if d.MarkOne != nil {
		mark = fmt.Sprintf("%.3f", *d.MarkOne)
	}
	largest := price{}
	for _, p := range d.Prices {
		if p.worth > largest.worth {
			largest = p
		}
	}
	calls, zones := d.priceOf("cloud calls"), d.priceOf("GB between zones")
	fmt.Fprintf(b, "| %s | %d, %d | %.2f | %.3f | %s | %.3f | %.3f | %.3f | %s %.3f | %.0f (%.3f) | %.0f | %.3f | %s |\n",
		d.Name, d.Used, d.Servers, d.Score, d.Worth, mark, d.Served, d.Refused, d.Failed, largest.name, largest.worth,
		calls.amount, calls.worth, d.KBInstance/1024, zones.amount, d.verdict())
}

func (d *day) priceOf(name string) price {
	for _, p := range d.Prices {
		if p.name == name {
			return p
		}
	}
	return price{}
}

func (d *day) verdict() string {
	if len(d.Rules) > 0 || d.Fault != nil {
		return "BROKEN"
	}
	return "kept"
}
