package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the host booted, including suspension.
func bootTime() time.Duration {
	ts := unix.Timespec{}
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) // every kernel since 2.6.39 has it
	return time.Duration(ts.Nano())
}
