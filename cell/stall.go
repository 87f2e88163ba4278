package cell

import (
	"time"

	"rattanpath/tasks"
)

const (
	// minStallTime is how long a run may at least stand still.
	minStallTime = 1500 * time.Millisecond
	// stallFactor is how many times as long as a hundredth of the run has taken so
	// far it may stand still.
	stallFactor = 8
)

// progress is how far a run was seen to be.
type progress struct {
	percent int
	// active is the time from the first sight of the run to when its percent last
	// rose, and still the time since.
	active time.Duration
	idle   time.Duration
	// estimate is the caller's guess of the whole run.
	estimate time.Duration
}

// isStalled reports whether a run stands still for so long that it is better begun
// anew elsewhere.
func (p progress) isStalled() bool {
	each := p.estimate / fullPercent
	if p.percent > 0 {
		each = p.active / time.Duration(p.percent)
	}
	return p.percent < fullPercent && p.idle > max(minStallTime, stallFactor*each)
}

// recordProgress takes in how far a host shows a run to be, as of a local time.
func (r *run) recordProgress(percent int, at time.Duration) {
	if r.firstReportedAt == 0 {
		r.firstReportedAt, r.progressedAt = at, at
	}
	if percent > r.percent {
		r.progressedAt = at
	}
	r.percent = percent
}

// stopStalled stops the runs of a host that stand still. Members of a gang wait
// for others, and tasks that fill for those that serve: neither tells that the
// host is at fault.
func (c *Cell) stopStalled(h *host, now time.Duration) {
	for _, r := range h.runs {
		if r.entry == nil || r.stopping || r.firstReportedAt == 0 || r.entry.job.Phase != tasks.Open {
			continue
		}
		step := r.entry.job.Step(r.name)
		if step.Gang || step.Fills {
			continue
		}
		p := progress{percent: r.percent, active: r.progressedAt - r.firstReportedAt, idle: now - r.progressedAt, estimate: step.Estimate}
		if !p.isStalled() {
			continue
		}
		c.logger.Info("run stands still", "job", r.name.Job, "round", r.name.Round, "step", r.name.Step, "index", r.name.Index, "run", r.number, "host", h.id, "percent", r.percent, "still", p.idle)
		c.options.Metrics.Stalls.Inc()
		h.history.stalls = append(h.history.stalls, time.Now())
		c.stopRun(h, r)
	}
}
