package telemetry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	budgetLent      = metrics.NewCounter("peridotpath_retry_budget_lent_total")
	budgetReceived  = metrics.NewCounter("peridotpath_retry_budget_received_total")
	retriesBorrowed = metrics.NewCounter("peridotpath_retries_borrowed_total")
	secondAttempts  = metrics.NewCounter("peridotpath_second_attempts_total")
	secondRefused   = metrics.NewCounter("peridotpath_second_attempts_refused_total{reason=\"budget\"}")
)

// CountBudgetLent counts retries that this instance has lent to others.
func CountBudgetLent(count int) { budgetLent.Add(count) }

// CountBudgetReceived counts retries that others have lent to this instance.
func CountBudgetReceived(count int) { budgetReceived.Add(count) }

// CountBorrowedRetry counts a retry on borrowed budget.
func CountBorrowedRetry() { retriesBorrowed.Inc() }

// CountSecondAttempt counts a plain call that was sent to a second endpoint.
func CountSecondAttempt() { secondAttempts.Inc() }

// CountSecondAttemptRefused counts a plain call that was not sent to a second endpoint because
// the retry budget was exhausted.
func CountSecondAttemptRefused() { secondRefused.Inc() }

// CountSecondAttemptWinner counts how a plain call with two attempts ended: by the answer of the
// "first" or the "second", or of "none".
func CountSecondAttemptWinner(winner string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_second_attempts_ended_total{winner=%q}", winner)).Inc()
}
