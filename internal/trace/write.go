package trace

import (
	"fmt"
	"io"
	"strings"

	"github.com/citrongate/citrongate/internal/eventlog"
)

// clockFormat shows the time of a line.
const clockFormat = "15:04:05.000"

// Write prints a life: a line for each entry, and the cause.
func (l *Life) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\n", l.RequestID)
	for _, e := range l.Entries {
		mark := " "
		if e.Context {
			mark = "|"
		}
		fmt.Fprintf(&text, "%s %s %s  %s%s\n", mark, e.At.Format(clockFormat), e.Instance, e.Line.Spec().Message, fieldsOf(e.Line))
	}
	if l.Torn > 0 {
		fmt.Fprintf(&text, "lines that name it and can not be read: %d\n", l.Torn)
	}
	if l.Clocks {
		fmt.Fprintln(&text, "several processes tell of it; between them the order is by their own clocks, which may differ")
	}
	fmt.Fprintf(&text, "cause: %s\n", l.Cause())
	_, err := io.WriteString(w, text.String())
	return err
}

// fieldsOf prints the fields of a line that are not zero, without the request's id.
func fieldsOf(line eventlog.Line) string {
	var text strings.Builder
	for _, f := range eventlog.Fields(line) {
		if f.Name != "request_id" && !f.Zero {
			fmt.Fprintf(&text, " %s=%v", f.Name, quoted(f.Value))
		}
	}
	return text.String()
}

// quoted puts text with spaces in quotation marks.
func quoted(value any) any {
	if text, ok := value.(string); ok && strings.ContainsAny(text, " =") {
		return fmt.Sprintf("%q", text)
	}
	return value
}
