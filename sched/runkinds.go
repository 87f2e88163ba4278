package sched

import (
	"math/bits"
	"time"

	"rattanpath/tasks"
)

// runKind identifies runs that are expected to take about as long: those of a queue with
// estimates of the same magnitude. Runs without an estimate are a kind of their own.
type runKind struct {
	queue     string
	magnitude int
	lasting   bool
}

// kindOf returns the kind of a job's runs of a step.
func kindOf(e *jobEntry, step *tasks.Step) runKind {
	return runKind{e.job.Key.Queue, bits.Len64(uint64(max(0, step.Estimate.Milliseconds()))), step.Lasting}
}

// stepPace is the speed that the runs of a step have shown: that of the run that got
// furthest, and of those that are done the longest run time.
type stepPace struct {
	percent int
	// total is the run time, or what the pace up to percent makes of it.
	total time.Duration
}

// recordPace records the pace of a run that has just advanced or is done, for the other
// runs of its step and kind. The step's pace covers all rounds.
func (c *Cell) recordPace(r *run, percent int, total time.Duration) {
	step := r.entry.job.Step(r.id)
	if total <= 0 || step.Fills || step.Gang {
		return
	}
	if r.entry.paces == nil {
		r.entry.paces = make(map[int]stepPace)
	}
	pace := r.entry.paces[r.id.Step]
	switch {
	case percent > pace.percent:
		r.entry.paces[r.id.Step] = stepPace{percent, total}
	case percent == pace.percent:
		r.entry.paces[r.id.Step] = stepPace{percent, max(total, pace.total)}
	}
	if percent < fullPercent {
		return
	}
	kind := kindOf(r.entry, step)
	if mean := c.kindTimes[kind]; mean != 0 {
		total = mean + time.Duration(runTimeWeight*float64(total-mean))
	}
	c.kindTimes[kind] = total
}

// observedRunTime returns the run time that other runs show for a run: those of its step, or
// of its queue with a similar estimate. It returns 0 if none does.
func (c *Cell) observedRunTime(r *run) time.Duration {
	step := r.entry.job.Step(r.id)
	observed := r.entry.paces[r.id.Step].total
	kind := kindOf(r.entry, step)
	if kind.magnitude == 0 {
		return max(observed, c.kindTimes[kind])
	}
	for magnitude := max(1, kind.magnitude-1); magnitude <= kind.magnitude+1; magnitude++ {
		observed = max(observed, c.kindTimes[runKind{kind.queue, magnitude, kind.lasting}])
	}
	return observed
}

// recordAdvance records the pace of a run that a report has shown to advance.
func (c *Cell) recordAdvance(r *run, hostTime time.Duration) {
	if r.progressedAt == hostTime {
		c.recordPace(r, r.percent, r.progress(hostTime).perPercent()*fullPercent)
	}
}

// recordStall counts a run of a task that was stopped as stalled.
func (e *jobEntry) recordStall(taskID tasks.ID) {
	if e.stalls == nil {
		e.stalls = make(map[tasks.ID]int)
	}
	e.stalls[taskID]++
}
