package retrybudget

import (
	"math"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// gatherTime is how long the first request that waits for a grant waits for others, so that
	// the streams of an endpoint that broke are announced as one need.
	gatherTime = 5 * time.Millisecond
	// The time between two needs is answerFactor times the time of the last first grant, so that
	// most grants have arrived, but at most longAnswer, so that a request sees the answers to two
	// needs while it waits. From persistentNeeds needs that nobody has answered on, it doubles with
	// each further one, up to maxNeedInterval.
	answerFactor    = 1.25
	shortAnswer     = 30 * time.Millisecond
	usualAnswer     = 60 * time.Millisecond
	longAnswer      = 75 * time.Millisecond
	persistentNeeds = 3
	maxNeedInterval = 2 * time.Second
	// smallFleet is the number of instances from which on maxNeedInterval grows with the fleet:
	// where all instances have used up their parts, the fleet announces 32 needs per second.
	smallFleet = 64
	// smallNeed is the number of retries up to which one more is announced: fractions are granted
	// at random, and the parts of a small need often add up to less than it.
	smallNeed = 6
	// maxExcess bounds how many times more retries are announced than wanted.
	maxExcess = 8.0
)

// borrowing is what an instance needs and has borrowed of a service's budget.
type borrowing struct {
	// waiting is the number of requests that wait for a grant, waitingSince the arrival of the
	// first one.
	waiting      int
	waitingSince time.Time
	// needs are the announced needs that may still be answered or used, oldest first.
	needs      []need
	lastNumber needNumber
	lastNeedAt time.Time
	// answerTime is the time from the last answered need to its first grant; zero if unknown.
	answerTime time.Duration
	// unanswered is the number of needs since one was answered.
	unanswered int
	// granted is closed when a grant arrives; nil while no request waits.
	granted chan struct{}
}

// need is one announced need and what was granted for it.
type need struct {
	number needNumber
	// announcedAt is the time since boot at which the need was announced.
	announcedAt    time.Duration
	wanted         int
	received, used int
	// possibleLenders is the number of instances without a need of their own when it was
	// announced, and lenders are those that have answered.
	possibleLenders int
	lenders         map[uint64]bool
}

// available returns the number of borrowed retries that may be used at a time since boot. It
// removes the needs that have expired.
func (borrowing *borrowing) available(sinceBoot time.Duration) int {
	borrowing.needs = slices.DeleteFunc(borrowing.needs, func(need need) bool {
		return sinceBoot-need.announcedAt >= grantLifetime
	})
	count := 0
	for i := range borrowing.needs {
		count += borrowing.needs[i].received - borrowing.needs[i].used
	}
	return count
}

// take takes a borrowed retry, of the need that expires first.
func (borrowing *borrowing) take(sinceBoot time.Duration) bool {
	if borrowing.available(sinceBoot) == 0 {
		return false
	}
	for i := range borrowing.needs {
		if need := &borrowing.needs[i]; need.used < need.received {
			need.used++
			return true
		}
	}
	return false
}

// timeUntilNeed returns the time until the next need may be announced.
func (borrowing *borrowing) timeUntilNeed(instances int, now time.Time) time.Duration {
	longest := maxNeedInterval * time.Duration(max(instances, smallFleet)) / smallFleet
	interval := min(borrowing.needInterval()<<min(max(borrowing.unanswered-persistentNeeds, 0), 16), longest)
	due := borrowing.waitingSince.Add(gatherTime)
	if next := borrowing.lastNeedAt.Add(interval); !borrowing.lastNeedAt.IsZero() && next.After(due) {
		due = next
	}
	return due.Sub(now)
}

// needInterval returns the time between two needs while others answer them.
func (borrowing *borrowing) needInterval() time.Duration {
	if borrowing.answerTime == 0 {
		return usualAnswer
	}
	return min(max(time.Duration(answerFactor*float64(borrowing.answerTime)), shortAnswer), longAnswer)
}

// wantedNow returns the number of retries to announce, or zero if what was granted suffices.
func (borrowing *borrowing) wantedNow(possibleLenders int, sinceBoot time.Duration) int {
	missing := borrowing.waiting - borrowing.available(sinceBoot)
	if missing <= 0 {
		return 0
	}
	asked := int(math.Ceil(float64(missing) * borrowing.excess(possibleLenders)))
	if asked <= smallNeed {
		asked++
	}
	return min(asked, maxWanted)
}

