package cell

import (
	"time"

	"rattanpath/tasks"
)

const (
	// stallTime is how long a run may at least stand still.
	stallTime = 1500 * time.Millisecond
	// stallSteps is how many times as long as a hundredth of the run has taken so
	// far it may stand still.
	stallSteps = 8
)

// progress is how far a run was seen to be.
type progress struct {
	percent int
	// worked is the time from the first sight of the run to when its percent last
	// rose, and still the time since.
	worked time.Duration
	still  time.Duration
	// estimate is the caller's guess of the whole run.
	estimate time.Duration
}

// stalls reports whether a run stands still for so long that it is better begun
// anew elsewhere.
func (p progress) stalls() bool {
	each := p.estimate / whole
	if p.percent > 0 {
		each = p.worked / time.Duration(p.percent)
	}
	return p.percent < whole && p.still > max(stallTime, stallSteps*each)
}

// noteProgress takes in how far a host shows a run to be, as of a local time.
func (r *run) noteProgress(percent int, at time.Duration) {
	if r.firstSeen == 0 {
		r.firstSeen, r.rose = at, at
	}
	if percent > r.percent {
		r.rose = at
	}
	r.percent = percent
}

// stopStalled stops the runs of a host that stand still. Members of a gang wait
// for others, and tasks that fill for those that serve: neither tells that the
// host is at fault.
func (c *Cell) stopStalled(h *host, now time.Duration) {
	for _, r := range h.runs {
		if r.entry == nil || r.stopping || r.firstSeen == 0 || r.entry.job.Phase != tasks.Open {
			continue
		}
		step := r.entry.job.Step(r.name)
		if step.Gang || step.Fills {
			continue
		}
		p := progress{percent: r.percent, worked: r.rose - r.firstSeen, still: now - r.rose, estimate: step.Estimate}
		if !p.stalls() {
			continue
		}
		c.logger.Info("run stands still", "job", r.name.Job, "round", r.name.Round, "step", r.name.Step, "index", r.name.Index, "run", r.number, "host", h.id, "percent", r.percent, "still", p.still)
		c.options.Meters.Stalls.Inc()
		h.record.stalls = append(h.record.stalls, time.Now())
		c.stopRun(h, r)
	}
}
