package sched

import (
	"slices"
	"time"

	"rattanpath/tasks"
)

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
	c.recordPace(r, fullPercent, duration)
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
	return scaleTime(total, ratio), scaleTime(remaining, ratio)
}

// maxScaledTime limits what callers' estimates amount to. The sum of two is still a time.Duration.
const maxScaledTime = 100 * 365 * 24 * time.Hour

// scaleTime returns a multiple of a time, at most maxScaledTime: what a float64 becomes that is too
// large for a time.Duration depends on the processor.
func scaleTime(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(factor*float64(d), float64(maxScaledTime)))
}
