package lease

import "time"

// MinClockRate and MaxClockRate bound the rate of a host's clock relative to real time.
const (
	MinClockRate = 0.98
	MaxClockRate = 1.02
)

// Clock estimates a host's clock from its replies. Local times are readings of a
// monotonic clock that keeps running while this machine is suspended.
type Clock struct {
	hostTime  time.Duration
	localTime time.Duration
	synced    bool
	// calledHostTime is the reading in the reply to a call that was sent at calledAt. Of
	// all replies it is the one that tells best when a reading was taken at the earliest.
	calledHostTime time.Duration
	calledAt       time.Duration
	// maxExpiry is the latest lease expiry sent in any command.
	maxExpiry time.Duration
	// leaseBeforeSync is the longest lease that may have been granted before the next
	// reading, by a previous owner or since a restart of the host's clock; 0 if none was.
	leaseBeforeSync time.Duration
	// unsyncedUntil is the local time at which, after a restart of the host's clock, all
	// leases have expired without a further reading; 0 if it didn't restart.
	unsyncedUntil time.Duration
	// grantedAt is the local time at which a lease was last granted, 0 if none was.
	grantedAt time.Duration
}

// Restarted reports whether hostTime, read in the reply to a call sent at the given
// local time, shows that the host's clock restarted since the last reading.
func (c *Clock) Restarted(hostTime, sent time.Duration) bool {
	return c.synced && hostTime > 0 && hostTime < c.minHostTime(sent)-clockRounding
}

// clockRounding is how far a clock that is reported in whole milliseconds may appear
// to go back.
const clockRounding = 2 * time.Millisecond

// Observe records a reading of the host's clock in the reply to a call that was sent and
// answered at the given local times. It ignores 0 and readings below the current lower
// bound.
func (c *Clock) Observe(hostTime, sent, received time.Duration) {
	if hostTime <= 0 {
		return
	}
	if !c.synced || sent > c.ReadAfter(hostTime) {
		c.calledHostTime, c.calledAt = hostTime, sent
	}
	if c.synced && c.minHostTime(received) > hostTime {
		return
	}
	c.hostTime, c.localTime, c.synced = hostTime, received, true
	if c.leaseBeforeSync > 0 {
		c.maxExpiry = max(c.maxExpiry, hostTime+c.leaseBeforeSync)
		c.leaseBeforeSync = 0
	}
}

// Synced reports whether a reading of the host's clock is known.
func (c *Clock) Synced() bool { return c.synced }

// Grant returns and records the expiry, on the host's clock, of a lease of at most the
// given length from now. It returns 0 if the clock isn't synced.
func (c *Clock) Grant(now, length time.Duration) time.Duration {
	if !c.synced {
		return 0
	}
	expiry := (c.minHostTime(now) + length).Truncate(time.Millisecond)
	c.maxExpiry = max(c.maxExpiry, expiry)
	c.grantedAt = now
	return expiry
}

// Inherit records that previous owners may have granted leases of up to the given length before
// the first reading of the host's clock.
func (c *Clock) Inherit(length time.Duration) { c.leaseBeforeSync = length }

// Reset records that the host's clock restarted, and that leases of up to maxLease may have been
// granted on the new clock, by commands that reached the host until the given local time.
func (c *Clock) Reset(until, maxLease time.Duration) {
	*c = Clock{leaseBeforeSync: maxLease, unsyncedUntil: until + LongestTime(maxLease), grantedAt: c.grantedAt}
}

// LongestTime returns how long a lease of a length on a host's clock may last.
func LongestTime(length time.Duration) time.Duration {
	return time.Duration(float64(length) / MinClockRate)
}

// ReadAfter returns a lower bound of the local time at which the host's clock showed a
// reading. The clock must be synced.
func (c *Clock) ReadAfter(hostTime time.Duration) time.Duration {
	rate := MaxClockRate
	if hostTime < c.calledHostTime {
		rate = MinClockRate
	}
	return c.calledAt + time.Duration(float64(hostTime-c.calledHostTime)/rate) - clockRounding
}

// minHostTime returns a lower bound of the host's clock at a local time, which may be
// before the last reading.
func (c *Clock) minHostTime(now time.Duration) time.Duration {
	rate := MinClockRate
	if now < c.localTime {
		rate = MaxClockRate
	}
	return c.hostTime + time.Duration(float64(now-c.localTime)*rate)
}

// Remaining returns how long until all granted leases have certainly expired, or
// false if that isn't known.
func (c *Clock) Remaining(now time.Duration) (time.Duration, bool) {
	switch {
	case c.synced:
	case c.unsyncedUntil > 0:
		return max(0, c.unsyncedUntil-now), true
	default:
		return 0, false
	}
	remaining := time.Duration(float64(c.maxExpiry-c.hostTime)/MinClockRate) - (now - c.localTime)
	return max(0, remaining), true
}

// RemainingInAnyIncarnation returns how long until all leases have certainly expired although the host may
// have restarted unnoticed, given the longest lease that it grants. A command that was meant for its
// former incarnation may have reached the new one, on whose clock the expiry in it is far ahead.
func (c *Clock) RemainingInAnyIncarnation(now, maxLease time.Duration) time.Duration {
	return max(0, c.grantedAt+MaxDelivery+LongestTime(maxLease)-now)
}

// Expired reports whether all granted leases have certainly expired.
func (c *Clock) Expired(now time.Duration) bool {
	if !c.synced {
		return c.unsyncedUntil > 0 && now > c.unsyncedUntil
	}
	return c.minHostTime(now) > c.maxExpiry
}
