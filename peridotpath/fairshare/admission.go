package fairshare

import (
	"math/rand/v2"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/fairness"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/telemetry"
)

// OverShare reports whether a customer is above its fair share of the engine time, so that its
// requests yield to those of others.
func (divider *Divider) OverShare(customer peridotpath.CustomerID, now time.Time) bool {
	if divider == nil || customer == "" {
		return false
	}
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	return divider.update(now) && divider.verdicts[placement.HashCustomer(customer)].AboveShare
}

// AboveShareCount returns the number of customers above their share.
func (divider *Divider) AboveShareCount(now time.Time) int {
	if divider == nil {
		return 0
	}
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	if !divider.update(now) {
		return 0
	}
	count := 0
	for _, verdict := range divider.verdicts {
		if verdict.AboveShare {
			count++
		}
	}
	return count
}

// Slots is the state of the engines' slots when a short prompt arrives.
type Slots struct {
	// Count is the number of slots, Room the number of requests that may be in flight so that
	// none waits too long for a slot, and Occupied the number of requests in flight.
	Count, Room, Occupied int
	// Estimated is the number of requests in flight if each peer has as many as this instance.
	Estimated int
}

// AdmitShort decides about a short prompt of a customer. It returns the time after which to
// retry, zero if the prompt is admitted.
func (divider *Divider) AdmitShort(customer placement.CustomerHash, state Slots, now time.Time) time.Duration {
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	if state.Occupied >= state.Count {
		divider.takenSlots, divider.crowdedAt = state, now
	}
	if max(state.Occupied, state.Estimated) >= state.Count {
		divider.recordWait(now)
		divider.slotsTakenAt = now
	}
	if !divider.update(now) || !divider.slotsTaken(now) {
		return 0
	}
	verdict := divider.verdicts[customer]
	if !verdict.AboveShare || divider.totalShare <= 0 {
		return 0
	}
	line := fairness.Line{
		Slots: state.Room, PartOfSlots: float64(verdict.Share) / float64(divider.totalShare),
		PartHere: divider.partHere[customer], InFlight: divider.inFlight[customer],
	}
	if line.Admits() {
		return 0
	}
	telemetry.CountShareRefusal()
	divider.log(customer, verdict, "refused")
	return verdict.RetryAfter(rand.Float64())
}

// slotsTaken reports whether a short prompt has recently found all slots taken. The caller holds
// the mutex.
func (divider *Divider) slotsTaken(now time.Time) bool {
	return !divider.slotsTakenAt.IsZero() && now.Sub(divider.slotsTakenAt) < scarcityHold
}

// LacksSlots reports whether the shares apply because slots are scarce.
func (divider *Divider) LacksSlots(now time.Time) bool {
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	return divider.update(now) && divider.slotsTaken(now)
}

// RefuseQueued counts a refusal by the prefill queue, and returns when the customer's share has
// room; zero for a customer that is not above its share.
func (divider *Divider) RefuseQueued(customer peridotpath.CustomerID, now time.Time) time.Duration {
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	hash := placement.HashCustomer(customer)
	if !divider.update(now) || !divider.verdicts[hash].AboveShare {
		return 0
	}
	telemetry.CountShareRefusal()
	divider.log(hash, divider.verdicts[hash], "refused")
	return divider.verdicts[hash].RetryAfter(rand.Float64())
}

// LeastUsed returns one of the engines with the fewest requests of this instance, drawn at random,
// given all requests that this instance has in flight. It applies where the reports of peers are
// older than the time for which a request has a slot: the reported requests have ended, and
// instances that go by them all choose the same engine.
func LeastUsed(candidates []placement.Candidate, local []placement.InFlight) []placement.Candidate {
	used := map[peridotpath.EndpointKey]int{}
	for _, request := range local {
		used[request.Parts[0].Endpoint]++
	}
	var least []placement.Candidate
	for _, candidate := range candidates {
		if candidate.IsEjected {
			continue
		}
		if len(least) > 0 && used[candidate.Key] < used[least[0].Key] {
			least = least[:0]
		}
		if len(least) == 0 || used[candidate.Key] == used[least[0].Key] {
			least = append(least, candidate)
		}
	}
	if len(least) == 0 {
		return candidates
	}
	pick := rand.IntN(len(least))
	return least[pick : pick+1]
}
