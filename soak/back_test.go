package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/platform/standin"
)

// A revision that the store lost and gave out again names another configuration, and a
// lease's number somebody else's lease.
func TestStoreGivesItsNumbersOutAgain(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	fleet, err := build(ctx, buildDaemon(t), t.TempDir())
	is.NoErr(err)
	defer fleet.close(cancel)
	is.True(fleet.eventually(startTime, fleet.allReady))
	customer, taken, given := customers[0], keyOf(customers[0], 1), peridotpath.APIKey("given")

	before := fleet.store.Snapshot()
	fleet.instances[0].signal(9)
	fleet.restart(0)
	is.True(fleet.eventually(startTime, fleet.allReady))
	fleet.paused.Store(true)
	fleet.configure()
	borne := fleet.store.Revision()
	for _, instance := range fleet.instances {
		is.True(fleet.eventually(standin.MaxPropagationDelay, func() bool { return fleet.probe(ctx, instance, customer, taken) == 200 }))
	}
	time.Sleep(standin.MaxPropagationDelay)

	fleet.store.Restore(before)
	// Somebody else takes every number of a lease that the copy does not have.
	for fleet.store.Revision() < borne-1 {
		lease(t, fleet)
	}
	fleet.mutex.Lock()
	fleet.keys[customer] = append(fleet.keys[customer][1:], given)
	fleet.mutex.Unlock()
	fleet.configure()
	is.Equal(fleet.store.Revision(), borne)
	fleet.paused.Store(false)
	time.Sleep(standin.MaxRevocationDelay + slack)
	for _, instance := range fleet.instances {
		if status := fleet.probe(ctx, instance, customer, given); status != http.StatusOK {
			t.Errorf("%s: a key that was given %v ago is answered with %d", instance.ID, standin.MaxRevocationDelay+slack, status)
		}
		if status := fleet.probe(ctx, instance, customer, taken); status == http.StatusOK {
			t.Errorf("%s: a key that was taken away %v ago is served", instance.ID, standin.MaxRevocationDelay+slack)
		}
	}
	// The copy's own entries lapse; what is left belongs to live instances.
	time.Sleep(20 * time.Second)
	for _, instance := range fleet.instances {
		prefix := gossip.RegistryPrefix + string(instance.ID) + "/"
		if len(fleet.store.Keys(prefix)) != 1 {
			t.Errorf("%s has the entries %v, want one", instance.ID, fleet.store.Keys(prefix))
		}
	}
}

// lease takes a lease as another user of the store does.
func lease(t *testing.T, fleet *fleet) {
	t.Helper()
	response, err := http.Post("http://"+fleet.storeAt.String()+"/api/kv-lease", "application/json", strings.NewReader(`{"ttl_ms":`+strconv.Itoa(600_000)+`}`))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
}

// backSeeds are the seeds of runs in which the store goes back.
var backSeeds = []uint64{1, 2}

// Real processes before a store that comes back from copies, among all other faults.
func TestSoakStoreGoesBack(t *testing.T) {
	is := is.New(t)
	binary := buildDaemon(t)
	for _, seed := range backSeeds {
		broken, err := soak(t.Context(), options{binary: binary, folder: t.TempDir(), seed: seed, span: 8 * time.Second, back: true}, t.Output())
		is.NoErr(err)
		for _, text := range broken {
			t.Errorf("seed %d: %s", seed, text)
		}
	}
}
