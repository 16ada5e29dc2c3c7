package telemetry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// DialResult is how a dial ended.
type DialResult uint8

// The results of dials.
const (
	DialConnected DialResult = iota
	DialRefused
	DialTimeout
	// DialCancelled: the caller of the dial no longer needed it.
	DialCancelled
	DialFailed
	dialResultCount
)

var dialTime [dialResultCount]*metrics.Histogram

func init() {
	for result, name := range [dialResultCount]string{"connected", "refused", "timeout", "cancelled", "failed"} {
		dialTime[result] = metrics.NewHistogram(fmt.Sprintf("peridotpath_dial_seconds{result=%q}", name))
	}
}

// RecordDial records how a dial ended and how long it took.
func RecordDial(result DialResult, span time.Duration) { dialTime[result].Update(span.Seconds()) }
