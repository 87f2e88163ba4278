package cell

import (
	"context"
	"time"

	"rattanpath/tasks"
)

// Submit takes a job in and returns once it is kept. A job that is known
// already stays what it is. Errors other than ErrUncertain mean that the job was
// not taken in.
func (c *Cell) Submit(ctx context.Context, key tasks.Key, plan tasks.Plan, policy tasks.Policy) error {
	c.mu.Lock()
	if c.isLost() || c.stopped {
		c.mu.Unlock()
		return ErrNotOwner
	}
	e := c.jobs[key]
	if e == nil {
		if other := c.byID[key.ID]; other != nil {
			c.mu.Unlock()
			return ErrTaken
		}
		if c.storeAway() {
			c.mu.Unlock()
			return ErrStoreAway
		}
		e = &entry{job: tasks.NewJob(key, plan, policy, time.Now())}
		c.add(e)
		c.arrived += e.job.CPUTime(c.lengths[key.Queue])
		c.logger.Info("job taken in", "job", key.ID, "queue", key.Queue, "steps", len(plan.Steps), "open", len(c.open), "epoch", c.epoch)
		e.job.StartDueRounds(time.Now())
	} else if e.kept {
		c.mu.Unlock()
		return nil
	}
	kept := make(chan struct{})
	c.touch(e, func() { close(kept) })
	kick(c.placeKick)
	c.mu.Unlock()
	return c.await(ctx, kept)
}

// await waits until a change is kept.
func (c *Cell) await(ctx context.Context, kept <-chan struct{}) error {
	select {
	case <-kept:
		return nil
	case <-c.lost:
		return ErrUncertain
	case <-ctx.Done():
		return ErrUncertain
	}
}

// Status is what a caller is told of a job.
type Status struct {
	Phase tasks.Phase
	Begun bool
}

// Status returns how far a job is, as far as it is kept.
func (c *Cell) Status(ctx context.Context, key tasks.Key) (Status, error) {
	c.mu.Lock()
	e := c.jobs[key]
	lost := c.isLost()
	c.mu.Unlock()
	if lost {
		return Status{}, ErrNotOwner
	}
	if e == nil {
		// Another node may have taken over and know the job.
		if err := c.Confirm(ctx); err != nil {
			return Status{}, err
		}
		return Status{}, ErrUnknownJob
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !e.kept:
		return Status{}, ErrUncertain
	case e.job.PreCancelled:
		return Status{}, ErrUnknownJob
	}
	return Status{Phase: e.shown, Begun: e.job.Started}, nil
}

// Confirm returns nil if the cell is this node's at a moment after the call.
func (c *Cell) Confirm(ctx context.Context) error {
	asked := c.options.Clock()
	for {
		c.mu.Lock()
		c.confirmBy = max(c.confirmBy, asked)
		confirmed, away := c.confirmed, c.storeAway()
		c.mu.Unlock()
		switch {
		case c.isLost():
			return ErrNotOwner
		case confirmed >= asked:
			return nil
		case away:
			return ErrStoreAway
		}
		kick(c.writeKick)
		select {
		case <-time.After(confirmPause):
		case <-ctx.Done():
			return ErrUncertain
		}
	}
}

// confirmPause is the time between two looks at whether the store has confirmed
// a write.
const confirmPause = 5 * time.Millisecond

// Cancel ends a job and returns once that is kept. A job that was never handed
// in is kept as cancelled, so that a late request can't begin it.
func (c *Cell) Cancel(ctx context.Context, key tasks.Key) error {
	c.mu.Lock()
	if c.isLost() || c.stopped {
		c.mu.Unlock()
		return ErrNotOwner
	}
	if c.storeAway() {
		c.mu.Unlock()
		return ErrStoreAway
	}
	now := time.Now()
	e := c.jobs[key]
	unknown := e == nil
	if unknown {
		e = &entry{job: tasks.NewJob(key, tasks.Plan{}, tasks.Policy{}, now)}
		e.job.PreCancelled = true
		c.jobs[key] = e
	}
	changed := e.job.Cancel(now)
	if changed {
		c.logger.Info("job cancelled", "job", key.ID, "queue", key.Queue, "known", !unknown, "epoch", c.epoch)
	}
	kept := make(chan struct{})
	c.touch(e, func() {
		c.stopRest(e)
		close(kept)
	})
	c.mu.Unlock()
	if err := c.await(ctx, kept); err != nil {
		return err
	}
	if unknown || e.job.PreCancelled {
		return ErrUnknownJob
	}
	return nil
}

// Pending returns how many jobs of a queue have not begun.
func (c *Cell) Pending(queue string) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() || c.options.Clock()-c.confirmed > countTime {
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
