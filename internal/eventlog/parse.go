package eventlog

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/joomcode/errorx"
)

// ErrLine is the type of the errors returned for text that is not a log line of a gateway.
var ErrLine = errorx.IllegalFormat.NewSubtype("log_line")

// Record is one parsed line.
type Record struct {
	Instance, Run string
	// Time is the wall clock time of the line; Up is the time since the start of
	// the process.
	Time time.Time
	Up   time.Duration
	Line Line
}

// commonFields are the fields that every line has.
type commonFields struct {
	Message  string    `json:"message"`
	Instance string    `json:"instance"`
	Run      string    `json:"incarnation"`
	Time     time.Time `json:"time"`
	UpMs     float64   `json:"up_ms"`
}

// lineTypes maps messages to the types of their lines.
var lineTypes = func() map[string]reflect.Type {
	byMessage := map[string]reflect.Type{}
	for _, line := range All {
		byMessage[line.Spec().Message] = reflect.TypeOf(line)
	}
	return byMessage
}()

// Parse parses one line.
func Parse(text []byte) (Record, error) {
	var common commonFields
	if err := json.Unmarshal(text, &common); err != nil {
		return Record{}, ErrLine.Wrap(err, "the text is not a JSON object with the fields of a log line; it may be truncated")
	}
	lineType, ok := lineTypes[common.Message]
	if !ok {
		return Record{}, ErrLine.New("no type of log line has the message %q; it may be from another version", common.Message)
	}
	value := reflect.New(lineType)
	if err := json.Unmarshal(text, value.Interface()); err != nil {
		return Record{}, ErrLine.Wrap(err, "a field of the log line %q has an unexpected type; it may be from another version", common.Message)
	}
	return Record{Instance: common.Instance, Run: common.Run, Time: common.Time, Up: Duration(common.UpMs),
		Line: value.Elem().Interface().(Line)}, nil
}
