package sched

import (
	"slices"
	"time"

	"rattanpath/tasks"
)

const (
	// failureWindow is how long a failed or stalled run counts against its host.
	failureWindow = 10 * time.Second
	// maxFailures limits the failed runs that count against a host.
	maxFailures = 4
)

// runHistory holds the recent failures of a host.
type runHistory struct {
	// failures are the times at which runs of different jobs failed since a run
	// last succeeded.
	failures []time.Time
	// lastFailedJob is the last job of which a run failed.
	lastFailedJob string
	// stalls are the times at which stalled runs were detected.
	stalls []time.Time
	// lostStarts are the times at which start commands turned out to be lost.
	lostStarts []time.Time
}

// recentFailures returns the number of failures, stalls and lost starts within
// failureWindow.
func (r *runHistory) recentFailures(now time.Time) int {
	count := 0
	for _, at := range slices.Concat(r.failures, r.stalls, r.lostStarts) {
		if now.Sub(at) < failureWindow {
			count++
		}
	}
	return count
}

// recordLostStart records that a host answers, but a start command had no effect. Others are
// preferred to it for failureWindow.
func (h *host) recordLostStart(now time.Time) {
	h.history.lostStarts = append(h.history.lostStarts, now)
	if extra := len(h.history.lostStarts) - maxFailures; extra > 0 {
		h.history.lostStarts = h.history.lostStarts[extra:]
	}
}

// recordEnd updates the history of a host when a run has ended.
func (c *Cell) recordEnd(h *host, r *run, reason tasks.EndReason) {
	if r.entry == nil {
		return
	}
	now := time.Now()
	switch {
	case reason == tasks.EndDone:
		// That earlier runs end doesn't show that the host takes new ones.
		h.history = runHistory{lostStarts: h.history.lostStarts}
		c.recordRunTime(r)
	case reason == tasks.EndFailed && h.history.lastFailedJob != r.id.Job:
		h.history.lastFailedJob = r.id.Job
		h.history.failures = append(h.history.failures, now)
		if extra := len(h.history.failures) - maxFailures; extra > 0 {
			h.history.failures = h.history.failures[extra:]
		}
	}
}
