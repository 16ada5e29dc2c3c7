package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// The desk's service has two replicas and only acknowledgements, which must run
// once. One replica restarts and three calls in a row do not reach it. It is
// back within seconds, but no call that may run twice ever comes to try it: it
// stayed out until every instance was restarted, and the other took all calls.
func TestEndpointOfOnceOnlyCallsComesBack(t *testing.T) {
	is := is.New(t)
	scheduler := &Scheduler{Seed: 1}
	endpoints := endpointsOf(2)
	for i := range endpoints {
		endpoints[i].Kind = peridotpath.KindPlain
	}
	scheduler.SetEndpoints(epoch, endpoints)
	profile := profileOf("acknowledge", func(profile *peridotpath.Profile) { profile.Idempotent = false })
	restarted := 5 * time.Second
	out, back := 0, 0
	for i := range 600 {
		now := after(time.Duration(i) * 200 * time.Millisecond)
		work := &Work{Customer: customerOf("desk"), Profile: profile, Arrived: now, Deadline: now.Add(10 * time.Second)}
		decision := scheduler.Submit(now, work)
		is.Equal(decision.Verdict, Place)
		outcome := Finished
		if decision.Endpoint.ID == "endpoint-000" && now.Before(after(restarted)) {
			outcome = Unreached
			out++
		}
		if decision.Endpoint.ID == "endpoint-000" && outcome == Finished {
			back++
		}
		scheduler.Done(now.Add(100*time.Millisecond), work, outcome, 0)
	}
	is.Equal(out, ejectAfter)
	is.True(back > 0) // it never came back
}

// Instances are replaced one after another. One that has just started has no
// report of any engine yet; by the rates that it assumed it refused lines of
// some hundred tokens as "cannot finish", which every other instance took.
func TestNewInstanceRefusesNothingByAssumedRates(t *testing.T) {
	is := is.New(t)
	scheduler := &Scheduler{Seed: 1}
	scheduler.SetEndpoints(epoch, endpointsOf(3))
	work := workOf(1_000)
	work.Output, work.Deadline = 400, after(15*time.Second)
	is.Equal(scheduler.Submit(epoch, work).Verdict, Place)

	slow := idle(epoch)
	slow.DecodePerS = 20
	for _, endpoint := range endpointsOf(3) {
		scheduler.Report(epoch, endpoint.ID, slow)
	}
	known := workOf(1_000)
	known.Output, known.Deadline = 400, after(15*time.Second)
	is.Equal(codeOf(scheduler.Submit(epoch, known)), peridotpath.CodeCannotFinish) // a report says so
}
