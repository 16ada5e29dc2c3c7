package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, including suspended time. Go's
// monotonic clock stops while a machine is suspended, so that a lease of seconds would
// appear valid after a suspension of minutes. The wall clock counts the suspension, but it
// also steps.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has this clock since 2.6.39. Without it, leases would be unsafe.
		panic("clock: no boot time: " + err.Error())
	}
	return time.Duration(now.Nano())
}
