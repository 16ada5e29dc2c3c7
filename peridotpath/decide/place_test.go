package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// Work sent since the last load report counts towards an engine's load. Without
// it, an instance sends all work between two reports to the engine that was idle
// in the last one, where it queues while the others are idle.
func TestWorkSentSinceTheReportIsCounted(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(2)
	for _, endpoint := range newEndpoints(2) {
		load := idleLoad(epoch)
		if endpoint.ID == "endpoint-001" {
			load.PrefillTokens = 3_000
		}
		scheduler.ApplyReport(epoch, endpoint.ID, load)
	}
	placed := map[peridotpath.EndpointID]int{}
	for i := range 20 {
		decision := scheduler.Submit(sinceEpoch(time.Duration(i)*time.Millisecond), newWork(1_000))
		is.Equal(decision.Verdict, Place)
		placed[decision.Endpoint.ID]++
	}
	is.True(placed["endpoint-000"] >= 7) // idle in the report
	is.True(placed["endpoint-001"] >= 7) // busier in the report, receives a similar part
}

// Work that a delayed report already includes is not counted twice. Otherwise an
// idle engine appears busy while reports are delayed.
func TestWorkBeforeTheReportIsNotCountedTwice(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(1)
	work := newWork(7_000)
	is.Equal(scheduler.Submit(sinceEpoch(0), work).Verdict, Place)
	scheduler.RecordFirstToken(sinceEpoch(300*time.Millisecond), work)
	member := (*scheduler.members.Load())["endpoint-000"]
	load := idleLoad(sinceEpoch(400 * time.Millisecond))
	load.KVUsed = 7_100
	load.Revision = 1
	scheduler.ApplyReport(sinceEpoch(5*time.Second), "endpoint-000", load)
	at := sinceEpoch(5 * time.Second).UnixNano()
	is.Equal(member.prefillBacklog(at, true), 0.0)
	is.Equal(member.usedKV(peridotpath.Short, true), int64(7_100))

	stale := idleLoad(sinceEpoch(-time.Second))
	stale.PrefillTokens = 900_000
	scheduler.ApplyReport(sinceEpoch(6*time.Second), "endpoint-000", stale)
	is.Equal(member.prefillBacklog(at, true), 0.0) // a report with a lower revision is dropped
}

// Work is not placed on an engine without enough free KV memory. It would queue
// inside the engine and block all work behind it.
func TestFullEndpointsAreAvoided(t *testing.T) {
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
		{"long queued for memory", 300_000, 200_000, Place},
		{"long behind too much memory", 300_000, 400_000, Wait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			scheduler := newScheduler(1)
			load := idleLoad(epoch)
			load.KVUsed = test.used
			scheduler.ApplyReport(epoch, "endpoint-000", load)
			is.Equal(scheduler.Submit(epoch, newWork(test.prompt)).Verdict, test.want)
		})
	}
}

// A prompt that no engine can hold is refused at once, with a retry delay after
// which engines may have pooled their memory. A refused prompt does not count
// towards the demand for long work, a length slightly above an engine's memory is
// tried, and a retry is placed on the pooled engines even if their leader is
// outside the subset for long work.
func TestPromptLargerThanAnyEngine(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(3)
	decision := scheduler.Submit(epoch, newWork(900_000))
	is.Equal(refusalCode(decision), peridotpath.CodeNoMemory)
	is.True(decision.Result.RetryAfter >= pooledMemoryRetryDelay && decision.Result.RetryAfter <= 2*pooledMemoryRetryDelay)
	is.Equal((*scheduler.groups.Load())["model"].demand[peridotpath.Long].perSecond(epoch.UnixNano()), 0.0)

	tried := newWork(500_000)
	is.Equal(scheduler.Submit(epoch, tried).Verdict, Place)
	scheduler.EndAttempt(epoch, tried, Rejected, 0)
	is.Equal(scheduler.Retry(epoch, tried, failedResult).Verdict, Refuse) // the other engines are no larger

	for _, leader := range []peridotpath.EndpointID{"endpoint-000", "endpoint-001", "endpoint-002"} {
		scheduler := newScheduler(3)
		pooled := idleLoad(epoch)
		pooled.KVTokens *= 3
		scheduler.ApplyReport(epoch, leader, pooled)
		scheduler.DispatchQueued(epoch.Add(time.Second))
		retried := newWork(900_000)
		retried.Class = peridotpath.Oversize
		placed := scheduler.Submit(epoch.Add(time.Second), retried)
		is.Equal(placed.Verdict, Place)
		is.Equal(placed.Endpoint.ID, leader)
	}
}

