package telemetry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotpath.example/peridotpath"
)

var (
	// ttftPredictionRatio is the ratio of the actual to the predicted time to first token.
	ttftPredictionRatio [peridotpath.LengthClasses]*metrics.Histogram
	relayTime           [peridotpath.RequestKinds][peridotpath.LengthClasses]*metrics.Histogram
	prefillQueueWait    = metrics.NewHistogram("peridotpath_turn_wait_seconds")
	logLinesDropped     = metrics.NewCounter("peridotpath_log_lines_dropped_total")
)

func init() {
	for class := range peridotpath.LengthClasses {
		ttftPredictionRatio[class] = metrics.NewHistogram(fmt.Sprintf("peridotpath_first_token_of_predicted{length=%q}", class))
		for kind := range peridotpath.RequestKinds {
			relayTime[kind][class] = metrics.NewHistogram(fmt.Sprintf("peridotpath_relay_seconds{kind=%q,length=%q}", kind, class))
		}
	}
}

// RecordRelayTime records the time from a request's arrival to its end, by request kind and
// length class. Failed requests are included.
func RecordRelayTime(kind peridotpath.RequestKind, class peridotpath.LengthClass, span time.Duration) {
	relayTime[kind][class].Update(span.Seconds())
}

// RecordTTFTPredictionRatio records the ratio of the actual to the predicted time to first token.
func RecordTTFTPredictionRatio(class peridotpath.LengthClass, predicted, actual time.Duration) {
	if predicted > 0 {
		ttftPredictionRatio[class].Update(actual.Seconds() / predicted.Seconds())
	}
}

// RecordPrefillQueueWait records the time that a long prompt waited in the prefill queue.
func RecordPrefillQueueWait(span time.Duration) { prefillQueueWait.Update(span.Seconds()) }

// CountFailedAttempt counts a failed attempt that may be retried, by its outcome.
func CountFailedAttempt(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_attempts_failed_total{outcome=%q}", outcome)).Inc()
}

// CountUnprovenAnswer counts an answer after which the request may have run although part of its
// head says that it has not, by the reason.
func CountUnprovenAnswer(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_answers_unproven_total{reason=%q}", reason)).Inc()
}

// CountAttemptGivenUp counts an attempt that this instance ended although its endpoint had not
// failed, by the reason.
func CountAttemptGivenUp(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_attempts_given_up_total{reason=%q}", reason)).Inc()
}

// CountAnswerAborted counts a stream that was broken off, by the result.
func CountAnswerAborted(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_answers_aborted_total{result=%q}", result)).Inc()
}

// CountUnanswered counts a request that was read whole and ended without an answer, a refusal or
// an aborted stream.
func CountUnanswered() { unanswered.Inc() }

var unanswered = metrics.NewCounter("peridotpath_requests_unanswered_total")

// CountRetryBudgetExhausted counts a request that was not retried because the retry budget
// was exhausted.
func CountRetryBudgetExhausted() { retryBudgetExhausted.Inc() }

var retryBudgetExhausted = metrics.NewCounter("peridotpath_retries_refused_total{reason=\"budget\"}")

var (
	shareYields   = metrics.NewCounter(`peridotpath_over_share_total{action="yielded"}`)
	shareRefusals = metrics.NewCounter(`peridotpath_over_share_total{action="refused"}`)
)

// CountShareYield counts a request that yields because its customer is above its share.
func CountShareYield() { shareYields.Inc() }

// CountShareRefusal counts a request that was refused while its customer was above its share.
func CountShareRefusal() { shareRefusals.Inc() }

// gauges holds the functions that SetGauges has set.
var gauges atomic.Pointer[Gauges]

// Gauges are the functions that return gauge values on a scrape. Ages are in seconds.
type Gauges struct {
	RoutingAge, EndpointsAge func() float64
	RoutingVersion           func() float64
	DrainedDataCentres       func() float64
	Peers, Reservations      func() float64
	ActiveRequests           func() float64
	RetryBudgetLeft          func() float64
	CustomersOverShare       func() float64
}

func init() {
	names := map[string]func(*Gauges) func() float64{
		"peridotpath_routing_age_seconds":   func(set *Gauges) func() float64 { return set.RoutingAge },
		"peridotpath_endpoints_age_seconds": func(set *Gauges) func() float64 { return set.EndpointsAge },
		"peridotpath_routing_version":       func(set *Gauges) func() float64 { return set.RoutingVersion },
		"peridotpath_data_centres_drained":  func(set *Gauges) func() float64 { return set.DrainedDataCentres },
		"peridotpath_peers":                 func(set *Gauges) func() float64 { return set.Peers },
		"peridotpath_reservations_held":     func(set *Gauges) func() float64 { return set.Reservations },
		"peridotpath_requests_active":       func(set *Gauges) func() float64 { return set.ActiveRequests },
		"peridotpath_retry_budget_left":     func(set *Gauges) func() float64 { return set.RetryBudgetLeft },
		"peridotpath_customers_over_share":  func(set *Gauges) func() float64 { return set.CustomersOverShare },
	}
	for name, gauge := range names {
		metrics.NewGauge(name, func() float64 {
			if set := gauges.Load(); set != nil {
				return gauge(set)()
			}
			return 0
		})
	}
}

// SetGauges replaces the functions of the gauges.
func SetGauges(set *Gauges) { gauges.Store(set) }
