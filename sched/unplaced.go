package sched

import (
	"time"

	"rattanpath/tasks"
)

// unplacedInterval is the time between two counts of the tasks that no host can take.
const unplacedInterval = 500 * time.Millisecond

// recentUnplaced returns what unplacedServing returned within unplacedInterval.
func (c *Cell) recentUnplaced(now time.Time) int {
	if clock := c.options.Clock(); c.unplacedAt == 0 || clock-c.unplacedAt >= unplacedInterval {
		c.unplaced, c.unplacedAt = c.unplacedServing(now), clock
	}
	return c.unplaced
}

// unplacedServing returns the number of serving tasks that wait, or are to be stopped for
// maintenance, and that no host can take at present, whatever advisors and caps allow.
func (c *Cell) unplacedServing(now time.Time) int {
	next := c.newNextHosts(now)
	for _, h := range c.hosts {
		if !h.isVacated(now) {
			continue
		}
		for _, r := range h.runs {
			if !r.stopping && c.isNeeded(r) {
				next.reserve(r)
			}
		}
	}
	return next.unplacedCount()
}

// isNeeded reports whether a run is of a serving task that needs another run once this one ends.
func (c *Cell) isNeeded(r *run) bool {
	if r.entry == nil || !c.open[r.entry] {
		return false
	}
	return r.entry.job.Step(r.id).Serves()
}

// isWaitingServing reports whether a step has serving tasks that are ready and wait.
func isWaitingServing(job *tasks.Job, round *tasks.Round, step int) bool {
	spec := &job.Plan.Steps[step]
	return spec.Serves() && round.Waiting(step) > 0 && job.DependenciesDone(round, step)
}
