// Package telemetry holds the metrics that the request path writes: a counter
// for each refusal and retry reason, and times by length class. Each series is
// made once at start, so that the path does no look-up by name.
package telemetry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotpath.example/peridotpath"
)

// Reason names why an attempt was followed by another.
type Reason uint8

// The reasons.
const (
	RetryUnreached Reason = iota
	RetryRefused
	RetryFailed
	RetryBadAnswer
	RetryResumed
	reasons
)

var reasonNames = [reasons]string{"unreached", "refused", "failed", "bad_answer", "resumed"}

var (
	results    = resultCounters()
	retries    [reasons]*metrics.Counter
	firstToken [peridotpath.LengthClasses]*metrics.Histogram
	total      [peridotpath.LengthClasses]*metrics.Histogram
)

func init() {
	for reason, name := range reasonNames {
		retries[reason] = metrics.NewCounter(fmt.Sprintf("peridotpath_retries_total{reason=%q}", name))
	}
	for class := range peridotpath.LengthClasses {
		firstToken[class] = metrics.NewHistogram(fmt.Sprintf("peridotpath_first_token_seconds{length=%q}", class))
		total[class] = metrics.NewHistogram(fmt.Sprintf("peridotpath_request_seconds{length=%q}", class))
	}
}

func resultCounters() map[peridotpath.Code]*metrics.Counter {
	counters := map[peridotpath.Code]*metrics.Counter{}
	for _, code := range peridotpath.Codes() {
		name := fmt.Sprintf("peridotpath_results_total{code=\"%d\",reason=%q}", int(code), code)
		counters[code] = metrics.NewCounter(name)
	}
	return counters
}

// Result counts one request's result.
func Result(code peridotpath.Code) {
	if counter := results[code]; counter != nil {
		counter.Inc()
	}
}

// Retry counts one further attempt.
func Retry(reason Reason) { retries[reason].Inc() }

// FirstToken records the time from arrival to the first token.
func FirstToken(class peridotpath.LengthClass, span time.Duration) {
	firstToken[class].Update(span.Seconds())
}

// Total records the time from arrival to the end of a request, failed ones
// included: leaving those out would make the tail look better in an outage.
func Total(class peridotpath.LengthClass, span time.Duration) {
	total[class].Update(span.Seconds())
}
