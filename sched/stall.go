package sched

import (
	"time"

	"rattanpath/tasks"
)

const (
	// minStallTime is the shortest time without progress after which a run counts
	// as stalled.
	minStallTime = 1500 * time.Millisecond
	// stallFactor times the mean time per percent so far is how long a run may go
	// without progress.
	stallFactor = 8
)

// progress describes how a run has advanced.
type progress struct {
	percent int
	// active is the time from the first report of the run to its last progress,
	// and idle the time since.
	active time.Duration
	idle   time.Duration
	// estimate is the caller's estimate of the run time.
	estimate time.Duration
}

// isStalled reports whether a run has made no progress for so long that it
// should be restarted elsewhere.
func (p progress) isStalled() bool {
	perPercent := p.estimate / fullPercent
	if p.percent > 0 {
		perPercent = p.active / time.Duration(p.percent)
	}
	return p.percent < fullPercent && p.idle > max(minStallTime, stallFactor*perPercent)
}

// recordProgress records the progress that a host reported at a reading of its
// clock.
func (r *run) recordProgress(percent int, hostTime time.Duration) {
	if r.firstReportedAt == 0 {
		r.firstReportedAt, r.progressedAt = hostTime, hostTime
	}
	if percent > r.percent {
		r.progressedAt = hostTime
	}
	r.percent = percent
}

// stopStalled stops the runs of a host that are stalled at a reading of its clock.
// It skips members of a gang, which wait for each other, and best-effort tasks,
// which yield to serving tasks: their stalls don't indicate a fault of the host.
func (c *Cell) stopStalled(h *host, hostTime time.Duration) {
	for _, r := range h.runs {
		if r.entry == nil || r.stopping || r.firstReportedAt == 0 || r.entry.job.Phase != tasks.Open {
			continue
		}
		step := r.entry.job.Step(r.id)
		if step.Gang || step.Fills {
			continue
		}
		p := progress{percent: r.percent, active: r.progressedAt - r.firstReportedAt, idle: hostTime - r.progressedAt, estimate: step.Estimate}
		if !p.isStalled() {
			continue
		}
		c.logger.Info("run stalled", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "run", r.number, "host", h.id, "percent", r.percent, "still", p.idle)
		c.options.Metrics.Stalls.Inc()
		h.history.stalls = append(h.history.stalls, time.Now())
		c.stopRun(h, r)
	}
}
