package core

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time elapsed since a fixed but unspecified moment.
type Clock func() time.Duration

// BootClock reads CLOCK_BOOTTIME. Lease expiry is measured with it because, unlike
// the monotonic clock of the Go runtime, it keeps running while the machine is
// suspended.
func BootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only if the kernel doesn't support CLOCK_BOOTTIME.
		panic("core: reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
