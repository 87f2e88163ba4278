package lease

import (
	"testing"
	"time"
)

// TestReadAfter checks that ReadAfter is never later than the time at which a reading was
// taken, nor much earlier, whatever the rate of the host's clock and however late replies are
// processed.
func TestReadAfter(t *testing.T) {
	for _, rate := range []float64{MinClockRate, 1, MaxClockRate} {
		hostTime := func(local time.Duration) time.Duration {
			return (5*time.Second + time.Duration(float64(local)*rate)).Truncate(time.Millisecond)
		}
		for _, late := range []time.Duration{0, 240 * time.Millisecond, 3 * time.Second} {
			var clock Clock
			clock.Observe(hostTime(9*time.Second), 8*time.Second, 9*time.Second+late)
			clock.Observe(hostTime(10*time.Second), 10*time.Second-5*time.Millisecond, 10*time.Second+late)
			clock.Observe(hostTime(9500*time.Millisecond), 7*time.Second, 11*time.Second+late)
			for _, at := range []time.Duration{4 * time.Second, 10 * time.Second, 12 * time.Second} {
				got := clock.ReadAfter(hostTime(at))
				if least := at - 300*time.Millisecond; got > at || got < least {
					t.Errorf("rate %v, %v late: got %v, want %v to %v", rate, late, got, least, at)
				}
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
			clock.Observe(read(latest), latest, latest)
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

// TestResetClockExpires guards against leases that never count as expired because the host's clock
// was reset and is never read again, and against such leases that count as expired too early.
func TestResetClockExpires(t *testing.T) {
	const (
		until    = 100 * time.Second
		maxLease = 6 * time.Second
		slowest  = maxLease * 100 / 98
	)
	var clock Clock
	clock.Observe(50*time.Second, 90*time.Second, 90*time.Second)
	clock.Reset(until, maxLease)
	for _, test := range []struct {
		at      time.Duration
		expired bool
	}{
		{until, false},
		{until + maxLease, false},
		{until + slowest - time.Millisecond, false},
		{until + slowest + time.Millisecond, true},
		{until + time.Hour, true},
	} {
		if got := clock.Expired(test.at); got != test.expired {
			t.Errorf("got expired %t %v after the reset, want %t", got, test.at-until, test.expired)
		}
		remaining, known := clock.Remaining(test.at)
		if want := max(0, until+slowest-test.at); !known || (remaining-want).Abs() > time.Microsecond {
			t.Errorf("got %v left and %t %v after the reset, want %v and true", remaining, known, test.at-until, want)
		}
	}
}

// TestInheritedClockExpires guards against leases of previous owners that count as expired from the
// first reading on.
func TestInheritedClockExpires(t *testing.T) {
	const length = 4 * time.Second
	var clock Clock
	clock.Inherit(length)
	if _, known := clock.Remaining(time.Hour); known || clock.Expired(time.Hour) {
		t.Error("got leases whose end is known before a reading, want none")
	}
	clock.Observe(50*time.Second, 90*time.Second, 90*time.Second)
	if clock.Expired(90*time.Second + length) {
		t.Errorf("got leases expired %v after the reading, want them valid", length)
	}
	if !clock.Expired(90*time.Second + length*103/100) {
		t.Errorf("got leases valid %v after the reading, want them expired", length*103/100)
	}
}
