// Package telemetry owns the log and the metrics of an instance. Labels of
// metrics have bounded values; organisations appear in the log only.
package telemetry

import (
	"fmt"
	"io"
	"strings"

	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"

	"github.com/citrongate/citrongate/internal/eventlog"
)

// NewLogger returns a logger of JSON lines. The level is one of debug, info,
// warn and error; any other text means info.
func NewLogger(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = eventlog.TimeFormat
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger()
}

// RouteNBIO sends the log of the nbio library to log. The library has one
// logger per process.
func RouteNBIO(log zerolog.Logger) {
	logging.SetLogger(nbioLogger{log.With().Str("component", "nbio").Logger()})
}

type nbioLogger struct{ log zerolog.Logger }

// Debug logs at debug level.
func (l nbioLogger) Debug(format string, v ...any) { l.write(l.log.Debug(), format, v) }

// Info logs at debug level, since nbio announces each start of an engine at info.
func (l nbioLogger) Info(format string, v ...any) { l.write(l.log.Debug(), format, v) }

// Warn logs at warn level.
func (l nbioLogger) Warn(format string, v ...any) { l.write(l.log.Warn(), format, v) }

// Error logs at error level.
func (l nbioLogger) Error(format string, v ...any) { l.write(l.log.Error(), format, v) }

// SetLevel has no effect; the level is set in the settings.
func (nbioLogger) SetLevel(int) {}

func (nbioLogger) write(e *zerolog.Event, format string, v []any) {
	e.Msg(strings.TrimSpace(fmt.Sprintf(format, v...)))
}
