package telemetry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var prefillPlaced = metrics.NewFloatCounter("peridotpath_prefill_placed_seconds_total")

// CountPrefillPlaced counts the prefill time, on one engine, of a long prompt that was
// dispatched. Its rate over all instances is the prefill throughput in engines.
func CountPrefillPlaced(prefill time.Duration) { prefillPlaced.Add(prefill.Seconds()) }
