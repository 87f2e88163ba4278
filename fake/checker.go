package fake

import (
	"fmt"
	"strconv"
	"sync"

	"rattanpath/lease"
	"rattanpath/tasks"
)

// InvariantChecker observes the starts and ends of runs on all hosts and records
// violations of the scheduler's invariants.
type InvariantChecker struct {
	mu sync.Mutex
	// activeRuns holds the active run numbers of each task, by host and run.
	activeRuns map[tasks.ID]map[string]int
	// completed holds the tasks with a completed run that was acknowledged.
	completed map[tasks.ID]bool
	// doneRuns holds the numbers of completed runs, acknowledged or not, by task, and
	// startsAfterDone the numbers of the runs started after one of them.
	doneRuns        map[tasks.ID]map[int]bool
	startsAfterDone map[tasks.ID]map[int][]int
	// failures counts the acknowledged failed runs of each task.
	failures map[tasks.ID]int
	// crashes counts the hosts that crashed because of a task, and startsAfterCrashes the
	// starts of the task since toleratedCrashes hosts did.
	crashes            map[tasks.ID]int
	startsAfterCrashes map[tasks.ID]int
	// hostCrashes counts the crashes of hosts that had a run of a task, for any cause.
	hostCrashes  map[tasks.ID]int
	violations   []string
	starts       int
	endsByReason map[tasks.EndReason]int
	// invalidTickets counts the start commands without a valid ticket.
	invalidTickets int
	// unavailable holds the indices of the tasks of each step that were stopped and
	// haven't resumed serving. The key is the step's task with index 0.
	unavailable map[tasks.ID]map[int]bool
	// MaxUnavailable returns how many serving tasks of a step may be unavailable at
	// once because of stop commands. If it is nil or returns 0, there is no limit.
	MaxUnavailable func(task tasks.ID) int
	// MaxAttempts is how many runs of a task may fail, 0 for any number.
	MaxAttempts int
}

// NewInvariantChecker returns a checker without observations.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{
		activeRuns:         make(map[tasks.ID]map[string]int),
		completed:          make(map[tasks.ID]bool),
		doneRuns:           make(map[tasks.ID]map[int]bool),
		startsAfterDone:    make(map[tasks.ID]map[int][]int),
		failures:           make(map[tasks.ID]int),
		crashes:            make(map[tasks.ID]int),
		endsByReason:       make(map[tasks.EndReason]int),
		unavailable:        make(map[tasks.ID]map[int]bool),
		startsAfterCrashes: make(map[tasks.ID]int),
		hostCrashes:        make(map[tasks.ID]int),
	}
}

const (
	// toleratedCrashes is how many hosts a task may crash before it counts as one that crashes
	// every host.
	toleratedCrashes = 3
	// maxStartsAfterCrashes is how often such a task may still be started.
	maxStartsAfterCrashes = 2
)

// recordHostCrash records that a host has crashed while it had a run of a task.
func (c *InvariantChecker) recordHostCrash(task tasks.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostCrashes[task]++
}

// HostCrashes returns the number of hosts that have crashed while they had a run of a task.
func (c *InvariantChecker) HostCrashes(task tasks.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hostCrashes[task]
}

// recordCrashByTask records that a task has crashed its host.
func (c *InvariantChecker) recordCrashByTask(task tasks.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[task]++
}

// Crashes returns the number of hosts that a task has crashed.
func (c *InvariantChecker) Crashes(task tasks.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes[task]
}

// checkCrashes reports a start of a task that has crashed too many hosts.
func (c *InvariantChecker) checkCrashes(host string, task tasks.ID, run int) {
	if c.crashes[task] < toleratedCrashes {
		return
	}
	c.startsAfterCrashes[task]++
	if c.startsAfterCrashes[task] > maxStartsAfterCrashes {
		c.reportViolation("task %+v: run %d started on %s after the task had crashed %d hosts", task, run, host, c.crashes[task])
	}
}

