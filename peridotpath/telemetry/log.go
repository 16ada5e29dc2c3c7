package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

// NewLog returns a logger that writes one line of key=value pairs an event,
// with the instance's id on each.
func NewLog(out io.Writer, level string, instance peridotpath.InstanceID) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, err
	}
	lines := zerolog.ConsoleWriter{
		Out: out, NoColor: true, TimeFormat: time.RFC3339Nano,
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
