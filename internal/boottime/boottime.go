// Package boottime is the clock by which leases, freshness and deadlines are
// judged. Unlike the runtime's monotonic clock it goes on while the machine is
// suspended, and unlike the time of day it never jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it nothing can be judged.
		panic("boottime: the system has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
