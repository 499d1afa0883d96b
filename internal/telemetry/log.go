// Package telemetry provides the log and the metrics of an instance. The number of
// values of each metric label is bounded, so organisations appear only in the log.
package telemetry

import (
	"fmt"
	"io"
	"strings"

	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"

	"github.com/citrongate/citrongate/internal/eventlog"
)

// NewLogger returns a logger that writes JSON lines. The level is a zerolog level,
// such as debug, info, warn or error; an empty or unknown level means info.
func NewLogger(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = eventlog.TimeFormat
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger()
}

// RouteNBIO redirects the log of the nbio library to log. nbio has one logger for
// the whole process.
func RouteNBIO(log zerolog.Logger) {
	logging.SetLogger(nbioLogger{log.With().Str("component", "nbio").Logger()})
}

type nbioLogger struct{ log zerolog.Logger }

// Debug logs at debug level.
func (l nbioLogger) Debug(format string, v ...any) { l.write(l.log.Debug(), format, v) }

// Info logs at debug level, because nbio logs each start of an engine at info.
func (l nbioLogger) Info(format string, v ...any) { l.write(l.log.Debug(), format, v) }

// Warn logs at warn level.
func (l nbioLogger) Warn(format string, v ...any) { l.write(l.log.Warn(), format, v) }

// Error logs at error level.
func (l nbioLogger) Error(format string, v ...any) { l.write(l.log.Error(), format, v) }

// SetLevel has no effect; the level comes from the settings.
func (nbioLogger) SetLevel(int) {}

func (nbioLogger) write(e *zerolog.Event, format string, v []any) {
	e.Msg(strings.TrimSpace(fmt.Sprintf(format, v...)))
}
