package lease

import "time"

// Slowest is how much of real time a host's clock shows at least.
const Slowest = 0.98

// Clock estimates a host's clock from its answers. Its own times are readings
// of a clock that goes on while this machine is suspended.
type Clock struct {
	shown time.Duration
	at    time.Duration
	known bool
	// granted is the latest end of a lease that any order has named.
	granted time.Duration
	// restarted is the longest lease that may have been granted before the clock
	// was known anew; 0 if it didn't restart.
	restarted time.Duration
}

// Began reports whether an answer to a call that was sent at a local time shows
// that the clock began anew since the last one.
func (c *Clock) Began(shown, sent time.Duration) bool {
	return c.known && shown > 0 && shown < c.atLeast(sent)-rounding
}

// rounding is by how much a clock that is shown in whole milliseconds may seem
// to go back.
const rounding = 2 * time.Millisecond

// Learn takes in an answer that was received at a local time.
func (c *Clock) Learn(shown, received time.Duration) {
	if shown <= 0 || (c.known && c.atLeast(received) > shown) {
		return
	}
	c.shown, c.at, c.known = shown, received, true
	if c.restarted > 0 {
		c.granted = max(c.granted, shown+c.restarted)
		c.restarted = 0
	}
}

// Known reports whether the host has shown its clock.
func (c *Clock) Known() bool { return c.known }

// Until returns the end of a lease of the given length from now and notes that
// it was granted.
func (c *Clock) Until(now, length time.Duration) time.Duration {
	if !c.known {
		return 0
	}
	until := (c.shown + now - c.at + length).Truncate(time.Millisecond)
	c.granted = max(c.granted, until)
	return until
}

// Restart notes that the host's clock began anew, and that leases of up to the
// given length may have been granted on the new one.
func (c *Clock) Restart(longest time.Duration) {
	*c = Clock{restarted: longest}
}

// atLeast returns what the host's clock shows at least.
func (c *Clock) atLeast(now time.Duration) time.Duration {
	return c.shown + time.Duration(float64(now-c.at)*Slowest)
}

// Remaining returns after what time every lease that was granted has surely
// ended, and false if that isn't known.
func (c *Clock) Remaining(now time.Duration) (time.Duration, bool) {
	if !c.known {
		return 0, false
	}
	left := time.Duration(float64(c.granted-c.shown)/Slowest) - (now - c.at)
	return max(0, left), true
}

// Over reports whether every lease that was granted has surely ended.
func (c *Clock) Over(now time.Duration) bool {
	return c.known && c.atLeast(now) > c.granted
}
