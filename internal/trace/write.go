package trace

import (
	"fmt"
	"io"
	"strings"

	"github.com/citrongate/citrongate/internal/eventlog"
)

// clockFormat is the format of the time of a line.
const clockFormat = "15:04:05.000"

// Write prints a line for each entry, notes on unreadable lines and clocks, and the
// cause.
func (l *History) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\n", l.RequestID)
	for _, e := range l.Entries {
		mark := " "
		if e.Context {
			mark = "|"
		}
		fmt.Fprintf(&text, "%s %s %s  %s%s\n", mark, e.At.Format(clockFormat), e.Instance, e.Line.Spec().Message, formatFields(e.Line))
	}
	if l.Torn > 0 {
		fmt.Fprintf(&text, "lines that name it but can not be read: %d\n", l.Torn)
	}
	if l.Clocks {
		fmt.Fprintln(&text, "several processes logged it; their lines are ordered by the clock of each process, and the clocks may differ")
	}
	fmt.Fprintf(&text, "cause: %s\n", l.Cause())
	_, err := io.WriteString(w, text.String())
	return err
}

// formatFields formats the non-zero fields of a line, except the request's id.
func formatFields(line eventlog.Line) string {
	var text strings.Builder
	for _, f := range eventlog.Fields(line) {
		if f.Name != "request_id" && !f.Zero {
			fmt.Fprintf(&text, " %s=%v", f.Name, quoted(f.Value))
		}
	}
	return text.String()
}

// quoted puts a text with a space or an equals sign in quotation marks.
func quoted(value any) any {
	if text, ok := value.(string); ok && strings.ContainsAny(text, " =") {
		return fmt.Sprintf("%q", text)
	}
	return value
}
