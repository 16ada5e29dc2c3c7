package decide

import (
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// usageWindow is the time over which a customer's usage is averaged. It
	// exceeds the run time of a long prompt, so that a single one does not keep
	// its customer above its fair share, and detects a flood within seconds.
	usageWindow = 20 * time.Second
	// rateBurstTime is the bucket depth of the rate limit, in time at the full
	// rate. The load balancer distributes a customer unevenly over the
	// instances, and a shallower bucket would refuse customers that are within
	// their limit.
	rateBurstTime = 2 * time.Second
	// overShareFactor is the multiple of its fair share above which a
	// customer's work is demoted. It exceeds one, so that random variation does
	// not demote customers with a steady load.
	overShareFactor = 1.5
	// concurrencySlack is the factor on an instance's equal part of a concurrency
	// limit, which allows for the uneven load balancing.
	concurrencySlack = 1.5
)

// customer is this Instance's state of one Customer.
type customer struct {
	id            peridotpath.CustomerID
	weight        atomic.Int64
	nextRequestAt atomic.Int64 // when the next request is due at the rate limit, in Unix nanoseconds
	activeCount   atomic.Int64 // requests queued or running
	// usage is the customer's submitted work of each class in tokens, and
	// isOverShare is set where it exceeds the fair share. Classes are separate,
	// so that one long prompt does not demote its customer's short ones.
	usage       [classCount]window
	isOverShare [classCount]atomic.Bool
	retryBudget budget
	configured  *peridotpath.Customer // the key in customers.byPointer
}

// customers maps a Customer of the configuration to its state. The request path
// looks it up by pointer in a lock-free map, without allocation. A new
// configuration has new pointers, which are associated with the existing state
// by ID.
type customers struct {
	byPointer sync.Map // *peridotpath.Customer to *customer

	mu      sync.Mutex // guards byID and customer.configured
	byID    map[peridotpath.CustomerID]*customer
	inOrder []*customer // in order of first use, so that iteration is deterministic
}

func (customers *customers) lookUp(pointer *peridotpath.Customer) *customer {
	if found, ok := customers.byPointer.Load(pointer); ok {
		return found.(*customer)
	}
	return customers.register(pointer)
}

func (customers *customers) register(pointer *peridotpath.Customer) *customer {
	customers.mu.Lock()
	defer customers.mu.Unlock()
	if customers.byID == nil {
		customers.byID = map[peridotpath.CustomerID]*customer{}
	}
	found := customers.byID[pointer.ID]
	if found == nil {
		found = &customer{id: pointer.ID}
		for class := range classCount {
			found.usage[class].span = usageWindow
		}
		found.retryBudget.setInitial(initialCustomerRetries)
		customers.byID[pointer.ID] = found
		customers.inOrder = append(customers.inOrder, found)
	}
	if found.configured != nil {
		customers.byPointer.Delete(found.configured)
	}
	found.configured = pointer
	found.weight.Store(int64(max(pointer.Weight, 1)))
	customers.byPointer.Store(pointer, found)
	return found
}

// takeRate takes one request out of this Instance's equal part of the customer's
// rate limit, or returns the delay after which to retry.
func (customer *customer) takeRate(at int64, perSecond int, instances int32) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	interval := int64(time.Second) * int64(instances) / int64(perSecond)
	tolerance := max(int64(rateBurstTime), 2*interval)
	for {
		old := customer.nextRequestAt.Load()
		next := max(old, at) + interval
		if wait := next - at - tolerance; wait > 0 {
			return time.Duration(wait)
		}
		if customer.nextRequestAt.CompareAndSwap(old, next) {
			return 0
		}
	}
}

// takeConcurrency increments the active requests, unless this Instance's part
// of the customer's concurrency limit is used up.
func (customer *customer) takeConcurrency(limit int, instances int32) bool {
	instanceLimit := max(int64(float64(limit)*concurrencySlack/float64(instances)), 1)
	if instances == 1 {
		instanceLimit = int64(limit)
	}
	if customer.activeCount.Add(1) > instanceLimit && limit > 0 {
		customer.activeCount.Add(-1)
		return false
	}
	return true
}

// updateOverShare marks the customers whose usage of a class exceeds their fair
// share: the total usage divided by weight among the customers with usage.
func (customers *customers) updateOverShare(at int64) {
	customers.mu.Lock()
	defer customers.mu.Unlock()
	for class := range classCount {
		fairShare := customers.fairShare(at, class)
		for _, customer := range customers.inOrder {
			allowed := overShareFactor * fairShare * float64(customer.weight.Load())
			customer.isOverShare[class].Store(customer.usage[class].perSecond(at) > allowed)
		}
	}
}

// fairShare returns the fair share of a customer of weight one, in tokens per
// second.
func (customers *customers) fairShare(at int64, class int) float64 {
	var usage, weight float64
	for _, customer := range customers.inOrder {
		if rate := customer.usage[class].perSecond(at); rate > 0 {
			usage += rate
			weight += float64(customer.weight.Load())
		}
	}
	if weight == 0 {
		return 0
	}
	return usage / weight
}