// excess returns how many times more retries to announce than wanted. Some of those that are
// counted as lenders have nothing to lend, and a small need may by chance be granted by nobody.
// What the last need was granted shows the share of the former; after one that was granted
// nothing, it doubles. Instances that have announced needs since then are not asked any more, so
// that the parts of the others are larger than those of the last need.
func (borrowing *borrowing) excess(possibleLenders int) float64 {
	if borrowing.unanswered > 0 {
		return min(math.Exp2(float64(borrowing.unanswered)), maxExcess)
	}
	if count := len(borrowing.needs); count > 0 && borrowing.needs[count-1].received > 0 {
		last := &borrowing.needs[count-1]
		asked := float64(last.wanted) * float64(possibleLenders) / float64(last.possibleLenders)
		return min(max(asked/float64(last.received), 1), maxExcess)
	}
	return 1
}

// announce adds a need for the wanted number of retries and returns its number.
func (borrowing *borrowing) announce(wanted, possibleLenders int, sinceBoot time.Duration, now time.Time) needNumber {
	if now.Sub(borrowing.lastNeedAt) > 2*maxNeedInterval {
		borrowing.unanswered = 0
	}
	borrowing.lastNumber++
	borrowing.lastNeedAt = now
	// It counts as unanswered until a grant arrives.
	borrowing.unanswered++
	borrowing.needs = append(borrowing.needs, need{
		number: borrowing.lastNumber, announcedAt: sinceBoot, wanted: wanted, possibleLenders: possibleLenders, lenders: map[uint64]bool{},
	})
	return borrowing.lastNumber
}

// receive adds a grant and reports whether it may be used: it answers a need that has not
// expired, and is the lender's first answer to it.
func (borrowing *borrowing) receive(number needNumber, lender uint64, count int, sinceBoot time.Duration) bool {
	borrowing.available(sinceBoot)
	for i := range borrowing.needs {
		need := &borrowing.needs[i]
		if need.number != number || need.lenders[lender] {
			continue
		}
		if len(need.lenders) == 0 {
			borrowing.answerTime = sinceBoot - need.announcedAt
		}
		need.lenders[lender] = true
		need.received += count
		borrowing.unanswered = 0
		return true
	}
	return false
}

// announceDueNeed announces the service's need if it is due, and returns the time until the
// next one.
func (budget *Budget) announceDueNeed(service peridotpath.Service, now time.Time) time.Duration {
	instances, hash := budget.fleetSize(now), hashOf(service)
	budget.mutex.Lock()
	history := budget.historyOf(hash)
	borrowing := &history.borrowing
	if wait := borrowing.timeUntilNeed(instances, now); wait > 0 {
		budget.mutex.Unlock()
		return wait
	}
	// The clock is read before the need is sent, so that no grant is older than its need.
	sinceBoot := budget.SinceBoot()
	history.dropOldNeeds(now)
	possibleLenders := max(instances-1-len(history.answered), 1)
	wanted, number := borrowing.wantedNow(possibleLenders, sinceBoot), needNumber(0)
	if wanted > 0 {
		number = borrowing.announce(wanted, possibleLenders, sinceBoot, now)
	}
	wait := max(borrowing.timeUntilNeed(instances, now), gatherTime)
	budget.mutex.Unlock()
	if wanted > 0 {
		budget.Facts.Observe(facts.Fact{
			Kind: facts.KindBudgetNeed, Subject: subject(uint64(hash), number), Detail: budget.SenderID,
			Value: float64(wanted), ObservedAt: now, Source: budget.Instance,
		})
	}
	return wait
}

// receiveGrant keeps a grant to this instance.
func (budget *Budget) receiveGrant(grant *facts.Fact) {
	hash, number := splitSubject(grant.Subject)
	count := int(min(grant.Value, maxWanted))
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	for service, history := range budget.histories {
		borrowing := &history.borrowing
		if len(borrowing.needs) == 0 || borrowerHash(service, budget.SenderID) != hash {
			continue
		}
		if !borrowing.receive(number, grant.Detail, count, budget.SinceBoot()) {
			return
		}
		telemetry.CountBudgetReceived(count)
		if borrowing.granted != nil {
			close(borrowing.granted)
			borrowing.granted = make(chan struct{})
		}
		return
	}
}
