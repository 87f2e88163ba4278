package cell

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanpath/claim"
	"rattanpath/store"
	"rattanpath/tasks"
)

// touch notes that a job's records must be written. Then, which may be nil, is
// called with the lock held once they are.
func (c *Cell) touch(e *entry, then func()) {
	if !e.dirty {
		e.dirty = true
		c.dirty = append(c.dirty, e)
	}
	if then != nil {
		e.then = append(e.then, then)
	}
	if e.job.Phase != tasks.Open && c.open[e] {
		delete(c.open, e)
		took := e.job.Ended.Sub(e.job.Accepted)
		c.options.Meters.jobEnded(e.job.Phase, took)
		c.logger.Info("job ended", "job", e.job.Key.ID, "queue", e.job.Key.Queue, "phase", e.job.Phase.String(), "took", took.Round(time.Millisecond), "epoch", c.epoch)
	}
	kick(c.writeKick)
}

// whenWritten calls then, with the lock held, once all that has changed so far
// is in the store. It is called with the lock held.
func (c *Cell) whenWritten(then func()) {
	c.after = append(c.after, then)
	kick(c.writeKick)
}

// batch is what one write carries.
type batch struct {
	records []store.Record
	done    []func()
}

// loopWrites writes what has changed, one write at a time.
func (c *Cell) loopWrites(ctx context.Context) {
	for {
		select {
		case <-c.writeKick:
		case <-time.After(idleWrite):
		case <-ctx.Done():
			return
		}
		for more := c.mustWrite(); more; {
			var b batch
			if b, more = c.collect(); !c.write(ctx, b) {
				return
			}
		}
		if c.isReleasing() {
			return
		}
	}
}

// mustWrite reports whether there is anything to write or to confirm.
func (c *Cell) mustWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked := c.confirmBy > c.confirmed
	return len(c.dirty) > 0 || len(c.after) > 0 || asked || c.options.Clock()-c.confirmed >= idleWrite/2
}

// isReleasing reports whether the next write is the last.
func (c *Cell) isReleasing() bool {
	select {
	case <-c.releasing:
		return true
	default:
		return false
	}
}

// collect takes the changes that fit into one write and reports whether others
// are left.
func (c *Cell) collect() (batch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b batch
	size := 0
	for len(c.dirty) > 0 && size < c.options.BatchBytes {
		e := c.dirty[0]
		c.dirty = c.dirty[1:]
		e.dirty = false
		records, err := c.records(e)
		if err != nil {
			// Only values that JSON can't hold get here; there are none in a job.
			c.logger.Error(err, "a job can't be written", "job", e.job.Key.ID)
			continue
		}
		for _, record := range records {
			size += len(record.Value) + len(record.Key)
		}
		b.records = append(b.records, records...)
		b.done = append(b.done, e.settle())
	}
	if len(c.dirty) == 0 {
		b.done = append(b.done, c.after...)
		c.after = nil
	}
	return b, len(c.dirty) > 0
}

// settle returns what happens once the job's present state is in the store.
func (e *entry) settle() func() {
	phase, then := e.job.Phase, e.then
	e.then = nil
	return func() {
		e.kept = true
		e.shown = phase
		for _, call := range then {
			call()
		}
	}
}

// records returns the records of a job that must be written.
func (c *Cell) records(e *entry) ([]store.Record, error) {
	suffix := fmt.Sprintf("%016x/%s", xxhash.Sum64String(e.job.Key.Queue), e.job.Key.ID)
	if c.jobs[e.job.Key] != e {
		return []store.Record{{Key: definitionMark + suffix}, {Key: progressMark + suffix}}, nil
	}
	var records []store.Record
	if !e.defined {
		value, err := e.job.EncodeDefinition()
		if err != nil {
			return nil, err
		}
		records = append(records, store.Record{Key: definitionMark + suffix, Value: value})
		e.defined = true
	}
	value, err := e.job.EncodeProgress()
	if err != nil {
		return nil, err
	}
	return append(records, store.Record{Key: progressMark + suffix, Value: value}), nil
}

// write appends a batch and reports whether the cell is still this node's.
func (c *Cell) write(ctx context.Context, b batch) bool {
	begun := time.Now()
	sent, err := c.writer.Write(ctx, b.records)
	switch {
	case err == nil:
		c.options.Meters.Write.UpdateDuration(begun)
		c.confirm(sent, b)
		return true
	case claim.IsSuperseded(err):
		c.lose(err.Error())
	}
	return false
}

func (c *Cell) confirm(sent time.Duration, b batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = sent
	if !c.failing.IsZero() {
		c.logger.Info("the store takes writes again", "after", time.Since(c.failing).Round(time.Millisecond))
		c.failing = time.Time{}
	}
	for _, done := range b.done {
		done()
	}
	kick(c.placeKick)
}

func (c *Cell) noteFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing.IsZero() {
		c.failing = time.Now()
		c.logger.Info("a write failed and is tried again", "err", err.Error())
	}
}

// storeAway reports whether writes have failed for some time.
func (c *Cell) storeAway() bool {
	return !c.failing.IsZero() && time.Since(c.failing) > downTime
}

// owns reports whether no other node can have taken the cell over and waited
// for this one's leases.
func (c *Cell) owns() bool {
	return !c.isLost() && c.options.Clock()-c.confirmed < ownTime
}
