package sched

import (
	"time"

	"rattanpath/tasks"
)

const (
	// overdueDelay is how long after the last proof of a serving task's run its next
	// confirmation is overdue. A host that answers confirms its runs every heartbeatWait.
	overdueDelay = 2 * time.Second
	// overdueInterval is the time between two looks for such runs, and maxOverdueLines
	// limits the lines that one of them writes on runs newly overdue.
	overdueInterval = 500 * time.Millisecond
	maxOverdueLines = 50
)

// sinceAssigned means that the start command has not been sent, or that no host is known to
// have the run.
const sinceAssigned gapStart = "assigned"

// What a run of a task is that counts as active.
const (
	stateUnknown  = "on no known host"
	stateStopping = "being stopped"
)

// String returns the state in words.
func (s runState) String() string {
	switch s {
	case runPlanned:
		return "start not sent"
	case runStarting:
		return "start sent"
	case runUnconfirmed:
		return "start not answered"
	case runSettled:
		return "started"
	case runUnverified:
		return "not reported since its host restarted"
	default:
		return "not reported to this owner"
	}
}

// overdueRun is the run of a serving task that was logged as overdue, and the local time of
// its last proof by then.
type overdueRun struct {
	number   int
	provenAt time.Duration
}

// activeRun is a run of a serving task that counts as active. h and r are nil if the cell
// doesn't have them.
type activeRun struct {
	entry *jobEntry
	id    tasks.ID
	task  *tasks.Task
	h     *host
	r     *run
	// since is what provenAt, the local time of the last proof, was taken from.
	since    gapStart
	provenAt time.Duration
}

// logOverdue logs which runs of serving tasks count as active although their hosts have not
// confirmed them for overdueDelay, each once while that lasts, and counts them. It decides
// nothing. c.mu must be held.
func (c *Cell) logOverdue() {
	now := c.options.Clock()
	if now-c.overdueAt < overdueInterval {
		return
	}
	c.overdueAt = now
	count, lines := 0, 0
	for e := range c.open {
		e.forgetOverdue()
		e.forEachServing(func(id tasks.ID, task *tasks.Task) {
			a := c.activeRun(e, id, task, now)
			if now-a.provenAt <= overdueDelay {
				c.logConfirmed(a)
				return
			}
			count++
			if _, logged := e.overdue[id]; !logged && lines < maxOverdueLines {
				lines++
				c.logOverdueRun(a, now)
			}
		})
	}
	c.options.Metrics.setOverdueRuns(c.options.Service, count)
}

// forEachServing calls f for each serving task of the job of which a run counts as active.
func (e *jobEntry) forEachServing(f func(tasks.ID, *tasks.Task)) {
	for _, round := range e.job.Rounds {
		for step := range round.Steps {
			if !e.job.Plan.Steps[step].Serves() {
				continue
			}
			for index := range round.Steps[step] {
				if task := &round.Steps[step][index]; task.Active() {
					f(tasks.ID{Job: e.job.Key.ID, Round: round.Number, Step: step, Index: index}, task)
				}
			}
		}
	}
}

// forgetOverdue forgets the runs that are over.
func (e *jobEntry) forgetOverdue() {
	for id, overdue := range e.overdue {
		if task := e.job.Task(id); task == nil || task.Run != overdue.number || !task.Active() {
			delete(e.overdue, id)
		}
	}
}

// activeRun returns the run of a task that counts as active, with the last proof of it.
func (c *Cell) activeRun(e *jobEntry, id tasks.ID, task *tasks.Task, now time.Duration) activeRun {
	a := activeRun{entry: e, id: id, task: task, h: c.hosts[task.Host], since: sinceAssigned}
	if a.h != nil {
		a.r = a.h.runs[runKey{id, task.Run}]
	}
	if a.r == nil || a.r.state == runPlanned {
		a.provenAt = now - time.Since(task.AssignedAt)
		return a
	}
	a.since, a.provenAt = c.lastProof(a.r)
	return a
}

// state returns in words what the cell knows of the run.
func (a activeRun) state() string {
	switch {
	case a.r == nil:
		return stateUnknown
	case a.r.stopping:
		return stateStopping
	default:
		return a.r.state.String()
	}
}

// logOverdueRun logs that the confirmation of a run is overdue.
func (c *Cell) logOverdueRun(a activeRun, now time.Duration) {
	if a.entry.overdue == nil {
		a.entry.overdue = make(map[tasks.ID]overdueRun)
	}
	a.entry.overdue[a.id] = overdueRun{number: a.task.Run, provenAt: a.provenAt}
	missed, listed := 0, false
	if a.h != nil {
		missed, listed = a.h.missedHeartbeats, a.h.inPool
	}
	c.logger.Info("serving run not confirmed by its host", "job", a.id.Job, "round", a.id.Round, "step", a.id.Step, "index", a.id.Index, "run", a.task.Run, "host", a.task.Host,
		"state", a.state(), "since", string(a.since), "unconfirmed", (now - a.provenAt).Round(time.Millisecond), "missed", missed, "listed", listed,
		"replied", orUnknown(a.h.sinceReply(now)), "recordAge", orUnknown(a.h.recordAge(now)), "leaseLeft", orUnknown(c.leaseLeft(a, now)))
}

// logConfirmed logs that a run is confirmed again that was logged as overdue.
func (c *Cell) logConfirmed(a activeRun) {
	overdue, logged := a.entry.overdue[a.id]
	if !logged {
		return
	}
	delete(a.entry.overdue, a.id)
	c.logger.Info("serving run confirmed again", "job", a.id.Job, "round", a.id.Round, "step", a.id.Step, "index", a.id.Index, "run", a.task.Run, "host", a.task.Host,
		"state", a.state(), "since", string(a.since), "after", (a.provenAt - overdue.provenAt).Round(time.Millisecond))
}

// recordAge returns how long ago the host's record was written, at most, and whether that is
// known.
func (h *host) recordAge(now time.Duration) (time.Duration, bool) {
	if h == nil || h.info == nil || h.info.WrittenAfter == 0 {
		return 0, false
	}
	return now - h.info.WrittenAfter, true
}

// sinceReply returns how long ago the host last replied to a heartbeat, and whether it ever did.
func (h *host) sinceReply(now time.Duration) (time.Duration, bool) {
	if h == nil || h.repliedAt == 0 {
		return 0, false
	}
	return now - h.repliedAt, true
}

// leaseLeft returns how long until all leases of a run have certainly expired, and whether that
// is known.
func (c *Cell) leaseLeft(a activeRun, now time.Duration) (time.Duration, bool) {
	if a.r == nil {
		return 0, false
	}
	return c.runLease(a.h, a.r, now)
}

// orUnknown returns the text of a duration that may be unknown.
func orUnknown(d time.Duration, known bool) string {
	if !known {
		return "unknown"
	}
	return d.Round(time.Millisecond).String()
}
