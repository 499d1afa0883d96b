package eventlog

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/joomcode/errorx"
)

// ErrLine is the kind of errors about text that is no line of a gateway.
var ErrLine = errorx.IllegalFormat.NewSubtype("log_line")

// Record is one line as it was read.
type Record struct {
	Instance, Run string
	// Time is by the clock of the machine, Up since the start of the process.
	Time time.Time
	Up   time.Duration
	Line Line
}

// head holds the fields that every line has.
type head struct {
	Message  string    `json:"message"`
	Instance string    `json:"instance"`
	Run      string    `json:"incarnation"`
	Time     time.Time `json:"time"`
	UpMs     float64   `json:"up_ms"`
}

var kinds = func() map[string]reflect.Type {
	byMessage := map[string]reflect.Type{}
	for _, line := range All {
		byMessage[line.Spec().Message] = reflect.TypeOf(line)
	}
	return byMessage
}()

// Parse reads one line.
func Parse(text []byte) (Record, error) {
	var h head
	if err := json.Unmarshal(text, &h); err != nil {
		return Record{}, ErrLine.Wrap(err, "the text is not a JSON object with the fields of a line; it may be torn")
	}
	kind, ok := kinds[h.Message]
	if !ok {
		return Record{}, ErrLine.New("no line has the message %q; it may be from another version", h.Message)
	}
	value := reflect.New(kind)
	if err := json.Unmarshal(text, value.Interface()); err != nil {
		return Record{}, ErrLine.Wrap(err, "a field of the line %q has another type; it may be from another version", h.Message)
	}
	return Record{Instance: h.Instance, Run: h.Run, Time: h.Time, Up: Duration(h.UpMs),
		Line: value.Elem().Interface().(Line)}, nil
}
