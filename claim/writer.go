package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/store"
)

const (
	// minWritePause and maxWritePause bound the pause between attempts to write
	// while the store is away.
	minWritePause = 20 * time.Millisecond
	maxWritePause = 250 * time.Millisecond
	// minAttempt and maxAttempt bound the time of an attempt. A write whose answer is
	// lost holds all later ones up for as long.
	minAttempt = 250 * time.Millisecond
	maxAttempt = 1500 * time.Millisecond
	// attemptFactor is how many times as long as usual an attempt may take.
	attemptFactor = 4
	// usualWeight is the weight of a write in the usual time.
	usualWeight = 0.2
)

// Writer writes to a topic under a claim, one write at a time.
type Writer struct {
	journal  Journal
	topic    string
	epoch    int64
	sequence int64
	clock    core.Clock
	// unsure are the records of the last write if it isn't known whether they were
	// written.
	unsure []store.Record
	// usual is how long a write takes of late.
	usual time.Duration
	// Failed, if it is not nil, is told of each write that is tried again.
	Failed func(err error)
}

// NewWriter returns a writer for the topic that was claimed.
func (c *Claim) NewWriter(journal Journal, topic string, clock core.Clock) *Writer {
	// The claim itself was the first write.
	return &Writer{journal: journal, topic: topic, epoch: c.Epoch, sequence: c.first() + 1, clock: clock}
}

// NewSideWriter returns a writer for another topic to which only claimants of
// this one write.
func (c *Claim) NewSideWriter(journal Journal, topic string, clock core.Clock) *Writer {
	return &Writer{journal: journal, topic: topic, epoch: c.Epoch, clock: clock}
}

// Write appends records, over and over until the store confirms it, and returns
// when the attempt that succeeded was sent. Without records it only confirms
// that no other node has claimed the topic. An error that is store.ErrFenced or
// store.ErrSequence means that another node has. After any other error the
// records may have been written; the next Write makes sure of them first, since a
// repeat under their number must be the same.
func (w *Writer) Write(ctx context.Context, records []store.Record) (time.Duration, error) {
	if w.unsure != nil {
		if _, err := w.write(ctx, w.unsure); err != nil {
			return 0, err
		}
		w.unsure = nil
	}
	sent, err := w.write(ctx, records)
	if err != nil && !Lost(err) && len(records) > 0 {
		w.unsure = records
	}
	return sent, err
}

func (w *Writer) write(ctx context.Context, records []store.Record) (time.Duration, error) {
	pause := minWritePause
	limit := min(max(minAttempt, attemptFactor*w.usual), maxAttempt)
	for {
		sent := w.clock()
		err := w.attempt(ctx, limit, records)
		limit = min(2*limit, maxAttempt)
		switch {
		case err == nil:
			w.usual += time.Duration(usualWeight * float64(w.clock()-sent-w.usual))
			if len(records) > 0 {
				w.sequence++
			}
			return sent, nil
		case ctx.Err() != nil:
			return 0, ctx.Err()
		case Lost(err):
			return 0, err
		}
		if w.Failed != nil {
			w.Failed(err)
		}
		if err := core.Sleep(ctx, pause); err != nil {
			return 0, err
		}
		pause = min(2*pause, maxWritePause)
	}
}

// attempt appends records once.
func (w *Writer) attempt(ctx context.Context, limit time.Duration, records []store.Record) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, err := w.journal.Append(ctx, store.Write{
		Topic:    w.topic,
		Records:  records,
		Writer:   writer,
		Epoch:    w.epoch,
		Sequence: w.sequence,
	})
	return err
}

// Lost reports whether an error means that another node has claimed the topic.
func Lost(err error) bool {
	return errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrOutOfSequence)
}
