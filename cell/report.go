package cell

import (
	"time"

	"rattanpath/lease"
	"rattanpath/tasks"
)

// heartbeatAnswered takes in a host's runs and ends. The channel, if there is one, is
// closed once the ends are noted in the store.
func (c *Cell) heartbeatAnswered(h *host, listing lease.Listing, sent time.Duration) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	lives := h.restarts
	c.checkRestart(h, listing.Clock, sent)
	if listing.Born != 0 && h.incarnation != 0 && listing.Born != h.incarnation {
		c.hostRestarted(h, listing.Born)
	}
	if listing.Born != 0 {
		h.incarnation = listing.Born
	}
	if h.missedHeartbeats > 0 {
		c.logger.Info("host back in touch", "host", h.id, "runs", len(h.runs), "missed", h.missedHeartbeats)
	}
	h.missedHeartbeats = 0
	h.ackValid = h.restarts == lives
	h.clock.Learn(listing.Clock, now)
	noted := c.processEnds(h, listing.Ends)
	c.processRuns(h, listing.Runs, sent)
	c.stopStalled(h, sent)
	c.adjustPace(h, time.Now())
	// A new life must see the higher token before it is believed.
	if !h.synced && h.restarts == lives {
		h.synced = true
		c.verifyInherited(h, listing.Runs)
	}
	wake(c.scheduleWake)
	return noted
}

// hostRestarted notes that a host has begun a new life. Which of its runs are part of
// it the host's list shows; a start that was sent to the old life may still
// arrive in the new one.
func (c *Cell) hostRestarted(h *host, born int64) {
	c.logger.Info("host born again", "host", h.id, "before", h.incarnation, "born", born, "runs", len(h.runs))
	h.incarnation = born
	h.restarts++
	h.clock.Restart(c.options.MaxLease)
	h.synced = false
	h.acknowledgedEnd, h.reportedEnd = 0, 0
}

// checkRestart looks for a new life of a host in the answer to a call that was sent
// at a local time, before any list tells of it: a count of ends of the old life
// must not acknowledge those of the new one.
func (c *Cell) checkRestart(h *host, shown, sent time.Duration) {
	if h.clock.Began(shown, sent) {
		c.hostRestarted(h, 0)
	}
}

// endAllRuns gives up all runs of a host that surely are not at work any more.
func (c *Cell) endAllRuns(h *host, why string) {
	for _, r := range h.runs {
		c.endRun(h, r, tasks.EndLost, "", why)
	}
}

// endRun notes that a run is not at work any more.
func (c *Cell) endRun(h *host, r *run, how tasks.How, saved, why string) {
	if h.runs[r.name] == r {
		delete(h.runs, r.name)
	}
	if r.entry == nil {
		return
	}
	if r.entry.job.End(r.name, r.number, how, saved, time.Now()) {
		c.reportEnd(h, r, how, why)
		c.stopEndedJob(r.entry)
		c.markDirty(r.entry, nil)
	}
	wake(c.scheduleWake)
}

func (c *Cell) reportEnd(h *host, r *run, how tasks.How, why string) {
	c.options.Metrics.recordEnd(how)
	took := time.Duration(0)
	if r.startedAt != 0 {
		took = c.options.Clock() - r.startedAt
	}
	c.logger.Info("run ended", "job", r.name.Job, "round", r.name.Round, "step", r.name.Step, "index", r.name.Index, "run", r.number, "host", h.id, "how", how.String(), "why", why, "took", took.Round(time.Millisecond))
}

// processEnds takes in the ends that a host lists.
func (c *Cell) processEnds(h *host, ends []lease.End) <-chan struct{} {
	if len(ends) == 0 {
		return nil
	}
	highest := h.reportedEnd
	for _, end := range ends {
		highest = max(highest, end.Number)
		if r := h.runs[end.Name]; r != nil && r.number == end.Run {
			c.recordEnd(h, r, end.How)
			c.endRun(h, r, end.How, end.Saved, "listed")
		}
	}
	h.reportedEnd = highest
	noted := make(chan struct{})
	lives := h.restarts
	c.afterPersisted(func() {
		if h.restarts == lives {
			h.acknowledgedEnd = max(h.acknowledgedEnd, highest)
		}
		close(noted)
	})
	return noted
}

// processRuns takes in the runs that a host lists as of a hold that was sent at a
// local time.
func (c *Cell) processRuns(h *host, listed []lease.Run, sent time.Duration) {
	shown := make(map[tasks.Name]int, len(listed))
	for _, l := range listed {
		shown[l.Name] = l.Run
		r := h.runs[l.Name]
		if r == nil || r.number != l.Run {
			c.stopUnexpected(h, l)
			continue
		}
		r.recordProgress(l.Percent, sent)
		r.tailLatency = time.Duration(l.Load * float64(time.Millisecond))
		r.unansweredAt = 0
		if r.startedAt == 0 {
			r.startedAt = sent
		}
		if r.entry != nil {
			r.entry.job.Shown(r.name, r.number)
			r.entry.job.Save(r.name, r.number, l.Saved)
		}
	}
	for _, r := range h.runs {
		if shown[r.name] == r.number || r.unverified {
			continue
		}
		switch {
		case r.startedAt != 0 && r.startedAt <= sent:
			c.endRun(h, r, tasks.EndLost, "", "the host no longer has it")
		case r.unansweredAt != 0 && r.unansweredAt <= sent:
			c.stopRun(h, r)
		}
	}
}

// verifyInherited compares what an older owner may have started on a host with
// what the host has, now that it refuses the older owner's orders.
func (c *Cell) verifyInherited(h *host, listed []lease.Run) {
	shown := make(map[tasks.Name]int, len(listed))
	for _, l := range listed {
		shown[l.Name] = l.Run
	}
	for _, r := range h.runs {
		if !r.unverified {
			continue
		}
		r.unverified = false
		r.sent = true
		r.startedAt = c.options.Clock()
		if shown[r.name] != r.number {
			c.endRun(h, r, tasks.EndLost, "", "not on the host at the take-over")
			continue
		}
		c.stopEndedJob(r.entry)
	}
}

// stopUnexpected stops a run that should not be there.
func (c *Cell) stopUnexpected(h *host, listed lease.Run) {
	c.logger.Info("host has a run that it should not have", "host", h.id, "job", listed.Name.Job, "step", listed.Name.Step, "index", listed.Name.Index, "run", listed.Run)
	r := h.runs[listed.Name]
	if r != nil && r.number > listed.Run {
		return
	}
	r = &run{name: listed.Name, number: listed.Run, sent: true, startedAt: c.options.Clock()}
	if e := c.byID[listed.Name.Job]; e != nil && listed.Name.Step < len(e.job.Plan.Steps) {
		r.resources = e.job.Step(listed.Name).Occupies()
	}
	h.runs[listed.Name] = r
	c.stopRun(h, r)
}
