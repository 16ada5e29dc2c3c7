package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// A version of the configuration drains the only endpoint, or the list of members loses it, while
// work runs there, waits for it, and is about to be made again. What runs goes on to its end; what
// waits, and what would be made again, is refused at once, as not run and with a time to come back.
// Work that nobody decides any more would be held until its deadline.
func TestWorkOfAnEndpointThatLeaves(t *testing.T) {
	for name, left := range map[string][]peridotpath.Endpoint{"drained": newEndpoints(1), "unlisted": {}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newScheduler(1)
			running, failed := newWork(1000), newWork(1000)
			is.Equal(scheduler.Submit(epoch, running).Verdict, Place)
			is.Equal(scheduler.Submit(epoch, failed).Verdict, Place)
			reportFull(scheduler, 1, sinceEpoch(time.Millisecond))
			waiting := newWork(20_000)
			is.Equal(scheduler.Submit(epoch, waiting).Verdict, Wait)

			for i := range left {
				left[i].State = peridotpath.StateLeaving
			}
			scheduler.SetEndpoints(sinceEpoch(time.Second), left)
			decisions := scheduler.DispatchQueued(sinceEpoch(time.Second))
			is.Equal(len(decisions), 1)
			is.Equal(decisions[0].Work, waiting)
			is.Equal(decisions[0].Verdict, Refuse)
			is.True(decisions[0].Result.Code.NotRun())
			is.True(decisions[0].Result.RetryAfter > 0)

			scheduler.EndAttempt(sinceEpoch(time.Second), failed, Rejected, 0)
			last := &peridotpath.Result{Code: peridotpath.CodeEndpointRefused, RetryAfter: time.Second}
			again := scheduler.Retry(sinceEpoch(time.Second), failed, last)
			is.Equal(again.Verdict, Refuse)
			is.True(again.Result.Code.NotRun())
			is.True(again.Result.RetryAfter > 0)

			scheduler.RecordFirstToken(sinceEpoch(2*time.Second), running)
			scheduler.EndAttempt(sinceEpoch(3*time.Second), running, Finished, 100)
			is.Equal(running.customer.activeCount.Load(), int64(0))
			is.Equal(waiting.customer.activeCount.Load(), int64(0))
		})
	}
}
