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
	completed    map[tasks.ID]bool
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
}

// NewInvariantChecker returns a checker without observations.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{
		activeRuns:   make(map[tasks.ID]map[string]int),
		completed:    make(map[tasks.ID]bool),
		endsByReason: make(map[tasks.EndReason]int),
		unavailable:  make(map[tasks.ID]map[int]bool),
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
	if !withinCapacity {
		c.reportViolation("task %+v: run %d started on %s beyond the host's capacity", task, run, host)
	}
}

func (c *InvariantChecker) recordEnd(host string, task tasks.ID, run int, reason tasks.EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsByReason[reason]++
	delete(c.activeRuns[task], host+"/"+strconv.Itoa(run))
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
// doesn't report it again.
func (c *InvariantChecker) recordAcknowledged(finished lease.FinishedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if finished.Reason == tasks.EndDone {
		c.completed[finished.Task] = true
	}
}
