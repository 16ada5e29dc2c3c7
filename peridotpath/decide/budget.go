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
	// endpointAllowance is what an endpoint's budget begins with. One that fails
	// from the start is ejected before it has earned a single retry, and the
	// requests that found it out would go unanswered. What it can add to the
	// load is bounded by the customers' budgets.
	endpointAllowance = 10
	// customerAllowance lets a customer's first request be retried.
	customerAllowance = 1
	// budgetUnit is one retry in the budget's whole numbers.
	budgetUnit = 1000
)

// budget is a token bucket that is filled by requests and not by time: a
// quiet customer saves nothing up for an outage's second hour.
type budget struct {
	saved atomic.Int64
}

// allow puts retries in to begin with.
func (budget *budget) allow(retries int64) { budget.saved.Store(retries * budgetUnit) }

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
