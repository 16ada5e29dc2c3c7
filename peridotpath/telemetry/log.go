package telemetry

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

// millisecondTime is how lines write their time.
const millisecondTime = "2006-01-02T15:04:05.000Z07:00"

// NewLog returns a logger that writes one line of key=value pairs an event,
// with the instance's id on each.
func NewLog(out io.Writer, level string, instance peridotpath.InstanceID) (zerolog.Logger, error) {
	// Lines of several instances are put in order by their times.
	zerolog.TimeFieldFormat = millisecondTime
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, err
	}
	lines := zerolog.ConsoleWriter{
		Out: out, NoColor: true, TimeFormat: millisecondTime,
		FormatTimestamp: pair("time"),
		FormatLevel:     pair("level"),
		FormatMessage:   pair("event"),
	}
	return zerolog.New(lines).Level(parsed).With().Timestamp().Str("instance", string(instance)).Logger(), nil
}

// pair formats one of zerolog's unnamed parts as key=value, and nothing where
// the event has no such part.
func pair(key string) zerolog.Formatter {
	return func(value any) string {
		if value == nil || value == "" {
			return ""
		}
		return fmt.Sprintf("%s=%v", key, value)
	}
}
