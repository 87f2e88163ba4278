package tasks

import "time"

// State is the state of a task.
type State int

// The states of a task.
const (
	// Waiting means that no run of the task can be executing.
	Waiting State = iota
	// Starting means that a run is assigned to a host that hasn't reported it yet.
	Starting
	// Running means that the host has reported the run.
	Running
	// Done means that a run has succeeded.
	Done
	// Abandoned means that the task crashes its hosts and isn't started any more.
	Abandoned
)

// String returns the state as it is written to logs.
func (s State) String() string {
	names := []string{"waiting", "starting", "running", "done", "abandoned"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Task is one task of a round.
type Task struct {
	State State
	// Run is the number of the latest run; it only increases.
	Run int
	// Host and HostIncarnation identify the host process that has the run.
	Host            string
	HostIncarnation int64
	// Failures counts the failed runs.
	Failures int
	// Crashes counts the hosts that crashed, or fell silent, right after the start of a
	// run, since a run last went on for a while.
	Crashes int
	// Unsteady counts those since then that went away on a machine which had gone down by itself
	// just before.
	Unsteady int
	// Checkpoint is the last checkpoint.
	Checkpoint string
	// AssignedAt is when the run was assigned. It isn't persisted, so a node that
	// takes over doesn't know it.
	AssignedAt time.Time
	// AvoidHost is the host on which the last run failed. For members of a gang it
	// holds the marker of the last run whose failure was counted.
	AvoidHost string
}

// Active reports whether a run of the task may be executing.
func (t *Task) Active() bool { return t.State == Starting || t.State == Running }

// maxCrashes is how many hosts may crash in a row right after they started a task before
// it is given up.
const maxCrashes = 4

// minCrashes is how many of these hosts must have been on steady machines.
const minCrashes = 2

// CrashesHosts reports whether so many hosts have crashed under the task that it is given
// up.
func (t *Task) CrashesHosts() bool {
	return t.Crashes >= minCrashes && t.Crashes+t.Unsteady >= maxCrashes
}
