package cell

import (
	"slices"
	"time"

	"rattanpath/tasks"
)

const (
	// failureWindow is how long a failure counts against a host.
	failureWindow = 10 * time.Second
	// maxFailures bounds the failures that count against a host.
	maxFailures = 4
)

// runHistory is how runs have ended on a host of late.
type runHistory struct {
	// failures are when runs of different jobs failed since the last good end.
	failures []time.Time
	// lastFailedJob is the last job that failed there.
	lastFailedJob string
	// stalls are when runs stood still there.
	stalls []time.Time
}

// recentFailures returns how many failures count against the host.
func (r *runHistory) recentFailures(now time.Time) int {
	count := 0
	for _, at := range slices.Concat(r.failures, r.stalls) {
		if now.Sub(at) < failureWindow {
			count++
		}
	}
	return count
}

// runTimeWeight is the weight of a run in the mean of its queue.
const runTimeWeight = 0.05

// recordRunTime takes in how long a run took that this owner has started.
func (c *Cell) recordRunTime(r *run) {
	if r.inherited || r.startedAt == 0 {
		return
	}
	length := c.options.Clock() - r.startedAt
	queue := r.entry.job.Key.Queue
	if mean := c.meanRunTimes[queue]; mean != 0 {
		length = mean + time.Duration(runTimeWeight*float64(length-mean))
	}
	c.meanRunTimes[queue] = length
}

// recordEnd takes the end of a run into the record of its host.
func (c *Cell) recordEnd(h *host, r *run, how tasks.How) {
	if r.entry == nil {
		return
	}
	now := time.Now()
	switch {
	case how == tasks.EndDone:
		h.history = runHistory{}
		c.recordRunTime(r)
	case how == tasks.EndFailed && h.history.lastFailedJob != r.name.Job:
		h.history.lastFailedJob = r.name.Job
		h.history.failures = append(h.history.failures, now)
		if extra := len(h.history.failures) - maxFailures; extra > 0 {
			h.history.failures = h.history.failures[extra:]
		}
	}
}
