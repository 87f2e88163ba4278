package fake

import "time"

// After calls f in its own goroutine once d has passed. It starts no timer for none: timers of no
// length can crash the runtime under the race detector with paused time.
func After(d time.Duration, f func()) {
	if d <= 0 {
		go f()
		return
	}
	time.AfterFunc(d, f)
}
