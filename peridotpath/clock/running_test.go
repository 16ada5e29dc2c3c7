package clock

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/internal/virtual"
)

// A process that stood still for long must have nearly all of the timeout left.
func TestStandstillCountsAsOneStep(t *testing.T) {
	is := is.New(t)
	is.Equal(countedStep(runningStep), runningStep)
	is.Equal(countedStep(time.Minute), maxRunningStep)
}

// A process that runs must not wait longer than the timeout, but for a step.
func TestRunningTimeoutEnds(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		ctx, stop := WithRunningTimeout(t.Context(), 300*time.Millisecond)
		defer stop()
		<-ctx.Done()
		is.Equal(context.Cause(ctx), context.DeadlineExceeded)
		is.True(time.Since(began) <= 300*time.Millisecond+runningStep)
	})
}
