package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/placement"
)

// rates are those of a large model, as the users' services publish them.
var rates = peridotpath.EngineRates{
	BatchSize: 16, KVTokens: 450_000, StepsPerPass: 46, Chunk: 2048,
	Step: 925 * time.Microsecond, StepPerWriter: 4830 * time.Nanosecond, StepPerContextK: 2540 * time.Nanosecond,
	ReadPerSecond: 256_000, PerMillionPairs: 91_700 * time.Nanosecond,
}

var model = placement.Model{Rates: &rates}

func candidates(count int) []placement.Candidate {
	var all []placement.Candidate
	for i := range count {
		endpoint := &peridotpath.Endpoint{ID: peridotpath.EndpointID(fmt.Sprintf("i-%d", i)), Service: "llm", DataCentre: "a", Slots: 6}
		all = append(all, placement.Candidate{Endpoint: endpoint, Key: endpoint.Key()})
	}
	return all
}

func shortWork() placement.Work {
	return placement.Work{
		Prompt: 5_000, Answer: 1_600, AnswerAim: 300 * time.Millisecond, PauseAim: 200 * time.Millisecond,
		Left: 10 * time.Second, DataCentre: "a",
	}
}

func longWork(prompt peridotpath.Tokens) placement.Work {
	return placement.Work{
		Prompt: prompt, Answer: 800, AnswerAim: 3 * time.Second, PauseAim: 800 * time.Millisecond,
		Left: 15 * time.Second, DataCentre: "a",
	}
}

// writer notes a short answer that is being written at a candidate.
func writer(book *placement.Book, at placement.Candidate) {
	number := book.Begin(placement.Flight{
		Parts:  []placement.Part{{Endpoint: at.Key, Memory: 6_600}},
		Prompt: 5_000, PauseAim: 200 * time.Millisecond, Sent: time.Now(),
	})
	book.Writing(number)
}

// reader notes a long prompt that is being read at a candidate.
func reader(book *placement.Book, at placement.Candidate, span time.Duration) {
	book.Begin(placement.Flight{
		Parts:  []placement.Part{{Endpoint: at.Key, Reading: span, Memory: 200_000}},
		Prompt: 200_000, PauseAim: 800 * time.Millisecond, Sent: time.Now(),
	})
}

func TestReadTime(t *testing.T) {
	tests := []struct {
		prompt peridotpath.Tokens
		want   time.Duration
	}{
		{0, 0}, {5_000, 23 * time.Millisecond}, {45_000, 289 * time.Millisecond},
		{210_000, 2938 * time.Millisecond}, {1_000_000, 50209 * time.Millisecond},
	}
	for _, test := range tests {
		if have := model.ReadTime(test.prompt); have.Round(time.Millisecond) != test.want {
			t.Errorf("ReadTime(%d): have %v, want %v", test.prompt, have, test.want)
		}
	}
	if have := model.Pass(0, 0); have != 0 {
		t.Errorf("Pass of nobody: %v", have)
	}
	if have := model.Pass(10, 60_000).Round(time.Millisecond); have != 52*time.Millisecond {
		t.Errorf("Pass of ten: %v", have)
	}
}

// A lookup must not wait behind a dossier that is being read.
func TestShortAvoidsReaders(t *testing.T) {
	is := is.New(t)
	book, all := &placement.Book{}, candidates(4)
	for _, candidate := range all[:3] {
		reader(book, candidate, 2*time.Second)
	}
	plan, found := placement.PlanPrompt(model, shortWork(), all, book.View(time.Now()))
	is.True(found)
	is.Equal(plan.Writer.ID, all[3].Endpoint.ID)
	is.Equal(len(plan.Helpers), 0)
}

// settled returns the book of an instance that has heard its peers for a while.
func settled() *placement.Book {
	book := &placement.Book{}
	book.View(time.Now().Add(-time.Minute))
	return book
}

// Short answers are packed, so that engines remain that may read long prompts.
func TestShortsArePacked(t *testing.T) {
	is := is.New(t)
	book, all := settled(), candidates(6)
	used := map[peridotpath.EndpointID]int{}
	for range 8 {
		plan, found := placement.PlanPrompt(model, shortWork(), all, book.View(time.Now()))
		is.True(found)
		used[plan.Writer.ID]++
		for _, candidate := range all {
			if candidate.Endpoint.ID == plan.Writer.ID {
				writer(book, candidate)
			}
		}
	}
	is.True(len(used) <= 2)
}

