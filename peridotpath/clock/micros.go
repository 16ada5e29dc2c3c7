package clock

import "time"

// maxMicros is the longest span that instances tell each other, ten years.
const maxMicros = 10 * 365 * 24 * 3600 * 1_000_000

// Micros returns a span as instances tell it; a negative one counts as none.
func Micros(span time.Duration) uint64 { return uint64(max(span, 0).Microseconds()) }

// FromMicros returns a span that was told. It is bounded: a number that a span
// cannot hold would come out negative, and an age like that would confirm a
// reading for the future.
func FromMicros(micros uint64) time.Duration {
	return time.Duration(min(micros, maxMicros)) * time.Microsecond
}
