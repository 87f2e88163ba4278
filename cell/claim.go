package cell

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanpath/claim"
	"rattanpath/store"
	"rattanpath/tasks"
)

const (
	// definitionMark and progressMark begin the keys of a job's two records.
	definitionMark = "d/"
	progressMark   = "p/"
	// doubtKey is the key of the record of leases that may still hold on hosts that
	// the last owner didn't reach.
	doubtKey = "doubt"
)

// Claim takes the cell of a service over: it fences off every older owner and
// reads what they have kept. The nonce is as in claim.Take.
func Claim(ctx context.Context, options Options, nonce string) (*Cell, error) {
	begun := options.Clock()
	taken, err := claim.Acquire(ctx, options.Journal, Topic(options.Service), options.Node, nonce)
	if err != nil {
		return nil, err
	}
	c := newCell(options)
	c.epoch = taken.Epoch
	c.claim = taken
	c.writer = taken.NewWriter(options.Journal, Topic(options.Service), options.Clock)
	c.writer.OnRetry = c.noteFailure
	c.load(taken.Records)
	c.claimed = options.Clock()
	c.confirmed = c.claimed
	c.adoptRuns()
	c.logger.Info("cell claimed", "epoch", c.epoch, "before", taken.PreviousNode, "jobs", len(c.jobs), "open", len(c.open), "took", c.claimed-begun)
	options.Meters.Claimed.Inc()
	options.Meters.Claim.Update((c.claimed - begun).Seconds())
	return c, nil
}

// load reads the records of a cell.
func (c *Cell) load(records []store.Record) {
	definitions := make(map[string][]byte)
	done := make(map[string][]byte)
	for _, record := range records {
		switch {
		case strings.HasPrefix(record.Key, definitionMark):
			definitions[record.Key[len(definitionMark):]] = record.Value
		case record.Key == doubtKey:
			c.loadDoubts(record.Value)
		case strings.HasPrefix(record.Key, progressMark):
			done[record.Key[len(progressMark):]] = record.Value
		}
	}
	for key, definition := range definitions {
		job, err := tasks.DecodeJob(definition, done[key])
		if err != nil {
			c.logger.Error(err, "the records of a job can't be read; the job is left out", "key", key)
			continue
		}
		c.add(&entry{job: job, defined: true, kept: true, shown: job.Phase})
	}
}

// doubts is the record of leases that may still hold.
type doubts struct {
	// Epoch is that of the owner that released the cell.
	Epoch int64
	// Remaining is the longest time that leases of each host still hold.
	Remaining map[string]time.Duration
}

// loadDoubts takes the doubts over if nobody has extended a lease since.
func (c *Cell) loadDoubts(value []byte) {
	var d doubts
	if err := json.Unmarshal(value, &d); err != nil {
		c.logger.Error(err, "the record of leases that may still hold can't be read; every lease counts as new")
		return
	}
	if c.claim.PreviousReleased && d.Epoch == c.epoch-1 {
		c.doubts = d.Remaining
	}
}

// encodeDoubts returns the record of leases that may still hold on hosts that
// this owner doesn't reach.
func (c *Cell) encodeDoubts() (store.Record, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	d := doubts{Epoch: c.epoch, Remaining: make(map[string]time.Duration)}
	for id, h := range c.hosts {
		if len(h.runs) == 0 {
			continue
		}
		if !h.fenced {
			d.Remaining[id] = max(0, c.inheritedUntil(h)-now)
		} else if left, known := h.clock.Remaining(now); known && h.failed > 0 {
			d.Remaining[id] = left
		}
	}
	value, err := json.Marshal(d)
	return store.Record{Key: doubtKey, Value: value}, errors.Wrap(err, "encoding the leases that may still hold")
}

// add takes a job into the tables.
func (c *Cell) add(e *entry) {
	c.jobs[e.job.Key] = e
	c.byID[e.job.Key.ID] = e
	if e.job.Phase == tasks.Open {
		c.open[e] = true
	}
}

// adoptRuns gives each run that an older owner may have started to its host.
// Until the host has answered, the run may be at work.
func (c *Cell) adoptRuns() {
	for _, e := range c.jobs {
		e.job.ForEachActive(func(name tasks.ID, task *tasks.Task) {
			task.AssignedAt = time.Now()
			h := c.host(task.Host)
			h.runs[name] = &run{
				entry: e, name: name, number: task.Run,
				room: e.job.Step(name).RequiredResources(), inherited: true, adopted: true, share: unknownShare,
			}
		})
	}
}

// forgetEnded removes jobs that ended long ago.
func (c *Cell) forgetEnded(now time.Time) {
	keep := c.options.KeepEnded + keepSlack
	for key, e := range c.jobs {
		if e.shown == tasks.Open || e.dirty || now.Sub(e.job.Ended) < keep || c.hasRuns(e) {
			continue
		}
		delete(c.jobs, key)
		delete(c.byID, key.ID)
		e.job.Plan = tasks.Plan{}
		c.touch(e, nil)
	}
}

func (c *Cell) hasRuns(e *entry) bool {
	active := false
	e.job.ForEachActive(func(tasks.ID, *tasks.Task) { active = true })
	return active
}
