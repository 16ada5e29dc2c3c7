package decide

import "sync/atomic"

const (
	// retryShare is the share of requests that may be retried. With it,
	// attempts stay within 1.1 times the requests however many fail, so that
	// retries cannot turn a partial outage into a full one.
	retryShare = 0.1
	// retryBurst is how many retries may be saved up: enough for the work that
	// one endpoint holds when it dies.
	retryBurst = 50
	// budgetUnit is one retry in the budget's whole numbers.
	budgetUnit = 1000
)

// budget is a token bucket that is filled by requests and not by time: a
// quiet customer saves nothing up for an outage's second hour.
type budget struct {
	saved atomic.Int64
}

// earn adds the share that one first attempt brings.
func (budget *budget) earn() {
	if budget.saved.Load() < retryBurst*budgetUnit {
		budget.saved.Add(retryShare * budgetUnit)
	}
}

// spend takes one retry out and reports whether there was one.
func (budget *budget) spend() bool {
	for {
		saved := budget.saved.Load()
		if saved < budgetUnit {
			return false
		}
		if budget.saved.CompareAndSwap(saved, saved-budgetUnit) {
			return true
		}
	}
}

// refund puts back a retry that was not made.
func (budget *budget) refund() { budget.saved.Add(budgetUnit) }
