package cell

import (
	"context"
	"strings"
	"time"

	"rattanpath/claim"
	"rattanpath/store"
	"rattanpath/tasks"
)

const (
	// definitionMark and progressMark begin the keys of a job's two records.
	definitionMark = "d/"
	progressMark   = "p/"
)

// Claim takes the cell of a service over: it fences off every older owner and
// reads what they have kept. The nonce is as in claim.Take.
func Claim(ctx context.Context, options Options, nonce string) (*Cell, error) {
	begun := options.Clock()
	taken, err := claim.Take(ctx, options.Journal, Topic(options.Service), options.Node, nonce)
	if err != nil {
		return nil, err
	}
	c := newCell(options)
	c.epoch = taken.Epoch
	c.claim = taken
	c.writer = taken.NewWriter(options.Journal, Topic(options.Service), options.Clock)
	c.writer.Failed = c.noteFailure
	c.load(taken.Records)
	c.claimed = options.Clock()
	c.confirmed = c.claimed
	c.adoptRuns()
	c.logger.Info("cell claimed", "epoch", c.epoch, "before", taken.Before, "jobs", len(c.jobs), "open", len(c.open), "took", c.claimed-begun)
	options.Meters.Claimed.Inc()
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
		e.job.EachActive(func(name tasks.Name, task *tasks.Task) {
			task.Since = time.Now()
			h := c.host(task.Host)
			h.runs[name] = &run{
				entry: e, name: name, number: task.Run, born: task.Born,
				room: e.job.Step(name).Occupies(), inherited: true,
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
	e.job.EachActive(func(tasks.Name, *tasks.Task) { active = true })
	return active
}
