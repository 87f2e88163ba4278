package fake

import (
	"context"
	"time"

	"rattanpath/core"
	"rattanpath/tasks"
)

// Drain makes the host say that it will leave.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.Draining = true
}

// Silence makes calls of the host get no answer, or arrive again.
func (r *Runner) Silence(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

// DelayOrders makes the next orders be carried out late and not answered.
func (r *Runner) DelayOrders(orders int, by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateOrders, r.lateBy = orders, by
}

// SlowStops sets how long runs take to stop.
func (r *Runner) SlowStops(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopTime = length
}

// Crash ends everything on the host; it refuses connections until Restart. Its
// entry stays what it was.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		run.timer.Stop()
		r.judge.ended(r.info.ID, run.name, run.run, tasks.EndLost)
	}
	r.runs = make(map[runKey]*running)
	r.ends = nil
	r.refuses = true
}

// Restart begins the next life of a host that has crashed.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refuses {
		return
	}
	r.birth()
	r.refuses = false
}

// DelayHolds makes the next holds get no answer.
func (r *Runner) DelayHolds(holds int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostHolds = holds
}

// unanswered spends the time after which a caller gives a call up.
func unanswered(ctx context.Context) error {
	if err := core.Sleep(ctx, time.Second); err != nil {
		return err
	}
	return errSilent
}

// late carries an order out later if that is the host's fault now.
func (r *Runner) late(order func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lateOrders == 0 {
		return false
	}
	r.lateOrders--
	born := r.born
	time.AfterFunc(r.lateBy, func() {
		if r.takes(born) {
			order()
		}
	})
	return true
}

// takes reports whether an order that was sent to one life of the host is still
// carried out: in that life, or in a later one that has listed its runs twice.
// Nobody could guard against one that comes between a birth and the first call.
func (r *Runner) takes(born time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.refuses && (r.born.Equal(born) || r.holds > 1)
}

// losesHold reports whether a hold gets no answer.
func (r *Runner) losesHold() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostHolds == 0 {
		return false
	}
	r.lostHolds--
	return true
}
