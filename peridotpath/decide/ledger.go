package decide

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ledgerStep is how finely the ledger knows when something was sent.
	ledgerStep = int64(50 * time.Millisecond)
	// ledgerSteps times ledgerStep is how old a report may be and still be
	// corrected in full: 12.8 s, twice the latest reports that are planned for.
	ledgerSteps = 256
)

// totals are running sums over the life of an endpoint's state.
type totals struct {
	// sent is the prompt work sent, in uncached tokens.
	sent int64
	// memory is the KV memory of this Instance's running work below Long.
	memory int64
	// long is the KV memory of its Long work, which may still wait for it.
	long int64
	// running counts this Instance's running work.
	running int64
}

// ledger remembers totals as they stood in the recent past. A report says how
// an endpoint stood at its AsOf; what was sent after that is not in it. A
// scheduler that trusted the report alone would send everything that arrives
// between two reports to the endpoint that looked idle in the last one.
type ledger struct {
	sent    atomic.Int64
	memory  atomic.Int64
	long    atomic.Int64
	running atomic.Int64

	latest atomic.Int64 // the newest step in steps
	mu     sync.Mutex   // guards steps
	steps  [ledgerSteps]struct {
		step   int64
		before totals
	}
}

func (ledger *ledger) now() totals {
	return totals{
		sent:    ledger.sent.Load(),
		memory:  ledger.memory.Load(),
		long:    ledger.long.Load(),
		running: ledger.running.Load(),
	}
}

// record notes the totals before the first change in the step of at. Only
// that first change takes the lock.
func (ledger *ledger) record(at int64) {
	step := at / ledgerStep
	if ledger.latest.Load() >= step {
		return
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	entry := &ledger.steps[step%ledgerSteps]
	if entry.step >= step {
		return
	}
	entry.step = step
	entry.before = ledger.now()
	ledger.latest.Store(step)
}

// before returns the totals as they stood at the time at; for a time that is
// no longer known, the oldest totals that are.
func (ledger *ledger) before(at int64) totals {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	first := at / ledgerStep
	latest := ledger.latest.Load()
	for step := max(first, latest-ledgerSteps+1, 0); step <= latest; step++ {
		if entry := &ledger.steps[step%ledgerSteps]; entry.step == step {
			return entry.before
		}
	}
	return ledger.now()
}
