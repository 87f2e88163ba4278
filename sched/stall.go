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
	// unknownStallTime is how long a run may go without progress if nothing but the
	// caller's estimate, which may be far too low, shows how long it takes.
	unknownStallTime = 10 * time.Minute
	// repeatedStallFactor is by how much longer a task may go without progress after each
	// run of it that was stopped as stalled, up to maxStallsCounted: it may be the task that
	// is slow, and not its hosts.
	repeatedStallFactor = 4
	maxStallsCounted    = 6
)

// progress describes how a run has advanced.
type progress struct {
	percent int
	// base is the progress at the start of active. If it isn't 0, the next percent may
	// have been nearly complete then.
	base int
	// active is the time from the start, or the first report of the run, to its last
	// progress, and idle the time since.
	active time.Duration
	idle   time.Duration
	// estimate is the caller's estimate of the run time, and observed the run time that
	// other runs of the kind show, 0 if none does.
	estimate time.Duration
	observed time.Duration
	// lasting is set for a serving task, whose progress is that of its startup: it doesn't
	// get minutes without progress, since it serves nothing until then.
	lasting bool
	// stalls is how many runs of the task were stopped as stalled.
	stalls int
	// longest is a time within which the run had certainly made its progress, 0 if unknown.
	longest time.Duration
}

// isStalled reports whether a run has made no progress for so long that it
// should be restarted elsewhere.
func (p progress) isStalled() bool {
	if p.percent >= fullPercent || p.idle <= minStallTime {
		return false
	}
	factor := time.Duration(1)
	for range min(p.stalls, maxStallsCounted) {
		factor *= repeatedStallFactor
	}
	return p.idle/factor > p.stallTime()
}

// stallTime returns how long a run may go without progress if no run of its task was
// stopped as stalled.
func (p progress) stallTime() time.Duration {
	perPercent := p.perPercent()
	if perPercent == 0 && p.percent > 0 {
		perPercent = p.longest / time.Duration(p.percent)
	}
	if perPercent == 0 {
		perPercent = max(p.estimate, p.observed) / fullPercent
		if p.observed == 0 && !p.lasting {
			return max(unknownStallTime, stallFactor*perPercent)
		}
	}
	return max(minStallTime, stallFactor*perPercent)
}

// perPercent returns the mean time per percent so far, or 0 if the run hasn't shown it.
func (p progress) perPercent() time.Duration {
	risen := p.percent - p.base
	if p.base > 0 {
		risen--
	}
	if risen <= 0 {
		return 0
	}
	return p.active / time.Duration(risen)
}

// recordProgress records the progress that a host reported at a reading of its
// clock.
func (r *run) recordProgress(percent int, hostTime time.Duration) {
	if r.firstReportedAt == 0 {
		r.firstReportedAt, r.progressedAt = hostTime, hostTime
		r.activeSince, r.basePercent = hostTime, percent
		if !r.inherited && !r.resumed && r.settledAt < hostTime {
			// The start was confirmed, at no progress.
			r.activeSince, r.basePercent = r.settledAt, 0
		}
	}
	if percent > r.percent {
		r.progressedAt = hostTime
	}
	r.percent = percent
}

// progress returns how the run has advanced at a reading of the host's clock.
func (r *run) progress(hostTime time.Duration) progress {
	step := r.entry.job.Step(r.id)
	var longest time.Duration
	if r.inherited {
		// This owner hasn't seen how long each percent took.
		longest = max(0, time.Since(r.entry.job.Accepted)-(hostTime-r.progressedAt))
	}
	return progress{
		longest: longest,
		percent: r.percent, base: r.basePercent,
		active: r.progressedAt - r.activeSince, idle: hostTime - r.progressedAt,
		estimate: step.Estimate, lasting: step.Lasting, stalls: r.entry.stalls[r.id],
	}
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
		if step.Gang || step.Fills || hostTime-r.progressedAt <= minStallTime {
			continue
		}
		p := r.progress(hostTime)
		p.observed = c.observedRunTime(r)
		if !p.isStalled() {
			continue
		}
		c.logger.Info("run stalled", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "run", r.number, "host", h.id, "percent", r.percent, "still", p.idle)
		c.options.Metrics.Stalls.Inc()
		h.history.stalls = append(h.history.stalls, time.Now())
		r.entry.recordStall(r.id)
		c.stopRun(h, r)
	}
}
