package retrybudget

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/telemetry"
)

type (
	// serviceHash identifies a service in facts.
	serviceHash uint64
	// needNumber numbers the needs of one start of an instance.
	needNumber uint64
)

// answeredNeed is the last need of a borrower that this instance has seen.
type answeredNeed struct {
	number     needNumber
	receivedAt time.Time
}

// maxWanted bounds the retries of one need, and so of one grant.
const maxWanted = 64

func hashOf(service peridotpath.Service) serviceHash {
	return serviceHash(xxhash.Sum64String(string(service)))
}

// borrowerHash identifies a service and a borrower of its budget in facts.
func borrowerHash(service serviceHash, borrower uint64) uint64 {
	var pair [16]byte
	binary.BigEndian.PutUint64(pair[:], uint64(service))
	binary.BigEndian.PutUint64(pair[8:], borrower)
	return xxhash.Sum64(pair[:])
}

// subject returns the subject of a need, or of the grants that answer it: a hash, and the number
// of the need. With the number, each need and grant is a fact of its own that never changes, so
// that a repeated one is recognised, and a lost one is not replaced by a later one that would
// prolong it.
func subject(hash uint64, number needNumber) facts.Subject {
	var subject facts.Subject
	binary.BigEndian.PutUint64(subject[:], hash)
	binary.BigEndian.PutUint64(subject[8:], uint64(number))
	return subject
}

func splitSubject(subject facts.Subject) (hash uint64, number needNumber) {
	return binary.BigEndian.Uint64(subject[:]), needNumber(binary.BigEndian.Uint64(subject[8:]))
}

// ReceiveFact handles a fact of a peer: it answers a need and keeps a grant to this instance.
func (budget *Budget) ReceiveFact(fact facts.Fact, now time.Time) {
	switch {
	case budget.Facts == nil:
	case fact.Kind == facts.KindBudgetNeed && fact.Detail != budget.SenderID:
		budget.answerNeed(&fact, now)
	case fact.Kind == facts.KindBudgetGrant:
		budget.receiveGrant(&fact)
	}
}

// answerNeed grants this instance's part of a need.
func (budget *Budget) answerNeed(need *facts.Fact, now time.Time) {
	if now.Sub(need.ObservedAt) >= grantLifetime {
		return
	}
	hash, number := splitSubject(need.Subject)
	count := budget.lend(serviceHash(hash), need.Detail, number, int(min(need.Value, maxWanted)), now)
	if count == 0 {
		return
	}
	telemetry.CountBudgetLent(count)
	// The retries were counted as used before the grant is sent.
	budget.Facts.Observe(facts.Fact{
		Kind: facts.KindBudgetGrant, Subject: subject(borrowerHash(serviceHash(hash), need.Detail), number), Detail: budget.SenderID,
		Value: float64(count), ObservedAt: now, Source: budget.Instance,
	})
}

// lend counts as used what this instance grants in answer to a need, and returns the number.
func (budget *Budget) lend(service serviceHash, borrower uint64, number needNumber, wanted int, now time.Time) int {
	if !budget.StartedAt.IsZero() && now.Sub(budget.StartedAt) < budget.Window {
		return 0
	}
	instances := budget.fleetSize(now)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	history := budget.historyOf(service)
	if !history.recordNeed(borrower, number, now) {
		return 0
	}
	history.wanted = dropBefore(history.wanted, now.Add(-forecastTime))
	granted := 0
	for part := partOf(wanted, instances-len(history.answered), budget.random()); granted < part; granted++ {
		if !budget.hasLeft(history, instances, 1, len(history.wanted), now) {
			break
		}
		history.lent = append(history.lent, now)
	}
	if granted > 0 && budget.allowLogLine(now) {
		budget.Log.Info().Uint64("service_hash", uint64(service)).Uint64("borrower", borrower).Int("wanted", wanted).Int("granted", granted).Msg("budget_lent")
	}
	return granted
}

// recordNeed records a borrower's need and reports whether it is new.
func (history *history) recordNeed(borrower uint64, number needNumber, now time.Time) bool {
	last, isKnown := history.answered[borrower]
	if isKnown && number <= last.number {
		return false
	}
	history.dropOldNeeds(now)
	if history.answered == nil {
		history.answered = map[uint64]answeredNeed{}
	}
	history.answered[borrower] = answeredNeed{number: number, receivedAt: now}
	return true
}

// dropOldNeeds removes the needs of others that have expired.
func (history *history) dropOldNeeds(now time.Time) {
	for borrower, answered := range history.answered {
		if now.Sub(answered.receivedAt) >= grantLifetime {
			delete(history.answered, borrower)
		}
	}
}

// partOf returns one lender's part of the wanted retries, by a random number from 0 to 1. The
// parts of all lenders together are the wanted number on average: a fraction is granted as one
// retry with its probability. If each lender granted the whole need, the budget of the fleet
// would be used up by grants that nobody uses.
func partOf(wanted, lenders int, random float64) int {
	part := float64(wanted) / float64(max(lenders, 1))
	whole := math.Floor(part)
	if random < part-whole {
		whole++
	}
	return int(whole)
}
