// Package virtual runs tests on virtual time.
package virtual

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test is synctest.Test on one processor.
//
// The race detector of Go 1.26 crashes now and then in a bubble (SIGSEGV, or
// "CHECK failed" in tsan_rtl.cpp) when a channel timer fires: a goroutine that
// looks at the timer's channel may run the timer itself, and all timers of a
// bubble share one context of the detector, which two processors then use at
// the same time. With one processor they can't. The detector goes by the order
// of events and not by what ran in parallel, so it finds the same races.
func Test(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, test)
}
