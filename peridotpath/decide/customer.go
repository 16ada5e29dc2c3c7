package decide

import (
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// usageSpan is the time over which a customer's use is averaged: longer than
	// a long prompt runs, so that one of them does not make its customer greedy
	// forever, and short enough to tell a flood within seconds.
	usageSpan = 20 * time.Second
	// rateBurst is the time's worth of requests that may come at once. The
	// balancer spreads a customer unevenly over the instances, so a bucket of
	// exactly one's share would refuse customers that keep their rate.
	rateBurst = 2 * time.Second
	// overShare is the multiple of its fair share above which a customer's work
	// gives way. Above one, so that noise does not demote steady customers.
	overShare = 1.5
	// concurrencySlack widens an instance's part of a concurrency limit, again
	// for the balancer's unevenness.
	concurrencySlack = 1.5
)

// customer is what this Instance knows of one Customer.
type customer struct {
	id     peridotpath.CustomerID
	weight atomic.Int64
	next   atomic.Int64 // when the rate's next request is due, in nanoseconds
	active atomic.Int64 // requests waiting or running
	// usage is the customer's work of each class in tokens, and over says where
	// it is more than the fair share. Classes are apart: one long prompt must
	// not push its customer's short ones behind everybody else's.
	usage   [classes]window
	over    [classes]atomic.Bool
	retries budget
	pointer *peridotpath.Customer // the entry in customers.known
}

// customers finds the customer that belongs to a Customer of the
// configuration. The path of a request reads a lock-free map by pointer, which
// costs no allocation; a new configuration brings new pointers, which are
// joined to the old state by ID.
type customers struct {
	known sync.Map // *peridotpath.Customer to *customer

	mu   sync.Mutex // guards byID and customer.pointer
	byID map[peridotpath.CustomerID]*customer
	list []*customer // in order of arrival, so that walks are repeatable
}

func (customers *customers) of(pointer *peridotpath.Customer) *customer {
	if found, ok := customers.known.Load(pointer); ok {
		return found.(*customer)
	}
	return customers.join(pointer)
}

func (customers *customers) join(pointer *peridotpath.Customer) *customer {
	customers.mu.Lock()
	defer customers.mu.Unlock()
	if customers.byID == nil {
		customers.byID = map[peridotpath.CustomerID]*customer{}
	}
	found := customers.byID[pointer.ID]
	if found == nil {
		found = &customer{id: pointer.ID}
		for class := range classes {
			found.usage[class].span = usageSpan
		}
		found.retries.allow(customerAllowance)
		customers.byID[pointer.ID] = found
		customers.list = append(customers.list, found)
	}
	if found.pointer != nil {
		customers.known.Delete(found.pointer)
	}
	found.pointer = pointer
	found.weight.Store(int64(max(pointer.Weight, 1)))
	customers.known.Store(pointer, found)
	return found
}

// takeRate takes one request out of the customer's rate, of which this
// Instance grants one part in instances. It returns how long to wait instead
// when there is none left.
func (customer *customer) takeRate(at int64, perSecond int, instances int32) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	interval := int64(time.Second) * int64(instances) / int64(perSecond)
	tolerance := max(int64(rateBurst), 2*interval)
	for {
		old := customer.next.Load()
		next := max(old, at) + interval
		if wait := next - at - tolerance; wait > 0 {
			return time.Duration(wait)
		}
		if customer.next.CompareAndSwap(old, next) {
			return 0
		}
	}
}

// takeActive counts a request in, unless the Instance's part of the
// customer's concurrency is used up.
func (customer *customer) takeActive(limit int, instances int32) bool {
	part := max(int64(float64(limit)*concurrencySlack/float64(instances)), 1)
	if instances == 1 {
		part = int64(limit)
	}
	if customer.active.Add(1) > part && limit > 0 {
		customer.active.Add(-1)
		return false
	}
	return true
}

// markShares finds the customers that use more than their fair share of a
// class: the equal part, by weight, of all use among those that take part.
func (customers *customers) markShares(at int64) {
	customers.mu.Lock()
	defer customers.mu.Unlock()
	for class := range classes {
		level := customers.shareLevel(at, class)
		for _, customer := range customers.list {
			allowed := overShare * level * float64(customer.weight.Load())
			customer.over[class].Store(customer.usage[class].perSecond(at) > allowed)
		}
	}
}

// shareLevel returns the fair use of a customer of weight one in tokens per
// second.
func (customers *customers) shareLevel(at int64, class int) float64 {
	var use, weight float64
	for _, customer := range customers.list {
		if rate := customer.usage[class].perSecond(at); rate > 0 {
			use += rate
			weight += float64(customer.weight.Load())
		}
	}
	if weight == 0 {
		return 0
	}
	return use / weight
}
