package shortqueue

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// minReleasedLifetime is the least time for which a slot that an own request has released
	// belongs to this instance. Otherwise it does until peers know that it is free.
	minReleasedLifetime = 10 * time.Millisecond
	// scarceMemory is how long after slots were scarce the ends of requests are recorded.
	scarceMemory = 2 * time.Second
)

// Queue holds the short prompts that wait at this instance for a free slot of an engine. Set the
// exported fields before use. It is safe for concurrent use.
type Queue struct {
	// LogSampler samples the log lines of prompts that have waited.
	LogSampler *telemetry.LogSampler

	// waiting is the number of waiting prompts, scarceAt when slots were scarce last, in Unix
	// nanoseconds. While both are zero, requests take no lock.
	waiting, scarceAt atomic.Int64
	// reporting orders the reports of waiting prompts to peers.
	reporting sync.Mutex

	mutex      sync.Mutex
	lastNumber uint64
	services   map[peridotpath.Service]*serviceQueue
}

// serviceQueue holds the waiting prompts of one service.
type serviceQueue struct {
	entries []*Entry
	// released are the times at which own requests released slots, oldest first.
	released map[peridotpath.EndpointKey][]time.Time
	late     placement.LateService
	// newsAge is the time until peers know that a slot is free.
	newsAge time.Duration
}

// Waiting returns the number of waiting prompts of all services. It takes no lock.
func (queue *Queue) Waiting() int64 { return queue.waiting.Load() }

func (queue *Queue) service(name peridotpath.Service) *serviceQueue {
	if queue.services == nil {
		queue.services = map[peridotpath.Service]*serviceQueue{}
	}
	service := queue.services[name]
	if service == nil {
		service = &serviceQueue{released: map[peridotpath.EndpointKey][]time.Time{}}
		queue.services[name] = service
	}
	return service
}

// Join adds a prompt.
func (queue *Queue) Join(name peridotpath.Service, entry *Entry) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.lastNumber++
	entry.Number = queue.lastNumber
	service := queue.service(name)
	service.advance(entry.JoinedAt, 0)
	service.entries = append(service.entries, entry)
	queue.waiting.Add(1)
}

// Leave removes a prompt and wakes the one that is then the first.
func (queue *Queue) Leave(name peridotpath.Service, entry *Entry, wasSent bool, now time.Time) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	service := queue.service(name)
	sentLate := 0
	if wasSent && entry.IsLate {
		sentLate = 1
	}
	service.advance(now, sentLate)
	service.entries = slices.DeleteFunc(service.entries, func(other *Entry) bool { return other == entry })
	queue.waiting.Add(-1)
	service.wakeFirst()
}

func (service *serviceQueue) advance(now time.Time, sentLate int) {
	_, waits := service.position(nil)
	service.late.Advance(now, waits.Late > 0, sentLate)
}

// position returns how many prompts go before the entry, and counts all.
func (service *serviceQueue) position(entry *Entry) (ahead int, waits placement.ShortWaits) {
	for _, other := range service.entries {
		if other.IsLate {
			waits.Late++
		} else {
			waits.OnTime++
		}
		if entry != nil && other != entry && other.Precedes(&entry.WaitingShort) {
			ahead++
		}
	}
	return ahead, waits
}

func (service *serviceQueue) wakeFirst() {
	var first *Entry
	for _, entry := range service.entries {
		if first == nil || entry.Precedes(&first.WaitingShort) {
			first = entry
		}
	}
	if first != nil {
		select {
		case first.wake <- struct{}{}:
		default:
		}
	}
}

// Standing is a waiting prompt's place in the queue.
type Standing struct {
	// Ahead is the number of prompts of its service that go before it.
	Ahead int
	// Here counts the waiting prompts of its service, including this one.
	Here placement.ShortWaits
	// LateWait is the predicted wait of the prompt if it is late.
	LateWait time.Duration
}

// Update records whether the prompt is late and its customer above its share, and returns its place.
func (queue *Queue) Update(name peridotpath.Service, entry *Entry, isLate, isOverShare bool, now time.Time) Standing {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	service := queue.service(name)
	service.advance(now, 0)
	if entry.IsLate != isLate || entry.OverShare != isOverShare {
		entry.IsLate, entry.OverShare = isLate, isOverShare
		service.wakeFirst()
	}
	ahead, here := service.position(entry)
	return Standing{Ahead: ahead, Here: here, LateWait: service.late.Wait(max(ahead-here.OnTime, 0))}
}

// waits counts the waiting prompts of all services.
func (queue *Queue) waits() placement.ShortWaits {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	var total placement.ShortWaits
	for _, service := range queue.services {
		_, waits := service.position(nil)
		total.OnTime += waits.OnTime
		total.Late += waits.Late
	}
	return total
}

// Report passes the number of waiting prompts to send, one call at a time, so that the last call
// passes the latest number.
func (queue *Queue) Report(send func(placement.ShortWaits)) {
	queue.reporting.Lock()
	defer queue.reporting.Unlock()
	send(queue.waits())
}

// Release records that an own request has released its slot, and wakes the first prompt.
func (queue *Queue) Release(name peridotpath.Service, endpoint peridotpath.EndpointKey, now time.Time) {
	if now.UnixNano()-queue.scarceAt.Load() > int64(scarceMemory) {
		return
	}
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	service := queue.service(name)
	service.expireReleased(now)
	service.released[endpoint] = append(service.released[endpoint], now)
	service.wakeFirst()
}

func (service *serviceQueue) expireReleased(now time.Time) {
	for endpoint, times := range service.released {
		for len(times) > 0 && now.Sub(times[0]) > max(service.newsAge, minReleasedLifetime) {
			times = times[1:]
		}
		if len(times) == 0 {
			delete(service.released, endpoint)
			continue
		}
		service.released[endpoint] = times
	}
}

// releasedCandidates returns the candidates with a slot that an own request has released.
func (queue *Queue) releasedCandidates(name peridotpath.Service, candidates []placement.Candidate, newsAge time.Duration, now time.Time) []placement.Candidate {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	service := queue.service(name)
	service.newsAge = newsAge
	service.expireReleased(now)
	if len(service.released) == 0 {
		return nil
	}
	var own []placement.Candidate
	for _, candidate := range candidates {
		if len(service.released[candidate.Key]) > 0 {
			own = append(own, candidate)
		}
	}
	return own
}

// Take removes one of the released slots of the endpoint.
func (queue *Queue) Take(name peridotpath.Service, endpoint peridotpath.EndpointKey) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	service := queue.service(name)
	if times := service.released[endpoint]; len(times) > 1 {
		service.released[endpoint] = times[1:]
		return
	}
	delete(service.released, endpoint)
}
