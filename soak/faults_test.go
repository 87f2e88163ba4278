package soak

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// settleTime is how long after the end of a fault the promises with a time bound don't hold.
const settleTime = 3 * time.Second

// faultLog knows when faults were active, and logs them.
type faultLog struct {
	out   io.Writer
	start time.Time

	mu     sync.Mutex
	active int
	// lastEnd is the end of the fault that ended last.
	lastEnd time.Time
}

func newFaultLog(out io.Writer) *faultLog {
	now := time.Now()
	return &faultLog{out: out, start: now, lastEnd: now}
}

// printf logs a line with the time since the start.
func (f *faultLog) printf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	_, _ = fmt.Fprintf(f.out, "%s %7.3f %s\n", now.Format("15:04:05.000"), now.Sub(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// begin logs the beginning of a fault, which is active until end is called.
func (f *faultLog) begin(format string, args ...any) (end func()) {
	f.printf(format, args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.active--
		f.lastEnd = time.Now()
	}
}

// record logs a fault that ends at once.
func (f *faultLog) record(format string, args ...any) { f.begin(format, args...)() }

// calmFor returns for how long no fault has been active or just ended.
func (f *faultLog) calmFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active > 0 {
		return 0
	}
	return max(0, time.Since(f.lastEnd)-settleTime)
}
