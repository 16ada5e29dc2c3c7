package decide

import "sync/atomic"

const (
	// retryShare is the share of requests that may be retried. It limits attempts
	// to 1.1 times the requests, so that retries cannot turn a partial outage
	// into a full one.
	retryShare = 0.1
	// maxSavedRetries is the maximum number of accumulated retries: enough for
	// the work that one endpoint holds when it crashes.
	maxSavedRetries = 50
	// initialEndpointRetries is the initial number of retries of an endpoint.
	// An endpoint that fails from the start is ejected before it has accumulated a
	// single retry, and the requests that failed on it could not be retried.
	// The customers' budgets limit the load that this adds.
	initialEndpointRetries = 10
	// initialCustomerRetries is the initial number of retries of a customer, so
	// that its first request can be retried.
	initialCustomerRetries = 1
	// unitsPerRetry is the fixed-point representation of one retry.
	unitsPerRetry = 1000
)

// budget is a retry budget: a token bucket that is filled by requests and not by
// time, so that an idle customer accumulates no retries during a long outage.
type budget struct {
	balance atomic.Int64
}

// setInitial sets the initial number of retries.
func (budget *budget) setInitial(retries int64) { budget.balance.Store(retries * unitsPerRetry) }

// recordRequest adds the share of a retry that a first attempt contributes.
func (budget *budget) recordRequest() {
	if budget.balance.Load() < maxSavedRetries*unitsPerRetry {
		budget.balance.Add(retryShare * unitsPerRetry)
	}
}

// takeRetry takes one retry and reports whether one was available.
func (budget *budget) takeRetry() bool {
	for {
		saved := budget.balance.Load()
		if saved < unitsPerRetry {
			return false
		}
		if budget.balance.CompareAndSwap(saved, saved-unitsPerRetry) {
			return true
		}
	}
}

// returnRetry returns a retry that was not made.
func (budget *budget) returnRetry() { budget.balance.Add(unitsPerRetry) }
