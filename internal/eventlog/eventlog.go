// Package eventlog defines the log lines of a gateway as Go types: their
// messages, fields, levels and rate limits. Gateways write them, the command
// citrongate trace parses them, and docs/LOGS.md is generated from them.
package eventlog

import (
	"fmt"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citrongate/citrongate/internal/boottime"
)

// Names of the fields that every line has.
const (
	FieldMessage  = "message"
	FieldInstance = "instance"
	FieldTime     = "time"
	// FieldUptime is the time since the start of the process in milliseconds. It
	// orders the lines of one process even if the wall clock jumps.
	FieldUptime = "up_ms"
	// FieldIncarnation distinguishes the successive processes of one instance.
	FieldIncarnation = "incarnation"
)

// TimeFormat is the layout of FieldTime.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Spec describes one type of log line.
type Spec struct {
	Message string
	Level   zerolog.Level
	// PerSecond is the maximum number of lines of this type written per second.
	PerSecond int
	// About says when the line is written.
	About string
}

// Line is one line of the log, implemented by a struct per type of line. Each
// field has a json tag with its name in the log and an about tag with its
// description. A field with a zero value is omitted if its json tag has omitempty.
type Line interface{ Spec() Spec }

// Milliseconds converts a duration to the form in which log fields hold it,
// rounded to microseconds.
func Milliseconds(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}

// Duration converts milliseconds from a log field to a duration; it is the
// inverse of Milliseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Logger writes lines and limits the rate of each type. It is safe for
// concurrent use.
type Logger struct {
	out     zerolog.Logger
	started time.Duration
	// onDropped is called with the message of each line that is dropped; it may
	// be nil.
	onDropped func(message string)
	// takeLost returns how many written lines were lost before they reached the
	// reader of the log since the previous call; nil if none can be lost.
	takeLost func() int

	mu      sync.Mutex
	budgets map[string]*budget
}

// budget counts the lines of one type in the current second.
type budget struct {
	second  int64
	written int
	dropped int
}

// WithLostLines sets the function from which ReportDropped takes the number of lines that
// were written but lost before they reached the reader of the log.
func (l *Logger) WithLostLines(takeLost func() int) *Logger {
	l.takeLost = takeLost
	return l
}

// New returns the logger of one process, which adds the instance and the
// incarnation to every line.
func New(out zerolog.Logger, instance, incarnation string, onDropped func(message string)) *Logger {
	return &Logger{
		out:     out.With().Str(FieldInstance, instance).Str(FieldIncarnation, incarnation).Logger(),
		started: boottime.Now(), onDropped: onDropped, budgets: map[string]*budget{},
	}
}

// Logger returns the underlying logger, for libraries and components that do
// not use typed lines.
func (l *Logger) Logger() zerolog.Logger { return l.out }

// Enabled reports whether lines of the level are written.
func (l *Logger) Enabled(level zerolog.Level) bool { return l.out.GetLevel() <= level }

// Write writes a line, or drops and counts it if the budget of its type for the
// current second is used up.
func (l *Logger) Write(line Line) {
	spec := line.Spec()
	if !l.Enabled(spec.Level) {
		return
	}
	written, dropped := l.countLine(spec)
	if dropped > 0 {
		l.emitDropped(LinesDropped{Kind: spec.Message, Dropped: dropped})
	}
	if !written {
		if l.onDropped != nil {
			l.onDropped(spec.Message)
		}
		return
	}
	l.emit(spec, line)
}

// countLine counts a line against the budget of its type and reports whether it
// may be written. dropped is the number of lines of this type that were dropped
// in an earlier second and not reported yet.
func (l *Logger) countLine(spec Spec) (written bool, dropped int) {
	second := int64(boottime.Now() / time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.budgets[spec.Message]
	if b == nil {
		b = &budget{second: second}
		l.budgets[spec.Message] = b
	}
	if second != b.second {
		b.second, b.written = second, 0
		dropped, b.dropped = b.dropped, 0
	}
	if b.written >= spec.PerSecond {
		b.dropped++
		return false, dropped
	}
	b.written++
	return true, dropped
}

// ReportDropped reports the lines that were dropped in earlier seconds or lost on their
// way to the reader. It must be called periodically.
func (l *Logger) ReportDropped() {
	second := int64(boottime.Now() / time.Second)
	var lines []LinesDropped
	if l.takeLost != nil {
		if lost := l.takeLost(); lost > 0 {
			lines = append(lines, LinesDropped{Kind: "all", Dropped: lost})
		}
	}
	l.mu.Lock()
	for message, b := range l.budgets {
		if b.second != second && b.dropped > 0 {
			lines = append(lines, LinesDropped{Kind: message, Dropped: b.dropped})
			b.dropped = 0
		}
	}
	l.mu.Unlock()
	for _, line := range lines {
		l.emitDropped(line)
	}
}

// emitDropped reports dropped lines. These reports are not limited.
func (l *Logger) emitDropped(line LinesDropped) { l.emit(line.Spec(), line) }

func (l *Logger) emit(spec Spec, line Line) {
	e := l.out.WithLevel(spec.Level)
	value := reflect.ValueOf(line)
	for _, f := range fieldsOf(value.Type()) {
		f.write(e, value.Field(f.index))
	}
	e.Float64(FieldUptime, Milliseconds(boottime.Now()-l.started)).Msg(spec.Message)
}

// Field is the name and value of one field of a line.
type Field struct {
	Name  string
	Value any
	// Zero is true if the value is the zero value of its type.
	Zero bool
}

// Fields returns the fields of a line in the order of their declaration.
func Fields(line Line) (out []Field) {
	value := reflect.ValueOf(line)
	for _, f := range fieldsOf(value.Type()) {
		v := value.Field(f.index)
		out = append(out, Field{Name: f.name, Value: v.Interface(), Zero: v.IsZero()})
	}
	return out
}

// field describes one field of a type of line, as read from its struct tags.
type field struct {
	index       int
	name, about string
	omitEmpty   bool
}

var fieldCache sync.Map // reflect.Type to []field

// fieldsOf returns the fields of a type of line. The result is cached.
func fieldsOf(t reflect.Type) []field {
	if fields, ok := fieldCache.Load(t); ok {
		return fields.([]field)
	}
	var fields []field
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields = append(fields, field{index: i, name: name, about: t.Field(i).Tag.Get("about"), omitEmpty: options == "omitempty"})
	}
	fieldCache.Store(t, fields)
	return fields
}

func (f *field) write(e *zerolog.Event, v reflect.Value) {
	if f.omitEmpty && v.IsZero() {
		return
	}
	switch v.Kind() {
	case reflect.String:
		e.Str(f.name, v.String())
	case reflect.Bool:
		e.Bool(f.name, v.Bool())
	case reflect.Float64:
		e.Float64(f.name, v.Float())
	case reflect.Int:
		e.Int64(f.name, v.Int())
	case reflect.Uint64, reflect.Uint32:
		e.Uint64(f.name, v.Uint())
	default:
		panic(fmt.Sprintf("eventlog: field %s has kind %s, which a log line cannot hold", f.name, v.Kind()))
	}
}
