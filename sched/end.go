package sched

import (
	"time"

	"rattanpath/lease"
	"rattanpath/place"
	"rattanpath/tasks"
)

// lossReason is why a run counts as over although its host has not reported its
// end.
type lossReason string

const (
	// lossUnlisted means that a report made after the run had begun lacks it.
	lossUnlisted lossReason = "the host no longer has it"
	// lossRestarted means that the new incarnation of the host doesn't have the run.
	lossRestarted lossReason = "not on the host after its restart"
	// lossTakeover means that the host didn't report the run to its new owner.
	lossTakeover lossReason = "not on the host after the takeover"
	// lossReplaced means that another host has the address.
	lossReplaced lossReason = "the address belongs to another host"
	// lossRetired means that the machine controller has moved the machine or started
	// its maintenance, and the host no longer answers.
	lossRetired lossReason = "the machine was taken out of the pool"
	// lossHostGone means that the cloud lists no machine with the host, without an order of the
	// machine controller.
	lossHostGone lossReason = "the host is on no machine any more"
	// lossLease means that every lease granted by this owner has expired.
	lossLease lossReason = "the lease has expired"
	// lossInheritedLease means that every lease granted by previous owners has
	// expired.
	lossInheritedLease lossReason = "all leases of previous owners have expired"
)

// endRun records the end of a run that its host has reported.
func (c *Cell) endRun(h *host, r *run, reason tasks.EndReason, checkpoint string) {
	if c.removeRun(h, r, reason, checkpoint) {
		c.logger.Info("run ended", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "run", r.number, "host", h.id, "how", reason.String(), "took", c.sinceStart(r), "serving", r.serves())
		c.runOver(h, r, reason, gapReported)
	}
}

// dropRun records that a run never started, for a reason that is logged.
func (c *Cell) dropRun(h *host, r *run, why string) {
	if c.removeRun(h, r, tasks.EndLost, "") {
		c.logger.Info("run not started", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "run", r.number, "host", h.id, "why", why, "serving", r.serves())
		c.runNotStarted(r)
	}
}

// loseRun records that a run is over although its host has not reported its end.
// Its log message is its own, so that the limit on common messages can't hide it.
func (c *Cell) loseRun(h *host, r *run, why lossReason) {
	reason := tasks.EndLost
	if h.crashedUnder(r, why) {
		c.suspectRun(h, why)
		reason = tasks.EndCrashed
		if c.blamesMachine(h, r) {
			reason = tasks.EndUnsteady
		}
	}
	if c.removeRun(h, r, reason, "") {
		if reason == tasks.EndCrashed && why == lossLease {
			r.entry.presumeCrash(r.key())
		}
		c.options.Metrics.recordLoss(why)
		now := c.options.Clock()
		c.logger.Info("run lost", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "run", r.number, "host", h.id, "born", h.incarnation, "confirmed", r.isAnswered(), "how", reason.String(), "why", string(why), "took", c.sinceStart(r), "answered", r.answeredFor(h),
			"replied", orUnknown(h.sinceReply(now)), "recordAge", orUnknown(h.recordAge(now)), "serving", r.serves())
		c.logGivenUp(r, reason)
		c.runOver(h, r, reason, string(why))
	}
}

// logGivenUp logs that the last crash was one too many for a task.
func (c *Cell) logGivenUp(r *run, reason tasks.EndReason) {
	task := r.entry.job.Task(r.id)
	if reason != tasks.EndCrashed || task == nil || !task.CrashesHosts() {
		return
	}
	c.options.Metrics.TasksGivenUp.Inc()
	c.logger.Info("task given up", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "runs", task.Run, "crashes", task.Crashes)
}

// crashedUnder reports whether the loss of a run looks as if the run had crashed its host,
// which went away right after the start. That the host was to leave makes no difference: then
// nothing has just started there.
func (h *host) crashedUnder(r *run, why lossReason) bool {
	return r.mayHaveCrashed(why) && r.answeredFor(h) < place.FreshTime
}

// recoverDone accepts a success that a host reports of a run that counted as lost, unless
// its task has been assigned again: what was done must not be done twice.
func (c *Cell) recoverDone(h *host, f lease.FinishedRun) {
	e := c.byID[f.Task.Job]
	if e == nil || f.Reason != tasks.EndDone || !e.job.RecoverDone(f.Task, f.Run, time.Now()) {
		return
	}
	c.logger.Info("lost run had succeeded", "job", f.Task.Job, "round", f.Task.Round, "step", f.Task.Step, "index", f.Task.Index, "run", f.Run, "host", h.id)
	c.stopEndedJob(e)
	c.markDirty(e, nil)
	wake(c.scheduleWake)
}

// presumeCrash records that a run counts as crashed although its host may only be out of reach.
func (e *jobEntry) presumeCrash(key runKey) {
	if e.presumedCrashes == nil {
		e.presumedCrashes = make(map[runKey]bool)
	}
	e.presumedCrashes[key] = true
}

// retractCrash takes back that a run counts as crashed whose end its host reports: the host was out
// of reach, and the run hasn't crashed it.
func (c *Cell) retractCrash(h *host, f lease.FinishedRun) {
	e, key := c.byID[f.Task.Job], runKey{f.Task, f.Run}
	if e == nil || !e.presumedCrashes[key] {
		return
	}
	delete(e.presumedCrashes, key)
	if !e.job.RetractCrash(f.Task) {
		return
	}
	c.logger.Info("run had not crashed its host", "job", f.Task.Job, "round", f.Task.Round, "step", f.Task.Step, "index", f.Task.Index, "run", f.Run, "host", h.id)
	c.markDirty(e, nil)
	wake(c.scheduleWake)
}

// loseAllRuns records that all runs of a host are over.
func (c *Cell) loseAllRuns(h *host, why lossReason) {
	for _, r := range h.runs {
		c.loseRun(h, r, why)
	}
}

// removeRun frees the resources of a run that is over and updates its job. It
// reports whether the run was the current one of a task.
func (c *Cell) removeRun(h *host, r *run, reason tasks.EndReason, checkpoint string) bool {
	if h.runs[r.key()] == r {
		delete(h.runs, r.key())
		if r.state == runPlanned {
			c.plannedBytes -= r.entry.startSize()
		}
	}
	wake(c.scheduleWake)
	if r.entry == nil || !r.entry.job.EndRun(r.id, r.number, reason, checkpoint, time.Now()) {
		return false
	}
	r.entry.lastEnd = time.Now()
	c.options.Metrics.recordEnd(reason)
	c.stopEndedJob(r.entry)
	c.markDirty(r.entry, nil)
	return true
}

// sinceStart returns the time since a run started, or 0 if that isn't known.
func (c *Cell) sinceStart(r *run) time.Duration {
	if r.startedBy == 0 {
		return 0
	}
	return (c.options.Clock() - r.startedBy).Round(time.Millisecond)
}
