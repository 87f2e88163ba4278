package sched

import (
	"time"

	"rattanpath/tasks"
)

// gapStart is what the beginning of a gap was taken from.
type gapStart string

const (
	// gapSinceHost means that the host last confirmed the run at that time.
	gapSinceHost gapStart = "host"
	// gapSinceSent means that the start command was sent then, and the host never
	// confirmed the run before it ended.
	gapSinceSent gapStart = "sent"
	// gapSinceClaim means that the run is of a previous owner and was never reported to
	// this one, so that the gap is longer than what this owner knows of.
	gapSinceClaim gapStart = "claim"
)

const (
	// gapReported is why a gap began if the host reported the end of the run.
	gapReported = "its host reported the end"
	// gapInherited is why a gap began that a previous owner had left.
	gapInherited = "it had ended under a previous owner"
)

// gap is the time of a serving task between two runs. Times are local.
type gap struct {
	// lastHost had the run that ended. how and why tell how it ended.
	lastHost string
	how      string
	why      string
	since    gapStart
	// found is the time from since until the end was recorded, waited that without an
	// assigned run, and retried that of assigned runs that didn't start.
	found   time.Duration
	waited  time.Duration
	retried time.Duration
	// changedAt is when the task was last assigned to a host, or began to wait for one.
	changedAt time.Duration
	// attempts counts the runs that were assigned.
	attempts int
	// waitLogged is set once it has been logged that the task waits for a host.
	waitLogged bool
}

// runOver records that a run which may have executed is over. c.mu must be held.
func (c *Cell) runOver(h *host, r *run, how tasks.EndReason, why string) {
	e := r.entry
	if !e.job.Step(r.id).Serves() {
		return
	}
	if why == gapReported {
		// The run has executed, even if its start was never confirmed.
		c.closeGap(h, r)
	}
	task, now := e.job.Task(r.id), c.options.Clock()
	switch {
	case task == nil || task.State != tasks.Waiting || e.job.Phase != tasks.Open:
		delete(e.gaps, r.id)
	case e.gaps[r.id] != nil:
		e.gaps[r.id].endAttempt(now)
	case r.inherited || r.sentAt != 0:
		since, began := c.lastProof(r)
		e.openGap(r.id, &gap{lastHost: h.id, how: how.String(), why: why, since: since, found: now - began, changedAt: now})
	}
}

// runNotStarted records that a run was dropped that its host never started. c.mu must be
// held.
func (c *Cell) runNotStarted(r *run) {
	if g := r.entry.gaps[r.id]; g != nil {
		g.endAttempt(c.options.Clock())
	}
}

// lastProof returns the last local time at which a run is known to have executed, or which
// stands for it.
func (c *Cell) lastProof(r *run) (gapStart, time.Duration) {
	switch {
	case r.provenAt != 0:
		return gapSinceHost, r.provenAt
	case r.sentAt != 0:
		return gapSinceSent, r.sentAt
	default:
		return gapSinceClaim, c.claimedAt
	}
}

// runProven records that a host has confirmed a run at a reading of its clock, which ends
// the gap before the run. c.mu must be held.
func (c *Cell) runProven(h *host, r *run, hostTime time.Duration) {
	r.provenAt = max(r.provenAt, h.clock.ReadAfter(hostTime))
	if r.entry != nil {
		c.closeGap(h, r)
	}
}

// closeGap ends the gap before a run that has started, if there is one.
func (c *Cell) closeGap(h *host, r *run) {
	g := r.entry.gaps[r.id]
	if g == nil {
		return
	}
	if task := r.entry.job.Task(r.id); task == nil || task.Run != r.number {
		return
	}
	delete(r.entry.gaps, r.id)
	started := c.options.Clock() - g.changedAt
	c.options.Metrics.recordGap(g, started)
	c.logger.Info("serving task has a run again", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "run", r.number, "host", h.id,
		"lastHost", g.lastHost, "how", g.how, "why", g.why, "since", string(g.since), "found", g.found.Round(time.Millisecond), "waited", g.waited.Round(time.Millisecond),
		"retried", g.retried.Round(time.Millisecond), "started", started.Round(time.Millisecond), "attempts", g.attempts)
}

// gapAssigned records that a task was assigned to a host. c.mu must be held.
func (c *Cell) gapAssigned(e *jobEntry, taskID tasks.ID) {
	g := e.gaps[taskID]
	if g == nil {
		return
	}
	now := c.options.Clock()
	g.waited += now - g.changedAt
	g.changedAt = now
	g.attempts++
}

// endAttempt records that the assigned run did not start.
func (g *gap) endAttempt(now time.Duration) {
	g.retried += now - g.changedAt
	g.changedAt = now
}

// openGap adds the gap of a task. There is at most one for each serving task of an open
// job.
func (e *jobEntry) openGap(taskID tasks.ID, g *gap) {
	if e.gaps == nil {
		e.gaps = make(map[tasks.ID]*gap)
	}
	e.gaps[taskID] = g
}

// inheritGaps opens the gaps that the previous owner left.
func (c *Cell) inheritGaps() {
	for e := range c.open {
		for _, round := range e.job.Rounds {
			for step := range round.Steps {
				if e.job.Plan.Steps[step].Serves() {
					c.inheritStepGaps(e, round, step)
				}
			}
		}
	}
}

func (c *Cell) inheritStepGaps(e *jobEntry, round *tasks.Round, step int) {
	for index := range round.Steps[step] {
		if task := &round.Steps[step][index]; task.State == tasks.Waiting && task.Run > 0 {
			taskID := tasks.ID{Job: e.job.Key.ID, Round: round.Number, Step: step, Index: index}
			e.openGap(taskID, &gap{lastHost: task.Host, how: "unknown", why: gapInherited, since: gapSinceClaim, changedAt: c.claimedAt})
		}
	}
}
