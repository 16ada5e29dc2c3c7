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
	"peridotpath.example/platform/standin"
)

// A store that is restored from a copy reuses revisions and lease numbers: the same
// revision then denotes another configuration, and the number of an instance's lease
// denotes another client's lease. Instances must apply the new configuration and register again.
func TestRestoredStoreReusesNumbers(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	fleet, err := buildFleet(ctx, buildPeridotd(t), t.TempDir(), dataCentres[:1])
	is.NoErr(err)
	defer fleet.close(cancel)
	is.True(fleet.eventually(startTimeout, fleet.allReady))
	customer, revokedKey, newKey := customers[0], customerKey(customers[0], 1), peridotpath.APIKey("given")

	snapshot := fleet.store.Snapshot()
	fleet.instances[0].signal(9)
	fleet.restartInstance(0)
	is.True(fleet.eventually(startTimeout, fleet.allReady))
	fleet.renewalPaused.Store(true)
	fleet.changeRouting()
	lastRevision := fleet.store.Revision()
	for _, instance := range fleet.instances {
		is.True(fleet.eventually(standin.MaxPropagationDelay, func() bool { return fleet.sendProbe(ctx, instance, customer, revokedKey) == 200 }))
	}
	time.Sleep(standin.MaxPropagationDelay)

	fleet.store.Restore(snapshot)
	// Another client takes every lease number that was granted after the copy.
	for fleet.store.Revision() < lastRevision-1 {
		grantLease(t, fleet)
	}
	fleet.mutex.Lock()
	fleet.keys[customer] = append(fleet.keys[customer][1:], newKey)
	fleet.mutex.Unlock()
	fleet.changeRouting()
	is.Equal(fleet.store.Revision(), lastRevision)
	fleet.renewalPaused.Store(false)
	time.Sleep(standin.MaxRevocationDelay + schedulingSlack)
	for _, instance := range fleet.instances {
		if status := fleet.sendProbe(ctx, instance, customer, newKey); status != http.StatusOK {
			t.Errorf("%s: a key that was added %v ago gets status %d", instance.ID, standin.MaxRevocationDelay+schedulingSlack, status)
		}
		if status := fleet.sendProbe(ctx, instance, customer, revokedKey); status == http.StatusOK {
			t.Errorf("%s: a key that was revoked %v ago is served", instance.ID, standin.MaxRevocationDelay+schedulingSlack)
		}
	}
	// The entries of the copy expire; the remaining entries are those of live instances, which
	// register each of them once.
	time.Sleep(20 * time.Second)
	counts := fleet.registrationCounts()
	is.Equal(len(counts), len(fleet.instances))
	for _, instance := range fleet.instances {
		if count := counts[instance.peerAddress()]; count != 1 {
			t.Errorf("%s is registered %d times, want once", instance.ID, count)
		}
	}
}

// grantLease takes a lease as another client of the store.
func grantLease(t *testing.T, fleet *fleet) {
	t.Helper()
	response, err := http.Post("http://"+fleet.storeAddress.String()+"/api/kv-lease", "application/json", strings.NewReader(`{"ttl_ms":`+strconv.Itoa(600_000)+`}`))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
}

// restoreSeeds are the seeds of runs in which the store is restored from copies.
var restoreSeeds = []uint64{1, 2}

// No guarantee may be violated when the store is restored from older copies, in addition to
// all other faults.
func TestSoakStoreRestored(t *testing.T) {
	is := is.New(t)
	binary := buildPeridotd(t)
	for _, seed := range restoreSeeds {
		violations, err := soak(t.Context(), options{binary: binary, folder: t.TempDir(), seed: seed, faultTime: 8 * time.Second, restoresStore: true}, t.Output())
		is.NoErr(err)
		for _, violation := range violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}
