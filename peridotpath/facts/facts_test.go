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

// A fact is sent five times, so that a lost datagram does not lose it. After that only
// the periodically repeated kinds are sent.
func TestFactIsSentABoundedNumberOfTimes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	table.Learn(fact(facts.KindEnded, 1, now))
	table.Learn(fact(facts.KindBarred, 1, now))
	sends := map[facts.Kind]int{}
	for range 100 {
		for _, fact := range table.Tell(now, false) {
			sends[fact.Kind]++
		}
		now = now.Add(50 * time.Millisecond)
	}
	is.Equal(sends, map[facts.Kind]int{facts.KindEnded: 5, facts.KindBarred: 5})
	resent := table.Tell(now, true)
	is.Equal(len(resent), 1) // only the repeated kind
	is.Equal(resent[0].Kind, facts.KindBarred)
}

// A fact from a peer of the same cell is not forwarded, since that peer sends it to the
// whole cell. A fact from another cell is forwarded once.
func TestFactFromAnotherCellIsForwardedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	table.Hear([]facts.Fact{fact(facts.KindEnded, 1, now)}, false)
	is.Equal(len(table.Tell(now, false)), 0)
	table.Hear([]facts.Fact{fact(facts.KindEnded, 2, now)}, true)
	is.Equal(len(table.Tell(now, false)), 1)
	// The same fact comes back, its age changed by the network delay.
	table.Hear([]facts.Fact{fact(facts.KindEnded, 2, now.Add(30*time.Millisecond))}, true)
	is.Equal(len(table.Tell(now, false)), 0)
}

func TestNewerFactReplacesOlder(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	value := func(value float64, at time.Time) facts.Fact {
		return facts.Fact{Kind: facts.KindBarred, Subject: facts.Subject{1}, Value: value, At: at}
	}
	stored := func() float64 {
		fact, _ := table.Get(facts.KindBarred, facts.Subject{1}, 0, now)
		return fact.Value
	}
	table.Learn(value(60, now))
	table.Hear([]facts.Fact{value(30, now.Add(-time.Second))}, false) // older
	is.Equal(stored(), 60.0)
	table.Hear([]facts.Fact{value(120, now.Add(time.Millisecond))}, false)
	is.Equal(stored(), 120.0)
}

// A caller that sends many different crashing requests neither exhausts memory nor evicts
// facts of other kinds.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	table.Learn(fact(facts.KindBarred, 1, now))
	for i := range 5000 {
		table.Learn(facts.Fact{Kind: facts.KindEnded, Subject: facts.Subject{2, byte(i), byte(i >> 8)}, At: now.Add(time.Duration(i))})
	}
	is.Equal(len(table.All(facts.KindEnded, now)), 2048)
	is.True(table.Knows(facts.Subject{1}))
	is.True(!table.Knows(facts.Subject{2, 0, 0})) // the oldest is evicted
	is.Equal(len(table.Tell(now.Add(time.Second), true)), 64)
}

func TestFactsExpire(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	is.True(!table.Has(facts.KindTrial))
	table.Learn(fact(facts.KindTrial, 1, now))
	is.True(table.Has(facts.KindTrial))
	now = now.Add(time.Minute)
	_, found := table.Get(facts.KindTrial, facts.Subject{1}, 0, now)
	is.True(!found)
	is.Equal(len(table.Tell(now, false)), 0)
	is.True(!table.Has(facts.KindTrial))
}

// BenchmarkDigestWithoutNewFacts measures the cost of a digest when the table holds many
// facts and none is due.
func BenchmarkDigestWithoutNewFacts(b *testing.B) {
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
