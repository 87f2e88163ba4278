package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

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
		e.gaps = nil
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

// batch holds the changes of jobs that are written together and the functions to call once
// all are confirmed.
type batch struct {
	jobs        []jobWrite
	onPersisted []func()
}

// jobWrite holds the changes of one job.
type jobWrite struct {
	entry *jobEntry
	// writes are to be made in this order; there is only one unless the job is large.
	writes [][]store.Record
	// phase is that of the job in these writes.
	phase       tasks.Phase
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
	return len(c.dirtyJobs) > 0 || len(c.onAllPersisted) > 0 || len(c.moved.unwritten) > 0 || c.quotas.caps.dirty || confirmRequested || c.options.Clock()-c.confirmedAt >= maxWriteInterval/2
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
	if len(c.orphanKeys) > 0 {
		b.jobs = append(b.jobs, c.takeOrphans())
	}
	if len(c.moved.unwritten) > 0 {
		moved, err := c.moved.take()
		if err != nil {
			c.logger.Error(err, "cannot write the moved queues")
		}
		b.jobs = append(b.jobs, moved)
	}
	if c.quotas.caps.dirty {
		b.jobs = append(b.jobs, c.takeCaps())
	}
	for len(c.dirtyJobs) > 0 && size < limit {
		e := c.dirtyJobs[0]
		c.dirtyJobs = c.dirtyJobs[1:]
		e.dirty = false
		if c.isHeld(e) {
			continue
		}
		writes, err := c.records(e, limit)
		if err != nil {
			// Only values that JSON can't represent fail to encode; a job has none.
			c.logger.Error(err, "cannot encode job", "job", e.job.Key.ID)
			continue
		}
		for _, records := range writes {
			size += recordBytes(records)
		}
		b.jobs = append(b.jobs, jobWrite{entry: e, writes: writes, phase: e.job.Phase, onPersisted: e.onPersisted})
		e.onPersisted = nil
	}
	if len(c.dirtyJobs) == 0 {
		b.onPersisted = append(b.onPersisted, c.onAllPersisted...)
		c.onAllPersisted = nil
	}
	return b, len(c.dirtyJobs) > 0
}

// confirm records that the changes are persisted. c.mu must be held.
func (w *jobWrite) confirm() {
	if e := w.entry; e != nil {
		e.persisted, e.held = true, false
		e.persistedPhase = w.phase
	}
	for _, callback := range w.onPersisted {
		callback()
	}
}

// writes returns what to send to the store for a batch: one write, unless a large job needs
// several.
func (b *batch) writes(limit int) [][]store.Record {
	writes := [][]store.Record{nil}
	size := 0
	for _, job := range b.jobs {
		for i, records := range job.writes {
			added := recordBytes(records)
			if i > 0 || size > 0 && size+added > limit {
				writes, size = append(writes, nil), 0
			}
			writes[len(writes)-1] = append(writes[len(writes)-1], records...)
			size += added
		}
	}
	return writes
}

func recordBytes(records []store.Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}

// minSplitBytes is the smallest limit by which the changes of a job are split into several
// writes: 0.5 s of the slowest link.
const minSplitBytes = 128 << 10

// records returns the writes to make for a job, each of about limit bytes at most. Records
// without a value delete those of a removed job.
func (c *Cell) records(e *jobEntry, limit int) ([][]store.Record, error) {
	suffix := fmt.Sprintf("%016x/%s", xxhash.Sum64String(e.job.Key.Queue), e.job.Key.ID)
	if c.jobs[e.job.Key] != e {
		records := []store.Record{{Key: definitionPrefix + suffix}, {Key: progressPrefix + suffix}}
		return [][]store.Record{append(records, progressRecords(suffix, e.stored.RemoveParts())...)}, nil
	}
	var definition []store.Record
	if !e.definitionWritten {
		value, err := e.job.EncodeDefinition()
		if err != nil {
			return nil, err
		}
		definition = []store.Record{{Key: definitionPrefix + suffix, Value: value}}
		e.definitionWritten = true
	}
	changes, err := e.encodeChanges(tasks.Limits{Write: max(limit, minSplitBytes), Record: c.options.RecordBytes})
	if err != nil {
		return nil, err
	}
	writes := make([][]store.Record, max(1, len(changes)))
	writes[0] = definition
	for i, change := range changes {
		writes[i] = append(writes[i], progressRecords(suffix, change)...)
	}
	return writes, nil
}

// progressRecords returns the records of a job's progress. Those of parts have the name of the
// part behind the key of the main record, so that an older version reads over them.
func progressRecords(suffix string, progress []tasks.ProgressRecord) []store.Record {
	var records []store.Record
	for _, record := range progress {
		key := progressPrefix + suffix
		if record.Part != "" {
			key += partSeparator + record.Part
		}
		records = append(records, store.Record{Key: key, Value: record.Value})
	}
	return records
}

// maxWriteBytes returns the size by which the changes of several jobs are split into writes.
func (c *Cell) maxWriteBytes() int { return c.options.BatchBytes + c.options.BatchBytes/2 }

// write appends a batch to the store and reports whether that succeeded. If nothing more can be
// written under the claim, it marks the cell as lost.
func (c *Cell) write(ctx context.Context, b batch) bool {
	start := time.Now()
	err := c.appendAll(ctx, b.writes(c.maxWriteBytes()))
	if claim.IsRejected(err) && len(b.jobs) > 0 {
		err = c.writeParts(ctx, b.jobs, err)
		b.jobs = nil
	}
	if err != nil {
		if ctx.Err() == nil {
			c.markLost(err.Error())
		}
		return false
	}
	c.writeConfirmed(b, time.Since(start))
	return true
}

// appendAll makes writes one after the other.
func (c *Cell) appendAll(ctx context.Context, writes [][]store.Record) error {
	for _, records := range writes {
		start := time.Now()
		sent, err := c.writer.Write(ctx, records)
		if err != nil {
			return err
		}
		c.options.Metrics.WriteSeconds.UpdateDuration(start)
		c.ownershipConfirmed(sent, records)
	}
	return nil
}

// ownershipConfirmed records that the store has confirmed a write that was sent at a local
// time.
func (c *Cell) ownershipConfirmed(sent time.Duration, records []store.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordsConfirmed(records, c.writer.End())
	c.confirmedAt = sent
	if c.storeUnavailable() {
		c.recoveringUntil = time.Now().Add(min(time.Since(c.failingSince), maxLateTime))
	}
	if !c.failingSince.IsZero() {
		c.logger.Info("store writes recovered", "after", time.Since(c.failingSince).Round(time.Millisecond))
		c.failingSince = time.Time{}
	}
}

func (c *Cell) writeConfirmed(b batch, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activity.writes++
	c.activity.writeTime += took
	for _, job := range b.jobs {
		job.confirm()
	}
	for _, callback := range b.onPersisted {
		callback()
	}
	wake(c.scheduleWake)
}

func (c *Cell) writeFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, store.ErrInvalid) {
		// The store answers. What it doesn't take is isolated soon, and the rest is written.
		return
	}
	if errors.Is(err, store.ErrFull) {
		c.handleStoreFull()
	}
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
