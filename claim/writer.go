package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanpath/core"
	"rattanpath/store"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff between attempts to write while
	// the store is unavailable.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// minAttemptTimeout and maxAttemptTimeout bound the timeout of an attempt. A write
	// whose response is lost delays all later writes by this timeout.
	minAttemptTimeout = 250 * time.Millisecond
	maxAttemptTimeout = 1500 * time.Millisecond
	// timeoutFactor is the timeout of the first attempt as a multiple of the average
	// latency.
	timeoutFactor = 4
	// maxInvalid is how often a write must be rejected as invalid before it is given up: a
	// single response may come from a proxy.
	maxInvalid = 5
	// maxUnresolved is how often a write must be rejected as invalid before the claim is given
	// up if an earlier attempt may have been applied: some 5 s.
	maxUnresolved = 20
	// latencyWeight is the weight of the latest write in the average latency.
	latencyWeight = 0.2
)

// ErrUnresolved means that the store rejects the repetition of a write that may have been applied.
// Nothing more can be written under the claim: only a new one can tell what is stored.
var ErrUnresolved = errors.New("the store rejects the repetition of a write of unknown outcome")

// Writer writes to a topic under a claim. It must not be used concurrently.
type Writer struct {
	journal  Journal
	topic    string
	epoch    int64
	sequence int64
	clock    core.Clock
	// unconfirmed holds the records of the last write if its outcome is unknown, and
	// unconfirmedRejections the rejections of its attempts.
	unconfirmed           []store.Record
	unconfirmedRejections rejectionCounter
	// avgLatency is the moving average of the latency of successful writes.
	avgLatency time.Duration
	// end is the end of the topic after the last confirmed write with records, 0 if unknown.
	end int64
	// OnRetry, if not nil, is called with the error of each attempt that is retried.
	OnRetry func(err error)
	// OnVerified, if not nil, is called while the store is full, with the time at which an
	// attempt without records was sent that the store has confirmed: nothing can be stored,
	// but no other node has claimed the topic.
	OnVerified func(sent time.Duration)
}

// NewWriter returns a writer for the claimed topic.
func (c *Claim) NewWriter(journal Journal, topic string, clock core.Clock) *Writer {
	// The claim record itself was the first write.
	return &Writer{journal: journal, topic: topic, epoch: c.Epoch, sequence: c.firstSequence() + 1, clock: clock}
}

// NewSecondaryWriter returns a writer for another topic that is written only by
// owners of the claimed topic.
func (c *Claim) NewSecondaryWriter(journal Journal, topic string, clock core.Clock) *Writer {
	return &Writer{journal: journal, topic: topic, epoch: c.Epoch, clock: clock}
}

// Write appends records, retrying until the store confirms them, and returns the time
// at which the successful attempt was sent. Without records it only confirms that no
// other node has claimed the topic. Errors store.ErrFenced and store.ErrOutOfSequence mean
// that another node has, and ErrUnresolved that the topic must be claimed again. After any
// other error the outcome is unknown; the next Write first repeats the same records, since a
// repeated sequence number must carry the same records.
func (w *Writer) Write(ctx context.Context, records []store.Record) (time.Duration, error) {
	if w.unconfirmed != nil {
		if _, err := w.writeWithRetry(ctx, w.unconfirmed, &w.unconfirmedRejections); err != nil && !IsRejected(err) {
			return 0, err
		}
		w.unconfirmed = nil
	}
	rejections := rejectionCounter{}
	sent, err := w.writeWithRetry(ctx, records, &rejections)
	if err != nil && !EndsClaim(err) && !IsRejected(err) && len(records) > 0 {
		w.unconfirmed, w.unconfirmedRejections = records, rejections
	}
	return sent, err
}

func (w *Writer) writeWithRetry(ctx context.Context, records []store.Record, rejections *rejectionCounter) (time.Duration, error) {
	delay := minRetryDelay
	timeout := min(max(minAttemptTimeout, timeoutFactor*w.avgLatency), maxAttemptTimeout)
	for {
		sent := w.clock()
		end, err := w.appendOnce(ctx, timeout, records)
		timeout = min(2*timeout, maxAttemptTimeout)
		switch {
		case err == nil:
			w.avgLatency += time.Duration(latencyWeight * float64(w.clock()-sent-w.avgLatency))
			if len(records) > 0 {
				w.sequence++
				w.end = end
			}
			return sent, nil
		case ctx.Err() != nil:
			rejections.uncertain = true
			return 0, ctx.Err()
		case IsSuperseded(err) || rejections.isFinal(err):
			return 0, err
		case rejections.isUnresolved():
			return 0, errors.WithMessage(ErrUnresolved, err.Error())
		}
		if w.OnRetry != nil {
			w.OnRetry(err)
		}
		if errors.Is(err, store.ErrFull) && w.OnVerified != nil {
			if err := w.verify(ctx, timeout); IsSuperseded(err) {
				return 0, err
			}
		}
		if err := core.Sleep(ctx, delay); err != nil {
			return 0, err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// verify confirms that no other node has claimed the topic.
func (w *Writer) verify(ctx context.Context, timeout time.Duration) error {
	sent := w.clock()
	_, err := w.appendOnce(ctx, timeout, nil)
	if err == nil {
		w.OnVerified(sent)
	}
	return err
}

// End returns the end of the topic after the last confirmed write with records, or 0 if there was
// none.
func (w *Writer) End() int64 { return w.end }

// rejectionCounter counts the rejections of a write.
type rejectionCounter struct {
	invalid int
	// uncertain is set after an attempt that may have been applied, or may still be.
	uncertain bool
}

// isFinal reports whether an error of an attempt means that no attempt of the write was or will be
// applied. Whether a write is too large depends on its records alone, so one response is enough.
// Other rejections must be repeated, and don't count if the outcome of another attempt is
// unknown: its sequence number can't be used for other records.
func (r *rejectionCounter) isFinal(err error) bool {
	switch {
	case errors.Is(err, store.ErrTooLarge):
		return true
	case errors.Is(err, store.ErrInvalid):
		r.invalid++
		return r.invalid >= maxInvalid && !r.uncertain
	case errors.Is(err, store.ErrRefused):
	default:
		r.uncertain = true
	}
	return false
}

// isUnresolved reports whether the store rejects the repetitions of a write that may have been
// applied: neither these nor other records can be written under its sequence number.
func (r *rejectionCounter) isUnresolved() bool { return r.uncertain && r.invalid >= maxUnresolved }

// appendOnce makes one attempt to append records.
func (w *Writer) appendOnce(ctx context.Context, timeout time.Duration, records []store.Record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return w.journal.Append(ctx, store.Write{
		Topic:    w.topic,
		Records:  records,
		Writer:   writerName,
		Epoch:    w.epoch,
		Sequence: w.sequence,
	})
}

// IsSuperseded reports whether err means that another node has claimed the topic.
func IsSuperseded(err error) bool {
	return errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrOutOfSequence)
}

// EndsClaim reports whether err means that nothing more can be written under the claim.
func EndsClaim(err error) bool { return IsSuperseded(err) || errors.Is(err, ErrUnresolved) }

// IsRejected reports whether err means that the store doesn't take the records of a write.
func IsRejected(err error) bool {
	return errors.Is(err, store.ErrTooLarge) || errors.Is(err, store.ErrInvalid)
}
