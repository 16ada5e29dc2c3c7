package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// A volunteer's lines all stall behind one another on a single engine while
// the others idle: between two load reports the instance sends everything to
// the engine that looked idle in the last one, because the report does not know
// what was sent since.
func TestWorkSentSinceTheReportCounts(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(2)
	for _, endpoint := range endpointsOf(2) {
		load := idle(epoch)
		if endpoint.ID == "endpoint-001" {
			load.PrefillTokens = 3_000
		}
		scheduler.Report(epoch, endpoint.ID, load)
	}
	placed := map[peridotpath.EndpointID]int{}
	for i := range 20 {
		decision := scheduler.Submit(after(time.Duration(i)*time.Millisecond), workOf(1_000))
		is.Equal(decision.Verdict, Place)
		placed[decision.Endpoint.ID]++
	}
	is.True(placed["endpoint-000"] >= 7) // the report's favourite gets its part
	is.True(placed["endpoint-001"] >= 7) // and no more than that
}

// What a late report already contains must not be counted again, or an engine
// that is idle looks busy for as long as reports are late.
func TestReportReplacesWhatWasSentBeforeIt(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(1)
	work := workOf(7_000)
	is.Equal(scheduler.Submit(after(0), work).Verdict, Place)
	scheduler.FirstToken(after(300*time.Millisecond), work)
	member := (*scheduler.members.Load())["endpoint-000"]
	load := idle(after(400 * time.Millisecond))
	load.KVUsed = 7_100
	load.Revision = 1
	scheduler.Report(after(5*time.Second), "endpoint-000", load)
	at := after(5 * time.Second).UnixNano()
	is.Equal(member.prefillAhead(at, true), 0.0)
	is.Equal(member.memoryUsed(peridotpath.Short, true), int64(7_100))

	stale := idle(after(-time.Second))
	stale.PrefillTokens = 900_000
	scheduler.Report(after(6*time.Second), "endpoint-000", stale)
	is.Equal(member.prefillAhead(at, true), 0.0) // a report with a lower revision is dropped
}

// A dossier is sent to an engine that is full of others and sits there, while
// everything behind it waits: the engine's memory was not looked at.
func TestMemoryKeepsWorkOffFullEndpoints(t *testing.T) {
	tests := []struct {
		name   string
		prompt peridotpath.Tokens
		used   peridotpath.Tokens
		want   Verdict
	}{
		{"short into the last free part", 1_000, 460_000, Place},
		{"short into a full engine", 1_000, 475_000, Wait},
		{"medium leaves room for short", 20_000, 440_000, Wait},
		{"medium with room", 20_000, 400_000, Place},
		{"long in line for memory", 300_000, 200_000, Place},
		{"long behind too much", 300_000, 400_000, Wait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := schedulerOf(1)
			load := idle(epoch)
			load.KVUsed = test.used
			scheduler.Report(epoch, "endpoint-000", load)
			is.Equal(scheduler.Submit(epoch, workOf(test.prompt)).Verdict, test.want)
		})
	}
}

// A prompt that no engine can hold is told so at once, and to come back when
// engines may have pooled their memory; a returner finds the group, whatever the
// endpoints set aside for long work are. Refused, it takes no part in what is
// set aside. A length estimated a little too high is tried.
func TestPromptBeyondOneEngine(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(3)
	decision := scheduler.Submit(epoch, workOf(900_000))
	is.Equal(codeOf(decision), peridotpath.CodeNoMemory)
	is.True(decision.Result.RetryAfter >= groupRetry && decision.Result.RetryAfter <= 2*groupRetry)
	is.Equal((*scheduler.groups.Load())["model"].demand[peridotpath.Long].perSecond(epoch.UnixNano()), 0.0)

	tried := workOf(500_000)
	is.Equal(scheduler.Submit(epoch, tried).Verdict, Place)
	scheduler.Done(epoch, tried, Rejected, 0)
	is.Equal(scheduler.Retry(epoch, tried, failure).Verdict, Refuse) // the others are no larger

	for _, leader := range []peridotpath.EndpointID{"endpoint-000", "endpoint-001", "endpoint-002"} {
		scheduler := schedulerOf(3)
		pooled := idle(epoch)
		pooled.KVTokens *= 3
		scheduler.Report(epoch, leader, pooled)
		scheduler.Advance(epoch.Add(time.Second))
		returner := workOf(900_000)
		returner.Class = peridotpath.Oversize
		placed := scheduler.Submit(epoch.Add(time.Second), returner)
		is.Equal(placed.Verdict, Place)
		is.Equal(placed.Endpoint.ID, leader)
	}
}

