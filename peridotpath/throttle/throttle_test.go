package throttle_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/throttle"
)

// limited is the endpoint of the tests.
var limited = &peridotpath.Endpoint{ID: "i-7"}

// fleet is instances that hear each other's facts when told to.
type fleet struct {
	now       time.Time
	tables    []*facts.Table
	throttles []*throttle.Throttle
}

func newFleet(count int) *fleet {
	fleet := &fleet{now: time.Now()}
	for i := range count {
		table := &facts.Table{}
		fleet.tables = append(fleet.tables, table)
		fleet.throttles = append(fleet.throttles, &throttle.Throttle{Sender: uint64(i), Facts: table, Log: zerolog.Nop()})
	}
	return fleet
}

// tell lets all hear what each has to tell.
func (fleet *fleet) tell() {
	for i, table := range fleet.tables {
		told := table.Tell(fleet.now, true)
		for j, other := range fleet.tables {
			if i != j {
				other.Hear(told, false)
			}
		}
	}
}

// ask lets an instance send if the endpoint takes it.
func (fleet *fleet) ask(instance int) bool {
	one := fleet.throttles[instance]
	return one.Wait(limited.Key(), 0, fleet.now) == 0 && one.Take([]peridotpath.EndpointKey{limited.Key()}, fleet.now)
}

// play lets every instance ask each 50 ms, and returns how often they sent.
func (fleet *fleet) play(span time.Duration) int {
	sent := 0
	for range span / (50 * time.Millisecond) {
		fleet.now = fleet.now.Add(50 * time.Millisecond)
		for i := range fleet.throttles {
			if fleet.ask(i) {
				sent++
			}
			fleet.tell()
		}
	}
	return sent
}

func TestNoLimitIsNamed(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(1)
	is.True(fleet.throttles[0].Idle())
	is.True(fleet.ask(0))
	is.True(fleet.ask(0))
}

func TestAllTogetherKeepToALimit(t *testing.T) {
	tests := []struct {
		limit       peridotpath.Rate
		least, most int
	}{
		{2.3, 22, 25},
		{1, 9, 11},
		{0, 3, 5}, // to learn that its need is over
		{0.001, 3, 5},
		{1_000_000, 199 * 8, 200 * 8},
	}
	for _, test := range tests {
		is := is.New(t)
		fleet := newFleet(8)
		fleet.throttles[3].Named(limited, test.limit, fleet.now)
		fleet.tell()
		sent := fleet.play(10 * time.Second)
		if sent < test.least || sent > test.most {
			t.Errorf("limit %v: sent %d in 10 s, want %d to %d", test.limit, sent, test.least, test.most)
		}
		is.True(!fleet.throttles[0].Idle())
	}
}

// Load may fall on one data centre, and on one instance there.
func TestOneInstanceMayUseAll(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(8)
	fleet.throttles[0].Named(limited, 2, fleet.now)
	fleet.tell()
	sent := 0
	for range 200 {
		fleet.now = fleet.now.Add(50 * time.Millisecond)
		if fleet.ask(5) {
			sent++
		}
		fleet.tell()
	}
	is.True(sent >= 19)
	is.True(sent <= 21)
}

// Instances that send at the same moment make up for it.
func TestOvershootIsMadeUpFor(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(4)
	fleet.throttles[0].Named(limited, 1, fleet.now)
	fleet.tell()
	for i := range fleet.throttles {
		fleet.throttles[i].Wait(limited.Key(), 0, fleet.now) // the limit is known
	}
	fleet.now = fleet.now.Add(time.Second)
	for i := range fleet.throttles {
		is.True(fleet.ask(i))
	}
	fleet.tell()
	is.Equal(fleet.throttles[2].Wait(limited.Key(), 0, fleet.now), 4*time.Second)
}

func TestLimitChangesAndEnds(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(2)
	one, two := fleet.throttles[0], fleet.throttles[1]
	one.Named(limited, 1, fleet.now)
	fleet.tell()
	is.True(one.Wait(limited.Key(), 0, fleet.now) > 0)
	is.True(two.Wait(limited.Key(), 0, fleet.now) > 0)
	// What had been sent before it named the limit says nothing.
	one.Unnamed(limited, fleet.now.Add(-time.Second), fleet.now.Add(time.Second))
	fleet.tell()
	is.True(two.Wait(limited.Key(), 0, fleet.now) > 0)

	fleet.now = fleet.now.Add(2 * time.Second)
	two.Named(limited, 100, fleet.now)
	fleet.tell()
	fleet.now = fleet.now.Add(100 * time.Millisecond)
	is.Equal(one.Wait(limited.Key(), 0, fleet.now), time.Duration(0))

	two.Unnamed(limited, fleet.now, fleet.now.Add(50*time.Millisecond))
	fleet.now = fleet.now.Add(100 * time.Millisecond)
	fleet.tell()
	for range 50 {
		is.True(fleet.ask(0))
	}
	is.True(fleet.ask(1))
	fleet.now = fleet.now.Add(time.Second)
	one.Named(limited, 1, fleet.now) // anew
	fleet.tell()
	is.True(two.Wait(limited.Key(), 0, fleet.now) > 0)
}

// Another start of an endpoint has named nothing.
func TestOtherEndpointsAreNotLimited(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(1)
	fleet.throttles[0].Named(limited, 0, fleet.now)
	is.Equal(fleet.throttles[0].Wait(limited.Key()+1, 0, fleet.now), time.Duration(0))
	is.True(fleet.throttles[0].Take([]peridotpath.EndpointKey{limited.Key() + 1}, fleet.now))
}

// What an endpoint reads for another one counts, too.
func TestHelpersCount(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(1)
	one := fleet.throttles[0]
	one.Named(limited, 1, fleet.now)
	is.True(one.Wait(limited.Key(), 0, fleet.now) > 0)
	fleet.now = fleet.now.Add(time.Second)
	is.True(one.Take([]peridotpath.EndpointKey{limited.Key() + 1, limited.Key()}, fleet.now))
	is.True(one.Wait(limited.Key(), 0, fleet.now) > 0)
}

// An endpoint whose answers nobody hears any more is not limited for ever.
func TestSilentLimitEnds(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(1)
	fleet.throttles[0].Named(limited, 0, fleet.now)
	fleet.now = fleet.now.Add(2 * time.Minute)
	is.Equal(fleet.throttles[0].Wait(limited.Key(), 0, fleet.now), time.Duration(0))
}
