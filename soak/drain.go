package main

import (
	"math/rand/v2"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	// minDrainDuration is the shortest time for which a data centre is drained, and
	// minColdDuration that for which an endpoint is cold. They exceed the time in which an
	// instance must know it by some seconds in which it is checked.
	minDrainDuration = 5 * time.Second
	minColdDuration  = 6 * time.Second
	// A cold endpoint may receive coldTolerance times its cold rate in a second, and
	// coldExtraRequests more.
	coldTolerance, coldExtraRequests = 1.5, 5
)

// dataCentres are those of the endpoints in runs with options.drains, in turn.
var dataCentres = []peridotpath.DataCentre{"a", "b"}

// drainFaults are added to faults by options.drains, which leaves the draws of older seeds as they
// were.
var drainFaults = []fault{
	{"drain", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.drain(dataCentres[random.IntN(len(dataCentres))])
	}},
	{"drain_all", func(fleet *fleet, _ *rand.Rand) func() { return fleet.drain(dataCentres...) }},
	{"cold", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.makeCold(dataCentres[random.IntN(len(dataCentres))])
	}},
}

// drain drains data centres until end is called.
func (fleet *fleet) drain(drained ...peridotpath.DataCentre) (end func()) {
	began := time.Now()
	for _, dataCentre := range drained {
		fleet.store.Put(standin.DrainPrefix+string(dataCentre), []byte("{}"))
	}
	fleet.checker.setDrained(drained, time.Now())
	return func() {
		time.Sleep(minDrainDuration - time.Since(began))
		fleet.checker.setDrained(drained, time.Time{})
		for _, dataCentre := range drained {
			fleet.store.Remove(standin.DrainPrefix + string(dataCentre))
		}
	}
}

// makeCold makes all endpoints of a data centre cold.
func (fleet *fleet) makeCold(dataCentre peridotpath.DataCentre) (end func()) {
	began := time.Now()
	for _, endpoint := range fleet.endpoints {
		if endpoint.DataCentre == dataCentre {
			endpoint.SetCold(began.Add(minColdDuration))
			fleet.checker.setCold(endpoint.ID, &coldEndpoint{since: began, until: began.Add(minColdDuration)})
			fleet.publishEndpoint(endpoint)
		}
	}
	return func() { time.Sleep(minColdDuration - time.Since(began)) }
}

// coldEndpoint is an endpoint that is cold.
type coldEndpoint struct {
	since, until time.Time
	// arrivals are the times of the requests of the last second, from settled instances.
	arrivals   []time.Time
	isReported bool
}

// setDrained records since when data centres are drained; a zero time ends it.
func (checker *checker) setDrained(drained []peridotpath.DataCentre, since time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	for _, dataCentre := range drained {
		checker.drainedSince[dataCentre] = since
	}
}

func (checker *checker) setCold(id peridotpath.EndpointID, cold *coldEndpoint) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.cold[id] = cold
}

// recordArrivalWhileDrained checks a request that reaches an endpoint, as primary or as helper, by
// the drain of its data centre. The caller holds the mutex.
func (checker *checker) recordArrivalWhileDrained(endpoint *endpoint, sent *sentRequest) {
	since := checker.drainedSince[endpoint.DataCentre]
	if since.IsZero() || !checker.hasStoreSince(sent.Instance, since) {
		return
	}
	if late := sent.SentAt.Sub(since); late > standin.MaxPropagationDelay+schedulingSlack {
		checker.addViolation("%s gets %s from %s, sent %v after its data centre was drained", endpoint.ID, sent.ID, sent.Instance.ID, late)
	}
}

// recordColdArrival checks the rate at which a cold endpoint receives requests. The caller holds the
// mutex.
func (checker *checker) recordColdArrival(endpoint *endpoint, sent *sentRequest, now time.Time) {
	cold := checker.cold[endpoint.ID]
	if cold == nil || now.After(cold.until) || now.Before(cold.since.Add(standin.MaxPropagationDelay+schedulingSlack)) || !checker.hasStoreSince(sent.Instance, cold.since) {
		return
	}
	cold.arrivals = append(cold.arrivals, now)
	for now.Sub(cold.arrivals[0]) >= time.Second {
		cold.arrivals = cold.arrivals[1:]
	}
	if allowed := coldTolerance*standin.ColdRate + coldExtraRequests; float64(len(cold.arrivals)) > allowed && !cold.isReported {
		cold.isReported = true
		checker.addViolation("%s is cold and gets %d requests in a second", endpoint.ID, len(cold.arrivals))
	}
}

// hasStoreSince reports whether an instance has been undisturbed since the time, and has had a
// sound way to the store.
func (checker *checker) hasStoreSince(instance *instance, since time.Time) bool {
	return instance.hasSettledSince(since) && instance.StoreProxy.hasSettledSince(since) && checker.store.IsHealthySince(since)
}
