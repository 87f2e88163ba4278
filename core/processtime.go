package core

import (
	"syscall"
	"time"
)

// ProcessTime returns the processor time that this process has used, 0 if that isn't known.
func ProcessTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
