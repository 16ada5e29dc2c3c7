package instance

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

// callLogInterval is the time between two log lines of the account of calls, which are written
// only after further calls.
const callLogInterval = 5 * time.Second

// callLogger logs the account of calls to the store. Set the exported fields before Run.
type callLogger struct {
	Account *keyvalue.Account
	Log     zerolog.Logger
}

// Run logs the account every callLogInterval until ctx ends, and then once more.
func (logger *callLogger) Run(ctx context.Context) error {
	var logged []keyvalue.CallCount
	for running := true; running; {
		running = clock.SleepContext(ctx, callLogInterval)
		counts := logger.Account.Counts()
		if slices.Equal(counts, logged) {
			continue
		}
		logged = counts
		event := logger.Log.Info()
		for _, count := range counts {
			event = event.Int(string(count.Purpose)+"."+string(count.Kind), count.Count)
		}
		event.Msg("store_calls")
	}
	return ctx.Err()
}