// A dossier is read by the engines at which nobody writes.
func TestLongIsSpreadOverTheIdle(t *testing.T) {
	is := is.New(t)
	book, all := &placement.Book{}, candidates(8)
	busy := map[peridotpath.EndpointID]bool{}
	for _, candidate := range all[:3] {
		busy[candidate.Endpoint.ID] = true
		for range 6 {
			writer(book, candidate)
		}
	}
	plan, found := placement.PlanPrompt(model, longWork(210_000), all, book.View(time.Now()))
	is.True(found)
	is.Equal(len(plan.Helpers), 4)
	for _, endpoint := range append(plan.Helpers, plan.Writer) {
		is.True(!busy[endpoint.ID])
	}
	is.Equal(plan.Harm, 0.0)
	is.True(plan.FirstEvent < time.Second)
	is.Equal(len(plan.Reserve), 0)
}

// A bound volume needs more memory than any engine has.
func TestMemoryIsShared(t *testing.T) {
	is := is.New(t)
	book, all := &placement.Book{}, candidates(8)
	work := longWork(1_000_000)
	work.Left = time.Minute
	plan, found := placement.PlanPrompt(model, work, all, book.View(time.Now()))
	is.True(found)
	held := plan.Memory
	for i, need := range plan.Reserve {
		is.Equal(need.Endpoint, plan.Helpers[i])
		held += need.Tokens
	}
	is.True(held >= work.Prompt+work.Answer)
	is.True(plan.Memory <= rates.KVTokens)

	_, found = placement.PlanPrompt(model, work, all[:2], book.View(time.Now()))
	is.True(!found) // two engines cannot hold it
}

func TestSuspectsAreAvoided(t *testing.T) {
	is := is.New(t)
	book, all := &placement.Book{}, candidates(3)
	all[0].Suspect, all[1].Suspect = true, true
	view := book.View(time.Now())
	plan, _ := placement.PlanPrompt(model, shortWork(), all, view)
	is.Equal(plan.Writer.ID, all[2].Endpoint.ID)
	plan, _ = placement.PlanPlain(shortWork(), all, view)
	is.Equal(plan.Writer.ID, all[2].Endpoint.ID)
	plan, found := placement.PlanPrompt(model, shortWork(), all[:2], view)
	is.True(found && plan.Writer != nil) // better one that failed than none
	plan, _ = placement.PlanPrompt(model, longWork(210_000), all, view)
	is.Equal(len(plan.Helpers), 0) // a helper that is gone holds everybody up
}

func TestPlainTakesTheLeastTaken(t *testing.T) {
	is := is.New(t)
	book, all := &placement.Book{}, candidates(3)
	for i, count := range []int{4, 2, 3} {
		for range count {
			writer(book, all[i])
		}
	}
	plan, found := placement.PlanPlain(placement.Work{DataCentre: "a"}, all, book.View(time.Now()))
	is.True(found)
	is.Equal(plan.Writer.ID, all[1].Endpoint.ID)
	for range 20 {
		for _, candidate := range all {
			writer(book, candidate)
		}
	}
	_, found = placement.PlanPlain(placement.Work{}, all, book.View(time.Now()))
	is.True(!found)
}

// A failure is remembered for longer each time, and forgotten by an answer.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	book, now := &placement.Book{}, time.Now()
	book.Failed(5, now)
	is.True(book.Suspects(now.Add(400 * time.Millisecond))[5])
	is.True(!book.Suspects(now.Add(600 * time.Millisecond))[5])
	book.Failed(5, now)
	is.True(book.Suspects(now.Add(900 * time.Millisecond))[5])
	is.Equal(len(book.OwnSuspicions(now)), 1)
	book.Works(5)
	is.True(!book.Suspects(now)[5])
	book.Full(6, now)
	is.True(book.Suspects(now.Add(100 * time.Millisecond))[6])
	is.Equal(len(book.OwnSuspicions(now)), 0) // who is merely full tells each instance so
	for range 100 {
		book.Failed(7, now)
	}
	is.True(!book.Suspects(now.Add(5 * time.Second))[7])
}

