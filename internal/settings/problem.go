package settings

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("settings")
	// ErrInvalid is the error type of settings that break at least one rule.
	ErrInvalid = namespace.NewType("invalid")
	// ErrUnreadable is the error type of a settings file that can't be read.
	ErrUnreadable = namespace.NewType("unreadable")

	problemsProperty = errorx.RegisterProperty("problems")
)

// Problem is one fault in a settings file. Section and Key are empty if the fault
// does not concern a particular one.
type Problem struct {
	Section, Key string
	// Value is the value found; empty if there is none.
	Value string
	// What describes the fault.
	What string
	// Allowed describes the accepted values; empty if the fault is not a wrong value.
	Allowed string
	// Remedy tells the operator how to correct the fault.
	Remedy string
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		b.WriteString(p.Key)
		if p.Value != "" {
			fmt.Fprintf(&b, " = %q", p.Value)
		}
		b.WriteString(": ")
	}
	b.WriteString(p.What)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	if p.Remedy != "" {
		fmt.Fprintf(&b, "; remedy: %s", p.Remedy)
	}
	return b.String()
}

// Problems returns the faults that an error of type ErrInvalid carries.
func Problems(err error) []Problem {
	value, ok := errorx.ExtractProperty(err, problemsProperty)
	if !ok {
		return nil
	}
	problems, _ := value.([]Problem)
	return problems
}

func newInvalidError(name string, problems []Problem) error {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return ErrInvalid.New("%s: %d problems:\n%s", name, len(problems), strings.Join(lines, "\n")).
		WithProperty(problemsProperty, problems)
}
