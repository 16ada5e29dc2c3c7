package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// An endpoint of a service with only non-idempotent calls recovers from an
// ejection. Three consecutive connection failures during a restart eject it; if
// only idempotent calls could probe it, it would stay ejected until the instance
// restarts, while the other replica receives all calls.
func TestNonIdempotentCallsProbeEjectedEndpoint(t *testing.T) {
	is := is.New(t)
	scheduler := &Scheduler{Seed: 1}
	endpoints := newEndpoints(2)
	for i := range endpoints {
		endpoints[i].Kind = peridotpath.KindPlain
	}
	scheduler.SetEndpoints(epoch, endpoints)
	profile := newProfile("acknowledge", func(profile *peridotpath.Profile) { profile.Idempotent = false })
	restarted := 5 * time.Second
	unreached, recovered := 0, 0
	for i := range 600 {
		now := sinceEpoch(time.Duration(i) * 200 * time.Millisecond)
		work := &Work{Customer: newCustomer("desk"), Profile: profile, ArrivedAt: now, Deadline: now.Add(10 * time.Second)}
		decision := scheduler.Submit(now, work)
		is.Equal(decision.Verdict, Place)
		outcome := Finished
		if decision.Endpoint.ID == "endpoint-000" && now.Before(sinceEpoch(restarted)) {
			outcome = NotConnected
			unreached++
		}
		if decision.Endpoint.ID == "endpoint-000" && outcome == Finished {
			recovered++
		}
		scheduler.EndAttempt(now.Add(100*time.Millisecond), work, outcome, 0)
	}
	is.Equal(unreached, ejectAfterFailures)
	is.True(recovered > 0) // the ejection ends
}
