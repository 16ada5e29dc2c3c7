package shortqueue_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/shortqueue"
)

const service = "llm"

var model = placement.Model{Rates: &peridotpath.EngineRates{
	BatchSize: 16, KVTokens: 450_000, StepsPerIteration: 46, Chunk: 2048,
	Step: 925 * time.Microsecond, StepPerSequence: 4830 * time.Nanosecond, StepPerContextK: 2540 * time.Nanosecond,
	PrefillPerSecond: 256_000, PerMillionPairs: 91_700 * time.Nanosecond,
}}

func candidates(count int) []placement.Candidate {
	var all []placement.Candidate
	for i := range count {
		endpoint := &peridotpath.Endpoint{ID: peridotpath.EndpointID(fmt.Sprintf("i-%d", i)), Service: service, DataCentre: "a", Slots: 16}
		all = append(all, placement.Candidate{Endpoint: endpoint, Key: endpoint.Key()})
	}
	return all
}

// plan plans a short prompt on four engines without load.
func plan(queue *shortqueue.Queue, all []placement.Candidate, now time.Time) shortqueue.Plan {
	work := placement.Work{
		PromptTokens: 5_000, AnswerTokens: 200, TTFTTarget: 300 * time.Millisecond, ITLTarget: 200 * time.Millisecond,
		TimeLeft: 10 * time.Second, DataCentre: "a",
	}
	tracker := &placement.LoadTracker{}
	return queue.Plan(service, model, work, all, tracker.Snapshot(now), now)
}

// Prompts that cannot be on time any more, and those of customers above their share, must yield:
// sent in the order of arrival, most prompts miss their targets by a little.
func TestOrderOfWaitingPrompts(t *testing.T) {
	is := is.New(t)
	var queue shortqueue.Queue
	now := time.Now()
	first, second := shortqueue.NewEntry(now.Add(200*time.Millisecond), 0, now), shortqueue.NewEntry(now.Add(300*time.Millisecond), 0, now)
	urgent, patient := shortqueue.NewEntry(now.Add(210*time.Millisecond), 0, now), shortqueue.NewEntry(now.Add(100*time.Millisecond), 3, now)
	for _, entry := range []*shortqueue.Entry{first, second, urgent, patient} {
		queue.Join(service, entry)
	}
	is.Equal(queue.Update(service, first, false, false, now).Ahead, 0)
	is.Equal(queue.Update(service, urgent, false, false, now).Ahead, 1)
	is.Equal(queue.Update(service, second, false, false, now).Ahead, 2)
	is.Equal(queue.Update(service, patient, false, false, now).Ahead, 3) // three ranks outweigh a target of 300 ms
	is.Equal(queue.Update(service, urgent, false, true, now).Ahead, 3)   // its customer is above its share
	late := queue.Update(service, first, true, false, now)
	is.Equal(late.Ahead, 3)
	is.Equal(late.Here, placement.ShortWaits{OnTime: 3, Late: 1})
	is.Equal(queue.Update(service, second, false, false, now).Ahead, 0)
	is.Equal(queue.Update("other", shortqueue.NewEntry(now, 0, now), false, false, now).Here, placement.ShortWaits{}) // services do not wait for one another

	queue.Leave(service, second, true, now)
	is.Equal(queue.Waiting(), int64(3))
	queue.Report(func(waits placement.ShortWaits) { is.Equal(waits, placement.ShortWaits{OnTime: 2, Late: 1}) })
}

// A slot that an own request has released is known here before peers know of it. If it is not used
// at once, the engine is idle until the next draw; if it is used twice, the engine is overfilled.
func TestReleasedSlotIsUsedFirstAndOnce(t *testing.T) {
	is := is.New(t)
	var queue shortqueue.Queue
	all, now := candidates(4), time.Now()
	queue.Release(service, all[2].Key, now)
	is.True(!plan(&queue, all, now).IsOwnSlot) // slots were not scarce: the end was not recorded
	queue.Release(service, all[2].Key, now)
	own := plan(&queue, all, now)
	is.True(own.IsOwnSlot && own.HasSlot)
	is.Equal(own.Primary.ID, all[2].Endpoint.ID)
	queue.Take(service, all[2].Key)
	is.True(!plan(&queue, all, now).IsOwnSlot)
	queue.Release(service, all[2].Key, now)
	is.True(!plan(&queue, all, now.Add(time.Second)).IsOwnSlot) // peers know of it by then
}

// The first prompt must be sent at once when a slot is released or the one before it leaves;
// otherwise the slot is unused until the next poll.
func TestFirstPromptIsWoken(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		var queue shortqueue.Queue
		all, now := candidates(4), time.Now()
		first, second := shortqueue.NewEntry(now, 0, now), shortqueue.NewEntry(now.Add(time.Second), 0, now)
		queue.Join(service, first)
		queue.Join(service, second)
		slept := func(entry *shortqueue.Entry, isFirst bool) time.Duration {
			since := time.Now()
			is.True(entry.Sleep(t.Context(), isFirst, time.Second))
			return time.Since(since)
		}
		is.Equal(slept(first, true), 10*time.Millisecond)
		is.Equal(slept(second, false), 40*time.Millisecond)
		plan(&queue, all, time.Now())
		queue.Release(service, all[0].Key, time.Now())
		is.Equal(slept(second, false), 40*time.Millisecond)
		is.Equal(slept(first, true), time.Duration(0))
		queue.Leave(service, first, true, time.Now())
		is.Equal(slept(second, false), time.Duration(0))
	})
}

