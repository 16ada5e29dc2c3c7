package decide

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ledgerStep is the time resolution of the ledger.
	ledgerStep = int64(50 * time.Millisecond)
	// ledgerStepCount is the number of steps in the ring. The ring spans 12.8 s,
	// the maximum age at which a report is corrected in full: twice the longest
	// planned reporting delay.
	ledgerStepCount = 256
)

// totals are the counters of an endpoint's state.
type totals struct {
	// sentTokens is the cumulative prompt work sent, in uncached tokens.
	sentTokens int64
	// reservedKV is the KV memory of this Instance's running work below Long, in
	// tokens.
	reservedKV int64
	// longKV is the KV memory of this Instance's running Long work, in tokens.
	// Inside the engine, that work may still be queued for the memory.
	longKV int64
	// runningCount counts this Instance's running work.
	runningCount int64
}

// ledger keeps the recent history of the totals. A load report does not include
// the work sent after its AsOf. Without a correction, the scheduler would send
// all work that arrives between two reports to the endpoint that was idle in
// the last one.
type ledger struct {
	sentTokens   atomic.Int64
	reservedKV   atomic.Int64
	longKV       atomic.Int64
	runningCount atomic.Int64

	latestStep atomic.Int64 // the newest step in steps
	mu         sync.Mutex   // guards steps
	steps      [ledgerStepCount]struct {
		step   int64
		before totals
	}
}

func (ledger *ledger) current() totals {
	return totals{
		sentTokens:   ledger.sentTokens.Load(),
		reservedKV:   ledger.reservedKV.Load(),
		longKV:       ledger.longKV.Load(),
		runningCount: ledger.runningCount.Load(),
	}
}

// record stores the totals before the first change in the step of at. Only the
// first change of a step takes the lock.
func (ledger *ledger) record(at int64) {
	step := at / ledgerStep
	if ledger.latestStep.Load() >= step {
		return
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	entry := &ledger.steps[step%ledgerStepCount]
	if entry.step >= step {
		return
	}
	entry.step = step
	entry.before = ledger.current()
	ledger.latestStep.Store(step)
}

// totalsAt returns the totals at the time at, or the oldest totals in the ring if
// that time is older.
func (ledger *ledger) totalsAt(at int64) totals {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	first := at / ledgerStep
	latest := ledger.latestStep.Load()
	for step := max(first, latest-ledgerStepCount+1, 0); step <= latest; step++ {
		if entry := &ledger.steps[step%ledgerStepCount]; entry.step == step {
			return entry.before
		}
	}
	return ledger.current()
}
