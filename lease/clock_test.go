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

// TestOvertakenReplyIsNoRestart checks that a reply that is processed after a later one
// doesn't count as a restart of the host, whatever the rate of its clock, and that the
// reply of a new incarnation does.
func TestOvertakenReplyIsNoRestart(t *testing.T) {
	const (
		booted = 10 * time.Second
		latest = 100 * time.Second
	)
	for _, rate := range []float64{MinClockRate, 1, MaxClockRate} {
		read := func(at time.Duration) time.Duration {
			return time.Duration(float64(at-booted) * rate).Truncate(time.Millisecond)
		}
		for _, lag := range []time.Duration{0, 10 * time.Millisecond, 200 * time.Millisecond, time.Second, 5 * time.Second} {
			var clock Clock
			clock.Observe(read(latest), latest)
			sent := latest - lag
			if clock.Restarted(read(sent), sent) {
				t.Errorf("got a restart from a reply made %v before the last one at rate %v, want none", lag, rate)
			}
			if restarted := time.Second; !clock.Restarted(restarted, sent) {
				t.Errorf("got no restart from a clock at %v, %v before the last reading of %v, want one", restarted, lag, read(latest))
			}
		}
	}
}
