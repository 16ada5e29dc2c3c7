package fairness

import (
	"math"
	"time"

	"peridotpath.example/peridotpath/placement"
)

const (
	// TimeConstant is the time constant with which recorded engine time decays. It spans several
	// requests of a customer that sends a few per second.
	TimeConstant = 2 * time.Second
	// offeredTimeConstant is the time constant of the engine time that a customer's arrivals ask
	// for. It is shorter, because a flood fills the engines' queues within a few hundred
	// milliseconds, before the usage shows it.
	offeredTimeConstant = 300 * time.Millisecond
	// largestTimeConstant is the time constant with which the largest request decays.
	largestTimeConstant = 10 * time.Second
	// toleratedRequests is how many of a customer's largest requests may come together without
	// counting as a flood.
	toleratedRequests = 2
	// maxCustomers bounds the customers in a ledger. The least recently active ones are removed.
	maxCustomers = 1024
	// minEngineTime is the engine time below which a customer counts as inactive.
	minEngineTime = time.Millisecond
)

// decaying is an engine time in seconds with exponential decay.
type decaying struct {
	seconds float64
	at      time.Time
}

// value returns the decayed amount. A time before the last update counts as that of the update.
func (decaying decaying) value(now time.Time, constant time.Duration) float64 {
	elapsed := max(now.Sub(decaying.at), 0)
	return decaying.seconds * math.Exp(-float64(elapsed)/float64(constant))
}

// add adds an amount, which may be negative to correct an earlier one.
func (decaying *decaying) add(now time.Time, amount time.Duration, constant time.Duration) {
	decaying.seconds = max(decaying.value(now, constant)+amount.Seconds(), 0)
	if now.After(decaying.at) {
		decaying.at = now
	}
}

// account is the state of one customer.
type account struct {
	// used is the engine time of dispatched requests, offered that of all arrivals, and largest
	// that of the largest request.
	used, offered, largest decaying
}

// Ledger records the engine time of customers at one instance. It is not safe for concurrent use.
type Ledger struct {
	accounts map[placement.CustomerHash]*account
}

func (ledger *Ledger) account(customer placement.CustomerHash, now time.Time) *account {
	found := ledger.accounts[customer]
	if found == nil {
		if ledger.accounts == nil {
			ledger.accounts = map[placement.CustomerHash]*account{}
		}
		if len(ledger.accounts) >= maxCustomers {
			ledger.removeLeastActive(now)
		}
		found = &account{}
		ledger.accounts[customer] = found
	}
	return found
}

func (ledger *Ledger) removeLeastActive(now time.Time) {
	var least placement.CustomerHash
	smallest := math.Inf(1)
	for customer, account := range ledger.accounts {
		if used := account.used.value(now, TimeConstant); used < smallest {
			least, smallest = customer, used
		}
	}
	delete(ledger.accounts, least)
}

// RecordArrival records a request that needs engineTime, whether or not it will be dispatched.
func (ledger *Ledger) RecordArrival(customer placement.CustomerHash, engineTime time.Duration, now time.Time) {
	account := ledger.account(customer, now)
	account.offered.add(now, engineTime, offeredTimeConstant)
	if engineTime.Seconds() > account.largest.value(now, largestTimeConstant) {
		account.largest = decaying{seconds: engineTime.Seconds(), at: now}
	}
}

// RecordUse records engine time that a dispatched request uses; a negative amount corrects an
// earlier estimate.
func (ledger *Ledger) RecordUse(customer placement.CustomerHash, engineTime time.Duration, now time.Time) {
	ledger.account(customer, now).used.add(now, engineTime, TimeConstant)
}

// Tolerance returns the engine time of a customer that does not count as a flood.
func (ledger *Ledger) Tolerance(customer placement.CustomerHash, now time.Time) time.Duration {
	account := ledger.accounts[customer]
	if account == nil {
		return 0
	}
	return toDuration(toleratedRequests * account.largest.value(now, largestTimeConstant))
}

// Usages returns the engine time of each active customer. queued is the engine time of the
// prompts that wait in the prefill queue. The waiting time is that, or, if greater, what the
// recent arrivals without the tolerated ones ask for within TimeConstant beyond the usage: the
// requests that were refused, and those that a flood is about to add.
func (ledger *Ledger) Usages(queued map[placement.CustomerHash]time.Duration, now time.Time) []placement.CustomerUsage {
	var usages []placement.CustomerUsage
	for customer, account := range ledger.accounts {
		used := account.used.value(now, TimeConstant)
		offered := max(account.offered.value(now, offeredTimeConstant)-ledger.Tolerance(customer, now).Seconds(), 0)
		projected := offered * TimeConstant.Seconds() / offeredTimeConstant.Seconds()
		usage := placement.CustomerUsage{Customer: customer, Used: toDuration(used), Waiting: max(toDuration(projected-used), queued[customer], 0)}
		if usage.Used+usage.Waiting >= minEngineTime {
			usages = append(usages, usage)
		}
	}
	for customer, waiting := range queued {
		if ledger.accounts[customer] == nil {
			usages = append(usages, placement.CustomerUsage{Customer: customer, Waiting: waiting})
		}
	}
	return usages
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
