package liveness_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/liveness"
)

var errSilent = errors.New("no answer")

// An engine without power must be found, and one that loses a single probe, or sends events, must not
// be taken for one.
func TestUnresponsiveEngineIsFound(t *testing.T) {
	for _, test := range []struct {
		name string
		// fails reports whether a check fails, by its number.
		fails func(check int) bool
		// events is the interval of the engine's events; zero for none.
		events time.Duration
		want   bool
	}{
		{"without power", func(int) bool { return true }, 0, true},
		{"loses every other probe", func(check int) bool { return check%2 == 0 }, 0, false},
		{"sends events", func(int) bool { return true }, 500 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				checks, found := 0, make(chan error, 1)
				check := func(context.Context) error {
					checks++
					if test.fails(checks) {
						return errSilent
					}
					return nil
				}
				probe := liveness.Start(t.Context(), check, func(err error) { found <- err })
				if test.events > 0 {
					ticker := time.NewTicker(test.events)
					defer ticker.Stop()
					for range 20 {
						<-ticker.C
						probe.RecordEvent()
					}
				} else {
					time.Sleep(10 * time.Second)
				}
				probe.Close()
				is.Equal(len(found) > 0, test.want)
				if test.want {
					err := <-found
					is.True(errors.Is(err, liveness.ErrUnresponsive) && errors.Is(err, errSilent))
				}
			})
		})
	}
}
