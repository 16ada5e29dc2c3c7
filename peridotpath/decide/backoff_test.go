package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// An endpoint refuses work and asks for a time without any. The others must get its work, also
// prompts that wait, and it must be used again afterwards.
func TestBackoffKeepsWorkAway(t *testing.T) {
	is := is.New(t)
	scheduler := &Scheduler{Seed: 1}
	scheduler.SetEndpoints(epoch, newEndpoints(2))
	scheduler.BackOff(epoch, "endpoint-000", 3*time.Second)
	scheduler.BackOff(epoch, "endpoint-000", time.Second) // a later answer does not shorten it
	placed := map[peridotpath.EndpointID]int{}
	submit := func(now time.Time) Decision {
		profile := newProfile("lookup", func(profile *peridotpath.Profile) { profile.Idempotent = true })
		work := &Work{Customer: newCustomer("desk"), Profile: profile, PromptTokens: 100, MaxOutputTokens: 10, ArrivedAt: now, Deadline: now.Add(time.Minute)}
		decision := scheduler.Submit(now, work)
		if decision.Verdict == Place {
			placed[decision.Endpoint.ID]++
			scheduler.EndAttempt(now.Add(time.Millisecond), work, Finished, 10)
		}
		return decision
	}
	for i := range 100 {
		is.Equal(submit(sinceEpoch(time.Duration(i)*29*time.Millisecond)).Verdict, Place)
	}
	is.Equal(placed, map[peridotpath.EndpointID]int{"endpoint-001": 100})
	for i := range 100 {
		submit(sinceEpoch(3*time.Second + time.Duration(i)*29*time.Millisecond))
	}
	is.True(placed["endpoint-000"] > 0)
}

// All endpoints ask for a time without work, one for an absurd one. Work must be refused at
// once, with the time at which the first endpoint takes work again.
func TestRefusalWhenAllEndpointsBackOff(t *testing.T) {
	is := is.New(t)
	scheduler := &Scheduler{Seed: 1}
	scheduler.SetEndpoints(epoch, newEndpoints(2))
	scheduler.BackOff(epoch, "endpoint-000", 1000*time.Hour)
	scheduler.BackOff(epoch, "endpoint-001", 3*time.Second)
	submit := func(after time.Duration) Decision {
		now := sinceEpoch(after)
		work := &Work{Customer: newCustomer("desk"), Profile: newProfile("lookup", nil), PromptTokens: 100, MaxOutputTokens: 10, ArrivedAt: now, Deadline: now.Add(time.Minute)}
		return scheduler.Submit(now, work)
	}
	decision := submit(time.Second)
	is.Equal(decision.Verdict, Refuse)
	is.Equal(decision.Result.Code, peridotpath.CodeUnavailable)
	is.Equal(decision.Result.RetryAfter, 2*time.Second)
	is.Equal(submit(3*time.Second).Verdict, Place)
	scheduler.BackOff(sinceEpoch(3*time.Second), "endpoint-001", time.Hour)
	is.Equal(submit(59*time.Second).Verdict, Refuse)
	is.Equal(submit(time.Minute).Endpoint.ID, peridotpath.EndpointID("endpoint-000"))
}

// An endpoint that has asked for a time without work is replaced under its id. The new process
// must get work.
func TestBackoffEndsWithAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	scheduler := &Scheduler{Seed: 1}
	endpoints := newEndpoints(1)
	scheduler.SetEndpoints(epoch, endpoints)
	scheduler.BackOff(epoch, "endpoint-000", time.Minute)
	endpoints[0].Incarnation++
	scheduler.SetEndpoints(epoch, endpoints)
	work := &Work{Customer: newCustomer("desk"), Profile: newProfile("lookup", nil), PromptTokens: 100, MaxOutputTokens: 10, ArrivedAt: epoch, Deadline: epoch.Add(time.Minute)}
	is.Equal(scheduler.Submit(epoch, work).Verdict, Place)
}
