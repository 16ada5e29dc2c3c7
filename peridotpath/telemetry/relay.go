package telemetry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotpath.example/peridotpath"
)

var (
	// predictionError is how long first events took as a multiple of what was
	// predicted.
	predictionError [peridotpath.LengthClasses]*metrics.Histogram
	kindTotal       [peridotpath.RequestKinds][peridotpath.LengthClasses]*metrics.Histogram
	turnWait        = metrics.NewHistogram("peridotpath_turn_wait_seconds")
	logLinesDropped = metrics.NewCounter("peridotpath_log_lines_dropped_total")
)

func init() {
	for class := range peridotpath.LengthClasses {
		predictionError[class] = metrics.NewHistogram(fmt.Sprintf("peridotpath_first_token_of_predicted{length=%q}", class))
		for kind := range peridotpath.RequestKinds {
			kindTotal[kind][class] = metrics.NewHistogram(fmt.Sprintf("peridotpath_relay_seconds{kind=%q,length=%q}", kind, class))
		}
	}
}

// Relayed records the time from arrival to the end of a request by its kind,
// failed ones included.
func Relayed(kind peridotpath.RequestKind, class peridotpath.LengthClass, span time.Duration) {
	kindTotal[kind][class].Update(span.Seconds())
}

// Predicted records how long a first event took against what was predicted.
func Predicted(class peridotpath.LengthClass, predicted, seen time.Duration) {
	if predicted > 0 {
		predictionError[class].Update(seen.Seconds() / predicted.Seconds())
	}
}

// TurnWait records how long a long prompt waited for its turn.
func TurnWait(span time.Duration) { turnWait.Update(span.Seconds()) }

// Attempt counts an attempt that another may follow, by how it ended.
func Attempt(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_attempts_failed_total{outcome=%q}", outcome)).Inc()
}

// BudgetSpent counts a request that was not sent again since the budget was used up.
func BudgetSpent() { budgetSpent.Inc() }

var budgetSpent = metrics.NewCounter("peridotpath_retries_refused_total{reason=\"budget\"}")

// gauges are what an instance tells of itself when it is asked.
var gauges atomic.Pointer[Gauges]

// Gauges are the values that are read when metrics are. Ages are in seconds.
type Gauges struct {
	RoutingAge, EndpointsAge func() float64
	RoutingVersion           func() float64
	Peers, Reservations      func() float64
	Active                   func() float64
}

func init() {
	names := map[string]func(*Gauges) func() float64{
		"peridotpath_routing_age_seconds":   func(set *Gauges) func() float64 { return set.RoutingAge },
		"peridotpath_endpoints_age_seconds": func(set *Gauges) func() float64 { return set.EndpointsAge },
		"peridotpath_routing_version":       func(set *Gauges) func() float64 { return set.RoutingVersion },
		"peridotpath_peers":                 func(set *Gauges) func() float64 { return set.Peers },
		"peridotpath_reservations_held":     func(set *Gauges) func() float64 { return set.Reservations },
		"peridotpath_requests_active":       func(set *Gauges) func() float64 { return set.Active },
	}
	for name, pick := range names {
		metrics.NewGauge(name, func() float64 {
			if set := gauges.Load(); set != nil {
				return pick(set)()
			}
			return 0
		})
	}
}

// SetGauges takes the place of what was set before.
func SetGauges(set *Gauges) { gauges.Store(set) }
