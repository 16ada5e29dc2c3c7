package relay

import (
	"sync"
	"time"

	"peridotpath.example/peridotpath"
)

// Budget bounds how many requests are sent to a second endpoint, for each
// service. The bound holds for all instances together: each keeps to its share.
// Without it, an outage of some endpoints becomes an overload of all others.
type Budget struct {
	// Ratio is how many repeats there may be for each request, and Slack how many
	// beyond that, in any span of Window.
	Ratio  float64
	Slack  int
	Window time.Duration
	// Instances returns how many instances share the slack.
	Instances func() int

	mutex    sync.Mutex
	services map[peridotpath.Service]*spending
}

// spending is the times of a service's requests and repeats, oldest first.
type spending struct {
	requests, repeats []time.Time
}

// slackShare is the part of an instance's share of the slack that it uses:
// instances that were replaced within the window have spent from it as well.
const slackShare = 0.5

// Note counts one request for the service.
func (budget *Budget) Note(service peridotpath.Service, now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	spending := budget.of(service)
	spending.requests = append(since(spending.requests, now.Add(-budget.Window)), now)
}

// Spend takes one repeat out, and reports whether there was one.
func (budget *Budget) Spend(service peridotpath.Service, now time.Time) bool {
	instances := max(budget.Instances(), 1)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	spending := budget.of(service)
	start := now.Add(-budget.Window)
	spending.requests = since(spending.requests, start)
	spending.repeats = since(spending.repeats, start)
	allowed := budget.Ratio*float64(len(spending.requests)) + slackShare*float64(budget.Slack)/float64(instances)
	if float64(len(spending.repeats)+1) > allowed {
		return false
	}
	spending.repeats = append(spending.repeats, now)
	return true
}

func (budget *Budget) of(service peridotpath.Service) *spending {
	if budget.services == nil {
		budget.services = map[peridotpath.Service]*spending{}
	}
	known := budget.services[service]
	if known == nil {
		known = &spending{}
		budget.services[service] = known
	}
	return known
}

// since returns the times from start on.
func since(times []time.Time, start time.Time) []time.Time {
	first := 0
	for first < len(times) && times[first].Before(start) {
		first++
	}
	return times[first:]
}
