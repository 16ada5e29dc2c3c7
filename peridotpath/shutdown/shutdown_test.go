package shutdown_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/shutdown"
)

func ExampleNotice() {
	var notice shutdown.Notice
	ctx, release := notice.WithContext(context.Background())
	defer release()
	notice.Begin(time.Now().Add(time.Millisecond))
	<-ctx.Done()
	fmt.Println(shutdown.HasEnded(ctx), notice.IsOver())
	// Output: true true
}

// A request that waits when the instance is told to stop, or comes later, would wait until the process
// has ended.
func TestContextsEndWithNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var notice shutdown.Notice
		early, releaseEarly := notice.WithContext(t.Context())
		defer releaseEarly()
		answered, releaseAnswered := notice.WithContext(t.Context())
		is.Equal(notice.TimeLeft(time.Now()), time.Duration(0))
		notice.Begin(time.Now().Add(time.Second))
		notice.Begin(time.Now().Add(time.Hour)) // a second signal
		late, releaseLate := notice.WithContext(t.Context())
		defer releaseLate()
		releaseAnswered()
		time.Sleep(time.Second - time.Millisecond)
		synctest.Wait()
		is.NoErr(early.Err())
		is.NoErr(late.Err())
		is.Equal(notice.TimeLeft(time.Now()), time.Millisecond)
		is.True(!notice.IsOver())
		time.Sleep(time.Millisecond)
		synctest.Wait()
		is.True(shutdown.HasEnded(early))
		is.True(shutdown.HasEnded(late))
		is.True(!shutdown.HasEnded(answered))
		is.True(notice.IsOver())
		is.Equal(notice.TimeLeft(time.Now().Add(time.Minute)), time.Duration(1))
	})
}

// A caller that leaves before the exit is no request that the exit ends.
func TestCauseOfParentStays(t *testing.T) {
	is := is.New(t)
	var notice shutdown.Notice
	errLeft := errors.New("left")
	parent, leave := context.WithCancelCause(t.Context())
	ctx, release := notice.WithContext(parent)
	defer release()
	leave(errLeft)
	notice.Begin(time.Now())
	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), errLeft))
	is.True(!shutdown.HasEnded(ctx))
	var none *shutdown.Notice
	ctx, release = none.WithContext(t.Context())
	is.NoErr(ctx.Err())
	release()
	is.True(!none.IsOver())
}
