package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// QueueCount sums up queued prompts.
type QueueCount struct {
	// Prompts is their number; Late of them miss their target, and Blocked wait for a resource that
	// others do not need.
	Prompts, Late, Blocked int
	// PrefillTime is their total prefill time on a single engine.
	PrefillTime time.Duration
}

func (count *QueueCount) add(prompt *QueuedPrompt) {
	count.Prompts++
	if prompt.MissesTarget {
		count.Late++
	}
	if prompt.Blocked {
		count.Blocked++
	}
	count.PrefillTime += prompt.PrefillTime
}

// CustomerDemand is what the queued prompts of one customer ask for.
type CustomerDemand struct {
	Customer    CustomerHash
	Prompts     int
	PrefillTime time.Duration
	// OverShare is set where the customer uses more than its fair share.
	OverShare bool
}

// Demand is what waits for engines: at this instance, and at the fleet as far as it is known.
type Demand struct {
	Local, Fleet           QueueCount
	LocalShort, FleetShort ShortWaits
	// Customers are those of the fleet's queued prompts, those with the longest prefill first.
	Customers []CustomerDemand
}

// IsEmpty reports whether nothing waits.
func (demand *Demand) IsEmpty() bool {
	return demand.Fleet.Prompts == 0 && demand.FleetShort == (ShortWaits{})
}

// Demand returns what waits for engines.
func (tracker *LoadTracker) Demand(now time.Time) Demand {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	demand := Demand{LocalShort: tracker.localShortWaits, FleetShort: tracker.localShortWaits}
	customers := map[CustomerHash]*CustomerDemand{}
	addToFleet := func(prompt *QueuedPrompt) {
		demand.Fleet.add(prompt)
		customer := customers[prompt.Customer]
		if customer == nil {
			customer = &CustomerDemand{Customer: prompt.Customer}
			customers[prompt.Customer] = customer
		}
		customer.Prompts++
		customer.PrefillTime += prompt.PrefillTime
		customer.OverShare = customer.OverShare || prompt.OverShare
	}
	for _, prompt := range tracker.queued {
		demand.Local.add(prompt)
		addToFleet(prompt)
	}
	for _, peer := range tracker.unexpiredPeers(now) {
		demand.FleetShort.OnTime += peer.shortWaits.OnTime
		demand.FleetShort.Late += peer.shortWaits.Late
		for i := range peer.queued {
			addToFleet(&peer.queued[i])
		}
	}
	for _, customer := range customers {
		demand.Customers = append(demand.Customers, *customer)
	}
	slices.SortFunc(demand.Customers, func(a, b CustomerDemand) int {
		return cmp.Or(cmp.Compare(b.PrefillTime, a.PrefillTime), cmp.Compare(a.Customer, b.Customer))
	})
	return demand
}

// CustomersOverShare returns the customers of queued prompts that use more than their fair share.
func (demand *Demand) CustomersOverShare() []CustomerHash {
	over := map[CustomerHash]bool{}
	for _, customer := range demand.Customers {
		if customer.OverShare {
			over[customer.Customer] = true
		}
	}
	return slices.Sorted(maps.Keys(over))
}
