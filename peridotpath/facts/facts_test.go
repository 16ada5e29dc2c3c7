package facts_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/facts"
)

func fact(kind facts.Kind, subject byte, at time.Time) facts.Fact {
	return facts.Fact{Kind: kind, Subject: facts.Subject{subject}, At: at}
}

// A fact is told so often that lost datagrams do not matter, and no more.
func TestTellings(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	table.Learn(fact(facts.KindEnded, 1, now))
	table.Learn(fact(facts.KindBarred, 1, now))
	told := map[facts.Kind]int{}
	for range 100 {
		for _, fact := range table.Tell(now, false) {
			told[fact.Kind]++
		}
		now = now.Add(50 * time.Millisecond)
	}
	is.Equal(told, map[facts.Kind]int{facts.KindEnded: 5, facts.KindBarred: 5})
	again := table.Tell(now, true)
	is.Equal(len(again), 1) // lasting ones
	is.Equal(again[0].Kind, facts.KindBarred)
}

// What a peer of the own cell tells is told by it alone; what comes from another cell
// is handed on, once.
func TestHandedOn(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	table.Hear([]facts.Fact{fact(facts.KindEnded, 1, now)}, false)
	is.Equal(len(table.Tell(now, false)), 0)
	table.Hear([]facts.Fact{fact(facts.KindEnded, 2, now)}, true)
	is.Equal(len(table.Tell(now, false)), 1)
	// The same comes back, a little older or younger by the time on its way.
	table.Hear([]facts.Fact{fact(facts.KindEnded, 2, now.Add(30*time.Millisecond))}, true)
	is.Equal(len(table.Tell(now, false)), 0)
}

func TestNewerFactCounts(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	value := func(value float64, at time.Time) facts.Fact {
		return facts.Fact{Kind: facts.KindBarred, Subject: facts.Subject{1}, Value: value, At: at}
	}
	known := func() float64 {
		fact, _ := table.Get(facts.KindBarred, facts.Subject{1}, 0, now)
		return fact.Value
	}
	table.Learn(value(60, now))
	table.Hear([]facts.Fact{value(30, now.Add(-time.Second))}, false) // late
	is.Equal(known(), 60.0)
	table.Hear([]facts.Fact{value(120, now.Add(time.Millisecond))}, false)
	is.Equal(known(), 120.0)
}

// A caller that invents requests does not fill the memory, nor push out what lasts.
func TestFactsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	table.Learn(fact(facts.KindBarred, 1, now))
	for i := range 5000 {
		table.Learn(facts.Fact{Kind: facts.KindEnded, Subject: facts.Subject{2, byte(i), byte(i >> 8)}, At: now.Add(time.Duration(i))})
	}
	is.Equal(len(table.All(facts.KindEnded, now)), 2048)
	is.True(table.Knows(facts.Subject{1}))
	is.True(!table.Knows(facts.Subject{2, 0, 0})) // the oldest
	is.Equal(len(table.Tell(now.Add(time.Second), true)), 64)
}

func TestFactsEnd(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	is.True(!table.Has(facts.KindTrial))
	table.Learn(fact(facts.KindTrial, 1, now))
	is.True(table.Has(facts.KindTrial))
	now = now.Add(time.Minute)
	_, known := table.Get(facts.KindTrial, facts.Subject{1}, 0, now)
	is.True(!known)
	is.Equal(len(table.Tell(now, false)), 0)
	is.True(!table.Has(facts.KindTrial))
}

// BenchmarkTellNothing is what a digest pays while many facts are known and none is new.
func BenchmarkTellNothing(b *testing.B) {
	now := time.Now()
	table := &facts.Table{}
	for i := range 2000 {
		table.Learn(facts.Fact{Kind: facts.KindEnded, Subject: facts.Subject{byte(i), byte(i >> 8)}, At: now})
	}
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		table.Tell(now, false)
	}
	for b.Loop() {
		table.Tell(now, false)
	}
}