// A prompt must be decided about when it has been held for as long as it may be. At the next poll it
// can be beyond twice its target.
func TestPromptWakesAtItsHoldLimit(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, test := range []struct {
			isFirst          bool
			untilLimit, want time.Duration
		}{
			{false, 15 * time.Millisecond, 15 * time.Millisecond},
			{true, 3 * time.Millisecond, 3 * time.Millisecond},
			{false, time.Second, 40 * time.Millisecond},
			{true, time.Second, 10 * time.Millisecond},
		} {
			entry, since := shortqueue.NewEntry(time.Now(), 0, time.Now()), time.Now()
			is.True(entry.Sleep(t.Context(), test.isFirst, test.untilLimit))
			is.Equal(time.Since(since), test.want)
		}
	})
}

// Prompts that lost a draw must not draw again by the same reports: each would take more than its
// part of the free slots.
func TestDrawsAreAsOftenAsNews(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	entry := shortqueue.NewEntry(now, 0, now)
	is.True(entry.MayDraw(now))
	entry.RecordDraw(50*time.Millisecond, now)
	is.True(!entry.MayDraw(now.Add(49 * time.Millisecond)))
	is.True(entry.MayDraw(now.Add(50 * time.Millisecond)))
	entry.RecordDraw(0, now)
	is.True(!entry.MayDraw(now.Add(9 * time.Millisecond)))
}

// The wait of late prompts is predicted from how many were sent. Without that, prompts that would be
// served are refused, or wait in vain.
func TestLateWaitFollowsSentPrompts(t *testing.T) {
	is := is.New(t)
	var queue shortqueue.Queue
	now := time.Now()
	wait := func(wasSent bool) time.Duration {
		entry := shortqueue.NewEntry(now, 0, now)
		queue.Join(service, entry)
		defer queue.Leave(service, entry, wasSent, now)
		return queue.Update(service, entry, true, false, now).LateWait
	}
	is.Equal(wait(false), 250*time.Millisecond)
	is.Equal(wait(true), 250*time.Millisecond)
	is.Equal(wait(true), 125*time.Millisecond)
}

// Several own requests end at one engine. Each released slot must be used once: a slot that is
// forgotten with the first is idle, one that is used again overfills the engine.
func TestEachReleasedSlotOfAnEngineIsUsed(t *testing.T) {
	is := is.New(t)
	var queue shortqueue.Queue
	all, now := candidates(4), time.Now()
	plan(&queue, all, now) // slots are scarce from now on
	for range 3 {
		queue.Release(service, all[1].Key, now)
	}
	for range 3 {
		own := plan(&queue, all, now)
		is.True(own.IsOwnSlot)
		is.Equal(own.Primary.ID, all[1].Endpoint.ID)
		queue.Take(service, all[1].Key)
	}
	is.True(!plan(&queue, all, now).IsOwnSlot)
}

// All slots are taken by requests of this instance and its peers. The plan must say so, and still
// name an engine: a prompt that is sent without a slot waits in an engine, where its order cannot be
// changed, and one without a plan cannot be predicted.
func TestPlanWithoutFreeSlot(t *testing.T) {
	is := is.New(t)
	var queue shortqueue.Queue
	all, now := candidates(4), time.Now()
	tracker := &placement.LoadTracker{}
	for _, candidate := range all {
		for range model.Rates.BatchSize {
			tracker.AddInFlight(placement.InFlight{Parts: []placement.PrefillPart{{Endpoint: candidate.Key}}, PromptTokens: 5_000, SentAt: now, Decoding: true})
		}
	}
	work := placement.Work{
		PromptTokens: 5_000, AnswerTokens: 200, TTFTTarget: 300 * time.Millisecond, ITLTarget: 200 * time.Millisecond,
		TimeLeft: 10 * time.Second, DataCentre: "a",
	}
	full := queue.Plan(service, model, work, all, tracker.Snapshot(now), now)
	is.True(!full.HasSlot)
	is.True(!full.IsOwnSlot)
	is.True(full.Primary != nil)
	is.Equal(full.Outlook.FreeSlots, 0)
}

// The client of a waiting prompt goes away. Its goroutine must end at once, also when it is woken at
// the same moment, or the slot goes to nobody.
func TestSleepEndsWithTheRequest(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		var queue shortqueue.Queue
		now := time.Now()
		entry := shortqueue.NewEntry(now, 0, now)
		queue.Join(service, entry)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Millisecond)
		defer cancel()
		is.True(!entry.Sleep(ctx, true, time.Second))
		is.Equal(time.Since(now), 3*time.Millisecond)
		queue.Update(service, entry, true, false, time.Now()) // wakes it
		is.True(!entry.Sleep(ctx, true, time.Second))
		queue.Leave(service, entry, false, time.Now())
		is.Equal(queue.Waiting(), int64(0))
	})
}
