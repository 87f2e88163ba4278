package fake

import (
	"fmt"
	"strconv"
	"sync"

	"rattanpath/lease"
	"rattanpath/tasks"
)

// InvariantChecker sees every start and end on all hosts and notes what must not happen.
type InvariantChecker struct {
	mu sync.Mutex
	// activeRuns counts the runs of each task that are at work, and done and failed
	// its ends of that kind that were noted.
	activeRuns   map[tasks.ID]map[string]int
	completed    map[tasks.ID]bool
	violations   []string
	starts       int
	endsByReason map[tasks.EndReason]int
	// invalidTickets counts the starts without a good ticket.
	invalidTickets int
	// unavailable holds the tasks of each step that were stopped and are not at work
	// again; a Name with the index 0 stands for the step.
	unavailable map[tasks.ID]map[int]bool
	// MaxUnavailable returns how many serving tasks of a step may be away at once by
	// orders; nil or 0 is any number.
	MaxUnavailable func(task tasks.ID) int
}

// NewInvariantChecker returns a judge that has seen nothing.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{
		activeRuns:   make(map[tasks.ID]map[string]int),
		completed:    make(map[tasks.ID]bool),
		endsByReason: make(map[tasks.EndReason]int),
		unavailable:  make(map[tasks.ID]map[int]bool),
	}
}

// Violations returns what must not have happened.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Starts returns how many runs were started.
func (c *InvariantChecker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// Ends returns how many runs ended in a way.
func (c *InvariantChecker) Ends(reason tasks.EndReason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endsByReason[reason]
}

// InvalidTickets returns how many starts came without a good ticket.
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

// ActiveRuns returns how many runs of a task are at work.
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
		c.reportViolation("task %+v runs twice at once: %v", task, c.activeRuns[task])
	}
	if c.completed[task] {
		c.reportViolation("task %+v run %d started on %s after an end that was noted as done", task, run, host)
	}
	if !withinCapacity {
		c.reportViolation("task %+v run %d was started on %s beyond its room", task, run, host)
	}
}

func (c *InvariantChecker) recordEnd(host string, task tasks.ID, run int, reason tasks.EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsByReason[reason]++
	delete(c.activeRuns[task], host+"/"+strconv.Itoa(run))
}

// recordStop sees that an order ended a run. Counted means that the run was at work
// on a host that stays.
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
			c.reportViolation("task %+v was stopped while %d others of its step were away, and %d may be", task, len(c.unavailable[step]), limit)
		}
	}
	c.unavailable[step][index] = true
}

// recordServing sees that a run has begun to serve.
func (c *InvariantChecker) recordServing(task tasks.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step := task
	step.Index = 0
	delete(c.unavailable[step], task.Index)
}

// recordAcknowledged sees that an end won't be listed again.
func (c *InvariantChecker) recordAcknowledged(finished lease.FinishedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if finished.Reason == tasks.EndDone {
		c.completed[finished.Task] = true
	}
}
