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

// judge takes the end of a run into the record of its host.
func (c *Cell) judge(h *host, r *run, how tasks.How) {
	now := time.Now()
	switch {
	case how == tasks.EndDone:
		h.record = record{}
	case how == tasks.EndFailed && h.record.failedJob != r.name.Job:
		h.record.failedJob = r.name.Job
		h.record.failures = append(h.record.failures, now)
		if extra := len(h.record.failures) - maxFailures; extra > 0 {
			h.record.failures = h.record.failures[extra:]
		}
	}
}
