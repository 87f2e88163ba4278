package sched

import (
	"sync/atomic"
	"time"
)

const (
	// replyTimeout is how long to wait at least for the reply to a command before
	// checking the host's report: hosts reply within a few milliseconds.
	replyTimeout = 250 * time.Millisecond
	// maxReplyTimeout is how long to wait at most.
	maxReplyTimeout = 900 * time.Millisecond
	// replyTimeoutFactor is the timeout as a multiple of the mean reply time.
	replyTimeoutFactor = 4
	// replyTimeWeight is the divisor of a new reply time in the moving average.
	replyTimeWeight = 16
)

// replyTime is the moving average of the time that hosts take to confirm a start. It covers
// the time that replies wait in this node: if all are late, it is this node that is slow,
// and taking them for lost would only add to its work.
type replyTime struct {
	mean atomic.Int64
}

// observe adds the time that one reply took.
func (r *replyTime) observe(took time.Duration) {
	mean := r.mean.Load()
	r.mean.Store(mean + (int64(took)-mean)/replyTimeWeight)
}

// average returns the mean.
func (r *replyTime) average() time.Duration { return time.Duration(r.mean.Load()) }

// timeout returns after what time a reply counts as overdue.
func (r *replyTime) timeout() time.Duration {
	return min(maxReplyTimeout, max(replyTimeout, replyTimeoutFactor*r.average()))
}