// Whatever is under way, all instances put those that wait in the same order,
// so that exactly one is first.
func TestOneIsFirst(t *testing.T) {
	soak.Check(t, 1, func(random *rapid.T) {
		now := time.Unix(1000, 0)
		ids := []peridotpath.InstanceID{"a", "b", "c"}
		books := map[peridotpath.InstanceID]*placement.Book{}
		var own = map[peridotpath.InstanceID][]placement.WaitNumber{}
		for _, id := range ids {
			books[id] = &placement.Book{}
			for range rapid.IntRange(0, 4).Draw(random, "count") {
				// A hundredth of a second apart at least: closer ones may swap on the way.
				due := now.Add(time.Duration(rapid.IntRange(0, 50).Draw(random, "due")) * 10 * time.Millisecond)
				number := books[id].Join(placement.Wait{Due: due, Reading: time.Second})
				books[id].Mark(number, rapid.Bool().Draw(random, "late"), false)
				own[id] = append(own[id], number)
			}
		}
		for _, id := range ids {
			for _, other := range ids {
				if other != id {
					books[id].HearPeer(placement.Report{Peer: other, Incarnation: 1, Sequence: 1, Waits: books[other].OwnWaits()}, now)
				}
			}
		}
		first, all := 0, 0
		for _, id := range ids {
			for _, number := range own[id] {
				all++
				if ahead, _ := books[id].Ahead(number, id, now); ahead == 0 {
					first++
				}
			}
		}
		if all > 0 && first != 1 {
			random.Errorf("%d of %d are first", first, all)
		}
	})
}

// What an engine is planned to hold never exceeds its memory.
func TestMemoryIsNeverOverPromised(t *testing.T) {
	soak.Check(t, 1, func(random *rapid.T) {
		book, all := &placement.Book{}, candidates(6)
		for range rapid.IntRange(1, 12).Draw(random, "count") {
			work := longWork(peridotpath.Tokens(rapid.IntRange(1_000, 1_000_000).Draw(random, "prompt")))
			work.Left = time.Hour
			plan, found := placement.PlanPrompt(model, work, all, book.View(time.Now()))
			if found {
				book.Begin(plan.Flight(work, time.Now()))
			}
		}
		// Added up here, and not read from a View, on which the plans rest.
		held := map[peridotpath.EndpointKey]peridotpath.Tokens{}
		for _, flight := range book.Own() {
			for _, part := range flight.Parts {
				held[part.Endpoint] += part.Memory
			}
		}
		for _, candidate := range all {
			if held[candidate.Key] > rates.KVTokens {
				random.Errorf("%d tokens promised at %s", held[candidate.Key], candidate.Endpoint.ID)
			}
		}
	})
}

// BenchmarkPlan is what a plan for a long prompt costs on a busy fleet. Before
// engines were put in order once a plan, and only some tried as the writer, it
// took 2.0 ms for 69 engines and 30 ms for 300, a hundred times a second while a
// prompt waits; after, 0.2 ms and 0.5 ms.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{14, 69, 300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			book, all := &placement.Book{}, candidates(count)
			for i, candidate := range all {
				for range i % 12 {
					writer(book, candidate)
				}
			}
			for b.Loop() {
				placement.PlanPrompt(model, longWork(210_000), all, book.View(time.Now()))
			}
		})
	}
}

// All instances lose power and their callers come back at once. Most engines read
// something beside their writers, so that a short prompt more would spoil those; at
// one engine nobody had anything to lose. All that were late anyway were sent
// there, one behind the other, and left after two seconds without an answer.
func TestPlanWithinPatience(t *testing.T) {
	is := is.New(t)
	all := candidates(2)
	book := &placement.Book{}
	reader(book, all[0], 3*time.Second)
	for range 6 {
		writer(book, all[1])
	}
	reader(book, all[1], 140*time.Millisecond)
	work := shortWork()
	work.Waited = 400 * time.Millisecond
	work.Patience = 1600 * time.Millisecond
	plan, found := placement.PlanPrompt(model, work, all, book.View(time.Now()))
	is.True(found)
	is.Equal(plan.Writer.ID, all[1].Endpoint.ID)
	is.True(plan.FirstEvent <= work.Patience)
	// Where none begins before the caller leaves, that is known at once.
	_, found = placement.PlanPrompt(model, work, all[:1], book.View(time.Now()))
	is.True(!found)
}