// One engine of the fleet has more memory than the others, and a volume that
// only it can hold is refused for ever: the endpoints set aside for long work
// do not include it.
func TestLongWorkFindsTheOneEndpointThatHoldsIt(t *testing.T) {
	for i := range 6 {
		is := is.New(t)
		endpoints := endpointsOf(6)
		endpoints[i].KVTokens = 2_000_000
		scheduler := &Scheduler{Seed: 1}
		scheduler.SetEndpoints(epoch, endpoints)
		work := workOf(900_000)
		work.Deadline = after(time.Hour)
		is.Equal(scheduler.Submit(epoch, work).Endpoint.ID, endpoints[i].ID)
	}
}

// Refused at once, with a time to return: a request that cannot be answered
// before its deadline on any engine.
func TestWorkThatCannotFinishIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(2)
	work := workOf(300_000) // ten seconds of prefill
	work.Deadline = after(5 * time.Second)
	decision := scheduler.Submit(epoch, work)
	is.Equal(codeOf(decision), peridotpath.CodeCannotFinish)
	is.True(decision.Result.RetryAfter >= returnLeast)
}

// A prompt whose beginning an engine has just read goes there again; after the
// cache has probably been evicted, it goes anywhere.
func TestPrefixDrawsWorkToItsEndpoint(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(40)
	send := func(now time.Time) peridotpath.EndpointID {
		work := workOf(7_000)
		work.Prefixes = []uint64{11, 12, 13}
		work.Deadline = now.Add(time.Minute)
		decision := scheduler.Submit(now, work)
		is.Equal(decision.Verdict, Place)
		scheduler.FirstToken(now, work)
		scheduler.Done(now, work, Finished, 10)
		return decision.Endpoint.ID
	}
	first := send(epoch)
	for i := range 20 {
		is.Equal(send(after(time.Duration(i)*time.Second)), first)
	}
	elsewhere := 0
	for i := range 10 {
		if send(after(time.Duration(i+1)*2*affinityFade)) != first {
			elsewhere++
		}
	}
	is.True(elsewhere >= 7)
}

// An endpoint on its way out gets nothing new from the moment the membership
// says so, even if it is the only one.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	is := is.New(t)
	scheduler := schedulerOf(2)
	endpoints := endpointsOf(2)
	endpoints[0].State = peridotpath.StateLeaving
	scheduler.SetEndpoints(epoch, endpoints)
	for range 20 {
		is.Equal(scheduler.Submit(epoch, workOf(1_000)).Endpoint.ID, peridotpath.EndpointID("endpoint-001"))
	}
	endpoints[1].State = peridotpath.StateLeaving
	scheduler.SetEndpoints(epoch, endpoints)
	is.Equal(codeOf(scheduler.Submit(epoch, workOf(1_000))), peridotpath.CodeNoEndpoint)
}

// Calls to a plain service have no tokens: they go where the fewest run, and
// none beyond what an endpoint takes at a time.
func TestPlainServiceTakesTheLeastInFlight(t *testing.T) {
	is := is.New(t)
	scheduler := &Scheduler{Seed: 1}
	endpoints := endpointsOf(2)
	for i := range endpoints {
		endpoints[i].Kind = peridotpath.KindPlain
		endpoints[i].KVTokens = 0
	}
	scheduler.SetEndpoints(epoch, endpoints)
	counts := map[peridotpath.EndpointID]int{}
	for range 2 * plainInFlight {
		decision := scheduler.Submit(epoch, workOf(0))
		is.Equal(decision.Verdict, Place)
		counts[decision.Endpoint.ID]++
	}
	is.Equal(counts["endpoint-000"], counts["endpoint-001"])
	is.Equal(scheduler.Submit(epoch, workOf(0)).Verdict, Wait)
}

// An instance has just started and has read no load report yet. A volunteer's
// line with a long answer must not be refused by rates that are guesses; once
// the endpoint has reported low rates, the same line is.
func TestUnknownRatesRefuseNothing(t *testing.T) {
	is := is.New(t)
	scheduler := &Scheduler{Seed: 1}
	scheduler.SetEndpoints(epoch, endpointsOf(1))
	line := func() *Work {
		work := workOf(1_000)
		work.Output = 10_000
		work.Deadline = epoch.Add(time.Minute)
		return work
	}
	is.Equal(scheduler.Submit(epoch, line()).Verdict, Place)
	slow := idle(epoch)
	slow.DecodePerS = 20
	scheduler.Report(epoch, "endpoint-000", slow)
	is.Equal(codeOf(scheduler.Submit(epoch, line())), peridotpath.CodeCannotFinish)
}
