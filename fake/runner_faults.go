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

// SetUnresponsive makes calls of the host get no answer, or arrive again.
func (r *Runner) SetUnresponsive(unresponsive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = unresponsive
}

// DelayCommands makes the next orders be carried out late and not answered.
func (r *Runner) DelayCommands(count int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commandsToDelay, r.commandDelay = count, delay
}

// SetStopTime sets how long runs take to stop.
func (r *Runner) SetStopTime(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopTime = duration
}

// Crash ends everything on the host; it refuses connections until Restart. Its
// entry stays what it was.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		run.timer.Stop()
		r.checker.recordEnd(r.info.ID, run.task, run.run, tasks.EndLost)
	}
	r.runs = make(map[runKey]*taskRun)
	r.finished = nil
	r.down = true
}

// Restart begins the next life of a host that has crashed.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return
	}
	r.startIncarnation()
	r.down = false
}

// DropHeartbeats makes the next holds get no answer.
func (r *Runner) DropHeartbeats(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeatsToDrop = count
}

// awaitTimeout spends the time after which a caller gives a call up.
func awaitTimeout(ctx context.Context) error {
	if err := core.Sleep(ctx, time.Second); err != nil {
		return err
	}
	return errNoResponse
}

// delayCommand carries an order out later if that is the host's fault now.
func (r *Runner) delayCommand(command func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.commandsToDelay == 0 {
		return false
	}
	r.commandsToDelay--
	startedAt := r.startedAt
	time.AfterFunc(r.commandDelay, func() {
		if r.acceptsCommand(startedAt) {
			command()
		}
	})
	return true
}

// acceptsCommand reports whether an order that was sent to one life of the host is still
// carried out: in that life, or in a later one that has listed its runs twice.
// Nobody could guard against one that comes between a birth and the first call.
func (r *Runner) acceptsCommand(startedAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down && (r.startedAt.Equal(startedAt) || r.heartbeats > 1)
}

// dropHeartbeat reports whether a hold gets no answer.
func (r *Runner) dropHeartbeat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heartbeatsToDrop == 0 {
		return false
	}
	r.heartbeatsToDrop--
	return true
}
