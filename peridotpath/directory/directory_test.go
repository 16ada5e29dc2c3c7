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

// endpoint returns a live endpoint of the service llm.
func endpoint(id string, number byte) peridotpath.Endpoint {
	return peridotpath.Endpoint{
		ID: peridotpath.EndpointID(id), Service: "llm", State: peridotpath.StateLive, Incarnation: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 80),
	}
}

// ids returns the endpoints in use.
func ids(dir *directory.Directory) []string {
	var names []string
	for _, endpoint := range dir.Current().ForService("llm") {
		names = append(names, string(endpoint.ID))
	}
	return names
}

func TestLeavingEndpointIsExcluded(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpoint("one", 1), endpoint("two", 2)
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one, two}}, time.Minute)
	is.Equal(len(ids(dir)), 2)
	two.State = peridotpath.StateLeaving
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one, two}}, time.Minute+time.Second)
	is.Equal(ids(dir), []string{"one"})
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one}}, time.Minute+2*time.Second)
	is.Equal(ids(dir), []string{"one"})
}

// After an outage of the store half of the endpoints are missing, since they could not
// renew their entries. Without them, requests would overload the rest or find no endpoint.
// They stay in use for about two seconds, within which running endpoints register again.
func TestMissingEntriesAreKeptAfterOutage(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpoint("one", 1), endpoint("two", 2)
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one, two}}, time.Minute)
	recoveredAt := time.Minute + 10*time.Second
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one}}, recoveredAt)
	is.Equal(ids(dir), []string{"one", "two"})
	is.Equal(dir.OverdueBy(recoveredAt+2*time.Second), time.Duration(0))
	is.True(dir.OverdueBy(recoveredAt+2300*time.Millisecond) > 0)
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one}}, recoveredAt+2300*time.Millisecond)
	is.Equal(ids(dir), []string{"one"})
	is.Equal(dir.OverdueBy(recoveredAt+time.Minute), time.Duration(0))
}

// An endpoint leaves while one instance is cut off from the store. That instance must not
// treat the missing entry as one that expired in an outage and send requests to the endpoint
// for seconds: reads by other instances show that the store was up.
func TestEndpointLeavesWhileInstanceIsCutOff(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpoint("one", 1), endpoint("two", 2)
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one, two}}, time.Minute)
	for second := range time.Duration(10) {
		dir.MarkStoreReadable(time.Minute + second*time.Second)
	}
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one}}, time.Minute+10*time.Second)
	is.Equal(ids(dir), []string{"one"})
}

// During an outage of the store an address passes to another endpoint. The endpoint
// whose entry expired must not be kept next to the new one.
func TestAddressIsReusedDuringOutage(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpoint("one", 1), endpoint("two", 2)
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one, two}}, time.Minute)
	three := endpoint("three", 2)
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one, three}}, time.Minute+10*time.Second)
	is.Equal(ids(dir), []string{"one", "three"})
}

func TestNewIncarnationHasNewKey(t *testing.T) {
	is := is.New(t)
	before, after := endpoint("one", 1), endpoint("one", 1)
	after.Incarnation = 2
	is.True(before.Key() != after.Key())
	dir := &directory.Directory{Log: zerolog.Nop()}
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{before}}, time.Minute)
	is.Equal(dir.Current().ForService("llm")[0].Key, before.Key())
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{after}}, time.Minute+time.Second)
	is.Equal(dir.Current().ForService("llm")[0].Key, after.Key())
}

// The exception after an outage ends by time alone. The follower must read again then, even
// if nothing in the store changes, or a dead endpoint stays in use.
func TestFollowerReadsWhenExceptionEnds(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(startedAt) }
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
			Directory: dir, Now: now, OnConfirmed: func() {}, Log: zerolog.Nop(),
			Eras: &keyvalue.EraTracker{},
			List: func(context.Context) ([]keyvalue.Entry, keyvalue.Era, error) {
				mutex.Lock()
				defer mutex.Unlock()
				return slices.Clone(list), 0, failure
			},
			Decode: func(entries []keyvalue.Entry) directory.Listing {
				endpoints := map[string]peridotpath.Endpoint{"one": one, "two": two}
				var decoded directory.Listing
				for _, entry := range entries {
					decoded.Endpoints = append(decoded.Endpoints, endpoints[entry.Key])
				}
				return decoded
			},
			// The interval is so long that only the end of the exception makes a read due.
			Schedule: clock.PollSchedule{MinAge: 4 * time.Second, RetryDelay: 250 * time.Millisecond, MinInterval: 60 * time.Millisecond},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(ids(dir)), 2)
		set(nil, errors.New("store unreachable"))
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