// Ten short answers are written at one engine and two at another. One more was put
// where fewer are written, since its passes are a little shorter; so all engines
// had some writers, and none could read a long prompt without making a pause too
// long for them.
func TestWritersFillEngines(t *testing.T) {
	is := is.New(t)
	all := candidates(3)
	book := settled()
	for range 2 {
		writer(book, all[0])
	}
	for range 10 {
		writer(book, all[1])
	}
	plan, found := placement.PlanPrompt(model, shortWork(), all, book.View(time.Now()))
	is.True(found)
	is.Equal(plan.Writer.ID, all[1].Endpoint.ID)
	// Once its slots are taken, the next one goes elsewhere.
	for range 6 {
		writer(book, all[1])
	}
	plan, found = placement.PlanPrompt(model, shortWork(), all, book.View(time.Now()))
	is.True(found)
	is.Equal(plan.Writer.ID, all[0].Endpoint.ID)
}

// All instances have just started anew: nobody writes yet and everybody comes back,
// among them the caller of a dossier. It harmed nobody who wrote, so all engines
// read it at once, and the next hundred short prompts waited for 0.7 s. It has time
// enough to be read by fewer, and the others must have room for the short ones that
// come meanwhile.
func TestLongLeavesRoomForShorts(t *testing.T) {
	is := is.New(t)
	all := candidates(15)
	book := &placement.Book{}
	sent := time.Now()
	book.View(sent)
	for i := range 20 {
		at := all[i%2]
		book.Begin(placement.Flight{
			Parts:  []placement.Part{{Endpoint: at.Key, Reading: 20 * time.Millisecond, Memory: 5_600}},
			Prompt: 5_000, PauseAim: 200 * time.Millisecond, Sent: sent,
		})
	}
	now := sent.Add(time.Second)
	plan, found := placement.PlanPrompt(model, longWork(300_000), all, book.View(now.Add(-time.Millisecond)))
	is.True(found)
	reads := map[peridotpath.EndpointID]bool{plan.Writer.ID: true}
	for _, helper := range plan.Helpers {
		reads[helper.ID] = true
	}
	// Twenty short prompts came in the last second; as many come in the next one.
	room := 0
	for i, candidate := range all {
		if !reads[candidate.Endpoint.ID] {
			room += 16
			if i < 2 {
				room -= 10
			}
		}
	}
	is.True(float64(room) >= 20*plan.FirstEvent.Seconds())
	is.True(plan.FirstEvent < 1800*time.Millisecond) // and it is on time all the same
}

// All callers come back at once and sixteen of them take an engine's slots; none ends
// for as long as an answer takes on a full engine, two seconds. A seventeenth was sent there as
// if a slot were free in a tenth of a second, and its caller left before its answer
// had begun. It must hear at once when to come back.
func TestPlanKnowsWhenSlotsAreFree(t *testing.T) {
	tests := map[string]struct {
		age   time.Duration
		found bool
		// least and most bound the time after which a caller may come back.
		least, most time.Duration
	}{
		"all have just begun":  {age: 100 * time.Millisecond, least: 1700 * time.Millisecond, most: 2100 * time.Millisecond},
		"the oldest ends soon": {age: 1800 * time.Millisecond, found: true, least: 50 * time.Millisecond, most: 300 * time.Millisecond},
		"longer than is usual": {age: 5 * time.Second, found: true, least: 50 * time.Millisecond, most: 300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			book, all := settled(), candidates(1)
			now := time.Now()
			for range 16 {
				number := book.Begin(placement.Flight{
					Parts:  []placement.Part{{Endpoint: all[0].Key, Reading: 20 * time.Millisecond, Memory: 5_600}},
					Prompt: 5_000, PauseAim: 200 * time.Millisecond, Sent: now.Add(-test.age),
				})
				book.Writing(number)
			}
			work := shortWork()
			work.Patience = 1200 * time.Millisecond
			_, found := placement.PlanPrompt(model, work, all, book.View(now))
			is.Equal(found, test.found)
			free := placement.SoonestFree(model, work, all, book.View(now))
			is.True(free >= test.least)
			is.True(free <= test.most)
		})
	}
}

// A service does not publish how many requests its engines run at once. The instance
// divided by that number when the second request came, and ended.
func TestSlotsAreNotKnown(t *testing.T) {
	is := is.New(t)
	unknown := rates
	unknown.BatchSize = 0
	book, all := settled(), candidates(2)
	for range 3 {
		writer(book, all[0])
		writer(book, all[1])
	}
	plan, found := placement.PlanPrompt(placement.Model{Rates: &unknown}, shortWork(), all, book.View(time.Now()))
	is.True(found)
	is.True(plan.FirstEvent < 300*time.Millisecond)
}
