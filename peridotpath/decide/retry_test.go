package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

var failure = &peridotpath.Result{Code: peridotpath.CodeEndpointFailed}

// A correction is saved twice: the endpoint died after it had begun, and the
// request was sent to another one. Only work that certainly did not run, or
// that may run twice, is tried again.
func TestOnlySafeWorkIsRetried(t *testing.T) {
	tests := []struct {
		name       string
		outcome    Outcome
		idempotent bool
		want       Verdict
	}{
		{"idempotent, failed", Failed, true, Place},
		{"idempotent, never reached", Unreached, true, Place},
		{"not idempotent, failed", Failed, false, Refuse},
		{"not idempotent, never reached", Unreached, false, Place},
		{"not idempotent, not run", Rejected, false, Place},
		{"caller left", Abandoned, true, Refuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := schedulerOf(3)
			work := workOf(1_000)
			work.Profile = profileOf("save", func(profile *peridotpath.Profile) { profile.Idempotent = test.idempotent })
			first := scheduler.Submit(epoch, work)
			scheduler.Done(epoch, work, test.outcome, 0)
			decision := scheduler.Retry(epoch, work, failure)
			is.Equal(decision.Verdict, test.want)
			if test.want == Refuse {
				is.Equal(decision.Result, failure)
				return
			}
			is.True(decision.Endpoint.ID != first.Endpoint.ID)
		})
	}
}

// Half the engines answer every request with an error. Callers retry through
// us, and without a budget the working half gets half as much again on top of
// its load and fails as well.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(8)
	scheduler.Disabled = MechanismEjection // the worst case: nothing is learnt
	customer := customerOf("desk")
	requests, attempts := 1_000, 0
	for i := range requests {
		now := after(time.Duration(i) * 50 * time.Millisecond)
		work := workOf(1_000)
		work.Customer, work.Arrived, work.Deadline = customer, now, now.Add(time.Minute)
		decision := scheduler.Submit(now, work)
		for decision.Verdict == Place {
			attempts++
			if decision.Endpoint.ID >= "endpoint-004" {
				scheduler.Done(now, work, Finished, 100)
				break
			}
			scheduler.Done(now, work, Failed, 0)
			decision = scheduler.Retry(now, work, failure)
		}
	}
	is.True(attempts > requests+requests/20)                      // retries are made
	is.True(attempts <= requests+requests/10+1)                   // no more than one in ten
	is.Equal(scheduler.customers.list[0].active.Load(), int64(0)) // nothing is left counted
}

// One engine fails each request within a millisecond. It always looks idle, so
// it draws all requests, and every caller sees an error.
func TestFailingEndpointIsEjected(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(4)
	failed := 0
	for i := range 200 {
		now := after(time.Duration(i) * 10 * time.Millisecond)
		work := workOf(1_000)
		work.Arrived = now
		decision := scheduler.Submit(now, work)
		if decision.Endpoint.ID == "endpoint-000" {
			failed++
			scheduler.Done(now, work, Failed, 0)
			continue
		}
		scheduler.Done(now, work, Finished, 100)
	}
	is.Equal(failed, ejectAfter)

	// Once it works again, one probe at a time brings it back.
	now := after(2*time.Second + ejectFor)
	probes := 0
	for range 100 {
		work := workOf(1_000)
		work.Deadline = now.Add(time.Minute)
		if scheduler.Submit(now, work).Endpoint.ID != "endpoint-000" {
			continue
		}
		probes++
		defer scheduler.Done(now, work, Finished, 100)
	}
	is.Equal(probes, 1)
}

// The platform's network fails and every endpoint seems to. Were all of them
// ejected, callers would be refused for a time that has nothing to do with the
// repair; were most of them, the rest would break under the load.
func TestEjectionLeavesHalfOfTheEndpoints(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(10)
	for i := range 500 {
		now := after(time.Duration(i) * 5 * time.Millisecond)
		work := workOf(1_000)
		if scheduler.Submit(now, work).Verdict == Place {
			scheduler.Done(now, work, Unreached, 0)
		}
	}
	is.Equal((*scheduler.groups.Load())["model"].pools.Load().ejected(), 5)
}

// An engine answers five times later than it claims, and lines sent there come
// when the volunteer has gone. Its reports never say so.
func TestSlowEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(4)
	late := 0
	for i := range 400 {
		now := after(time.Duration(i) * time.Second)
		work := workOf(7_000)
		work.Arrived, work.Deadline = now, now.Add(time.Minute)
		decision := scheduler.Submit(now, work)
		took := 250 * time.Millisecond
		if decision.Endpoint.ID == "endpoint-000" {
			took *= 5
			late++
		}
		scheduler.FirstToken(now.Add(took), work)
		scheduler.Done(now.Add(2*took), work, Finished, 100)
	}
	is.True(late < 60) // an even share would be a hundred
	is.True(late > 3)  // it is still tried now and then
}

// One endpoint takes connections and never answers. Its callers wait out their
// deadlines; without a look at how long they waited it keeps its place, and a
// part of all volunteers goes on waiting in vain. Callers that leave early, or
// whose work never went out, say nothing against it.
func TestHangingEndpointIsEjected(t *testing.T) {
	cases := []struct {
		name    string
		waited  time.Duration
		outcome Outcome
		ejected bool
	}{
		{"callers wait out their deadlines", 15 * time.Second, Abandoned, true},
		{"callers leave early", 2 * time.Second, Abandoned, false},
		{"never sent", 15 * time.Second, Unsent, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := schedulerOf(4)
			now := epoch
			for range 3 {
				for _, endpoint := range []peridotpath.EndpointID{"endpoint-000", "endpoint-001", "endpoint-002", "endpoint-003"} {
					scheduler.Report(now, endpoint, idle(now))
				}
				var held []*Work
				for range 40 {
					work := workOf(1_000)
					work.Deadline = now.Add(time.Minute)
					if scheduler.Submit(now, work).Endpoint.ID == "endpoint-000" {
						held = append(held, work)
						continue
					}
					scheduler.Done(now, work, Finished, 0)
				}
				now = now.Add(test.waited)
				for _, work := range held {
					scheduler.Done(now, work, test.outcome, 0)
				}
			}
			is.Equal((*scheduler.members.Load())["endpoint-000"].health.out(), test.ejected)
		})
	}
}
