package sched

import (
	"context"
	"time"

	"rattanpath/tasks"
)

// Submit accepts a job and returns once it is persisted. A job that already
// exists is left unchanged. Errors other than ErrUncertain mean that the job
// was not accepted, or is withdrawn: it will not run.
func (c *Cell) Submit(ctx context.Context, caller Caller, key tasks.Key, plan tasks.Plan, policy tasks.Policy) error {
	c.mu.Lock()
	if c.isLost() || c.stopped {
		c.mu.Unlock()
		return ErrNotOwner
	}
	e := c.jobs[key]
	if e == nil {
		e = &jobEntry{job: tasks.NewJob(key, plan, policy, time.Now())}
		if err := c.newJobError(caller, e); err != nil {
			c.recordRefusal(e, err)
			c.mu.Unlock()
			return err
		}
		c.addJob(e)
		e.withdrawn = make(chan struct{})
		e.submittedCPU = e.job.CPUTime(c.meanRunTimes[key.Queue])
		c.submittedCPU += e.submittedCPU
		c.logger.Info("job accepted", "job", key.ID, "queue", key.Queue, "steps", len(plan.Steps), "open", len(c.open), "epoch", c.epoch)
		e.job.StartDueRounds(time.Now())
	} else if !caller.mayAccess(e.job) {
		c.mu.Unlock()
		return ErrForbidden
	} else if e.persisted {
		c.mu.Unlock()
		return nil
	}
	persisted := make(chan struct{})
	c.markDirty(e, func() { close(persisted) })
	wake(c.scheduleWake)
	c.mu.Unlock()
	if err := c.awaitSubmitted(ctx, e, persisted); err != nil {
		return err
	}
	return c.rejectionError(e)
}

// newJobError returns why a job that doesn't exist can't be accepted from a caller, or nil. It
// changes nothing, so that it can explain the decision as well.
func (c *Cell) newJobError(caller Caller, e *jobEntry) error {
	switch key := e.job.Key; {
	case c.isReassigned(key.Queue, caller):
		return ErrReassigned
	case c.byID[key.ID] != nil:
		return ErrIDConflict
	default:
		return c.admissionError(e)
	}
}

// admissionError returns why a new job can't be accepted at present, or nil.
func (c *Cell) admissionError(e *jobEntry) error {
	switch {
	case c.storeUnavailable():
		return ErrStoreUnavailable
	case c.wouldStartLate(e, time.Now()):
		return c.overloadError(e)
	case !c.hasStoreSpaceFor(e):
		return ErrStoreFull
	case c.exceedsRecord(e):
		return ErrTooLarge
	default:
		return c.gangError(e)
	}
}

// awaitPersisted waits until a change is persisted.
func (c *Cell) awaitPersisted(ctx context.Context, persisted <-chan struct{}) error {
	select {
	case <-persisted:
		return nil
	case <-c.lost:
		return ErrUncertain
	case <-ctx.Done():
		return ErrUncertain
	}
}

// Status is the state of a job as reported to callers.
type Status struct {
	Phase tasks.Phase
	Begun bool
	// PreCancelled comes with ErrUnknownJob: the job was cancelled before it was submitted,
	// so that no service may start it.
	PreCancelled bool
}

// Status returns the persisted state of a job.
func (c *Cell) Status(ctx context.Context, caller Caller, key tasks.Key) (Status, error) {
	c.mu.Lock()
	e := c.jobs[key]
	lost := c.isLost()
	c.mu.Unlock()
	if lost {
		return Status{}, ErrNotOwner
	}
	if e == nil {
		// Another node may have taken over and accepted the job.
		if err := c.ConfirmOwnership(ctx); err != nil {
			return Status{}, err
		}
		return Status{}, ErrUnknownJob
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return statusOf(e, caller)
}

// statusOf returns the persisted state of a job.
func statusOf(e *jobEntry, caller Caller) (Status, error) {
	switch {
	case !caller.mayAccess(e.job):
		return Status{}, ErrForbidden
	case !e.persisted:
		return Status{}, ErrUncertain
	case e.job.PreCancelled:
		return Status{PreCancelled: true}, ErrUnknownJob
	}
	return Status{Phase: e.persistedPhase, Begun: e.job.Started}, nil
}

// ConfirmOwnership returns nil if this node owned the cell at some time after
// the call began.
func (c *Cell) ConfirmOwnership(ctx context.Context) error {
	requestedAt := c.options.Clock()
	for {
		c.mu.Lock()
		c.confirmRequestedAt = max(c.confirmRequestedAt, requestedAt)
		confirmedAt, unavailable := c.confirmedAt, c.storeUnavailable()
		c.mu.Unlock()
		switch {
		case c.isLost():
			return ErrNotOwner
		case confirmedAt >= requestedAt:
			return nil
		case unavailable:
			return ErrStoreUnavailable
		}
		wake(c.writeWake)
		select {
		case <-time.After(confirmPollInterval):
		case <-ctx.Done():
			return ErrUncertain
		}
	}
}

// confirmPollInterval is the time between two checks for a confirmed write.
const confirmPollInterval = 5 * time.Millisecond

// CancelExisting ends a job like Cancel, but doesn't persist that a job which was never submitted is
// cancelled. The error is ErrUnknownJob if there was no such job while this node owned the cell.
func (c *Cell) CancelExisting(ctx context.Context, caller Caller, key tasks.Key) error {
	c.mu.Lock()
	known := c.jobs[key] != nil
	c.mu.Unlock()
	if !known {
		if _, err := c.Status(ctx, caller, key); err != nil {
			return err
		}
	}
	return c.Cancel(ctx, caller, key)
}

// Cancel ends a job and returns once that is persisted. A job that was never
// submitted is persisted as cancelled, so that a delayed request can't start
// it; the error is then ErrUnknownJob. It belongs to the caller's organisation.
func (c *Cell) Cancel(ctx context.Context, caller Caller, key tasks.Key) error {
	c.mu.Lock()
	if c.isLost() || c.stopped {
		c.mu.Unlock()
		return ErrNotOwner
	}
	if c.storeUnavailable() {
		c.mu.Unlock()
		return ErrStoreUnavailable
	}
	now := time.Now()
	e := c.jobs[key]
	unknown := e == nil
	if !unknown && !caller.mayAccess(e.job) {
		c.mu.Unlock()
		return ErrForbidden
	}
	if unknown && c.isReassigned(key.Queue, caller) {
		c.mu.Unlock()
		return ErrReassigned
	}
	if unknown {
		e = &jobEntry{job: tasks.NewJob(key, tasks.Plan{}, tasks.Policy{Organisation: caller.Organisation}, now)}
		e.job.PreCancelled = true
		c.jobs[key] = e
	}
	changed := e.job.Cancel(now)
	if changed {
		c.logger.Info("job cancelled", "job", key.ID, "queue", key.Queue, "known", !unknown, "epoch", c.epoch)
	}
	persisted := make(chan struct{})
	c.markDirty(e, func() {
		c.stopEndedJob(e)
		close(persisted)
	})
	c.mu.Unlock()
	if err := c.awaitPersisted(ctx, persisted); err != nil {
		return err
	}
	if unknown || e.job.PreCancelled || c.rejectionError(e) != nil {
		return ErrUnknownJob
	}
	return nil
}

// Pending returns the number of jobs of a queue that have not started.
func (c *Cell) Pending(queue string) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() || c.options.Clock()-c.confirmedAt > maxCountAge {
		return 0, ErrNotOwner
	}
	count := 0
	for e := range c.open {
		if e.job.Key.Queue == queue && !e.job.Started {
			count++
		}
	}
	return count, nil
}
