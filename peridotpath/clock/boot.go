package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, suspended time
// included. Go's monotonic clock stands still while a machine is suspended: what
// may be done for seconds only would seem in time after a pause of minutes. The
// time of day counts the pause, but it also steps.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39; without it nothing here is safe.
		panic("clock: no boot time: " + err.Error())
	}
	return time.Duration(now.Nano())
}