// Long work that fits only one engine is placed there even if the engine is
// outside the subset for long work. A search of the subset alone would always
// refuse it.
func TestLongWorkIsPlacedOutsideTheSubset(t *testing.T) {
	for i := range 6 {
		is := is.New(t)
		endpoints := newEndpoints(6)
		endpoints[i].KVTokens = 2_000_000
		scheduler := &Scheduler{Seed: 1}
		scheduler.SetEndpoints(epoch, endpoints)
		work := newWork(900_000)
		work.Deadline = sinceEpoch(time.Hour)
		is.Equal(scheduler.Submit(epoch, work).Endpoint.ID, endpoints[i].ID)
	}
}

// Work that cannot finish before its deadline on any engine is refused at once,
// with a retry delay.
func TestWorkThatMissesItsDeadlineIsRefused(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(2)
	work := newWork(300_000) // ten seconds of prefill
	work.Deadline = sinceEpoch(5 * time.Second)
	decision := scheduler.Submit(epoch, work)
	is.Equal(refusalCode(decision), peridotpath.CodeCannotFinish)
	is.True(decision.Result.RetryAfter >= minRetryDelay)
}

// A prompt with a recently used prefix is placed on the same engine. After
// affinityDecayTime, when the prefix has probably been evicted, it is placed on
// any.
func TestPrefixAffinity(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(40)
	send := func(now time.Time) peridotpath.EndpointID {
		work := newWork(7_000)
		work.Prefixes = []uint64{11, 12, 13}
		work.Deadline = now.Add(time.Minute)
		decision := scheduler.Submit(now, work)
		is.Equal(decision.Verdict, Place)
		scheduler.RecordFirstToken(now, work)
		scheduler.EndAttempt(now, work, Finished, 10)
		return decision.Endpoint.ID
	}
	first := send(epoch)
	for i := range 20 {
		is.Equal(send(sinceEpoch(time.Duration(i)*time.Second)), first)
	}
	elsewhere := 0
	for i := range 10 {
		if send(sinceEpoch(time.Duration(i+1)*2*affinityDecayTime)) != first {
			elsewhere++
		}
	}
	is.True(elsewhere >= 7)
}

// A leaving endpoint receives no new work as soon as the membership lists it as
// leaving, even if it is the only one.
func TestLeavingEndpointReceivesNoWork(t *testing.T) {
	is := is.New(t)
	scheduler := newScheduler(2)
	endpoints := newEndpoints(2)
	endpoints[0].State = peridotpath.StateLeaving
	scheduler.SetEndpoints(epoch, endpoints)
	for range 20 {
		is.Equal(scheduler.Submit(epoch, newWork(1_000)).Endpoint.ID, peridotpath.EndpointID("endpoint-001"))
	}
	endpoints[1].State = peridotpath.StateLeaving
	scheduler.SetEndpoints(epoch, endpoints)
	is.Equal(refusalCode(scheduler.Submit(epoch, newWork(1_000))), peridotpath.CodeNoEndpoint)
}

// Calls to a plain service are placed on the endpoint with the fewest in-flight
// requests, up to maxPlainInFlight.
func TestPlainServiceUsesLeastInFlight(t *testing.T) {
	is := is.New(t)
	scheduler := &Scheduler{Seed: 1}
	endpoints := newEndpoints(2)
	for i := range endpoints {
		endpoints[i].Kind = peridotpath.KindPlain
		endpoints[i].KVTokens = 0
	}
	scheduler.SetEndpoints(epoch, endpoints)
	counts := map[peridotpath.EndpointID]int{}
	for range 2 * maxPlainInFlight {
		decision := scheduler.Submit(epoch, newWork(0))
		is.Equal(decision.Verdict, Place)
		counts[decision.Endpoint.ID]++
	}
	is.Equal(counts["endpoint-000"], counts["endpoint-001"])
	is.Equal(scheduler.Submit(epoch, newWork(0)).Verdict, Wait)
}

// Before the first load report, work is not refused by the default rates, which
// an instance uses when it has just started. Once the endpoint has reported a
// low rate, the same work is refused.
func TestDefaultRatesRefuseNoWork(t *testing.T) {
	is := is.New(t)
	scheduler := &Scheduler{Seed: 1}
	scheduler.SetEndpoints(epoch, newEndpoints(1))
	newLongAnswer := func() *Work {
		work := newWork(1_000)
		work.MaxOutputTokens = 10_000
		work.Deadline = epoch.Add(time.Minute)
		return work
	}
	is.Equal(scheduler.Submit(epoch, newLongAnswer()).Verdict, Place)
	slow := idleLoad(epoch)
	slow.DecodePerS = 20
	scheduler.ApplyReport(epoch, "endpoint-000", slow)
	is.Equal(refusalCode(scheduler.Submit(epoch, newLongAnswer())), peridotpath.CodeCannotFinish)
}
