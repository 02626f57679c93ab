// Package clock reads the clock that also counts time while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, suspended time included. Ages that guard a promise use it, because
// the monotonic clock of package time stands still during a suspension.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39, so a failure leaves nothing that could be trusted.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
