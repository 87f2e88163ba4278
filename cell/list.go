package cell

import (
	"time"

	"rattanpath/lease"
	"rattanpath/tasks"
)

// listed takes in a host's runs and ends. The channel, if there is one, is
// closed once the ends are noted in the store.
func (c *Cell) listed(h *host, listing lease.HeartbeatReply, sent time.Duration) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	lives := h.lives
	c.noteClock(h, listing.HostTime, sent)
	if listing.Incarnation != 0 && h.born != 0 && listing.Incarnation != h.born {
		c.reborn(h, listing.Incarnation)
	}
	if listing.Incarnation != 0 {
		h.born = listing.Incarnation
	}
	if h.failed > 0 {
		c.logger.Info("host back in touch", "host", h.id, "runs", len(h.runs), "missed", h.failed)
	}
	h.failed = 0
	h.sure = h.lives == lives
	h.clock.Observe(listing.HostTime, now)
	noted := c.takeEnds(h, listing.Finished)
	c.takeRuns(h, listing.Runs, sent)
	c.stopStalled(h, sent)
	c.paceHost(h, time.Now())
	// A new life must see the higher token before it is believed.
	if !h.fenced && h.lives == lives {
		h.fenced = true
		c.settleInherited(h, listing.Runs)
	}
	kick(c.placeKick)
	return noted
}

// reborn notes that a host has begun a new life. Which of its runs are part of
// it the host's list shows; a start that was sent to the old life may still
// arrive in the new one.
func (c *Cell) reborn(h *host, born int64) {
	c.logger.Info("host born again", "host", h.id, "before", h.born, "born", born, "runs", len(h.runs))
	h.born = born
	h.lives++
	h.clock.Reset(c.options.MaxLease)
	h.fenced = false
	h.seen, h.listed = 0, 0
}

// noteClock looks for a new life of a host in the answer to a call that was sent
// at a local time, before any list tells of it: a count of ends of the old life
// must not acknowledge those of the new one.
func (c *Cell) noteClock(h *host, shown, sent time.Duration) {
	if h.clock.Restarted(shown, sent) {
		c.reborn(h, 0)
	}
}

// loseRuns gives up all runs of a host that surely are not at work any more.
func (c *Cell) loseRuns(h *host, why string) {
	for _, r := range h.runs {
		c.runOver(h, r, tasks.EndLost, "", why)
	}
}

// runOver notes that a run is not at work any more.
func (c *Cell) runOver(h *host, r *run, how tasks.EndReason, saved, why string) {
	if h.runs[r.name] == r {
		delete(h.runs, r.name)
	}
	if r.entry == nil {
		return
	}
	if r.entry.job.EndRun(r.name, r.number, how, saved, time.Now()) {
		c.logEnd(h, r, how, why)
		c.stopRest(r.entry)
		c.touch(r.entry, nil)
	}
	kick(c.placeKick)
}

func (c *Cell) logEnd(h *host, r *run, how tasks.EndReason, why string) {
	c.options.Meters.end(how)
	took := time.Duration(0)
	if r.answered != 0 {
		took = c.options.Clock() - r.answered
	}
	c.logger.Info("run ended", "job", r.name.Job, "round", r.name.Round, "step", r.name.Step, "index", r.name.Index, "run", r.number, "host", h.id, "how", how.String(), "why", why, "took", took.Round(time.Millisecond))
}

// takeEnds takes in the ends that a host lists.
func (c *Cell) takeEnds(h *host, ends []lease.FinishedRun) <-chan struct{} {
	if len(ends) == 0 {
		return nil
	}
	highest := h.listed
	for _, end := range ends {
		highest = max(highest, end.Sequence)
		if r := h.runs[end.Task]; r != nil && r.number == end.Run {
			c.judge(h, r, end.Reason)
			c.runOver(h, r, end.Reason, end.Checkpoint, "listed")
		}
	}
	h.listed = highest
	noted := make(chan struct{})
	lives := h.lives
	c.whenWritten(func() {
		if h.lives == lives {
			h.seen = max(h.seen, highest)
		}
		close(noted)
	})
	return noted
}

// takeRuns takes in the runs that a host lists as of a hold that was sent at a
// local time.
func (c *Cell) takeRuns(h *host, listed []lease.Run, sent time.Duration) {
	shown := make(map[tasks.ID]int, len(listed))
	for _, l := range listed {
		shown[l.Task] = l.Run
		r := h.runs[l.Task]
		if r == nil || r.number != l.Run {
			c.stopUnknown(h, l)
			continue
		}
		r.noteProgress(l.Percent, sent)
		r.tail = time.Duration(l.Load * float64(time.Millisecond))
		r.doubt = 0
		if r.answered == 0 {
			r.answered = sent
		}
		if r.entry != nil {
			r.entry.job.MarkRunning(r.name, r.number)
			r.entry.job.SaveCheckpoint(r.name, r.number, l.Checkpoint)
		}
	}
	for _, r := range h.runs {
		if shown[r.name] == r.number || r.inherited {
			continue
		}
		switch {
		case r.answered != 0 && r.answered <= sent:
			c.runOver(h, r, tasks.EndLost, "", "the host no longer has it")
		case r.doubt != 0 && r.doubt <= sent:
			c.stopRun(h, r)
		}
	}
}

// settleInherited compares what an older owner may have started on a host with
// what the host has, now that it refuses the older owner's orders.
func (c *Cell) settleInherited(h *host, listed []lease.Run) {
	shown := make(map[tasks.ID]int, len(listed))
	for _, l := range listed {
		shown[l.Task] = l.Run
	}
	for _, r := range h.runs {
		if !r.inherited {
			continue
		}
		r.inherited = false
		r.sent = true
		r.answered = c.options.Clock()
		if shown[r.name] != r.number {
			c.runOver(h, r, tasks.EndLost, "", "not on the host at the take-over")
			continue
		}
		c.stopRest(r.entry)
	}
}

// stopUnknown stops a run that should not be there.
func (c *Cell) stopUnknown(h *host, listed lease.Run) {
	c.logger.Info("host has a run that it should not have", "host", h.id, "job", listed.Task.Job, "step", listed.Task.Step, "index", listed.Task.Index, "run", listed.Run)
	r := h.runs[listed.Task]
	if r != nil && r.number > listed.Run {
		return
	}
	r = &run{name: listed.Task, number: listed.Run, sent: true, answered: c.options.Clock()}
	if e := c.byID[listed.Task.Job]; e != nil && listed.Task.Step < len(e.job.Plan.Steps) {
		r.room = e.job.Step(listed.Task).RequiredResources()
	}
	h.runs[listed.Task] = r
	c.stopRun(h, r)
}
