package sched

import (
	"time"

	"rattanpath/lease"
)

// tokensPerEpoch is the number of fencing tokens of one epoch.
const tokensPerEpoch = 1000

// token returns the fencing token for commands to a host. It rises with each
// incarnation of the host, so that a later one refuses commands to an earlier
// one.
func (c *Cell) token(h *host) int64 {
	return c.epoch*tokensPerEpoch + min(h.restarts, tokensPerEpoch-1)
}

// leaseLength returns the duration of a new lease.
func (c *Cell) leaseLength() time.Duration { return leaseLength(c.options.MaxLease) }

// leaseLength returns the same, given the longest lease that a host grants.
func leaseLength(longest time.Duration) time.Duration {
	return min(maxLease, time.Duration(float64(longest)*leaseFraction))
}

// inheritedLeaseEnd returns when all leases that previous owners granted to the host of a run
// have expired.
func (c *Cell) inheritedLeaseEnd(h *host, r *run) time.Duration {
	if remaining, known := c.unexpiredLeases[h.id]; known {
		return c.claimedAt + remaining
	}
	switch {
	case c.claim.PreviousNode == "" || c.claim.PreviousReleased:
		return c.claimedAt + releasedLease(c.options.MaxLease)
	case r.isRunning():
		return c.claimedAt + takeoverWait(c.options.MaxLease)
	default:
		return c.claimedAt + startTakeoverWait(c.options.MaxLease, r.maxStartDelay())
	}
}

// releasedLease returns how long after its release of the cell an owner's leases last on hosts for
// which it has recorded nothing else.
func releasedLease(longestLease time.Duration) time.Duration {
	return lease.LongestTime(leaseLength(longestLease)) + takeoverMargin
}

// takeoverWait returns how long after its claim an owner waits for the leases of hosts that have
// confirmed their runs to the previous one. If they had restarted before, their leases may be longer
// than those that were granted since.
func takeoverWait(longestLease time.Duration) time.Duration {
	return max(releasedLease(longestLease)+ownershipTimeout, lease.LongestTime(longestLease)+takeoverMargin)
}

// MaxTakeoverWait returns how long after its claim an owner waits at most for the leases of
// hosts that it can't reach, given the longest lease that a host grants. Only for members of gangs, whose
// start commands are sent for longer, it waits longer.
func MaxTakeoverWait(longestLease time.Duration) time.Duration {
	return startTakeoverWait(longestLease, maxStartDelay)
}

// startTakeoverWait returns the same for runs whose start commands are sent for up to a delay. A command
// of the previous owner may have reached a later incarnation of the host than it was meant for.
func startTakeoverWait(longestLease, startDelay time.Duration) time.Duration {
	return max(takeoverWait(longestLease), startDelay+lease.MaxDelivery+lease.LongestTime(longestLease))
}

// inheritLease records that a host which this cell knows from now on may hold a lease for a command
// that was made before: by a previous owner, or before the cell forgot the host.
func (c *Cell) inheritLease(h *host, forgotten bool) {
	now := c.options.Clock()
	isRecent := c.claimedAt == 0 || now < c.claimedAt+ownershipTimeout+lease.MaxDelivery+lease.LongestTime(c.options.MaxLease)
	if forgotten || c.claim != nil && c.claim.PreviousNode != "" && isRecent {
		h.clock.Inherit(c.options.MaxLease)
	}
}

// resetClock records that the readings of a host's clock no longer hold. Commands on their way
// may still extend its lease. If it never answers again, its runs must be given up all the same.
func (c *Cell) resetClock(h *host) {
	h.clock.Reset(c.options.Clock()+takeoverMargin, c.options.MaxLease)
}

// firstReplyTime is how long after a takeover a host may take to answer its new owner.
const firstReplyTime = 750 * time.Millisecond

// isUnresponsive reports whether a host with runs of a previous owner has not answered
// this owner in time. Such a run may have ended before its lease expired, which only the
// host can tell.
func (c *Cell) isUnresponsive(h *host) bool {
	return h.missedHeartbeats > 0 || c.options.Clock()-c.claimedAt > firstReplyTime
}

// expireLeases ends the runs of hosts on which every lease has expired.
func (c *Cell) expireLeases() {
	now := c.options.Clock()
	for _, h := range c.hosts {
		expired := h.clock.Expired(now)
		expiredInAny := h.clock.RemainingInAnyIncarnation(now, c.options.MaxLease) == 0
		for _, r := range h.runs {
			switch {
			case r.hasLeft(h) && c.isUnresponsive(h), h.hasMissedStart(r, now):
				c.loseRun(h, r, h.retiredFor)
			case r.state == runInherited:
				if now > c.inheritedLeaseEnd(h, r) && c.isUnresponsive(h) {
					c.loseRun(h, r, r.inheritedLoss(h))
				}
			case r.state == runPlanned || h.missedHeartbeats == 0:
			case expired && (expiredInAny || r.isAnswered()):
				c.loseRun(h, r, lossLease)
			}
		}
		if h.info == nil && len(h.runs) == 0 {
			c.forgetHost(h)
		}
	}
}

// inheritedLoss returns why a run of a previous owner is over whose lease has expired. If the
// record of its host is of a later incarnation, the host has restarted, as it would itself have
// reported (see loseInherited).
func (r *run) inheritedLoss(h *host) lossReason {
	task := r.entry.job.Task(r.id)
	if h.info != nil && task != nil && task.HostIncarnation != 0 && h.info.Incarnation > task.HostIncarnation {
		return lossRestarted
	}
	return lossInheritedLease
}

// remainingLease returns how long leases may still be valid on a host with runs that
// this owner can't reach, or whose leases are longer than the next owner assumes. It is unknown for
// others.
func (c *Cell) remainingLease(h *host, now time.Duration) (remaining time.Duration, known bool) {
	onlyInherited := h.onlyInheritedRuns()
	for _, r := range h.runs {
		if r.state == runInherited && !onlyInherited {
			continue
		}
		left, leftKnown := c.runLease(h, r, now)
		remaining, known = max(remaining, left), known || leftKnown
	}
	unusual := onlyInherited || h.missedHeartbeats > 0 || remaining > releasedLease(c.options.MaxLease)
	return remaining, known && unusual
}

// runLease returns how long until all leases of a run have certainly expired, and whether that is
// known.
func (c *Cell) runLease(h *host, r *run, now time.Duration) (remaining time.Duration, known bool) {
	switch {
	case r.state == runPlanned:
		return 0, true
	case r.state == runInherited:
		return max(0, c.inheritedLeaseEnd(h, r)-now), true
	case r.isAnswered():
		return h.clock.Remaining(now)
	default:
		remaining, _ = h.clock.Remaining(now)
		return max(remaining, h.clock.RemainingInAnyIncarnation(now, c.options.MaxLease)), true
	}
}

// onlyInheritedRuns reports whether the host has never answered this owner since it
// took over runs there: this owner has then granted no lease.
func (h *host) onlyInheritedRuns() bool {
	for _, r := range h.runs {
		if r.state != runInherited {
			return false
		}
	}
	return true
}
