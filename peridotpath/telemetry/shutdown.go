package telemetry

import "github.com/VictoriaMetrics/metrics"

var (
	exitRefusals = metrics.NewCounter(`peridotpath_exit_refusals_total{sent="false"}`)
	exitFailures = metrics.NewCounter(`peridotpath_exit_refusals_total{sent="true"}`)
)

// CountExitRefusal counts a request that this instance can't answer before it exits: refused as not
// sent, or failed since an endpoint may have run it.
func CountExitRefusal(wasSent bool) {
	if wasSent {
		exitFailures.Inc()
		return
	}
	exitRefusals.Inc()
}
