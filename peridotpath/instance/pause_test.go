package instance

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/internal/virtual"
)

// A machine is suspended for seconds. The log reports the pause, so that it is not taken
// for a busy instance.
func TestPauseIsLogged(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		var suspended atomic.Int64
		startedAt := time.Now()
		detector := &pauseDetector{
			Now: func() time.Duration { return time.Since(startedAt) + time.Duration(suspended.Load()) }, Log: zerolog.New(&out),
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- detector.Run(ctx) }()
		time.Sleep(3100 * time.Millisecond)
		suspended.Store(int64(3400 * time.Millisecond))
		time.Sleep(3 * time.Second)
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
		is.Equal(strings.Count(out.String(), "paused"), 1)
		is.True(strings.Contains(out.String(), `"span":3400`))
	})
}
