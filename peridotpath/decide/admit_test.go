package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// A customer's script loops without a pause. Its limits hold over all
// instances, of which this is one of four, and a new configuration with the
// same customer does not give it a fresh allowance.
func TestCustomerLimits(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(4)
	scheduler.SetInstances(4)
	limited := func() *peridotpath.Customer {
		customer := customerOf("looping")
		customer.MaxRequestsPerS = 40
		customer.MaxConcurrent = 1_000
		return customer
	}
	customer := limited()
	admitted := 0
	for i := range 1_000 {
		if i == 500 {
			customer = limited()
		}
		work := workOf(1_000)
		work.Customer = customer
		now := after(time.Duration(i) * 10 * time.Millisecond)
		work.Deadline = now.Add(time.Minute)
		decision := scheduler.Submit(now, work)
		if decision.Verdict == Place {
			admitted++
			scheduler.Done(now, work, Finished, 1)
			continue
		}
		is.Equal(codeOf(decision), peridotpath.CodeRateLimited)
		is.True(decision.Result.RetryAfter > 0)
	}
	// Ten seconds at a quarter of forty a second, and two seconds' burst.
	is.True(admitted >= 100)
	is.True(admitted <= 125)
}

// What a customer may have running is counted until it ends, however it ends.
func TestCustomerConcurrency(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(4)
	customer := customerOf("wide")
	customer.MaxConcurrent = 3
	var works []*Work
	for range 3 {
		work := workOf(1_000)
		work.Customer = customer
		is.Equal(scheduler.Submit(epoch, work).Verdict, Place)
		works = append(works, work)
	}
	extra := workOf(1_000)
	extra.Customer = customer
	is.Equal(codeOf(scheduler.Submit(epoch, extra)), peridotpath.CodeTooManyRequests)
	scheduler.Done(epoch, works[0], Abandoned, 0)
	is.Equal(scheduler.Submit(epoch, extra).Verdict, Place)
}

// full makes every endpoint busy and full.
func full(scheduler *Scheduler, count int, asOf time.Time) {
	for _, endpoint := range endpointsOf(count) {
		load := idle(asOf)
		load.KVUsed = engineMemory
		load.PrefillTokens = 200_000
		load.Revision = 1
		scheduler.Report(asOf, endpoint.ID, load)
	}
}

// Callers who are refused in one instant are told different times, as far
// apart as the drain needs: told the same one, they return as a second wave.
func TestRefusedCallersReturnSpread(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(2)
	full(scheduler, 2, epoch)
	var times []time.Duration
	for i := range 400 {
		work := workOf(20_000)
		now := after(time.Duration(i) * time.Millisecond)
		decision := scheduler.Submit(now, work)
		if decision.Verdict == Refuse {
			times = append(times, now.Add(decision.Result.RetryAfter).Sub(epoch))
		}
	}
	is.True(len(times) > 300)
	perSecond := map[int]int{}
	for _, at := range times {
		perSecond[int(at/time.Second)]++
	}
	for second, count := range perSecond {
		if second < int((returnMost/time.Second)*9/10) { // beyond, the promise is cut
			is.True(count <= 8) // 20,000 tokens each, drained at 42,000 a second
		}
	}
}

// A request that has found no place within its profile's time gets its answer
// then, and what waits is never forgotten: Next says when to look again.
func TestWaitingWorkIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(1)
	full(scheduler, 1, epoch)
	work := workOf(20_000)
	work.Profile = profileOf("page", func(profile *peridotpath.Profile) { profile.MaxQueueMS = 2_000 })
	is.Equal(scheduler.Submit(epoch, work).Verdict, Wait)
	for {
		next := scheduler.Next()
		is.True(!next.IsZero())
		is.True(next.Before(after(3 * time.Second)))
		full(scheduler, 1, next)
		decisions := scheduler.Advance(next)
		if len(decisions) == 0 {
			continue
		}
		is.Equal(codeOf(decisions[0]), peridotpath.CodeQueueTimeout)
		is.True(decisions[0].Result.RetryAfter > 0)
		break
	}
	is.True(scheduler.Next().IsZero())
}

// The caller has left: its work is no longer in the queue nor in any count.
func TestCancelForgetsWaitingWork(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(1)
	full(scheduler, 1, epoch)
	work := workOf(20_000)
	is.Equal(scheduler.Submit(epoch, work).Verdict, Wait)
	scheduler.Cancel(epoch, work)
	scheduler.Cancel(epoch, work)
	is.Equal(len(scheduler.Advance(after(time.Hour))), 0)
	is.Equal(work.customer.active.Load(), int64(0))
	is.Equal(scheduler.waiting.Load(), int64(0))
}

// The queue is bounded, and the caller beyond it hears so at once.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(1)
	full(scheduler, 1, epoch)
	profile := profileOf("page", func(profile *peridotpath.Profile) { profile.MaxQueued = 2 })
	for i, want := range []peridotpath.Code{peridotpath.CodeOK, peridotpath.CodeOK, peridotpath.CodeQueueFull} {
		work := workOf(20_000)
		work.Profile = profile
		work.Deadline = after(time.Duration(60+i) * time.Second)
		is.Equal(codeOf(scheduler.Submit(epoch, work)), want)
	}
}
