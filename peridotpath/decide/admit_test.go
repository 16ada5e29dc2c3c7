package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// A rate limit holds over all instances, of which this is one of four, and a
// configuration reload with the same customer does not refill its bucket.
func TestCustomerRateLimit(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(4)
	scheduler.SetInstances(4)
	limited := func() *peridotpath.Customer {
		customer := newCustomer("looping")
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
		work := newWork(1_000)
		work.Customer = customer
		now := sinceEpoch(time.Duration(i) * 10 * time.Millisecond)
		work.Deadline = now.Add(time.Minute)
		decision := scheduler.Submit(now, work)
		if decision.Verdict == Place {
			admitted++
			scheduler.EndAttempt(now, work, Finished, 1)
			continue
		}
		is.Equal(refusalCode(decision), peridotpath.CodeRateLimited)
		is.True(decision.Result.RetryAfter > 0)
	}
	// Ten seconds at a quarter of 40 requests per second, plus rateBurstTime.
	is.True(admitted >= 100)
	is.True(admitted <= 125)
}

// A request counts towards the concurrency limit until it ends, by any outcome.
func TestCustomerConcurrencyLimit(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(4)
	customer := newCustomer("wide")
	customer.MaxConcurrent = 3
	var works []*Work
	for range 3 {
		work := newWork(1_000)
		work.Customer = customer
		is.Equal(scheduler.Submit(epoch, work).Verdict, Place)
		works = append(works, work)
	}
	extra := newWork(1_000)
	extra.Customer = customer
	is.Equal(refusalCode(scheduler.Submit(epoch, extra)), peridotpath.CodeTooManyRequests)
	scheduler.EndAttempt(epoch, works[0], Abandoned, 0)
	is.Equal(scheduler.Submit(epoch, extra).Verdict, Place)
}

// reportFull reports a full KV memory and a long backlog for every endpoint.
func reportFull(scheduler *Scheduler, count int, asOf time.Time) {
	for _, endpoint := range newEndpoints(count) {
		load := idleLoad(asOf)
		load.KVUsed = engineKV
		load.PrefillTokens = 200_000
		load.Revision = 1
		scheduler.ApplyReport(asOf, endpoint.ID, load)
	}
}

// The retry delays of refused callers are spread at the drain rate. With equal
// delays, a burst of refusals would return as a second burst.
func TestRetryDelaysAreSpread(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(2)
	reportFull(scheduler, 2, epoch)
	var times []time.Duration
	for i := range 400 {
		work := newWork(20_000)
		now := sinceEpoch(time.Duration(i) * time.Millisecond)
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
		if second < int((maxRetryDelay/time.Second)*9/10) { // later delays are capped
			is.True(count <= 8) // 20,000 tokens each, drained at 42,000 per second
		}
	}
}

// Queued work is refused when its profile's queue timeout expires.
// Scheduler.NextDispatch returns a time for as long as work is queued.
func TestQueuedWorkIsRefusedAtItsTimeout(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(1)
	reportFull(scheduler, 1, epoch)
	work := newWork(20_000)
	work.Profile = newProfile("page", func(profile *peridotpath.Profile) { profile.MaxQueueMS = 2_000 })
	is.Equal(scheduler.Submit(epoch, work).Verdict, Wait)
	for {
		next := scheduler.NextDispatch()
		is.True(!next.IsZero())
		is.True(next.Before(sinceEpoch(3 * time.Second)))
		reportFull(scheduler, 1, next)
		decisions := scheduler.DispatchQueued(next)
		if len(decisions) == 0 {
			continue
		}
		is.Equal(refusalCode(decisions[0]), peridotpath.CodeQueueTimeout)
		is.True(decisions[0].Result.RetryAfter > 0)
		break
	}
	is.True(scheduler.NextDispatch().IsZero())
}

// Work whose caller has disconnected is removed from the queue and from all
// counters; a second Cancel has no effect.
func TestCancelRemovesQueuedWork(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(1)
	reportFull(scheduler, 1, epoch)
	work := newWork(20_000)
	is.Equal(scheduler.Submit(epoch, work).Verdict, Wait)
	scheduler.Cancel(epoch, work)
	scheduler.Cancel(epoch, work)
	is.Equal(len(scheduler.DispatchQueued(sinceEpoch(time.Hour))), 0)
	is.Equal(work.customer.activeCount.Load(), int64(0))
	is.Equal(scheduler.totalQueued.Load(), int64(0))
}

// Work beyond the profile's maximum queue length is refused at once.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(1)
	reportFull(scheduler, 1, epoch)
	profile := newProfile("page", func(profile *peridotpath.Profile) { profile.MaxQueued = 2 })
	for i, want := range []peridotpath.Code{peridotpath.CodeOK, peridotpath.CodeOK, peridotpath.CodeQueueFull} {
		work := newWork(20_000)
		work.Profile = profile
		work.Deadline = sinceEpoch(time.Duration(60+i) * time.Second)
		is.Equal(refusalCode(scheduler.Submit(epoch, work)), want)
	}
}
