package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/platform/standin"
)

const (
	// snapshotInterval is the time between two copies of the store, and maxSnapshots
	// the number that is kept.
	snapshotInterval = 500 * time.Millisecond
	maxSnapshots     = 14
	// maxStoreOutage bounds the outage before the store is restored, and maxRewriteDelay
	// the time until operators have rewritten the changes that the copy lacks.
	maxStoreOutage  = 2 * time.Second
	maxRewriteDelay = 1500 * time.Millisecond
)

// restoreFault is an outage of the store that ends with its restore from an older copy.
// Only runs with -back include it.
var restoreFault = fault{"store_back", func(fleet *fleet, random *rand.Rand) func() {
	fleet.mutex.Lock()
	snapshot := fleet.storeSnapshots[random.IntN(len(fleet.storeSnapshots))]
	fleet.mutex.Unlock()
	outage, rewriteDelay := time.Duration(random.Int64N(int64(maxStoreOutage))), time.Duration(random.Int64N(int64(maxRewriteDelay)))
	fleet.store.SetFault([]standin.StoreFault{standin.StoreRejecting, standin.StoreUnresponsive}[random.IntN(2)])
	return func() {
		time.Sleep(outage)
		fleet.restoreStore(snapshot, rewriteDelay)
	}
}}

// restoreStore restores the store from a copy, and rewrites the routing after a delay.
func (fleet *fleet) restoreStore(snapshot standin.Snapshot, rewriteDelay time.Duration) {
	fleet.store.Restore(snapshot)
	fleet.store.SetFault(standin.StoreHealthy)
	time.Sleep(rewriteDelay)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.writeRouting()
}

// keepSnapshots copies the store every snapshotInterval until ctx ends.
func (fleet *fleet) keepSnapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		snapshot := fleet.store.Snapshot()
		fleet.mutex.Lock()
		fleet.storeSnapshots = append(fleet.storeSnapshots, snapshot)
		fleet.storeSnapshots = fleet.storeSnapshots[max(0, len(fleet.storeSnapshots)-maxSnapshots):]
		fleet.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// registrationTimeout bounds the time in which an instance registers again.
const registrationTimeout = 10 * time.Second

// registryEntry is the value of an entry in the instances' registry.
type registryEntry struct {
	Address netip.AddrPort `json:"address"`
	Members []struct {
		Address netip.AddrPort `json:"address"`
	} `json:"members"`
}

// registrationCounts returns how often each address is registered, by an entry of its own or as
// a member.
func (fleet *fleet) registrationCounts() map[netip.AddrPort]int {
	counts := map[netip.AddrPort]int{}
	for _, value := range fleet.store.Values(gossip.RegistryPrefix) {
		var entry registryEntry
		if err := json.Unmarshal(value, &entry); err != nil {
			// An entry that cannot be read registers nobody, which the callers report.
			continue
		}
		counts[entry.Address]++
		for _, member := range entry.Members {
			counts[member.Address]++
		}
	}
	return counts
}

// checkRegistered checks that every instance is registered in the store.
func (fleet *fleet) checkRegistered() {
	allRegistered := func() bool {
		counts := fleet.registrationCounts()
		return !slices.ContainsFunc(fleet.instances, func(instance *instance) bool {
			return counts[instance.peerAddress()] == 0
		})
	}
	if !fleet.eventually(registrationTimeout, allRegistered) {
		fleet.checker.mutex.Lock()
		defer fleet.checker.mutex.Unlock()
		fleet.checker.addViolation("not all instances are registered: %v of %v", fleet.registrationCounts(), fleet.store.Keys(gossip.RegistryPrefix))
	}
}

// checkChangePropagates checks that a new API key becomes active at every instance.
func (fleet *fleet) checkChangePropagates(ctx context.Context) {
	customer := customers[0]
	key := peridotpath.APIKey("given-last")
	fleet.mutex.Lock()
	fleet.keys[customer] = append(slices.Clone(fleet.keys[customer]), key)
	fleet.mutex.Unlock()
	fleet.changeRouting()
	for _, instance := range fleet.instances {
		if !fleet.eventually(standin.MaxPropagationDelay+schedulingSlack, func() bool { return fleet.sendProbe(ctx, instance, customer, key) == 200 }) {
			fleet.checker.mutex.Lock()
			fleet.checker.addViolation("%s does not serve a key that was given %v ago", instance.ID, standin.MaxPropagationDelay+schedulingSlack)
			fleet.checker.mutex.Unlock()
		}
	}
}
