package sched

import (
	"cmp"
	"slices"
	"time"

	"rattanpath/lease"
	"rattanpath/tasks"
)

// handleHeartbeat processes the reply to a heartbeat. The returned channel is
// closed once the finished runs in it are persisted; it is nil if there are none.
func (c *Cell) handleHeartbeat(h *host, reply lease.HeartbeatReply, sent sentCommand) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.missedHeartbeats > 0 {
		c.logger.Info("host heartbeat recovered", "host", h.id, "runs", len(h.runs), "missed", h.missedHeartbeats)
	}
	if h.missedHeartbeats >= minMissed {
		c.recordOutage(h)
	}
	h.missedHeartbeats = 0
	wake(c.scheduleWake)
	now := c.options.Clock()
	h.repliedAt = now
	if !c.observeClock(h, reply.HostTime, sent, now) || !c.observeIncarnation(h, reply.Incarnation) {
		// The report of a new incarnation counts only once the host has seen the
		// higher token, and one of an old incarnation no longer does.
		h.ackValid = false
		return nil
	}
	h.ackValid = true
	h.ackUntil = h.ackDeadline(reply.HostTime, sent, now)
	h.answeredAt = max(h.answeredAt, reply.HostTime)
	h.oldestListed = oldestEnd(reply.Finished)
	c.countReported(h, reply, now)
	persisted := c.processFinished(h, reply.Finished)
	if reply.HostTime > h.reportedAt {
		c.processRuns(h, reply, sent, now)
	}
	return persisted
}

// ackDeadline returns until when the ends in a report, made at a reading of the host's clock,
// may be acknowledged: the host must not have restarted since. The reply to a call that asked
// for a report at once may be acknowledged by the next call even if it took longer, since
// asking again would gain nothing.
func (h *host) ackDeadline(hostTime time.Duration, sent sentCommand, now time.Duration) time.Duration {
	deadline := h.clock.ReadAfter(hostTime) + maxAckAge
	if !sent.waits && now-sent.at < maxReportTime {
		deadline = max(deadline, now+nextCallTime)
	}
	return deadline
}

// observeClock records the host's clock in the reply to a command at a local time and reports
// whether the reply is from the current incarnation as far as its clock shows. A
// restart may show here before any report: without this, the sequence number of
// the last finished run of the old incarnation would acknowledge finished runs of
// the new one.
func (c *Cell) observeClock(h *host, hostTime time.Duration, sent sentCommand, now time.Duration) bool {
	if sent.token != c.token(h) {
		return false
	}
	if h.clock.Restarted(hostTime, sent.at) {
		c.hostRestarted(h, 0)
		return false
	}
	h.clock.Observe(hostTime, sent.at, now)
	return hostTime > 0
}

// observeIncarnation records the incarnation in a report, 0 if unknown, and
// reports whether it is the current one.
func (c *Cell) observeIncarnation(h *host, incarnation int64) bool {
	if incarnation != 0 && h.incarnation != 0 && incarnation != h.incarnation {
		c.hostRestarted(h, incarnation)
		return false
	}
	if incarnation != 0 {
		h.incarnation = incarnation
	}
	return true
}

// hostRestarted handles a new incarnation of a host. Its next report shows which
// runs belong to it: a start command that was sent to the old incarnation may
// still reach the new one until that has seen the higher token.
func (c *Cell) hostRestarted(h *host, incarnation int64) {
	c.logger.Info("host restarted", "host", h.id, "before", h.incarnation, "born", incarnation, "runs", len(h.runs))
	if m := c.machineOf(h); m != nil && m.hostID == h.id && !m.planned {
		c.machineRestarted(m, h)
	}
	for _, r := range h.runs {
		r.restartHost(r.answeredFor(h))
	}
	h.incarnation = incarnation
	h.restarts++
	c.recordOutage(h)
	h.restartedAt = c.options.Clock()
	c.resetClock(h)
	h.synced, h.ackValid = false, false
	h.reportedAt, h.answeredAt = 0, 0
	h.acknowledgedSequence, h.reportedSequence, h.oldestListed = 0, 0, 0
}

// oldestEnd returns the lowest sequence number of finished runs, 0 if there are none.
func oldestEnd(finished []lease.FinishedRun) int64 {
	if len(finished) == 0 {
		return 0
	}
	return slices.MinFunc(finished, func(a, b lease.FinishedRun) int { return cmp.Compare(a.Sequence, b.Sequence) }).Sequence
}

