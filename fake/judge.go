package fake

import (
	"fmt"
	"strconv"
	"sync"

	"rattanpath/lease"
	"rattanpath/tasks"
)

// Judge sees every start and end on all hosts and notes what must not happen.
type Judge struct {
	mu sync.Mutex
	// active counts the runs of each task that are at work, and done and failed
	// its ends of that kind that were noted.
	active map[tasks.ID]map[string]int
	done   map[tasks.ID]bool
	faults []string
	starts int
	ends   map[tasks.EndReason]int
	// refused counts the starts without a good ticket.
	refused int
	// away holds the tasks of each step that were stopped and are not at work
	// again; a Name with the index 0 stands for the step.
	away map[tasks.ID]map[int]bool
	// MayMiss returns how many serving tasks of a step may be away at once by
	// orders; nil or 0 is any number.
	MayMiss func(name tasks.ID) int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{
		active: make(map[tasks.ID]map[string]int),
		done:   make(map[tasks.ID]bool),
		ends:   make(map[tasks.EndReason]int),
		away:   make(map[tasks.ID]map[int]bool),
	}
}

// Faults returns what must not have happened.
func (j *Judge) Faults() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.faults...)
}

// Starts returns how many runs were started.
func (j *Judge) Starts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts
}

// Ends returns how many runs ended in a way.
func (j *Judge) Ends(how tasks.EndReason) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ends[how]
}

// Ticketless returns how many starts came without a good ticket.
func (j *Judge) Ticketless() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.refused
}

func (j *Judge) ticketless() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused++
}

// Active returns how many runs of a task are at work.
func (j *Judge) Active(name tasks.ID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.active[name])
}

func (j *Judge) fault(format string, args ...any) {
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

func (j *Judge) started(host string, name tasks.ID, run int, fits bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	if j.active[name] == nil {
		j.active[name] = make(map[string]int)
	}
	j.active[name][host+"/"+strconv.Itoa(run)] = run
	if len(j.active[name]) > 1 {
		j.fault("task %+v runs twice at once: %v", name, j.active[name])
	}
	if j.done[name] {
		j.fault("task %+v run %d started on %s after an end that was noted as done", name, run, host)
	}
	if !fits {
		j.fault("task %+v run %d was started on %s beyond its room", name, run, host)
	}
}

func (j *Judge) ended(host string, name tasks.ID, run int, how tasks.EndReason) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ends[how]++
	delete(j.active[name], host+"/"+strconv.Itoa(run))
}

// stopped sees that an order ended a run. Counted means that the run was at work
// on a host that stays.
func (j *Judge) stopped(name tasks.ID, counted bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	step, index := name, name.Index
	step.Index = 0
	if j.away[step] == nil {
		j.away[step] = make(map[int]bool)
	}
	delete(j.away[step], index)
	if counted && j.MayMiss != nil {
		if most := j.MayMiss(name); most > 0 && len(j.away[step]) >= most {
			j.fault("task %+v was stopped while %d others of its step were away, and %d may be", name, len(j.away[step]), most)
		}
	}
	j.away[step][index] = true
}

// atWork sees that a run has begun to serve.
func (j *Judge) atWork(name tasks.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	step := name
	step.Index = 0
	delete(j.away[step], name.Index)
}

// noted sees that an end won't be listed again.
func (j *Judge) noted(end lease.FinishedRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if end.Reason == tasks.EndDone {
		j.done[end.Task] = true
	}
}
