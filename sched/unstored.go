package sched

import (
	"context"
	"time"

	"rattanpath/claim"
	"rattanpath/store"
	"rattanpath/tasks"
)

const (
	// heldRetryDelay is the time between two attempts to write an accepted job whose records
	// the store has rejected.
	heldRetryDelay = 5 * time.Second
	// recordOverhead is the size of a record's lengths in a write.
	recordOverhead = 5
	// stepBytes is an upper bound of the size of a step in a definition without its texts,
	// dependencyBytes that of a dependency, and jobBytes that of a definition without its
	// steps and its spec. A byte of a text takes up to escapedBytes in JSON.
	stepBytes       = 400
	dependencyBytes = 5
	jobBytes        = 2000
	escapedBytes    = 6
)

// exceedsRecord reports whether the definition of a job is larger than a record may be. It
// is encoded only if it might be.
func (c *Cell) exceedsRecord(e *jobEntry) bool {
	limit := c.options.RecordBytes
	if limit == 0 || maxDefinitionBytes(&e.job.Plan) <= limit {
		return false
	}
	value, err := e.job.EncodeDefinition()
	return err != nil || len(value)+len(definitionPrefix)+jobKeyBytes+len(e.job.Key.ID)+recordOverhead > limit
}

// storableCheckpoint returns the checkpoint that a host reported for a run, or "" if its record
// would be larger than the store allows: the task then resumes from an earlier one.
func (c *Cell) storableCheckpoint(r *run, checkpoint string) string {
	limit := tasks.Limits{Record: c.options.RecordBytes}.Checkpoint()
	if limit == 0 || len(checkpoint) <= limit {
		return checkpoint
	}
	c.logger.Info("checkpoint too large to be stored", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "run", r.number, "bytes", len(checkpoint), "limit", limit)
	return ""
}

// maxDefinitionBytes returns an upper bound of the size of a job's definition.
func maxDefinitionBytes(plan *tasks.Plan) int {
	size := jobBytes + escapedBytes*len(plan.Spec)
	for i := range plan.Steps {
		step := &plan.Steps[i]
		size += stepBytes + dependencyBytes*len(step.After) + escapedBytes*(len(step.Label)+len(step.DataRack)+len(step.Image))
	}
	return size
}

// writeParts writes the jobs of a batch that the store has rejected in halves, and those in
// halves again, until the rejected jobs are alone. Each part is confirmed at once: its callers
// don't wait for the others.
func (c *Cell) writeParts(ctx context.Context, jobs []jobWrite, rejection error) error {
	if len(jobs) == 1 {
		c.handleRejected(jobs[0], rejection)
		return nil
	}
	middle := len(jobs) / 2
	for _, part := range [][]jobWrite{jobs[:middle], jobs[middle:]} {
		b := batch{jobs: part}
		start := time.Now()
		err := c.appendAll(ctx, b.writes(c.maxWriteBytes()))
		switch {
		case err == nil:
			c.writeConfirmed(b, time.Since(start))
		case !claim.IsRejected(err):
			return err
		default:
			if err := c.writeParts(ctx, part, err); err != nil {
				return err
			}
		}
	}
	return nil
}

// handleRejected handles a job whose records the store has rejected. A job that was never
// persisted is removed. Others can't go on but must not be lost, nor hold up the rest.
func (c *Cell) handleRejected(job jobWrite, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.options.Metrics.RejectedWrites.Inc()
	e := job.entry
	if e == nil || c.jobs[e.job.Key] != e {
		c.logger.Error(err, "the store has rejected records of no job", "bytes", sizeOf(job.writes))
		return
	}
	c.logger.Error(err, "the store has rejected the records of a job", "job", e.job.Key.ID, "queue", e.job.Key.Queue, "accepted", e.persisted, "bytes", sizeOf(job.writes))
	if !e.persisted {
		c.rejectJob(e, job.onPersisted)
		return
	}
	e.stored.Forget()
	e.onPersisted = append(job.onPersisted, e.onPersisted...)
	e.held, e.heldUntil = true, time.Now().Add(heldRetryDelay)
	c.heldJobs[e] = true
	c.dropPlannedRuns(e)
}

// dropPlannedRuns frees the hosts that a job's runs occupy which were not started yet.
func (c *Cell) dropPlannedRuns(e *jobEntry) {
	e.job.ForEachActive(func(taskID tasks.ID, _ *tasks.Task) {
		if h, r := c.runOf(e, taskID); r != nil && r.state == runPlanned {
			c.dropRun(h, r, "its job can't be stored")
			c.abandonGangStart(r)
		}
	})
}

func sizeOf(writes [][]store.Record) int {
	size := 0
	for _, records := range writes {
		size += recordBytes(records)
	}
	return size
}

// rejectJob removes a job that was never persisted. Its callers are told once that is certain:
// some of its records may have been stored, and are deleted first.
func (c *Cell) rejectJob(e *jobEntry, onPersisted []func()) {
	e.rejected = true
	e.onPersisted = append(onPersisted, e.onPersisted...)
	c.removeUnstored(e)
	c.markDirty(e, nil)
}

// rejectionError returns ErrTooLarge if the store has rejected a job that was submitted.
func (c *Cell) rejectionError(e *jobEntry) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.rejected {
		return ErrTooLarge
	}
	return nil
}

// isHeld reports whether the records of a job aren't written for now.
func (c *Cell) isHeld(e *jobEntry) bool { return e.held && time.Now().Before(e.heldUntil) }

// retryHeld writes the jobs again whose delay is over. c.mu must be held.
func (c *Cell) retryHeld(now time.Time) {
	for e := range c.heldJobs {
		switch {
		case !e.held:
			delete(c.heldJobs, e)
		case !now.Before(e.heldUntil):
			c.markDirty(e, nil)
		}
	}
}

// anyHeld reports whether the changes of any of the jobs are not stored.
func (c *Cell) anyHeld(entries map[*jobEntry]bool) bool {
	for e := range entries {
		if e != nil && e.held {
			return true
		}
	}
	return false
}

// encodeChanges returns the changes of the job's progress. Of a job that has ended and whose
// records were rejected, only that is stored: its tasks are of no more use.
func (e *jobEntry) encodeChanges(limits tasks.Limits) ([][]tasks.ProgressRecord, error) {
	if e.held && e.job.Phase != tasks.Open {
		return e.job.EncodeEnd(&e.stored)
	}
	return e.job.EncodeChanges(&e.stored, limits)
}