// processFinished processes the finished runs that a host reports. It returns nil if all of
// them are persisted already.
func (c *Cell) processFinished(h *host, finished []lease.FinishedRun) <-chan struct{} {
	finished = slices.DeleteFunc(finished, func(f lease.FinishedRun) bool { return f.Sequence <= h.acknowledgedSequence })
	if len(finished) == 0 {
		return nil
	}
	highest, processedAt := h.reportedSequence, time.Now()
	ended := make(map[*jobEntry]bool)
	for _, f := range finished {
		highest = max(highest, f.Sequence)
		ended[c.byID[f.Task.Job]] = true
		r := h.runs[runKey{f.Task, f.Run}]
		if r == nil {
			c.retractCrash(h, f)
			c.recoverDone(h, f)
			continue
		}
		c.recordEnd(h, r, f.Reason)
		c.observeEnd(h, r, f.Reason)
		c.endRun(h, r, f.Reason, c.storableCheckpoint(r, f.Checkpoint))
		if r.entry != nil && f.Reason == tasks.EndDone {
			c.recordStepTime(r)
		}
	}
	h.reportedSequence = highest
	persisted := make(chan struct{})
	restarts := h.restarts
	c.afterPersisted(func() {
		c.countStage(stageEnd, time.Since(processedAt))
		if c.anyHeld(ended) {
			// The host reports the ends again.
			return
		}
		if h.restarts == restarts {
			h.acknowledgedSequence = max(h.acknowledgedSequence, highest)
		}
		close(persisted)
	})
	return persisted
}

// processRuns processes the active runs in a host's newest report, at a local time.
func (c *Cell) processRuns(h *host, report lease.HeartbeatReply, sent sentCommand, now time.Duration) {
	h.reportedAt = report.HostTime
	h.synced = true
	listed := make(map[runKey]bool, len(report.Runs))
	for _, active := range report.Runs {
		key := runKey{active.Task, active.Run}
		listed[key] = true
		if r := h.runs[key]; r != nil {
			active.Checkpoint = c.storableCheckpoint(r, active.Checkpoint)
			c.updateRun(r, active, report.HostTime, now)
			c.runProven(h, r, report.HostTime)
			c.observeSpeed(h, r, active.Percent, active.Checkpoint, report.HostTime)
		} else {
			c.stopUnexpected(h, active, report.HostTime)
		}
	}
	for key, r := range h.runs {
		if !listed[key] {
			c.handleUnlisted(h, r, report, sent)
		}
	}
	c.stopStalled(h, report.HostTime)
	c.observeInterference(h, now)
	c.adjustPace(h, time.Now())
}

// updateRun records what a host reported of a run, at a reading of its clock and a local time.
func (c *Cell) updateRun(r *run, active lease.Run, hostTime, now time.Duration) {
	if r.state != runSettled {
		r.settle(hostTime)
	}
	r.markStarted(now)
	r.recordProgress(active.Percent, hostTime)
	r.load = active.Load
	if r.entry == nil {
		return
	}
	c.recordAdvance(r, hostTime)
	r.entry.job.MarkRunning(r.id, r.number)
	r.entry.job.SaveCheckpoint(r.id, r.number, active.Checkpoint)
	if r.isStable(hostTime) && r.entry.job.MarkStable(r.id, r.number) {
		c.markDirty(r.entry, nil)
	}
	c.stopEndedJob(r.entry)
}

// handleUnlisted handles a run that a host's newest report lacks. The run is over
// only if it must have begun before the report was made, or can't begin any more:
// a start command in flight may reach the host after that.
func (c *Cell) handleUnlisted(h *host, r *run, report lease.HeartbeatReply, sent sentCommand) {
	switch {
	case r.state == runUnconfirmed && r.unconfirmedSince <= sent.at:
		c.stopRun(h, r)
	case report.MoreFinished:
		// Its end may be among those that the host has not listed yet.
	case r.state == runSettled && r.settledAt < report.HostTime:
		if r.sentAt != 0 && r.startedBy == 0 {
			h.recordLostStart(time.Now())
		}
		c.loseRun(h, r, lossUnlisted)
	case r.state == runUnverified:
		c.loseRun(h, r, lossRestarted)
	case r.state == runInherited:
		c.loseInherited(h, r, report.Incarnation)
	}
}

// loseInherited records that a run of a previous owner is over that its host, in the given
// incarnation, didn't report to this one.
func (c *Cell) loseInherited(h *host, r *run, incarnation int64) {
	task := r.entry.job.Task(r.id)
	if task != nil && task.HostIncarnation != 0 && incarnation != 0 && task.HostIncarnation != incarnation {
		h.restartedAt = c.options.Clock()
		c.loseRun(h, r, lossRestarted)
		return
	}
	c.loseRun(h, r, lossTakeover)
}

// stopUnexpected stops a run that this cell has not assigned to the host, which
// reported it at a reading of its clock.
func (c *Cell) stopUnexpected(h *host, active lease.Run, hostTime time.Duration) {
	c.logger.Info("unexpected run on host", "host", h.id, "job", active.Task.Job, "step", active.Task.Step, "index", active.Task.Index, "run", active.Run)
	r := &run{id: active.Task, number: active.Run}
	r.settle(hostTime)
	if e := c.byID[active.Task.Job]; e != nil && active.Task.Step < len(e.job.Plan.Steps) {
		r.resources = e.job.Step(active.Task).RequiredResources()
	}
	h.runs[r.key()] = r
	c.stopRun(h, r)
}
