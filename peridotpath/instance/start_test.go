package instance

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/internal/virtual"
)

// Callers that come right after a start are held until it is over. It is over when the
// routing and the endpoints are known, and also when nothing can be read: then callers
// are told at once.
func TestStartIsOver(t *testing.T) {
	never := time.Hour
	tests := map[string]struct{ known, failing, want time.Duration }{
		"known at once":       {0, never, 0},
		"known after a while": {300 * time.Millisecond, never, 300 * time.Millisecond},
		"the store is away":   {never, 40 * time.Millisecond, 40 * time.Millisecond},
		"nothing comes":       {never, never, startLimit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				after := func(span time.Duration) func() bool {
					return func() bool { return time.Since(began) >= span }
				}
				start := newStart(after(0), after(test.known), after(test.failing))
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- start.Run(ctx) }()
				<-start.over
				is.Equal(time.Since(began), test.want)
				cancel()
				is.True(errors.Is(<-ended, context.Canceled))
			})
		})
	}
}
