package directory_test

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
)

func endpoint(id string, number byte) peridotpath.Endpoint {
	return peridotpath.Endpoint{
		ID: peridotpath.EndpointID(id), Service: "llm", State: peridotpath.StateLive, Incarnation: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 80),
	}
}

func ids(dir *directory.Directory) []string {
	var names []string
	for _, endpoint := range dir.Current().Of("llm") {
		names = append(names, string(endpoint.ID))
	}
	return names
}

func TestLeavingEndpointIsOut(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpoint("one", 1), endpoint("two", 2)
	dir.Apply([]peridotpath.Endpoint{one, two}, time.Minute)
	is.Equal(len(ids(dir)), 2)
	two.State = peridotpath.StateLeaving
	dir.Apply([]peridotpath.Endpoint{one, two}, time.Minute+time.Second)
	is.Equal(ids(dir), []string{"one"})
	dir.Apply([]peridotpath.Endpoint{one}, time.Minute+2*time.Second)
	is.Equal(ids(dir), []string{"one"})
}

// After an outage of the store half of the endpoints are missing: they could not
// renew their entries. Dropped, requests would crowd at the rest or find none;
// within about two seconds the others are back, or they are gone.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpoint("one", 1), endpoint("two", 2)
	dir.Apply([]peridotpath.Endpoint{one, two}, time.Minute)
	back := time.Minute + 10*time.Second
	dir.Apply([]peridotpath.Endpoint{one}, back)
	is.Equal(ids(dir), []string{"one", "two"})
	is.Equal(dir.Overdue(back+2*time.Second), time.Duration(0))
	is.True(dir.Overdue(back+2300*time.Millisecond) > 0)
	dir.Apply([]peridotpath.Endpoint{one}, back+2300*time.Millisecond)
	is.Equal(ids(dir), []string{"one"})
	is.Equal(dir.Overdue(back+time.Minute), time.Duration(0))
}

// An endpoint that left while one instance was cut off from the store got
// requests three seconds after the instance was back: the missing entry was
// taken for lapsed. Other instances had read the store all the while, so that
// it had not been away.
func TestInstanceThatWasCutOff(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpoint("one", 1), endpoint("two", 2)
	dir.Apply([]peridotpath.Endpoint{one, two}, time.Minute)
	for second := range time.Duration(10) {
		dir.Seen(time.Minute + second*time.Second)
	}
	dir.Apply([]peridotpath.Endpoint{one}, time.Minute+10*time.Second)
	is.Equal(ids(dir), []string{"one"})
}

// While the store is away an address goes to another endpoint. The entry that
// lapsed must not be kept beside the new one.
func TestAddressUsedAgainInAnOutage(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpoint("one", 1), endpoint("two", 2)
	dir.Apply([]peridotpath.Endpoint{one, two}, time.Minute)
	three := endpoint("three", 2)
	dir.Apply([]peridotpath.Endpoint{one, three}, time.Minute+10*time.Second)
	is.Equal(ids(dir), []string{"one", "three"})
}

func TestNewIncarnationIsAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	before, after := endpoint("one", 1), endpoint("one", 1)
	after.Incarnation = 2
	is.True(before.Key() != after.Key())
	dir := &directory.Directory{Log: zerolog.Nop()}
	dir.Apply([]peridotpath.Endpoint{before}, time.Minute)
	is.Equal(dir.Current().Of("llm")[0].Key, before.Key())
	dir.Apply([]peridotpath.Endpoint{after}, time.Minute+time.Second)
	is.Equal(dir.Current().Of("llm")[0].Key, after.Key())
}

// The excuse of an outage ends by itself: if nothing changes in the store after
// it, no reading would be due, and an endpoint that is gone would stay in use.
func TestFollowerReadsAgainWhenTheExcuseEnds(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(began) }
		dir := &directory.Directory{Log: zerolog.Nop()}
		one, two := endpoint("one", 1), endpoint("two", 2)
		var mutex sync.Mutex
		list, failure := []keyvalue.Entry{{Key: "one"}, {Key: "two"}}, error(nil)
		set := func(entries []keyvalue.Entry, err error) {
			mutex.Lock()
			defer mutex.Unlock()
			list, failure = entries, err
		}
		follower := &directory.Follower{
			Directory: dir, Now: now, Confirmed: func() {}, Log: zerolog.Nop(),
			Eras: &keyvalue.Eras{},
			List: func(context.Context) ([]keyvalue.Entry, keyvalue.Era, error) {
				mutex.Lock()
				defer mutex.Unlock()
				return slices.Clone(list), 0, failure
			},
			Decode: func(entries []keyvalue.Entry) []peridotpath.Endpoint {
				endpoints := map[string]peridotpath.Endpoint{"one": one, "two": two}
				var named []peridotpath.Endpoint
				for _, entry := range entries {
					named = append(named, endpoints[entry.Key])
				}
				return named
			},
			// So rarely that only the end of the excuse makes a reading due.
			Pace: clock.Pace{Least: 4 * time.Second, Retry: 250 * time.Millisecond, Gap: 60 * time.Millisecond},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(ids(dir)), 2)
		set(nil, errors.New("away"))
		time.Sleep(10 * time.Second)
		set([]keyvalue.Entry{{Key: "one"}}, nil)
		time.Sleep(time.Second)
		is.Equal(len(ids(dir)), 2)
		time.Sleep(2 * time.Second)
		is.Equal(ids(dir), []string{"one"})
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}
