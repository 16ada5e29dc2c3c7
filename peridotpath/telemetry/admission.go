package telemetry

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// LongRefusal is when a long prompt was refused for lack of capacity.
type LongRefusal uint8

// The times of refusal.
const (
	RefusedAtOnce LongRefusal = iota
	RefusedAfterWait
	longRefusalCount
)

var longRefusalNames = [longRefusalCount]string{"at_once", "after_wait"}

var (
	longRefusals    = longRefusalCounters()
	returnsClaimed  = metrics.NewCounter("peridotpath_booked_returns_total")
	admissionGauges atomic.Pointer[AdmissionGauges]
)

func longRefusalCounters() [longRefusalCount]*metrics.Counter {
	var counters [longRefusalCount]*metrics.Counter
	for reason, name := range longRefusalNames {
		counters[reason] = metrics.NewCounter(fmt.Sprintf("peridotpath_long_refused_total{when=%q}", name))
	}
	return counters
}

// CountLongRefusal counts a long prompt that was refused for lack of capacity.
func CountLongRefusal(reason LongRefusal) { longRefusals[reason].Inc() }

// CountReturn counts a refused request that returned at its booked time.
func CountReturn() { returnsClaimed.Inc() }

// AdmissionGauges are the functions that return the gauges of the admission of long prompts.
type AdmissionGauges struct {
	// BookedReturns is the number of returns that are expected, PrefillCapacity the capacity of the
	// last decision in engine seconds a second.
	BookedReturns, PrefillCapacity func() float64
}

// SetAdmissionGauges replaces the functions of the gauges.
func SetAdmissionGauges(set *AdmissionGauges) { admissionGauges.Store(set) }

func init() {
	names := map[string]func(*AdmissionGauges) func() float64{
		"peridotpath_returns_booked":   func(set *AdmissionGauges) func() float64 { return set.BookedReturns },
		"peridotpath_prefill_capacity": func(set *AdmissionGauges) func() float64 { return set.PrefillCapacity },
	}
	for name, gauge := range names {
		metrics.NewGauge(name, func() float64 {
			if set := admissionGauges.Load(); set != nil {
				return gauge(set)()
			}
			return 0
		})
	}
}
