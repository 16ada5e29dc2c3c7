package telemetry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Sampler limits the log lines of successful requests to a number in each second, and
// counts those left out. Failures are always logged and bypass it.
type Sampler struct {
	// PerSecond is the maximum number of lines in a second.
	PerSecond int

	mutex  sync.Mutex
	second time.Time
	lines  int
}

var logLinesLeftOut = metrics.NewCounter("peridotpath_log_lines_left_out_total")

// Allow reports whether a line may be written now.
func (sampler *Sampler) Allow(now time.Time) bool {
	sampler.mutex.Lock()
	defer sampler.mutex.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(sampler.second) {
		sampler.second, sampler.lines = second, 0
	}
	if sampler.lines >= sampler.PerSecond {
		logLinesLeftOut.Inc()
		return false
	}
	sampler.lines++
	return true
}
