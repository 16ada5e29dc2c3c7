package main

import (
	"math/rand/v2"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// maxArrivalAfterLeaving is how long after its client has left a request may still reach an
	// endpoint.
	maxArrivalAfterLeaving = 500 * time.Millisecond
	// A client that leaves early waits for minPatience to maxPatience.
	minPatience, maxPatience = 150 * time.Millisecond, 900 * time.Millisecond
)

// departureFaults are added to faults by options.departs.
var departureFaults = []fault{
	{"packets_dropped", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.cutOff(linkCut, random.Perm(len(fleet.instances))[:1+random.IntN(len(fleet.instances))]...)
	}},
	{"packets_dropped_to_some", func(fleet *fleet, random *rand.Rand) func() {
		var some []*endpoint
		for _, number := range random.Perm(len(fleet.endpoints))[:1+random.IntN(len(fleet.endpoints)-1)] {
			some = append(some, fleet.endpoints[number])
		}
		return fleet.cutOffFrom(linkCut, random.IntN(len(fleet.instances)), some)
	}},
}

func randomPatience(random *rand.Rand) time.Duration {
	return minPatience + time.Duration(random.Int64N(int64(maxPatience-minPatience)))
}

// recordLeft records that the client of a request has closed its connection before the answer was
// whole.
func (checker *checker) recordLeft(id peridotpath.RequestID, at time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.leftAt[id] = at
}

// checkArrivalAfterLeaving checks that a request does not reach an endpoint long after its client has
// left. What a proxy has held back is excused: its kernel had acknowledged it. The caller holds the
// mutex.
func (checker *checker) checkArrivalAfterLeaving(endpoint *endpoint, sent *sentRequest, now time.Time) {
	leftAt, hasLeft := checker.leftAt[sent.ID]
	if !hasLeft || now.Sub(leftAt) <= maxArrivalAfterLeaving+schedulingSlack {
		return
	}
	from := sent.SentAt
	if sent.Instance.wasPausedBetween(from, now) || endpoint.proxy.hasHeldBetween(sent.Instance.IngressAddress.Addr(), from, now) {
		return
	}
	checker.addViolation("%s reaches %s from %s, %v after its client left", sent.ID, endpoint.ID, sent.Instance.ID, now.Sub(leftAt).Round(time.Millisecond))
}
