package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/telemetry"
)

// An event is one line of key=value pairs that begins with the time, which this example
// cuts off. Events below the log level are not written.
func ExampleNewLog() {
	var out bytes.Buffer
	log, err := telemetry.NewLog(&out, zerolog.LevelInfoValue, "entry-1")
	if err != nil {
		fmt.Println(err)
		return
	}
	log.Debug().Msg("not_written")
	log.Info().Str("endpoint", "engine-7").Int("attempt", 2).Msg("attempt_failed")
	_, line, _ := strings.Cut(out.String(), " ")
	fmt.Print(line)
	// Output:
	// level=info event=attempt_failed attempt=2 endpoint=engine-7 instance=entry-1
}
