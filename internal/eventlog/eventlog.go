// Package eventlog holds the log lines of a gateway as types: their messages,
// fields, levels and budgets. Gateways write them, citrongate trace reads them,
// and docs/LOGS.md is generated from them.
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
	// FieldUp is the time since the start of the process in milliseconds. It
	// orders the lines of one process also where the time of day jumps.
	FieldUp = "up_ms"
	// FieldRun tells the processes of one instance apart.
	FieldRun = "incarnation"
)

// TimeFormat is that of FieldTime.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Spec describes one kind of line.
type Spec struct {
	Message string
	Level   zerolog.Level
	// PerSecond bounds the lines of this kind that are written in one second.
	PerSecond int
	// About says when the line is written.
	About string
}

// Line is one line of the log. Its exported fields have a json tag with the name
// and an about tag with the meaning; those with a zero value are left out if the
// json tag says omitempty.
type Line interface{ Spec() Spec }

// Milliseconds is how times are written, rounded to microseconds.
func Milliseconds(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}

// Duration is the inverse of Milliseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Logger writes lines within their budgets. It is safe for concurrent use.
type Logger struct {
	out     zerolog.Logger
	started time.Duration
	// onDropped is told of each line that is not written.
	onDropped func(message string)
	// missed returns how many lines were lost behind this logger since its last
	// call; nil if none can be.
	missed func() int

	mu      sync.Mutex
	budgets map[string]*budget
}

// budget counts the lines of one kind in the present second.
type budget struct {
	second  int64
	written int
	dropped int
}

// WithMissed makes Tell report lines that were lost on their way to the reader.
func (l *Logger) WithMissed(missed func() int) *Logger {
	l.missed = missed
	return l
}

// New returns the logger of one process.
func New(out zerolog.Logger, instance, incarnation string, onDropped func(message string)) *Logger {
	return &Logger{
		out:     out.With().Str(FieldInstance, instance).Str(FieldRun, incarnation).Logger(),
		started: boottime.Now(), onDropped: onDropped, budgets: map[string]*budget{},
	}
}

// Logger returns the logger for libraries and parts without typed lines.
func (l *Logger) Logger() zerolog.Logger { return l.out }

// Enabled reports whether lines of the level are written.
func (l *Logger) Enabled(level zerolog.Level) bool { return l.out.GetLevel() <= level }

// Write writes a line, or counts it as dropped if its budget is used up.
func (l *Logger) Write(line Line) {
	spec := line.Spec()
	if !l.Enabled(spec.Level) {
		return
	}
	written, dropped := l.take(spec)
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

// take counts a line against its budget. dropped is how many were dropped in an
// earlier second and not told yet.
func (l *Logger) take(spec Spec) (written bool, dropped int) {
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

// Tell writes what was dropped in earlier seconds.
func (l *Logger) Tell() {
	second := int64(boottime.Now() / time.Second)
	var lines []LinesDropped
	if l.missed != nil {
		if lost := l.missed(); lost > 0 {
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

// emitDropped writes a line that has no budget of its own.
func (l *Logger) emitDropped(line LinesDropped) { l.emit(line.Spec(), line) }

func (l *Logger) emit(spec Spec, line Line) {
	e := l.out.WithLevel(spec.Level)
	value := reflect.ValueOf(line)
	for _, f := range fieldsOf(value.Type()) {
		f.write(e, value.Field(f.index))
	}
	e.Float64(FieldUp, Milliseconds(boottime.Now()-l.started)).Msg(spec.Message)
}

// Field is one field of a line that was read.
type Field struct {
	Name  string
	Value any
	// Zero is true if the value is the zero value of its type.
	Zero bool
}

// Fields returns the fields of a line in order.
func Fields(line Line) (out []Field) {
	value := reflect.ValueOf(line)
	for _, f := range fieldsOf(value.Type()) {
		v := value.Field(f.index)
		out = append(out, Field{Name: f.name, Value: v.Interface(), Zero: v.IsZero()})
	}
	return out
}

// field is one field of a kind of line.
type field struct {
	index       int
	name, about string
	omitEmpty   bool
}

var plans sync.Map // reflect.Type to []field

func fieldsOf(t reflect.Type) []field {
	if plan, ok := plans.Load(t); ok {
		return plan.([]field)
	}
	var plan []field
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		plan = append(plan, field{index: i, name: name, about: t.Field(i).Tag.Get("about"), omitEmpty: options == "omitempty"})
	}
	plans.Store(t, plan)
	return plan
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
		panic(fmt.Sprintf("eventlog: field %s has kind %s, which lines do not have", f.name, v.Kind()))
	}
}
