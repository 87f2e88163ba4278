package sched

import (
	"time"

	"rattanpath/lease"
	"rattanpath/tasks"
)

// handleHeartbeat processes the reply to a heartbeat sent at a local time. The
// returned channel is closed once the finished runs in it are persisted; it is
// nil if there are none.
func (c *Cell) handleHeartbeat(h *host, reply lease.HeartbeatReply, sent time.Duration) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	restarts := h.restarts
	c.checkRestart(h, reply.HostTime, sent)
	if reply.Incarnation != 0 && h.incarnation != 0 && reply.Incarnation != h.incarnation {
		c.hostRestarted(h, reply.Incarnation)
	}
	if reply.Incarnation != 0 {
		h.incarnation = reply.Incarnation
	}
	if h.missedHeartbeats > 0 {
		c.logger.Info("host heartbeat recovered", "host", h.id, "runs", len(h.runs), "missed", h.missedHeartbeats)
	}
	h.missedHeartbeats = 0
	h.ackValid = h.restarts == restarts
	h.clock.Observe(reply.HostTime, now)
	persisted := c.processFinished(h, reply.Finished)
	c.processRuns(h, reply.Runs, sent)
	c.stopStalled(h, sent)
	c.adjustPace(h, time.Now())
	// The report of a new incarnation counts only once the host has seen the
	// higher token.
	if !h.synced && h.restarts == restarts {
		h.synced = true
		c.verifyInherited(h, reply.Runs)
	}
	wake(c.scheduleWake)
	return persisted
}

// hostRestarted handles a new incarnation of a host. Its next report shows
// which runs belong to it: a start command that was sent to the old incarnation
// may still reach the new one.
func (c *Cell) hostRestarted(h *host, incarnation int64) {
	c.logger.Info("host restarted", "host", h.id, "before", h.incarnation, "born", incarnation, "runs", len(h.runs))
	h.incarnation = incarnation
	h.restarts++
	h.clock.Reset(c.options.MaxLease)
	h.synced = false
	h.acknowledgedSequence, h.reportedSequence = 0, 0
}

// checkRestart detects a restart of a host from the clock in its reply to a
// call sent at a local time, which may arrive before any report. Without it,
// the sequence number of the last finished run of the old incarnation would
// acknowledge finished runs of the new one.
func (c *Cell) checkRestart(h *host, hostTime, sent time.Duration) {
	if h.clock.Restarted(hostTime, sent) {
		c.hostRestarted(h, 0)
	}
}

// endAllRuns records the end of all runs of a host that can no longer execute
// them.
func (c *Cell) endAllRuns(h *host, detail string) {
	for _, r := range h.runs {
		c.endRun(h, r, tasks.EndLost, "", detail)
	}
}

// endRun records that a run has ended.
func (c *Cell) endRun(h *host, r *run, reason tasks.EndReason, checkpoint, detail string) {
	if h.runs[r.id] == r {
		delete(h.runs, r.id)
	}
	if r.entry == nil {
		return
	}
	if r.entry.job.EndRun(r.id, r.number, reason, checkpoint, time.Now()) {
		c.logEnd(h, r, reason, detail)
		c.stopEndedJob(r.entry)
		c.markDirty(r.entry, nil)
	}
	wake(c.scheduleWake)
}

// logEnd logs and counts the end of a run.
func (c *Cell) logEnd(h *host, r *run, reason tasks.EndReason, detail string) {
	c.options.Metrics.recordEnd(reason)
	took := time.Duration(0)
	if r.startedAt != 0 {
		took = c.options.Clock() - r.startedAt
	}
	c.logger.Info("run ended", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "run", r.number, "host", h.id, "how", reason.String(), "why", detail, "took", took.Round(time.Millisecond))
}

// processFinished processes the finished runs that a host reports.
func (c *Cell) processFinished(h *host, finished []lease.FinishedRun) <-chan struct{} {
	if len(finished) == 0 {
		return nil
	}
	highest := h.reportedSequence
	for _, f := range finished {
		highest = max(highest, f.Sequence)
		if r := h.runs[f.Task]; r != nil && r.number == f.Run {
			c.recordEnd(h, r, f.Reason)
			c.endRun(h, r, f.Reason, f.Checkpoint, "listed")
		}
	}
	h.reportedSequence = highest
	persisted := make(chan struct{})
	restarts := h.restarts
	c.afterPersisted(func() {
		if h.restarts == restarts {
			h.acknowledgedSequence = max(h.acknowledgedSequence, highest)
		}
		close(persisted)
	})
	return persisted
}

// processRuns processes the active runs that a host reports in its reply to a
// heartbeat sent at a local time.
func (c *Cell) processRuns(h *host, reports []lease.Run, sent time.Duration) {
	runNumbers := make(map[tasks.ID]int, len(reports))
	for _, report := range reports {
		runNumbers[report.Task] = report.Run
		r := h.runs[report.Task]
		if r == nil || r.number != report.Run {
			c.stopUnexpected(h, report)
			continue
		}
		r.recordProgress(report.Percent, sent)
		r.tailLatency = time.Duration(report.Load * float64(time.Millisecond))
		r.unconfirmedSince = 0
		if r.startedAt == 0 {
			r.startedAt = sent
		}
		if r.entry != nil {
			r.entry.job.MarkRunning(r.id, r.number)
			r.entry.job.SaveCheckpoint(r.id, r.number, report.Checkpoint)
		}
	}
	for _, r := range h.runs {
		if runNumbers[r.id] == r.number || r.unverified {
			continue
		}
		switch {
		case r.startedAt != 0 && r.startedAt <= sent:
			c.endRun(h, r, tasks.EndLost, "", "the host no longer has it")
		case r.unconfirmedSince != 0 && r.unconfirmedSince <= sent:
			c.stopRun(h, r)
		}
	}
}

// verifyInherited ends the runs of previous owners that a host doesn't report.
// The host now refuses the previous owners' commands, so these runs can't start
// later.
func (c *Cell) verifyInherited(h *host, reports []lease.Run) {
	runNumbers := make(map[tasks.ID]int, len(reports))
	for _, report := range reports {
		runNumbers[report.Task] = report.Run
	}
	for _, r := range h.runs {
		if !r.unverified {
			continue
		}
		r.unverified = false
		r.sent = true
		r.startedAt = c.options.Clock()
		if runNumbers[r.id] != r.number {
			c.endRun(h, r, tasks.EndLost, "", "not on the host after the takeover")
			continue
		}
		c.stopEndedJob(r.entry)
	}
}

// stopUnexpected stops a run that this cell has not assigned to the host.
func (c *Cell) stopUnexpected(h *host, reported lease.Run) {
	c.logger.Info("unexpected run on host", "host", h.id, "job", reported.Task.Job, "step", reported.Task.Step, "index", reported.Task.Index, "run", reported.Run)
	r := h.runs[reported.Task]
	if r != nil && r.number > reported.Run {
		return
	}
	r = &run{id: reported.Task, number: reported.Run, sent: true, startedAt: c.options.Clock()}
	if e := c.byID[reported.Task.Job]; e != nil && reported.Task.Step < len(e.job.Plan.Steps) {
		r.resources = e.job.Step(reported.Task).RequiredResources()
	}
	h.runs[reported.Task] = r
	c.stopRun(h, r)
}
