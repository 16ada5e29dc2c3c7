package telemetry

import (
	"fmt"
	"io"
	"strings"

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
		FormatPrepare:   cutValues,
	}
	return zerolog.New(lines).Level(parsed).With().Timestamp().Str("instance", string(instance)).Logger(), nil
}

const (
	// maxValueBytes bounds a value in a line: many of them are words of callers. An id that is cut is
	// still found by its beginning.
	maxValueBytes = 128
	// maxStackBytes bounds the stack of a panic.
	maxStackBytes = 4 << 10
	stackField    = "stack"
)

// cutValues cuts the long values of an event.
func cutValues(event map[string]any) error {
	for name, value := range event {
		text, isText := value.(string)
		limit := maxValueBytes
		if name == stackField {
			limit = maxStackBytes
		}
		if isText && len(text) > limit {
			event[name] = strings.ToValidUTF8(text[:limit], "") + "..."
		}
	}
	return nil
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
