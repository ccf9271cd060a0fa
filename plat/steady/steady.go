// Package steady reads a monotonic clock that keeps running while the machine is suspended.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time on the boot-time clock. It is meaningful only in comparison with other times of the same boot of this machine.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // not reached: every supported kernel has this clock
	}
	return time.Unix(t.Unix())
}
