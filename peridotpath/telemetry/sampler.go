package telemetry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// LogSampler limits the log lines of one kind to a number in each second, and counts those left
// out. Set the exported field before use.
type LogSampler struct {
	// PerSecond is the maximum number of lines in a second.
	PerSecond int

	mutex       sync.Mutex
	windowStart time.Time
	windowLines int
	leftOut     int
}

var logLinesSampledOut = metrics.NewCounter("peridotpath_log_lines_left_out_total")

// Allow reports whether a line may be written now.
func (logSampler *LogSampler) Allow(now time.Time) bool {
	_, allowed := logSampler.Take(now)
	return allowed
}

// Take reports whether a line may be written now, and how many have been left out since the last one
// that was written.
func (logSampler *LogSampler) Take(now time.Time) (leftOut int, allowed bool) {
	logSampler.mutex.Lock()
	defer logSampler.mutex.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(logSampler.windowStart) {
		logSampler.windowStart, logSampler.windowLines = second, 0
	}
	if logSampler.windowLines >= logSampler.PerSecond {
		logLinesSampledOut.Inc()
		logSampler.leftOut++
		return 0, false
	}
	logSampler.windowLines++
	leftOut, logSampler.leftOut = logSampler.leftOut, 0
	return leftOut, true
}

// KindSampler limits the log lines of each kind to a number in each second. Kinds are words of this
// program, never of a caller, so that there are few. Set the exported field before use.
type KindSampler struct {
	// PerSecond is the maximum number of lines of one kind in a second.
	PerSecond int

	mutex    sync.Mutex
	samplers map[string]*LogSampler
}

// Take reports whether a line of the kind may be written now, and how many of it have been left out
// since the last one that was written. A nil sampler leaves none out.
func (kindSampler *KindSampler) Take(kind string, now time.Time) (leftOut int, allowed bool) {
	if kindSampler == nil {
		return 0, true
	}
	return kindSampler.sampler(kind).Take(now)
}

func (kindSampler *KindSampler) sampler(kind string) *LogSampler {
	kindSampler.mutex.Lock()
	defer kindSampler.mutex.Unlock()
	sampler := kindSampler.samplers[kind]
	if sampler == nil {
		if kindSampler.samplers == nil {
			kindSampler.samplers = map[string]*LogSampler{}
		}
		sampler = &LogSampler{PerSecond: kindSampler.PerSecond}
		kindSampler.samplers[kind] = sampler
	}
	return sampler
}

// AddLeftOut adds to a line how many of its kind have been left out, if there are any.
func AddLeftOut(event *zerolog.Event, leftOut int) *zerolog.Event {
	if leftOut == 0 {
		return event
	}
	return event.Int("left_out", leftOut)
}
