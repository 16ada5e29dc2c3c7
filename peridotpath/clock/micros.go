package clock

import "time"

// maxMicros is the longest duration that instances exchange, ten years.
const maxMicros = 10 * 365 * 24 * 3600 * 1_000_000

// Micros encodes a duration for exchange between instances; a negative one becomes zero.
func Micros(duration time.Duration) uint64 { return uint64(max(duration, 0).Microseconds()) }

// FromMicros decodes a received duration. It is bounded: a number that overflows
// time.Duration would become negative, and a negative age would make a snapshot valid for
// longer than its lifetime.
func FromMicros(micros uint64) time.Duration {
	return time.Duration(min(micros, maxMicros)) * time.Microsecond
}
