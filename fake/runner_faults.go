package fake

import (
	"context"
	"time"

	"rattanpath/core"
	"rattanpath/tasks"
)

// Drain marks the host as draining.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.Draining = true
}

// SetUnresponsive sets whether calls to the host time out.
func (r *Runner) SetUnresponsive(unresponsive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = unresponsive
}

// DelayCommands makes the next count start and stop commands time out and take
// effect after the delay.
func (r *Runner) DelayCommands(count int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commandsToDelay, r.commandDelay = count, delay
}

// SetLongestLease sets the longest lease that the host grants.
func (r *Runner) SetLongestLease(longest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longestLease = longest
}

// SetForgetsOnce sets whether a heartbeat acknowledges only ends from before its arrival, and none that
// come while it waits. That makes a difference for one that was meant for a former incarnation.
func (r *Runner) SetForgetsOnce(once bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetsOnce = once
}

// forgetsWhileWaiting is the opposite of what SetForgetsOnce sets.
func (r *Runner) forgetsWhileWaiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.forgetsOnce
}

// SetStopTime sets the time that a run takes to end after a stop command.
func (r *Runner) SetStopTime(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopTime = duration
}

// Crash loses all runs of the host, which refuses connections until Restart. Its
// host record doesn't change.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		run.timer.Stop()
		r.checker.recordEnd(r.info.ID, run.task, run.run, tasks.EndLost)
		r.checker.recordHostCrash(run.task)
	}
	r.runs = make(map[runKey]*taskRun)
	r.finished = nil
	r.down = true
}

// OldestUnacknowledged returns the sequence number of the oldest end that the host reports, 0
// if there is none.
func (r *Runner) OldestUnacknowledged() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.finished) == 0 {
		return 0
	}
	return r.finished[0].Sequence
}

// BreakGangs ends all runs of the host, as if other members of their gangs had ended.
func (r *Runner) BreakGangs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		r.endRun(run, tasks.EndGangBroken)
	}
}

const (
	// crashDelay is the time from the start of a run that crashes its host to the crash.
	crashDelay = 10 * time.Millisecond
	// CrashDowntime is how long the host is then down.
	CrashDowntime = 3 * time.Second
)

// crashUnder crashes the host because of a run, unless that has ended.
func (r *Runner) crashUnder(run *taskRun) {
	r.mu.Lock()
	active := r.runs[runKey{run.task, run.run}] == run
	r.mu.Unlock()
	if active {
		r.CrashUnder(run.task)
	}
}

// CrashUnder crashes the host because of a task. It is back some seconds later.
func (r *Runner) CrashUnder(task tasks.ID) {
	r.checker.recordCrashByTask(task)
	r.Crash()
	time.AfterFunc(CrashDowntime, r.Restart)
}

// Restart starts a new incarnation of a crashed host.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return
	}
	r.startIncarnation()
	r.down = false
}

// DropHeartbeats makes the next count heartbeats hang until their context ends.
func (r *Runner) DropHeartbeats(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeatsToDrop = count
}

// awaitTimeout simulates the timeout of a call: it blocks for 1 s, or until ctx ends,
// and returns an error.
func awaitTimeout(ctx context.Context) error {
	if err := core.Sleep(ctx, time.Second); err != nil {
		return err
	}
	return errNoResponse
}

// delayCommand schedules a command for later and reports true if DelayCommands
// applies to it.
func (r *Runner) delayCommand(command func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.commandsToDelay == 0 {
		return false
	}
	r.commandsToDelay--
	startedAt := r.startedAt
	After(r.commandDelay, func() {
		if r.acceptsCommand(startedAt) {
			command()
		}
	})
	return true
}

// acceptsCommand reports whether a delayed command sent to the incarnation that
// began at startedAt still takes effect: in that incarnation, or in a later one that has
// received a heartbeat which was sent after the reply to another had reached its caller. No
// caller can guard against a command that arrives before, so such commands are lost.
func (r *Runner) acceptsCommand(startedAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down && (r.startedAt.Equal(startedAt) || r.heartbeats > 0)
}

// dropHeartbeat reports whether DropHeartbeats applies to a heartbeat.
func (r *Runner) dropHeartbeat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heartbeatsToDrop == 0 {
		return false
	}
	r.heartbeatsToDrop--
	return true
}
