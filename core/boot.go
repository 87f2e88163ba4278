package core

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since some fixed moment.
type Clock func() time.Duration

// BootClock is a clock that goes on while the machine is suspended, unlike the
// runtime's. Whether a lease still holds is judged by it.
func BootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only where the kernel lacks the clock.
		panic("core: no clock that counts suspended time: " + err.Error())
	}
	return time.Duration(now.Nano())
}
