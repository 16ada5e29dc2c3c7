package telemetry

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

// timeFormat is the time format of log lines.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLog returns a logger that writes each event as one line of key=value pairs, including
// the instance's ID.
func NewLog(out io.Writer, level string, instance peridotpath.InstanceID) (zerolog.Logger, error) {
	// Lines of several instances are merged by time, which requires millisecond resolution.
	zerolog.TimeFieldFormat = timeFormat
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, err
	}
	lines := zerolog.ConsoleWriter{
		Out: out, NoColor: true, TimeFormat: timeFormat,
		FormatTimestamp: formatPair("time"),
		FormatLevel:     formatPair("level"),
		FormatMessage:   formatPair("event"),
	}
	return zerolog.New(lines).Level(parsed).With().Timestamp().Str("instance", string(instance)).Logger(), nil
}

// formatPair returns a formatter of one of zerolog's unnamed parts as key=value, or as the empty
// string where the event lacks the part.
func formatPair(key string) zerolog.Formatter {
	return func(value any) string {
		if value == nil || value == "" {
			return ""
		}
		return fmt.Sprintf("%s=%v", key, value)
	}
}
