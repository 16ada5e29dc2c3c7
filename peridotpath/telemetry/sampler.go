package telemetry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Sampler bounds the lines of what went well: some each second, the others
// counted. Failures are no business of its, and are always logged.
type Sampler struct {
	// PerSecond is how many lines there may be in a second.
	PerSecond int

	mutex  sync.Mutex
	second time.Time
	lines  int
}

var logLinesSampled = metrics.NewCounter("peridotpath_log_lines_left_out_total")

// Allow reports whether a line may be written now.
func (sampler *Sampler) Allow(now time.Time) bool {
	sampler.mutex.Lock()
	defer sampler.mutex.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(sampler.second) {
		sampler.second, sampler.lines = second, 0
	}
	if sampler.lines >= sampler.PerSecond {
		logLinesSampled.Inc()
		return false
	}
	sampler.lines++
	return true
}
