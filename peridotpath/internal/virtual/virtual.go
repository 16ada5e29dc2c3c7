// Package virtual runs tests in virtual time.
package virtual

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs synctest.Test with GOMAXPROCS set to 1.
//
// The race detector of Go 1.26 crashes occasionally in a synctest bubble (SIGSEGV, or
// "CHECK failed" in tsan_rtl.cpp) when a channel timer fires: a goroutine that polls the
// timer's channel may run the timer itself, and all timers of a bubble share one detector
// context, which two processors then use concurrently. One processor excludes that. The
// detector finds the same races, since it tracks the order of events and not parallel
// execution.
func Test(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, test)
}
