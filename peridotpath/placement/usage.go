package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
)

// CustomerHash identifies a customer in the messages between instances; zero for none.
type CustomerHash uint32

// HashCustomer returns the hash of a customer's id; zero for an empty id.
func HashCustomer(customer peridotpath.CustomerID) CustomerHash {
	if customer == "" {
		return 0
	}
	return max(CustomerHash(xxhash.Sum64String(string(customer))), 1)
}

// CustomerUsage is the engine time of one customer's requests: prefill and decoding.
type CustomerUsage struct {
	Customer CustomerHash
	// Used is the time that requests have used, with exponential decay, and Waiting the time
	// that queued prompts need.
	Used, Waiting time.Duration
}

// ShortWaits counts the short prompts that wait at an instance for a free slot.
type ShortWaits struct {
	// OnTime can still meet their TTFT target, Late cannot.
	OnTime, Late int
}

// SetUsages sets what this instance reports of its customers' engine time; nil for nothing.
// The reports go out with the next digest.
func (tracker *LoadTracker) SetUsages(usages []CustomerUsage) {
	tracker.mutex.Lock()
	tracker.localUsages = usages
	tracker.mutex.Unlock()
}

// LocalUsages returns what this instance reports of its customers' engine time.
func (tracker *LoadTracker) LocalUsages() []CustomerUsage {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.localUsages
}

// PeerUsages returns the sum of the unexpired peers' reports by customer.
func (tracker *LoadTracker) PeerUsages(now time.Time) map[CustomerHash]CustomerUsage {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	total := map[CustomerHash]CustomerUsage{}
	for _, peer := range tracker.unexpiredPeers(now) {
		for _, usage := range peer.usages {
			sum := total[usage.Customer]
			sum.Customer = usage.Customer
			sum.Used += usage.Used
			sum.Waiting += usage.Waiting
			total[usage.Customer] = sum
		}
	}
	return total
}

// UsageReporters returns how many unexpired peers report usages.
func (tracker *LoadTracker) UsageReporters(now time.Time) int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	count := 0
	for _, peer := range tracker.unexpiredPeers(now) {
		if len(peer.usages) > 0 {
			count++
		}
	}
	return count
}

// SetShortWaits sets how many short prompts wait at this instance, and requests a digest if
// that has changed.
func (tracker *LoadTracker) SetShortWaits(waits ShortWaits) {
	tracker.mutex.Lock()
	changed := tracker.localShortWaits != waits
	tracker.localShortWaits = waits
	tracker.mutex.Unlock()
	if changed {
		tracker.notifyChanged()
	}
}

// LocalShortWaits returns how many short prompts wait at this instance.
func (tracker *LoadTracker) LocalShortWaits() ShortWaits {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.localShortWaits
}

// PeerShortWaits returns the sum of the unexpired peers' reports.
func (tracker *LoadTracker) PeerShortWaits(now time.Time) ShortWaits {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var total ShortWaits
	for _, peer := range tracker.unexpiredPeers(now) {
		total.OnTime += peer.shortWaits.OnTime
		total.Late += peer.shortWaits.Late
	}
	return total
}
