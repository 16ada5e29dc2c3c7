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
