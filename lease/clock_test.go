package lease

import (
	"testing"
	"time"
)

// TestSince checks that Since never returns less than the time that has passed, whatever
// the rate of the host's clock.
func TestSince(t *testing.T) {
	for _, rate := range []float64{MinClockRate, 1} {
		hostTime := func(local time.Duration) time.Duration {
			return 5*time.Second + time.Duration(float64(local)*rate)
		}
		var clock Clock
		clock.Observe(hostTime(10*time.Second), 10*time.Second)
		for _, passed := range []time.Duration{0, time.Second, 8 * time.Second} {
			now := 12 * time.Second
			got := clock.Since(hostTime(now-passed), now)
			if most := passed + 300*time.Millisecond; got < passed || got > most {
				t.Errorf("rate %v: got %v, want %v to %v", rate, got, passed, most)
			}
		}
	}
}
