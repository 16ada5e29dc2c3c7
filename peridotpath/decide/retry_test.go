package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

var failedResult = &peridotpath.Result{Code: peridotpath.CodeEndpointFailed}

// Only work that certainly did not run, or that is idempotent, is retried. A
// retry of a non-idempotent request whose endpoint failed after it had started
// would execute it twice.
func TestOnlySafeWorkIsRetried(t *testing.T) {
	tests := []struct {
		name       string
		outcome    Outcome
		idempotent bool
		want       Verdict
	}{
		{"idempotent, failed", Failed, true, Place},
		{"idempotent, not connected", NotConnected, true, Place},
		{"not idempotent, failed", Failed, false, Refuse},
		{"not idempotent, not connected", NotConnected, false, Place},
		{"not idempotent, not run", Rejected, false, Place},
		{"caller disconnected", Abandoned, true, Refuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newScheduler(3)
			work := newWork(1_000)
			work.Profile = newProfile("save", func(profile *peridotpath.Profile) { profile.Idempotent = test.idempotent })
			first := scheduler.Submit(epoch, work)
			scheduler.EndAttempt(epoch, work, test.outcome, 0)
			decision := scheduler.Retry(epoch, work, failedResult)
			is.Equal(decision.Verdict, test.want)
			if test.want == Refuse {
				is.Equal(decision.Result, failedResult)
				return
			}
			is.True(decision.Endpoint.ID != first.Endpoint.ID)
		})
	}
}

// Retries stay within their budget while half of the engines fail every request.
// Unlimited retries would overload the other half, which would then fail as well.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(8)
	scheduler.Disabled = MechanismEjection // the worst case: failing endpoints stay in use
	customer := newCustomer("desk")
	requests, attempts := 1_000, 0
	for i := range requests {
		now := sinceEpoch(time.Duration(i) * 50 * time.Millisecond)
		work := newWork(1_000)
		work.Customer, work.ArrivedAt, work.Deadline = customer, now, now.Add(time.Minute)
		decision := scheduler.Submit(now, work)
		for decision.Verdict == Place {
			attempts++
			if decision.Endpoint.ID >= "endpoint-004" {
				scheduler.EndAttempt(now, work, Finished, 100)
				break
			}
			scheduler.EndAttempt(now, work, Failed, 0)
			decision = scheduler.Retry(now, work, failedResult)
		}
	}
	is.True(attempts > requests+requests/20)                              // some retries are made
	is.True(attempts <= requests+requests/10+1)                           // at most one retry per ten requests
	is.Equal(scheduler.customers.inOrder[0].activeCount.Load(), int64(0)) // no request is still counted
}

// An engine that fails each request at once is ejected. It always appears idle
// and would attract all requests.
func TestFailingEndpointIsEjected(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(4)
	failed := 0
	for i := range 200 {
		now := sinceEpoch(time.Duration(i) * 10 * time.Millisecond)
		work := newWork(1_000)
		work.ArrivedAt = now
		decision := scheduler.Submit(now, work)
		if decision.Endpoint.ID == "endpoint-000" {
			failed++
			scheduler.EndAttempt(now, work, Failed, 0)
			continue
		}
		scheduler.EndAttempt(now, work, Finished, 100)
	}
	is.Equal(failed, ejectAfterFailures)

	// After the ejection, only one request at a time probes the endpoint.
	now := sinceEpoch(2*time.Second + minEjection)
	probes := 0
	for range 100 {
		work := newWork(1_000)
		work.Deadline = now.Add(time.Minute)
		if scheduler.Submit(now, work).Endpoint.ID != "endpoint-000" {
			continue
		}
		probes++
		defer scheduler.EndAttempt(now, work, Finished, 100)
	}
	is.Equal(probes, 1)
}

// At most half of the endpoints are ejected, also when a network failure makes
// all of them fail. With all ejected, requests would be refused after the
// network has recovered; with most ejected, the rest would be overloaded.
func TestEjectionIsLimitedToHalfOfTheEndpoints(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(10)
	for i := range 500 {
		now := sinceEpoch(time.Duration(i) * 5 * time.Millisecond)
		work := newWork(1_000)
		if scheduler.Submit(now, work).Verdict == Place {
			scheduler.EndAttempt(now, work, NotConnected, 0)
		}
	}
	is.Equal((*scheduler.groups.Load())["model"].pools.Load().ejectedCount(), 5)
}

// An engine that is five times slower than its reports state receives less work,
// although its reports never change.
func TestSlowEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(4)
	slowPlaced := 0
	for i := range 400 {
		now := sinceEpoch(time.Duration(i) * time.Second)
		work := newWork(7_000)
		work.ArrivedAt, work.Deadline = now, now.Add(time.Minute)
		decision := scheduler.Submit(now, work)
		elapsed := 250 * time.Millisecond
		if decision.Endpoint.ID == "endpoint-000" {
			elapsed *= 5
			slowPlaced++
		}
		scheduler.RecordFirstToken(now.Add(elapsed), work)
		scheduler.EndAttempt(now.Add(2*elapsed), work, Finished, 100)
	}
	is.True(slowPlaced < 60) // an equal share is 100
	is.True(slowPlaced > 3)  // the engine is still tried occasionally
}

// An endpoint that accepts connections and never answers is ejected once its
// callers time out; it returns no errors that would eject it. Callers that
// disconnect early and work that was never sent do not count against an
// endpoint.
func TestHangingEndpointIsEjected(t *testing.T) {
	cases := []struct {
		name    string
		waited  time.Duration
		outcome Outcome
		ejected bool
	}{
		{"callers time out", 15 * time.Second, Abandoned, true},
		{"callers disconnect early", 2 * time.Second, Abandoned, false},
		{"never sent", 15 * time.Second, NeverSent, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newScheduler(4)
			now := epoch
			for range 3 {
				for _, endpoint := range []peridotpath.EndpointID{"endpoint-000", "endpoint-001", "endpoint-002", "endpoint-003"} {
					scheduler.ApplyReport(now, endpoint, idleLoad(now))
				}
				var held []*Work
				for range 40 {
					work := newWork(1_000)
					work.Deadline = now.Add(time.Minute)
					if scheduler.Submit(now, work).Endpoint.ID == "endpoint-000" {
						held = append(held, work)
						continue
					}
					scheduler.EndAttempt(now, work, Finished, 0)
				}
				now = now.Add(test.waited)
				for _, work := range held {
					scheduler.EndAttempt(now, work, test.outcome, 0)
				}
			}
			is.Equal((*scheduler.members.Load())["endpoint-000"].health.isEjected(), test.ejected)
		})
	}
}
