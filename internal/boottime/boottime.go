// Package boottime reads the clock that leases, the age of data and deadlines are
// checked against. Unlike Go's monotonic clock it continues while the machine is
// suspended, and unlike the wall clock it never jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time during which it
// was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease or deadline
		// can be checked.
		panic("boottime: the system has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
