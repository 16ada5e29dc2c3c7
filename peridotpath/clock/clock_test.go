package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/clock"
)

func TestJitterStaysWithinATenth(t *testing.T) {
	is := is.New(t)
	is.Equal(clock.Jitter(time.Second, 0), 900*time.Millisecond)
	is.Equal(clock.Jitter(time.Second, 0.5), time.Second)
	is.Equal(clock.Jitter(time.Second, 1), 1100*time.Millisecond)
}

func TestElapsedUsesClockThatAdvancedFurther(t *testing.T) {
	base := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		monotonic, wall, want time.Duration
	}{
		"both agree":                         {5 * time.Second, 5 * time.Second, 5 * time.Second},
		"machine was suspended for an hour":  {time.Second, time.Hour, time.Hour},
		"wall clock stepped back by an hour": {5 * time.Second, -time.Hour, 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := clock.Instant{Monotonic: base, Wall: base}
			later := clock.Instant{Monotonic: base.Add(test.monotonic), Wall: base.Add(test.wall)}
			is.Equal(start.Elapsed(later), test.want)
		})
	}
}
