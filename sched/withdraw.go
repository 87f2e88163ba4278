package sched

import (
	"context"
	"slices"
	"time"

	"rattanpath/tasks"
)

// withdrawUnsentJobs withdraws the jobs that are part of no write if the store counts as
// unavailable: until it returns nobody could say whether they will run.
func (c *Cell) withdrawUnsentJobs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeUnavailable() {
		return
	}
	count := 0
	c.dirtyJobs = slices.DeleteFunc(c.dirtyJobs, func(e *jobEntry) bool {
		if !c.isUnsent(e) {
			return false
		}
		c.withdraw(e)
		count++
		return true
	})
	if count > 0 {
		c.logger.Info("jobs withdrawn, the store is unavailable", "jobs", count, "open", len(c.open), "epoch", c.epoch)
	}
}

// isUnsent reports whether a job is part of no write, and may still be withdrawn. A job that was
// cancelled meanwhile may not: its cancel must be stored.
func (c *Cell) isUnsent(e *jobEntry) bool {
	return !e.definitionWritten && e.job.Phase == tasks.Open && c.jobs[e.job.Key] == e
}

// withdraw removes an unsent job as if it had never been submitted. The caller removes the job
// from c.dirtyJobs. c.mu must be held.
func (c *Cell) withdraw(e *jobEntry) {
	c.removeUnstored(e)
	e.dirty, e.onPersisted = false, nil
	close(e.withdrawn)
	wake(c.scheduleWake)
}

// removeUnstored removes a job that was never persisted, with its planned runs. No start command
// was sent, since that takes a confirmed write. c.mu must be held.
func (c *Cell) removeUnstored(e *jobEntry) {
	e.job.ForEachActive(func(taskID tasks.ID, task *tasks.Task) {
		h, key := c.hosts[task.Host], runKey{taskID, task.Run}
		if h != nil && h.runs[key] != nil {
			delete(h.runs, key)
			c.plannedBytes -= e.startSize()
		}
	})
	if c.open[e] {
		delete(c.open, e)
		c.reduceBacklog(e, e.unstarted)
	}
	c.submittedCPU -= e.submittedCPU
	delete(c.jobs, e.job.Key)
	if c.byID[e.job.Key.ID] == e {
		delete(c.byID, e.job.Key.ID)
	}
}

// awaitSubmitted waits until a submitted job is persisted or withdrawn. A job that is part of no
// write is withdrawn when the cell is lost or, while writes fail, when ctx ends.
func (c *Cell) awaitSubmitted(ctx context.Context, e *jobEntry, persisted <-chan struct{}) error {
	select {
	case <-persisted:
		return nil
	case <-e.withdrawn:
	case <-c.lost:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isUnsent(e) && (c.isLost() || !c.failingSince.IsZero()) {
		c.withdraw(e)
		c.dirtyJobs = slices.DeleteFunc(c.dirtyJobs, func(other *jobEntry) bool { return other == e })
	}
	switch {
	case !e.isWithdrawn():
		return ErrUncertain
	case c.isLost():
		return ErrNotOwner
	default:
		return ErrStoreUnavailable
	}
}

// isWithdrawn reports whether the job was submitted to this cell and withdrawn since.
func (e *jobEntry) isWithdrawn() bool {
	select {
	case <-e.withdrawn:
		return true
	default:
		return false
	}
}

// scheduleWithdrawal makes unsent jobs be withdrawn once the store counts as unavailable.
func (c *Cell) scheduleWithdrawal() {
	time.AfterFunc(storeDownAfter+time.Millisecond, c.withdrawUnsentJobs)
}
