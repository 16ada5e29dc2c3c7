package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/platform/standin"
)

const (
	// copyEvery is the time between two copies of the store, copyCount how many are kept.
	copyEvery = 500 * time.Millisecond
	copyCount = 14
	// awayMost is the longest time for which the store is away before it comes back from a
	// copy, and rewriteMost the longest until the operators have written again what it lost.
	awayMost    = 2 * time.Second
	rewriteMost = 1500 * time.Millisecond
)

// backFault is drawn besides the others in runs in which the store goes back.
var backFault = fault{"store_back", func(fleet *fleet, random *rand.Rand) func() {
	fleet.mutex.Lock()
	from := fleet.copies[random.IntN(len(fleet.copies))]
	fleet.mutex.Unlock()
	away, rewrite := time.Duration(random.Int64N(int64(awayMost))), time.Duration(random.Int64N(int64(rewriteMost)))
	fleet.store.SetFault([]standin.StoreFault{standin.StoreRejecting, standin.StoreUnresponsive}[random.IntN(2)])
	return func() {
		time.Sleep(away)
		fleet.goBack(from, rewrite)
	}
}}

// goBack lets the store come back from a copy, and the operators write again after a while.
func (fleet *fleet) goBack(from standin.Snapshot, rewrite time.Duration) {
	fleet.store.Restore(from)
	fleet.store.SetFault(standin.StoreHealthy)
	time.Sleep(rewrite)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.writeRouting()
}

// keepCopies copies the store again and again until ctx ends.
func (fleet *fleet) keepCopies(ctx context.Context) {
	ticker := time.NewTicker(copyEvery)
	defer ticker.Stop()
	for {
		from := fleet.store.Snapshot()
		fleet.mutex.Lock()
		fleet.copies = append(fleet.copies, from)
		fleet.copies = fleet.copies[max(0, len(fleet.copies)-copyCount):]
		fleet.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// registerWithin bounds the time in which an instance has an entry of its own again.
const registerWithin = 10 * time.Second

// registered checks that every instance has an entry in the store.
func (fleet *fleet) registered() {
	all := func() bool {
		return !slices.ContainsFunc(fleet.instances, func(instance *instance) bool {
			return len(fleet.store.Keys(gossip.RegistryPrefix+string(instance.ID)+"/")) == 0
		})
	}
	if !fleet.eventually(registerWithin, all) {
		fleet.checks.mutex.Lock()
		defer fleet.checks.mutex.Unlock()
		fleet.checks.breaks("not all instances have an entry: %v", fleet.store.Keys(gossip.RegistryPrefix))
	}
}

// inForce checks that one more change comes into force at every instance.
func (fleet *fleet) inForce(ctx context.Context) {
	customer := customers[0]
	key := peridotpath.APIKey("given-last")
	fleet.mutex.Lock()
	fleet.keys[customer] = append(slices.Clone(fleet.keys[customer]), key)
	fleet.mutex.Unlock()
	fleet.configure()
	for _, instance := range fleet.instances {
		if !fleet.eventually(standin.MaxPropagationDelay+slack, func() bool { return fleet.probe(ctx, instance, customer, key) == 200 }) {
			fleet.checks.mutex.Lock()
			fleet.checks.breaks("%s does not serve a key that was given %v ago", instance.ID, standin.MaxPropagationDelay+slack)
			fleet.checks.mutex.Unlock()
		}
	}
}
