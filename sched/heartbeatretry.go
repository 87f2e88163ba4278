package sched

import (
	"context"
	"sync"
	"time"

	"rattanpath/lease"
	"rattanpath/pool"
)

// heartbeatRetry sends the second try of a heartbeat once its reply is overdue.
type heartbeatRetry struct {
	loop      *hostLoop
	info      *pool.Host
	heartbeat lease.Heartbeat
	// cancelFirst ends the first try.
	cancelFirst context.CancelFunc
	// result receives the outcome of the second try.
	result chan heartbeatResult

	// mu protects the following. due is local time.
	mu      sync.Mutex
	timer   *time.Timer
	due     time.Duration
	sent    bool
	stopped bool
}

// newHeartbeatRetry starts the wait for the reply to a heartbeat that is about to be sent.
func newHeartbeatRetry(ctx context.Context, cancelFirst context.CancelFunc, loop *hostLoop, info *pool.Host, heartbeat lease.Heartbeat) *heartbeatRetry {
	// What the second try acknowledges may be too old by then.
	second := heartbeat
	second.Wait, second.Acknowledged = 0, 0
	r := &heartbeatRetry{
		loop: loop, info: info, heartbeat: second, cancelFirst: cancelFirst,
		result: make(chan heartbeatResult, 1),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wait(ctx, heartbeat.Wait+loop.cell.replyTime.timeout())
	return r
}

// wait starts the timer. r.mu must be held.
func (r *heartbeatRetry) wait(ctx context.Context, timeout time.Duration) {
	r.due = r.loop.cell.options.Clock() + timeout
	r.timer = time.AfterFunc(timeout, func() { r.run(ctx) })
}

// run sends the second try, and ends the first one if that succeeds.
func (r *heartbeatRetry) run(ctx context.Context) {
	if !r.start(ctx) {
		return
	}
	r.loop.cell.recordLostReply()
	second := r.loop.callHost(ctx, r.info, r.heartbeat)
	r.result <- second
	if second.err == nil {
		r.cancelFirst()
	}
}

// start reports whether the second try is to be sent. If the timer fired late, this node is
// overloaded and the reply may have arrived, so it waits once more.
func (r *heartbeatRetry) start(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopped:
	case r.loop.cell.options.Clock()-r.due > maxTimerLag:
		r.wait(ctx, replyTimeout)
	default:
		r.sent = true
	}
	return r.sent
}

// stop ends the wait after the first try has ended. It returns the outcome of the second
// try, or nil if that was not sent or isn't needed.
func (r *heartbeatRetry) stop(needed bool) *heartbeatResult {
	r.mu.Lock()
	r.stopped = true
	r.timer.Stop()
	sent := r.sent
	r.mu.Unlock()
	if !sent || !needed {
		return nil
	}
	second := <-r.result
	return &second
}
