package main

import (
	"math/rand/v2"
	"strconv"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	// minLeavingDuration is the shortest time for which an endpoint says that it leaves. It
	// exceeds the sum of the time in which an instance must stop sending to it and of some
	// seconds in which it is checked.
	minLeavingDuration = 6 * time.Second
	// leavingDowntime is how long an endpoint that has left is down before it starts again.
	leavingDowntime = 300 * time.Millisecond
	// backoffGrace is the time from a refusal until the backoff that it asks for must be kept,
	// and maxDuringBackoff the number of requests that may arrive in the rest of it.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// askedBackoffs are the values of Retry-After of an endpoint that sheds load. Some are no
// delay, and must do no harm.
var askedBackoffs = []string{"1", "2.5", "3", "3", "soon", "-4", "NaN", "Inf"}

// announcementFaults are added to faults by options.announces, which leaves the draws of older
// seeds as they were.
var announcementFaults = []fault{
	{"says_leaving", func(fleet *fleet, random *rand.Rand) func() { return fleet.sayLeaving(random) }},
	{"says_leaving", func(fleet *fleet, random *rand.Rand) func() { return fleet.sayLeaving(random) }},
	{"sheds", func(fleet *fleet, random *rand.Rand) func() { return fleet.shedLoad(random) }},
	{"sheds", func(fleet *fleet, random *rand.Rand) func() { return fleet.shedLoad(random) }},
}

// sayLeaving makes a random endpoint say in its answers that it leaves, while its store entry
// stays as it is, until end restarts it.
func (fleet *fleet) sayLeaving(random *rand.Rand) (end func()) {
	endpoint := fleet.endpoints[random.IntN(len(fleet.endpoints))]
	began := time.Now()
	fleet.checker.recordLeavingStart(endpoint.ID)
	endpoint.SetLeaving(true)
	return func() {
		time.Sleep(minLeavingDuration - time.Since(began))
		fleet.restartEndpoint(endpoint)
	}
}

// restartEndpoint restarts an endpoint under its ID with a new start time, unless it has crashed
// and starts again by itself.
func (fleet *fleet) restartEndpoint(endpoint *endpoint) {
	if endpoint.takeDown() {
		time.Sleep(leavingDowntime)
		fleet.startEndpoint(endpoint)
	}
}

// shedLoad makes a random endpoint turn all requests away and ask for a backoff until end is
// called.
func (fleet *fleet) shedLoad(random *rand.Rand) (end func()) {
	endpoint := fleet.endpoints[random.IntN(len(fleet.endpoints))]
	endpoint.SetShedding(askedBackoffs[random.IntN(len(askedBackoffs))])
	return func() { endpoint.SetShedding("") }
}

// sender is an instance as the sender to an endpoint.
type sender struct {
	instance peridotpath.InstanceID
	endpoint peridotpath.EndpointID
}

// askedBackoff is a backoff that an endpoint asked of a sender.
type askedBackoff struct {
	from, until time.Time
	arrivals    int
}

// recordAnnouncement records that an instance has passed on an answer of an endpoint that says
// that it leaves. The caller holds the mutex.
func (checker *checker) recordAnnouncement(sent *sentRequest, reply *standin.Reply) {
	if sent.Instance == nil || !reply.SaysLeaving || !checker.saysLeaving[reply.Endpoint] {
		return
	}
	key := sender{sent.Instance.ID, reply.Endpoint}
	if _, known := checker.toldLeaving[key]; !known {
		checker.toldLeaving[key] = time.Now()
	}
}

// recordLeavingStart records that an endpoint begins to say that it leaves.
func (checker *checker) recordLeavingStart(id peridotpath.EndpointID) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.saysLeaving[id] = true
}

// forgetAnnouncements forgets what an endpoint said before its restart.
func (checker *checker) forgetAnnouncements(id peridotpath.EndpointID) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	delete(checker.saysLeaving, id)
	for key := range checker.toldLeaving {
		if key.endpoint == id {
			delete(checker.toldLeaving, key)
		}
	}
	for key := range checker.backoffs {
		if key.endpoint == id {
			delete(checker.backoffs, key)
		}
	}
}

// recordArrivalDespiteAnnouncement checks a request that reaches an endpoint, as primary or as
// helper, by what the endpoint has said. The caller holds the mutex.
func (checker *checker) recordArrivalDespiteAnnouncement(endpoint *endpoint, sent *sentRequest, now time.Time) {
	id := endpoint.ID
	key := sender{sent.Instance.ID, id}
	if told, known := checker.toldLeaving[key]; known && sent.Instance.hasSettledSince(told) && sent.SentAt.After(told.Add(standin.MaxPropagationDelay+schedulingSlack)) {
		checker.addViolation("%s gets %s from %s, sent %v after that has passed on that it leaves", id, sent.ID, sent.Instance.ID, sent.SentAt.Sub(told))
	}
	asked := checker.backoffs[key]
	if asked == nil || !sent.Instance.hasSettledSince(asked.from) || !endpoint.proxy.hasSettledSince(asked.from) || now.Before(asked.from.Add(backoffGrace+schedulingSlack)) || !now.Before(asked.until) {
		return
	}
	if asked.arrivals++; asked.arrivals == maxDuringBackoff+1 {
		checker.addViolation("%s gets %s from %s, the third within the %v of rest that it asked of it", id, sent.ID, sent.Instance.ID, asked.until.Sub(asked.from))
	}
}

// recordBackoff records that an endpoint turns a request of an instance away and asks for a
// backoff. One that is running goes on: a later answer does not end it.
func (checker *checker) recordBackoff(id peridotpath.EndpointID, request peridotpath.RequestID, retryAfter string, now time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	sent := checker.sentRequests[request]
	if sent.Instance == nil {
		return
	}
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil || !(seconds > 0 && seconds < minLeavingDuration.Seconds()) {
		return
	}
	key := sender{sent.Instance.ID, id}
	if asked := checker.backoffs[key]; asked == nil || !now.Before(asked.until) {
		checker.backoffs[key] = &askedBackoff{from: now, until: now.Add(time.Duration(seconds * float64(time.Second)))}
	}
}
