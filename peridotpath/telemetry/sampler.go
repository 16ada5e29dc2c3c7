package telemetry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// LogSampler limits the log lines of successful requests to a number in each second, and
// counts those left out. Failures are always logged and bypass it.
type LogSampler struct {
	// PerSecond is the maximum number of lines in a second.
	PerSecond int

	mutex       sync.Mutex
	windowStart time.Time
	windowLines int
}

var logLinesSampledOut = metrics.NewCounter("peridotpath_log_lines_left_out_total")

// Allow reports whether a line may be written now.
func (logSampler *LogSampler) Allow(now time.Time) bool {
	logSampler.mutex.Lock()
	defer logSampler.mutex.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(logSampler.windowStart) {
		logSampler.windowStart, logSampler.windowLines = second, 0
	}
	if logSampler.windowLines >= logSampler.PerSecond {
		logLinesSampledOut.Inc()
		return false
	}
	logSampler.windowLines++
	return true
}
