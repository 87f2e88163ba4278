package sched

import "time"

const (
	// reachLogInterval is the time between two looks at how many hosts answer, each of which
	// writes at most one line.
	reachLogInterval = time.Second
	// answerInterval is the longest time from an answer of a host to the next one, besides
	// that on the way.
	answerInterval = ackWait + startReplyWait + heartbeatWait
)

// reach counts the hosts of the pool by whether the cell reaches them.
type reach struct {
	// listed are those that the pool lists, without retired ones. called are those of them
	// that the cell calls at present, as others are idle, and silent those of these that
	// don't answer.
	listed, called, silent int
	// writing are the silent hosts whose records were written after their next answers were
	// due, so that they went on, and servingRuns the runs of serving tasks on silent hosts.
	writing, servingRuns int
}

// countReach returns how many hosts the cell reaches.
func (c *Cell) countReach() reach {
	var counts reach
	for _, h := range c.hosts {
		if h.inPool && !h.isRetired() {
			counts.add(h, max(h.repliedAt, c.claimedAt)+answerInterval)
		}
	}
	return counts
}

// add counts a listed host whose next answer was due at a local time.
func (counts *reach) add(h *host, due time.Duration) {
	counts.listed++
	if len(h.runs) == 0 && h.isUpToDate() {
		return
	}
	counts.called++
	if h.missedHeartbeats == 0 {
		return
	}
	counts.silent++
	counts.servingRuns += h.servingRuns()
	if h.info.WrittenAfter > due {
		counts.writing++
	}
}

// isLow reports whether fewer than half of the hosts that are called answer.
func (counts reach) isLow() bool { return 2*(counts.called-counts.silent) < counts.called }

// logReach logs that fewer than half of the hosts answer, while that lasts, and when it ends. It
// decides nothing. c.mu must be held.
func (c *Cell) logReach() {
	now := c.options.Clock()
	if now-c.reachAt < reachLogInterval {
		return
	}
	c.reachAt = now
	counts := c.countReach()
	switch {
	case counts.isLow():
		if c.lowReachSince == 0 {
			c.lowReachSince = now
		}
		c.logger.Info("fewer than half of the hosts answer", "listed", counts.listed, "called", counts.called, "silent", counts.silent,
			"writing", counts.writing, "servingRuns", counts.servingRuns, "for", (now - c.lowReachSince).Round(time.Millisecond))
	case c.lowReachSince != 0:
		c.logger.Info("half of the hosts or more answer again", "listed", counts.listed, "called", counts.called, "silent", counts.silent,
			"after", (now - c.lowReachSince).Round(time.Millisecond))
		c.lowReachSince = 0
	}
}
