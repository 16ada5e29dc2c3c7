package directory_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings"
)

// endpointIn returns a live endpoint of a data centre.
func endpointIn(id string, number byte, dataCentre peridotpath.DataCentre) peridotpath.Endpoint {
	endpoint := endpoint(id, number)
	endpoint.DataCentre = dataCentre
	return endpoint
}

func TestDrainedDataCentreIsExcluded(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	endpoints := []peridotpath.Endpoint{endpointIn("one", 1, "a"), endpointIn("two", 2, "b")}
	dir.Apply(directory.Listing{Endpoints: endpoints}, time.Minute)
	before := dir.ContentHash()
	dir.Apply(directory.Listing{Endpoints: endpoints, Drained: []peridotpath.DataCentre{"b"}}, time.Minute+time.Second)
	is.Equal(ids(dir), []string{"one"})
	is.True(!dir.Current().HasDrained("other"))
	is.True(dir.Current().HasDrained("llm"))
	is.True(dir.ContentHash() != before) // or no peer would fetch it
	dir.Apply(directory.Listing{Endpoints: endpoints}, time.Minute+2*time.Second)
	is.Equal(ids(dir), []string{"one", "two"})
	is.Equal(dir.ContentHash(), before)
}

// All endpoints of a service are drained at once: none may be used for want of another.
func TestAllDataCentresAreDrained(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	endpoints := []peridotpath.Endpoint{endpointIn("one", 1, "a"), endpointIn("two", 2, "b")}
	dir.Apply(directory.Listing{Endpoints: endpoints, Drained: []peridotpath.DataCentre{"b", "a"}}, time.Minute)
	is.Equal(len(ids(dir)), 0)
	is.Equal(len(dir.Current().Filter(func(peridotpath.EndpointKey, int) bool { return false }).ForService("llm")), 0)
	is.True(dir.Current().HasDrained("llm"))
}

// The store is restored from a copy that lacks the drain. The data centre must stay drained until
// the order can have been repeated, and its endpoints count as present afterwards.
func TestDrainOutlastsRestoreFromOlderCopy(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	endpoints := []peridotpath.Endpoint{endpointIn("one", 1, "a"), endpointIn("two", 2, "b")}
	dir.Apply(directory.Listing{Endpoints: endpoints}, time.Minute)
	dir.Apply(directory.Listing{Endpoints: endpoints, Drained: []peridotpath.DataCentre{"b"}}, time.Minute+time.Second)
	restoredAt := time.Minute + 2*time.Second
	dir.MarkStoreRestored(restoredAt)
	dir.Apply(directory.Listing{Endpoints: endpoints}, restoredAt+time.Second)
	is.Equal(ids(dir), []string{"one"})
	dir.Apply(directory.Listing{Endpoints: endpoints}, restoredAt+3*time.Second)
	is.Equal(ids(dir), []string{"one"})
	is.True(dir.OverdueBy(restoredAt+9*time.Second) > 0)
	dir.Apply(directory.Listing{Endpoints: endpoints}, restoredAt+9*time.Second)
	is.Equal(ids(dir), []string{"one", "two"})
}

// Endpoints are drained during an outage of the store, in which their entries expired. They must
// not be kept as endpoints that merely could not renew their entries.
func TestDrainedEndpointIsNotKeptAfterOutage(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	one, two := endpointIn("one", 1, "a"), endpointIn("two", 2, "b")
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one, two}}, time.Minute)
	dir.Apply(directory.Listing{Endpoints: []peridotpath.Endpoint{one}, Drained: []peridotpath.DataCentre{"b"}}, time.Minute+10*time.Second)
	is.Equal(ids(dir), []string{"one"})
}

// An endpoint that was drained and is used again must not count as departed: after a restore of
// the store it would go unused for seconds.
func TestEndpointIsUsedAgainAfterDrainAndRestore(t *testing.T) {
	is := is.New(t)
	dir := &directory.Directory{Log: zerolog.Nop()}
	endpoints := []peridotpath.Endpoint{endpointIn("one", 1, "a"), endpointIn("two", 2, "b")}
	dir.Apply(directory.Listing{Endpoints: endpoints}, time.Minute)
	dir.Apply(directory.Listing{Endpoints: endpoints, Drained: []peridotpath.DataCentre{"b"}}, time.Minute+time.Second)
	dir.Apply(directory.Listing{Endpoints: endpoints}, time.Minute+2*time.Second)
	dir.MarkStoreRestored(time.Minute + 3*time.Second)
	dir.Apply(directory.Listing{Endpoints: endpoints}, time.Minute+4*time.Second)
	is.Equal(ids(dir), []string{"one", "two"})
}

// Peers hold older and newer lists than this instance. An older one must not undo a drain, nor
// bring back one that was taken back, and a newer one must be applied without the store.
func TestPeersTellDrainsInOrder(t *testing.T) {
	is := is.New(t)
	endpoints := []peridotpath.Endpoint{endpointIn("one", 1, "a"), endpointIn("two", 2, "b")}
	const now = time.Hour
	var snapshot readings.EndpointsSnapshot
	follower := &directory.Follower{
		Directory: &directory.Directory{Log: zerolog.Nop()}, Now: func() time.Duration { return now }, Eras: &keyvalue.EraTracker{},
		OnConfirmed: func() {}, Log: zerolog.Nop(),
		Decode: func(entries []keyvalue.Entry) directory.Listing {
			listing := directory.Listing{Endpoints: endpoints}
			for _, entry := range entries {
				listing.Drained = append(listing.Drained, peridotpath.DataCentre(entry.Key))
			}
			return listing
		},
		FetchFromPeer: func(context.Context, netip.AddrPort, readings.EndpointsSnapshot) (readings.EndpointsSnapshot, error) {
			return snapshot, nil
		},
	}
	drained := []keyvalue.Entry{{Key: "b"}}
	steps := []struct {
		entries []keyvalue.Entry
		age     time.Duration
		want    []string
	}{
		{nil, 9 * time.Second, []string{"one", "two"}},
		{drained, 6 * time.Second, []string{"one"}},
		{nil, 8 * time.Second, []string{"one"}},
		{nil, 3 * time.Second, []string{"one", "two"}},
		{drained, 5 * time.Second, []string{"one", "two"}},
	}
	for _, step := range steps {
		snapshot = readings.EndpointsSnapshot{Entries: step.entries, Age: step.age}
		directory.FetchFromPeer(t.Context(), follower, readings.Peer{})
		is.Equal(ids(follower.Directory), step.want)
	}
}
