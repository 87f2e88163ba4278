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
}

// recentFailures returns the number of failures and stalls within
// failureWindow.
func (r *runHistory) recentFailures(now time.Time) int {
	count := 0
	for _, at := range slices.Concat(r.failures, r.stalls) {
		if now.Sub(at) < failureWindow {
			count++
		}
	}
	return count
}

// runTimeWeight is the weight of a new run time in the moving average of its
// queue.
const runTimeWeight = 0.05

// recordRunTime adds the duration of a run that this owner started to the
// average of its queue.
func (c *Cell) recordRunTime(r *run) {
	if r.inherited || r.startedBy == 0 {
		return
	}
	duration := c.options.Clock() - r.startedBy
	queue := r.entry.job.Key.Queue
	if mean := c.meanRunTimes[queue]; mean != 0 {
		duration = mean + time.Duration(runTimeWeight*float64(duration-mean))
	}
	c.meanRunTimes[queue] = duration
}

// Bounds of the ratio of a step's longest run time to the estimate, so that a few odd
// steps don't outweigh the estimate.
const (
	minStepRatio = 0.5
	maxStepRatio = 4
)

// recordStepTime adds a run that is done to its step. Once all tasks of the step are
// done, the longest run time updates the average ratio of its queue to the estimate: a
// step lasts as long as its slowest task.
func (c *Cell) recordStepTime(r *run) {
	step := r.entry.job.Step(r.id)
	if r.inherited || r.startedBy == 0 || step.Lasting || step.Estimate <= 0 {
		return
	}
	key := stepKey{r.id.Round, r.id.Step}
	if r.entry.longestRuns == nil {
		r.entry.longestRuns = make(map[stepKey]time.Duration)
	}
	longest := max(r.entry.longestRuns[key], c.options.Clock()-r.startedBy)
	r.entry.longestRuns[key] = longest
	if slices.ContainsFunc(r.entry.job.StepTasks(r.id), func(t tasks.Task) bool { return t.State != tasks.Done }) {
		return
	}
	ratio := min(max(float64(longest)/float64(step.Estimate), minStepRatio), maxStepRatio)
	queue := r.entry.job.Key.Queue
	if mean := c.stepRatios[queue]; mean != 0 {
		ratio = mean + runTimeWeight*(ratio-mean)
	}
	c.stepRatios[queue] = ratio
}

// criticalPath returns the expected length of the critical path of a job's round, and
// of what remains of it.
func (c *Cell) criticalPath(e *jobEntry) (total, remaining time.Duration) {
	total, remaining = e.job.CriticalPath()
	ratio := c.stepRatios[e.job.Key.Queue]
	if ratio == 0 {
		return total, remaining
	}
	return time.Duration(ratio * float64(total)), time.Duration(ratio * float64(remaining))
}

// recordEnd updates the history of a host when a run has ended.
func (c *Cell) recordEnd(h *host, r *run, reason tasks.EndReason) {
	if r.entry == nil {
		return
	}
	now := time.Now()
	switch {
	case reason == tasks.EndDone:
		h.history = runHistory{}
		c.recordRunTime(r)
	case reason == tasks.EndFailed && h.history.lastFailedJob != r.id.Job:
		h.history.lastFailedJob = r.id.Job
		h.history.failures = append(h.history.failures, now)
		if extra := len(h.history.failures) - maxFailures; extra > 0 {
			h.history.failures = h.history.failures[extra:]
		}
	}
}
