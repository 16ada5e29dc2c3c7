package main

import (
	"time"

	"peridotpath.example/peridotpath"
)

// maxArrivalAfterLeaving is how long after its client has left a request may still reach an endpoint.
const maxArrivalAfterLeaving = 500 * time.Millisecond

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
