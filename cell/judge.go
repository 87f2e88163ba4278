package cell

import (
	"slices"
	"time"

	"rattanpath/tasks"
)

const (
	// suspectTime is how long a failure counts against a host.
	suspectTime = 10 * time.Second
	// maxFailures bounds the failures that count against a host.
	maxFailures = 4
)

// record is how runs have ended on a host of late.
type record struct {
	// failures are when runs of different jobs failed since the last good end.
	failures []time.Time
	// failedJob is the last job that failed there.
	failedJob string
	// stalls are when runs stood still there.
	stalls []time.Time
}

// suspicion returns how many failures count against the host.
func (r *record) suspicion(now time.Time) int {
	count := 0
	for _, at := range slices.Concat(r.failures, r.stalls) {
		if now.Sub(at) < suspectTime {
			count++
		}
	}
	return count
}

// lengthWeight is the weight of a run in the mean of its queue.
const lengthWeight = 0.05

// noteLength takes in how long a run took that this owner has started.
func (c *Cell) noteLength(r *run) {
	if r.adopted || r.answered == 0 {
		return
	}
	length := c.options.Clock() - r.answered
	queue := r.entry.job.Key.Queue
	if mean := c.lengths[queue]; mean != 0 {
		length = mean + time.Duration(lengthWeight*float64(length-mean))
	}
	c.lengths[queue] = length
}

// judge takes the end of a run into the record of its host.
func (c *Cell) judge(h *host, r *run, how tasks.EndReason) {
	if r.entry == nil {
		return
	}
	now := time.Now()
	switch {
	case how == tasks.EndDone:
		h.record = record{}
		c.noteLength(r)
	case how == tasks.EndFailed && h.record.failedJob != r.name.Job:
		h.record.failedJob = r.name.Job
		h.record.failures = append(h.record.failures, now)
		if extra := len(h.record.failures) - maxFailures; extra > 0 {
			h.record.failures = h.record.failures[extra:]
		}
	}
}
