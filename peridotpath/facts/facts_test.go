package facts_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/facts"
)

func fact(kind facts.Kind, subject byte, at time.Time) facts.Fact {
	return facts.Fact{Kind: kind, Subject: facts.Subject{subject}, ObservedAt: at}
}

// A fact is sent five times, so that a lost datagram does not lose it. After that, only
// facts of the periodically repeated kinds are sent.
func TestFactIsSentABoundedNumberOfTimes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	table.Observe(fact(facts.KindCrashed, 1, now))
	table.Observe(fact(facts.KindQuarantined, 1, now))
	sends := map[facts.Kind]int{}
	for range 100 {
		for _, fact := range table.TakeDue(now, false) {
			sends[fact.Kind]++
		}
		now = now.Add(50 * time.Millisecond)
	}
	is.Equal(sends, map[facts.Kind]int{facts.KindCrashed: 5, facts.KindQuarantined: 5})
	resent := table.TakeDue(now, true)
	is.Equal(len(resent), 1) // only the repeated kind
	is.Equal(resent[0].Kind, facts.KindQuarantined)
}

// A fact from a peer of the same cell is not forwarded, since that peer sends it to the
// whole cell. A fact from another cell is forwarded once.
func TestFactFromAnotherCellIsForwardedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	table.Receive([]facts.Fact{fact(facts.KindCrashed, 1, now)}, false)
	is.Equal(len(table.TakeDue(now, false)), 0)
	table.Receive([]facts.Fact{fact(facts.KindCrashed, 2, now)}, true)
	is.Equal(len(table.TakeDue(now, false)), 1)
	// The same fact comes back, its age changed by the network delay.
	table.Receive([]facts.Fact{fact(facts.KindCrashed, 2, now.Add(30*time.Millisecond))}, true)
	is.Equal(len(table.TakeDue(now, false)), 0)
}

func TestNewerFactReplacesOlder(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	value := func(value float64, at time.Time) facts.Fact {
		return facts.Fact{Kind: facts.KindQuarantined, Subject: facts.Subject{1}, Value: value, ObservedAt: at}
	}
	stored := func() float64 {
		fact, _ := table.Get(facts.KindQuarantined, facts.Subject{1}, 0, now)
		return fact.Value
	}
	table.Observe(value(60, now))
	table.Receive([]facts.Fact{value(30, now.Add(-time.Second))}, false) // older
	is.Equal(stored(), 60.0)
	table.Receive([]facts.Fact{value(120, now.Add(time.Millisecond))}, false)
	is.Equal(stored(), 120.0)
}

// A caller that sends many different crashing requests must neither exhaust memory nor
// evict facts of other kinds.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	table.Observe(fact(facts.KindQuarantined, 1, now))
	for i := range 5000 {
		table.Observe(facts.Fact{Kind: facts.KindCrashed, Subject: facts.Subject{2, byte(i), byte(i >> 8)}, ObservedAt: now.Add(time.Duration(i))})
	}
	is.Equal(len(table.ByKind(facts.KindCrashed, now)), 2048)
	is.True(table.HasSubject(facts.Subject{1}))
	is.True(!table.HasSubject(facts.Subject{2, 0, 0})) // the oldest is evicted
	is.Equal(len(table.TakeDue(now.Add(time.Second), true)), 64)
}

func TestFactsExpire(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := &facts.Table{}
	is.True(!table.Has(facts.KindTrial))
	table.Observe(fact(facts.KindTrial, 1, now))
	is.True(table.Has(facts.KindTrial))
	now = now.Add(time.Minute)
	_, found := table.Get(facts.KindTrial, facts.Subject{1}, 0, now)
	is.True(!found)
	is.Equal(len(table.TakeDue(now, false)), 0)
	is.True(!table.Has(facts.KindTrial))
}

// BenchmarkDigestWithoutNewFacts measures the cost of a digest when the table holds many
// facts and none is due.
func BenchmarkDigestWithoutNewFacts(b *testing.B) {
	now := time.Now()
	table := &facts.Table{}
	for i := range 2000 {
		table.Observe(facts.Fact{Kind: facts.KindCrashed, Subject: facts.Subject{byte(i), byte(i >> 8)}, ObservedAt: now})
	}
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		table.TakeDue(now, false)
	}
	for b.Loop() {
		table.TakeDue(now, false)
	}
}