// Violations describes the violations observed so far.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Starts returns the number of runs started so far.
func (c *InvariantChecker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// Ends returns the number of runs that ended for a reason.
func (c *InvariantChecker) Ends(reason tasks.EndReason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endsByReason[reason]
}

// InvalidTickets returns the number of start commands without a valid ticket.
func (c *InvariantChecker) InvalidTickets() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalidTickets
}

func (c *InvariantChecker) recordInvalidTicket() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.invalidTickets++
}

// ActiveRuns returns the number of active runs of a task.
func (c *InvariantChecker) ActiveRuns(task tasks.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.activeRuns[task])
}

func (c *InvariantChecker) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *InvariantChecker) recordStart(host string, task tasks.ID, run int, withinCapacity bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	if c.activeRuns[task] == nil {
		c.activeRuns[task] = make(map[string]int)
	}
	c.activeRuns[task][host+"/"+strconv.Itoa(run)] = run
	if len(c.activeRuns[task]) > 1 {
		c.reportViolation("task %+v has more than one active run: %v", task, c.activeRuns[task])
	}
	if c.completed[task] {
		c.reportViolation("task %+v: run %d started on %s after a completed run was acknowledged", task, run, host)
	}
	for done := range c.doneRuns[task] {
		c.startsAfterDone[task][done] = append(c.startsAfterDone[task][done], run)
	}
	if c.MaxAttempts > 0 && c.failures[task] >= c.MaxAttempts {
		c.reportViolation("task %+v: run %d started on %s after %d failed runs were acknowledged; the limit is %d", task, run, host, c.failures[task], c.MaxAttempts)
	}
	c.checkCrashes(host, task, run)
	if !withinCapacity {
		c.reportViolation("task %+v: run %d started on %s beyond the capacity that the host had in the last %v", task, run, host, CapacityGrace)
	}
}

func (c *InvariantChecker) recordEnd(host string, task tasks.ID, run int, reason tasks.EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsByReason[reason]++
	delete(c.activeRuns[task], host+"/"+strconv.Itoa(run))
	if reason != tasks.EndDone {
		return
	}
	if c.doneRuns[task] == nil {
		c.doneRuns[task] = make(map[int]bool)
		c.startsAfterDone[task] = make(map[int][]int)
	}
	c.doneRuns[task][run] = true
}

// recordStop records that a stop command ended a run. Only a disruption counts
// against MaxUnavailable: the end of a serving run on a host that isn't draining.
func (c *InvariantChecker) recordStop(task tasks.ID, disruption bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step, index := task, task.Index
	step.Index = 0
	if c.unavailable[step] == nil {
		c.unavailable[step] = make(map[int]bool)
	}
	delete(c.unavailable[step], index)
	if disruption && c.MaxUnavailable != nil {
		if limit := c.MaxUnavailable(task); limit > 0 && len(c.unavailable[step]) >= limit {
			c.reportViolation("task %+v was stopped while %d other tasks of its step were unavailable; the limit is %d", task, len(c.unavailable[step]), limit)
		}
	}
	c.unavailable[step][index] = true
}

// recordServing records that a run has started to serve.
func (c *InvariantChecker) recordServing(task tasks.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step := task
	step.Index = 0
	delete(c.unavailable[step], task.Index)
}

// recordAcknowledged records that a finished run was acknowledged, so the host
// doesn't report it again. A completed run must not have been repeated before that.
func (c *InvariantChecker) recordAcknowledged(finished lease.FinishedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch finished.Reason {
	case tasks.EndDone:
		c.completed[finished.Task] = true
		if runs := c.startsAfterDone[finished.Task][finished.Run]; len(runs) > 0 {
			c.reportViolation("task %+v: runs %v started after run %d had completed, which was then acknowledged", finished.Task, runs, finished.Run)
		}
	case tasks.EndFailed:
		c.failures[finished.Task]++
	}
}
