package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/fake/stub"
	"rattanpath/tasks"
)

const (
	// maxGap is how long a serving task may be without a run, and requiredCalm how long it must
	// have been calm at the end of that.
	maxGap       = 9 * time.Second
	requiredCalm = 7 * time.Second
	// requiredRoomTime is how long there must have been room for the task on minHosts hosts.
	requiredRoomTime = 3 * time.Second
	minHosts         = 2
	// watchInterval is the time between two looks at the hosts. A delay of maxWatchDelay means
	// that this machine has held up its processes.
	watchInterval = 20 * time.Millisecond
	maxWatchDelay = time.Second
)

// servingTask is what is known of a task that must always have a run.
type servingTask struct {
	id        tasks.ID
	resources tasks.Resources
	// service is the task's service, empty if there is only one.
	service string
	running bool
	// started means that the task has had a run, and endedAt when the last one ended.
	started bool
	endedAt time.Time
	// roomSince is since when there has been room for the task.
	roomSince time.Time
	// reported means that the present gap was reported as LOST, and noted that it is long for
	// want of room.
	reported, noted bool
}

// watcher checks what the hosts run, and measures the time from the end of a run of a serving
// task to the start of the next.
type watcher struct {
	t        testing.TB
	platform *stub.Platform
	faults   *faultLog
	tasks    []*servingTask
	// isReached reports whether some node reaches a host.
	isReached func(h *stub.Host) bool
	gaps      []time.Duration
	stop      chan struct{}
	stopped   chan struct{}
}

func newWatcher(t testing.TB, platform *stub.Platform, faults *faultLog, watched []*servingTask, isReached func(h *stub.Host) bool) *watcher {
	return &watcher{t: t, platform: platform, faults: faults, tasks: watched, isReached: isReached, stop: make(chan struct{}), stopped: make(chan struct{})}
}

// run looks at all tasks until stop is closed.
func (w *watcher) run() {
	defer close(w.stopped)
	last := time.Now()
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(watchInterval):
		}
		now := time.Now()
		if delay := now.Sub(last) - watchInterval; delay > maxWatchDelay {
			w.faults.record("the machine has held up the test for %s", delay)
		}
		last = now
		for _, task := range w.tasks {
			w.look(task, now)
		}
	}
}

// look records the state of a task.
func (w *watcher) look(task *servingTask, now time.Time) {
	running := w.platform.Checker.ActiveRuns(task.id) > 0
	switch {
	case running && !task.running && task.started:
		w.endGap(task, now)
	case !running && task.running:
		task.endedAt, task.roomSince, task.reported, task.noted = now, now, false, false
		w.faults.printf("%s has lost its run", format(task.id))
	}
	task.running, task.started = running, task.started || running
	if !running && task.started {
		w.checkGap(task, now)
	}
}

func (w *watcher) endGap(task *servingTask, now time.Time) {
	gap := now.Sub(task.endedAt)
	w.gaps = append(w.gaps, gap)
	w.faults.printf("%s runs again after %.2f s", format(task.id), gap.Seconds())
	if task.reported {
		w.t.Logf("%s ran again after %.2f s", format(task.id), gap.Seconds())
	}
}

// checkGap requires that the task isn't without a run for longer than the rule allows.
func (w *watcher) checkGap(task *servingTask, now time.Time) {
	hosts := w.hostsWithRoom(task)
	if hosts < minHosts {
		task.roomSince = now
	}
	gap := now.Sub(task.endedAt)
	if task.reported || gap < maxGap || w.faults.calmFor() < requiredCalm {
		return
	}
	if now.Sub(task.roomSince) < requiredRoomTime {
		if !task.noted {
			w.faults.printf("%s has no run for %.2f s, with room on %d hosts", format(task.id), gap.Seconds(), hosts)
		}
		task.noted = true
		return
	}
	task.reported = true
	w.faults.printf("LOST: %s", format(task.id))
	w.t.Errorf("LOST: serving task %s: got no run for %.2f s, want one after %s at most", format(task.id), gap.Seconds(), maxGap)
}

// hostsWithRoom returns the number of hosts on which the task could run: some node reaches them,
// and none of its siblings runs there.
func (w *watcher) hostsWithRoom(task *servingTask) int {
	count := 0
	for _, h := range w.platform.Hosts() {
		siblings := h.Runner.UsedBy(func(other tasks.ID) bool { return other.Job == task.id.Job })
		used := h.Runner.Used().Add(task.resources)
		ofService := task.service == "" || task.service == h.Runner.Info().Service
		if ofService && w.isReached(h) && siblings.CPU == 0 && h.Runner.Info().Capacity.CanFit(used) {
			count++
		}
	}
	return count
}

// finish stops the watch, requires that all tasks run and reports what was seen.
func (w *watcher) finish(title string) {
	close(w.stop)
	<-w.stopped
	for _, task := range w.tasks {
		if !task.running {
			w.t.Errorf("serving task %s: got no run at the end, want one", format(task.id))
		}
	}
	for _, violation := range w.platform.Checker.Violations() {
		w.t.Errorf("got a violation: %s", violation)
	}
	w.t.Logf("%s: from the end of a run to the start of the next: %s; %d starts, %d leases expired",
		title, describe(w.gaps), w.platform.Checker.Starts(), w.platform.Checker.Ends(tasks.EndLeaseExpired))
}

// describe returns the distribution of times.
func describe(times []time.Duration) string {
	if len(times) == 0 {
		return "0 times"
	}
	slices.Sort(times)
	at := func(percent int) float64 { return times[(len(times)-1)*percent/100].Seconds() }
	return fmt.Sprintf("%d times, half within %.2f s, 95 of 100 within %.2f s, most %.2f s", len(times), at(50), at(95), at(100))
}

func format(id tasks.ID) string { return fmt.Sprintf("%s.%d", id.Job, id.Index) }

// allRun reports whether all tasks have a run.
func allRun(checker *fake.InvariantChecker, watched []*servingTask) bool {
	return !slices.ContainsFunc(watched, func(task *servingTask) bool { return checker.ActiveRuns(task.id) == 0 })
}
