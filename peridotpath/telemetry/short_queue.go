package telemetry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	shortWaitsOnTime = metrics.NewGauge("peridotpath_short_prompts_waiting{state=\"on_time\"}", nil)
	shortWaitsLate   = metrics.NewGauge("peridotpath_short_prompts_waiting{state=\"late\"}", nil)
	shortQueueWait   = metrics.NewHistogram("peridotpath_short_queue_wait_seconds")
)

// SetShortWaits sets how many short prompts wait for a free slot, on time and late.
func SetShortWaits(onTime, late int) {
	shortWaitsOnTime.Set(float64(onTime))
	shortWaitsLate.Set(float64(late))
}

// RecordShortQueue records that a short prompt has left the queue for free slots, by what came of
// it, whether it was late and how long it waited.
func RecordShortQueue(verdict string, late bool, waited time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_short_queue_total{verdict=%q,late=\"%t\"}", verdict, late)).Inc()
	shortQueueWait.Update(waited.Seconds())
}
