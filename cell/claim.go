package cell

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/store"
	"rattanpath/tasks"
)

const (
	// claimKey is the key of the record that says who has the cell.
	claimKey = "claim"
	// definitionMark and progressMark begin the keys of a job's two records.
	definitionMark = "d/"
	progressMark   = "p/"
	// writer is the name under which every owner of a cell writes.
	writer = "cell"
	// claimAttempts is how often a claim is tried while others write.
	claimAttempts = 8
	claimPause    = 30 * time.Millisecond
)

// claim is the record that says who has the cell.
type claim struct {
	Epoch int64
	Node  string
	// Nonce tells the claims of one node apart.
	Nonce string
}

// Claim takes the cell of a service over: it fences off every older owner and
// reads what they have kept.
func Claim(ctx context.Context, options Options, nonce string) (*Cell, error) {
	begun := options.Clock()
	for range claimAttempts {
		c, err := tryClaim(ctx, options, nonce)
		if err == nil {
			c.logger.Info("cell claimed", "epoch", c.epoch, "jobs", len(c.jobs), "open", len(c.open), "took", options.Clock()-begun)
			options.Meters.Claimed.Inc()
			return c, nil
		}
		if !errors.Is(err, store.ErrMoved) && !errors.Is(err, store.ErrFenced) {
			return nil, err
		}
		if err := core.Sleep(ctx, claimPause); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("others keep writing to the cell")
}

func tryClaim(ctx context.Context, options Options, nonce string) (*Cell, error) {
	table, err := options.Journal.Newest(ctx, Topic(options.Service))
	if err != nil {
		return nil, err
	}
	c := newCell(options)
	last, err := c.load(table.Records)
	if err != nil {
		return nil, err
	}
	if last.Nonce == nonce {
		// An earlier attempt took effect and its answer was lost.
		c.epoch = last.Epoch
	} else if err := c.writeClaim(ctx, last.Epoch+1, nonce, table.Next); err != nil {
		return nil, err
	}
	c.sequence = 1
	c.claimed = options.Clock()
	c.confirmed = c.claimed
	c.adoptRuns()
	return c, nil
}

// writeClaim appends the claim if the topic still ends where it was read.
func (c *Cell) writeClaim(ctx context.Context, epoch int64, nonce string, at int64) error {
	value, err := json.Marshal(claim{Epoch: epoch, Node: c.options.Node, Nonce: nonce})
	if err != nil {
		return errors.Wrap(err, "encoding a claim")
	}
	c.epoch = epoch
	_, err = c.options.Journal.Append(ctx, store.Write{
		Topic:    Topic(c.options.Service),
		Records:  []store.Record{{Key: claimKey, Value: value}},
		Writer:   writer,
		Epoch:    epoch,
		Sequence: 0,
		At:       &at,
	})
	if errors.Is(err, store.ErrSequence) {
		// Another node has claimed the same epoch.
		return store.ErrMoved
	}
	return err
}

// load reads the records of a cell.
func (c *Cell) load(records []store.Record) (claim, error) {
	var last claim
	definitions := make(map[string][]byte)
	done := make(map[string][]byte)
	for _, record := range records {
		switch {
		case record.Key == claimKey:
			if err := json.Unmarshal(record.Value, &last); err != nil {
				return last, errors.Wrap(err, "decoding a claim")
			}
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
		c.add(&entry{job: job, defined: true, shown: job.Phase})
	}
	return last, nil
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
