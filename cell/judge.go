package cell

import (
	"time"

	"rattanpath/tasks"
)

const (
	// fullPace is the share of its speed at which a run works at first.
	fullPace = 100
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
}

// suspicion returns how many failures count against the host.
func (r *record) suspicion(now time.Time) int {
	count := 0
	for _, at := range r.failures {
		if now.Sub(at) < suspectTime {
			count++
		}
	}
	return count
}

// judge takes the end of a run into the record of its host.
func (c *Cell) judge(h *host, r *run, how tasks.How) {
	now := time.Now()
	switch {
	case how == tasks.EndDone:
		h.record = record{}
		c.learn(h, r, now)
	case how == tasks.EndFailed && h.record.failedJob != r.name.Job:
		h.record.failedJob = r.name.Job
		h.record.failures = append(h.record.failures, now)
		if extra := len(h.record.failures) - maxFailures; extra > 0 {
			h.record.failures = h.record.failures[extra:]
		}
	}
}

// learn notes how long a run took.
func (c *Cell) learn(h *host, r *run, now time.Time) {
	if r.entry == nil {
		return
	}
	task := r.entry.job.Task(r.name)
	if task == nil || task.Since.IsZero() {
		return
	}
	c.runtime.note(r.entry.job.Key.Queue, now.Sub(task.Since))
}

// runtimes learns how long tasks of each queue take.
type runtimes struct {
	mean map[string]time.Duration
}

// runtimeWeight is the weight of a new run time in the mean.
const runtimeWeight = 0.1

func newRuntimes() *runtimes {
	return &runtimes{mean: make(map[string]time.Duration)}
}

func (r *runtimes) note(queue string, took time.Duration) {
	mean, known := r.mean[queue]
	if !known {
		r.mean[queue] = took
		return
	}
	r.mean[queue] = mean + time.Duration(runtimeWeight*float64(took-mean))
}
