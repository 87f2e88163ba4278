package sched

import (
	"math"
	"time"

	"rattanpath/tasks"
)

const (
	// startTransit is the part of Options.MaxRecordAge left for a start command to reach
	// its host.
	startTransit = 500 * time.Millisecond
	// unknownTime is a local time before any other.
	unknownTime = time.Duration(math.MinInt64 / 2)
)

// recordTime returns a lower bound of the local time at which a host wrote its record.
// Two clocks show it: this node's, but not for a record that was there at the first
// read, and the host's, whose estimate drifts while the host isn't called. The record of a
// former incarnation tells nothing of this one.
func (h *host) recordTime() time.Duration {
	if !h.hasOwnRecord() {
		return unknownTime
	}
	written := unknownTime
	if h.info.WrittenAfter > 0 {
		written = h.info.WrittenAfter
	}
	if h.info.HostTime > 0 && h.info.Incarnation == h.incarnation && h.clock.Synced() {
		written = max(written, h.clock.ReadAfter(h.info.HostTime))
	}
	return written
}

// hasOwnRecord reports whether the record of the host is of the incarnation that has answered, as far
// as that is known. Another one may be of a different kind.
func (h *host) hasOwnRecord() bool {
	return h.info.Incarnation == 0 || h.incarnation == 0 || h.info.Incarnation == h.incarnation
}

// isRecent reports whether a record written at a local time still shows the capacity of
// its host.
func (c *Cell) isRecent(written, now time.Duration) bool {
	return c.options.MaxRecordAge == 0 || now-written <= c.options.MaxRecordAge-startTransit
}

// hasRecentRecord reports whether runs may be assigned by the record of a host at a local
// time.
func (c *Cell) hasRecentRecord(h *host, now time.Duration) bool {
	return h.hasOwnRecord() && c.isRecent(h.recordTime(), now)
}

// hasRoom reports whether a planned run may still be started on its host. It may while
// the record by which it was assigned is recent, since that keeps gangs whole. After
// that, it must fit by the newest one.
func (c *Cell) hasRoom(h *host, r *run, now time.Duration) bool {
	if c.isRecent(r.recordTime, now) {
		return true
	}
	return c.hasRecentRecord(h, now) && h.info.Capacity.CanFit(h.usedBySent().Add(r.resources))
}

// usedBySent returns the resources of the runs whose start commands were sent.
func (h *host) usedBySent() tasks.Resources {
	var used tasks.Resources
	for _, r := range h.runs {
		if r.state != runPlanned {
			used = used.Add(r.resources)
		}
	}
	return used
}
