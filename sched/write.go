package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanpath/claim"
	"rattanpath/store"
	"rattanpath/tasks"
)

// markDirty schedules a write of a job's records. Unless callback is nil, it is
// called with c.mu held once they are persisted. c.mu must be held.
func (c *Cell) markDirty(e *jobEntry, callback func()) {
	if !e.dirty {
		e.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, e)
	}
	if callback != nil {
		e.onPersisted = append(e.onPersisted, callback)
	}
	if e.job.Phase != tasks.Open && c.open[e] {
		delete(c.open, e)
		c.reduceBacklog(e, e.unstarted)
		took := e.job.Ended.Sub(e.job.Accepted)
		c.options.Metrics.recordJob(e.job.Phase, took)
		c.logger.Info("job ended", "job", e.job.Key.ID, "queue", e.job.Key.Queue, "phase", e.job.Phase.String(), "took", took.Round(time.Millisecond), "epoch", c.epoch)
	}
	wake(c.writeWake)
}

// afterPersisted schedules a call of callback, with c.mu held, once all changes
// so far are persisted. c.mu must be held.
func (c *Cell) afterPersisted(callback func()) {
	c.onAllPersisted = append(c.onAllPersisted, callback)
	wake(c.writeWake)
}

// batch holds the records of one write and the functions to call once it is
// confirmed.
type batch struct {
	records     []store.Record
	onPersisted []func()
}

// loopWrites persists changes, one write at a time.
func (c *Cell) loopWrites(ctx context.Context) {
	for {
		select {
		case <-c.writeWake:
		case <-time.After(maxWriteInterval):
		case <-ctx.Done():
			return
		}
		for more := c.needsWrite(); more; {
			var b batch
			if b, more = c.nextBatch(); !c.write(ctx, b) {
				return
			}
		}
		if c.isReleasing() {
			return
		}
	}
}

// needsWrite reports whether there are changes to write, or ownership is to be
// confirmed.
func (c *Cell) needsWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	confirmRequested := c.confirmRequestedAt > c.confirmedAt
	return len(c.dirtyJobs) > 0 || len(c.onAllPersisted) > 0 || confirmRequested || c.options.Clock()-c.confirmedAt >= maxWriteInterval/2
}

// isReleasing reports whether the cell is stopping and writes only once more.
func (c *Cell) isReleasing() bool {
	select {
	case <-c.releasing:
		return true
	default:
		return false
	}
}

// nextBatch returns the next changes that fit into one write and reports
// whether more are left.
func (c *Cell) nextBatch() (batch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b batch
	size, limit := 0, c.options.Link.batchBytes(c.options.BatchBytes)
	for len(c.dirtyJobs) > 0 && size < limit {
		e := c.dirtyJobs[0]
		c.dirtyJobs = c.dirtyJobs[1:]
		e.dirty = false
		records, err := c.records(e)
		if err != nil {
			// Only values that JSON can't represent fail to encode; a job has none.
			c.logger.Error(err, "cannot encode job", "job", e.job.Key.ID)
			continue
		}
		for _, record := range records {
			size += len(record.Value) + len(record.Key)
		}
		b.records = append(b.records, records...)
		b.onPersisted = append(b.onPersisted, e.persistedFunc())
	}
	if len(c.dirtyJobs) == 0 {
		b.onPersisted = append(b.onPersisted, c.onAllPersisted...)
		c.onAllPersisted = nil
	}
	return b, len(c.dirtyJobs) > 0
}

// persistedFunc returns the function to call once the job's current state is
// persisted.
func (e *jobEntry) persistedFunc() func() {
	phase, callbacks := e.job.Phase, e.onPersisted
	e.onPersisted = nil
	return func() {
		e.persisted = true
		e.persistedPhase = phase
		for _, callback := range callbacks {
			callback()
		}
	}
}

// records returns the records to write for a job. Records without a value
// delete those of a removed job.
func (c *Cell) records(e *jobEntry) ([]store.Record, error) {
	suffix := fmt.Sprintf("%016x/%s", xxhash.Sum64String(e.job.Key.Queue), e.job.Key.ID)
	if c.jobs[e.job.Key] != e {
		return []store.Record{{Key: definitionPrefix + suffix}, {Key: progressPrefix + suffix}}, nil
	}
	var records []store.Record
	if !e.definitionWritten {
		value, err := e.job.EncodeDefinition()
		if err != nil {
			return nil, err
		}
		records = append(records, store.Record{Key: definitionPrefix + suffix, Value: value})
		e.definitionWritten = true
	}
	value, err := e.job.EncodeProgress()
	if err != nil {
		return nil, err
	}
	return append(records, store.Record{Key: progressPrefix + suffix, Value: value}), nil
}

// write appends a batch to the store and reports whether that succeeded. If
// another node has claimed the cell, it marks the cell as lost.
func (c *Cell) write(ctx context.Context, b batch) bool {
	start := time.Now()
	sent, err := c.writer.Write(ctx, b.records)
	switch {
	case err == nil:
		c.options.Metrics.WriteSeconds.UpdateDuration(start)
		c.writeConfirmed(sent, b, time.Since(start))
		return true
	case claim.IsSuperseded(err):
		c.markLost(err.Error())
	}
	return false
}

func (c *Cell) writeConfirmed(sent time.Duration, b batch, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activity.writes++
	c.activity.writeTime += took
	c.confirmedAt = sent
	if c.storeUnavailable() {
		c.recoveringUntil = time.Now().Add(min(time.Since(c.failingSince), maxLateTime))
	}
	if !c.failingSince.IsZero() {
		c.logger.Info("store writes recovered", "after", time.Since(c.failingSince).Round(time.Millisecond))
		c.failingSince = time.Time{}
	}
	for _, callback := range b.onPersisted {
		callback()
	}
	wake(c.scheduleWake)
}

func (c *Cell) writeFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince.IsZero() {
		c.failingSince = time.Now()
		c.scheduleWithdrawal()
		c.logger.Info("store write failed, retrying", "err", err.Error())
	}
}

// storeUnavailable reports whether writes have failed for longer than
// storeDownAfter.
func (c *Cell) storeUnavailable() bool {
	return !c.failingSince.IsZero() && time.Since(c.failingSince) > storeDownAfter
}

// ownershipValid reports whether the last confirmed write is so recent that no
// other node can have taken over and waited for the leases of this one to
// expire.
func (c *Cell) ownershipValid() bool { return c.ownershipValidAt(c.options.Clock()) }

// ownershipValidAt does the same for a local time that was just read.
func (c *Cell) ownershipValidAt(now time.Duration) bool {
	return !c.isLost() && now-c.confirmedAt < ownershipTimeout
}
