package tasks

import (
	"time"

	"github.com/pkg/errors"
)

// Key identifies a job.
type Key struct {
	// Queue is the host and path prefix at which callers address the queue.
	Queue string
	// ID is chosen by the caller.
	ID string
}

// ID identifies a task of a job.
type ID struct {
	Job   string
	Round int
	Step  int
	Index int
}

// Resources is an amount of CPU, memory and GPUs.
type Resources struct {
	// CPU is in millicores.
	CPU   int64 `json:",omitempty"`
	MemMB int64 `json:",omitempty"`
	GPU   int64 `json:",omitempty"`
}

// Add returns r + other.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemMB: r.MemMB + other.MemMB, GPU: r.GPU + other.GPU}
}

// Sub returns r - other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemMB: r.MemMB - other.MemMB, GPU: r.GPU - other.GPU}
}

// CanFit reports whether need is at most r in every dimension.
func (r Resources) CanFit(need Resources) bool {
	return need.CPU <= r.CPU && need.MemMB <= r.MemMB && need.GPU <= r.GPU
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count int
	// Room is what each task requests.
	Room Resources
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration `json:",omitempty"`
	// After lists the indexes of the steps that this one depends on.
	After []int `json:",omitempty"`
	// Checkpoints means that a stopped task can resume from its last checkpoint.
	Checkpoints bool `json:",omitempty"`
	// Gang means that the tasks make progress only while all of them run.
	Gang bool `json:",omitempty"`
	// RackBound means that the tasks run slowly when spread over racks.
	RackBound bool `json:",omitempty"`
	// Speculative allows several copies of a task to run.
	Speculative bool `json:",omitempty"`
	// Lasting means that the tasks serve requests until the job is cancelled.
	Lasting bool `json:",omitempty"`
	// Fills makes the tasks best-effort: they use only CPU time left idle by others.
	Fills bool `json:",omitempty"`
	// Label is a label that the host must carry; empty allows every host.
	Label string `json:",omitempty"`
	// DataRack is the rack that holds the tasks' data, where they run faster.
	DataRack string `json:",omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `json:",omitempty"`
	// MaxPerHost limits the tasks of a round on one host; 0 means no limit.
	MaxPerHost int `json:",omitempty"`
	// Target is the upper limit of a serving task's response time.
	Target time.Duration `json:",omitempty"`
	// MayMiss is the disruption budget: how many serving tasks may be unavailable at
	// once because the scheduler stopped them.
	MayMiss int `json:",omitempty"`
}

// RequiredResources returns what a task reserves on its host. Best-effort tasks
// reserve no CPU.
func (s *Step) RequiredResources() Resources {
	if s.Fills {
		return Resources{MemMB: s.Room.MemMB, GPU: s.Room.GPU}
	}
	return s.Room
}

// Serves reports whether the tasks of the step serve requests until the job is cancelled,
// and not only while others leave CPU time idle.
func (s *Step) Serves() bool { return s.Lasting && !s.Fills }

// Isolates reports whether a task of the step must be started alone, so that a further crash
// can be put down to it. A gang isn't isolated: its members start together, and its job fails
// whichever of them is to blame.
func (s *Step) Isolates(task *Task) bool { return task.Crashes > 0 && !s.Gang }

// Plan is a job as the caller submits it.
type Plan struct {
	Spec  string
	Steps []Step
	// Repeats is the number of rounds; 0 means a single round that is due at once.
	Repeats int `json:",omitempty"`
	// First is when the first round is due, and Every the interval between rounds.
	First time.Time     `json:",omitzero"`
	Every time.Duration `json:",omitempty"`
}

// maxTasks is the maximum number of tasks of a round.
const maxTasks = 4096

// CheckSteps returns an error if a step can't be run: one without tasks or one that
// depends on itself or a later one, or if there are no steps or too many tasks.
func (p *Plan) CheckSteps() error {
	if len(p.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	total := 0
	for i := range p.Steps {
		step := &p.Steps[i]
		if step.Count <= 0 {
			return errors.Errorf("step %d has a count of %d; it must be above 0", i, step.Count)
		}
		if step.Count > maxTasks-total {
			return errors.Errorf("the job has more than %d tasks", maxTasks)
		}
		total += step.Count
		for _, dependency := range step.After {
			if dependency < 0 || dependency >= i {
				return errors.Errorf("step %d depends on step %d, which isn't an earlier one", i, dependency)
			}
		}
	}
	return nil
}

// Policy is the configuration of the job's queue.
type Policy struct {
	Service string
	// Organisation is the one whose key the caller presented, or empty.
	Organisation string `json:",omitempty"`
	// Priority orders jobs; lower values go first.
	Priority    int
	MaxAttempts int
	// Stretch and Target define the completion objective: Stretch times the
	// critical path, plus Target.
	Stretch float64
	Target  time.Duration
	// Advice is set if an advisor decides which hosts may run a step.
	Advice *AdvisorSettings `json:",omitempty"`
}

// AdvisorSettings describes the response times of a queue's advisor.
type AdvisorSettings struct {
	// A query takes Decision, plus PerHost for each host in it.
	Decision time.Duration
	PerHost  time.Duration
	// Valid is how long a ticket is valid.
	Valid time.Duration
}

// Phase is the overall state of a job.
type Phase int

// The phases of a job.
const (
	Open Phase = iota
	Completed
	Failed
	Cancelled
)

// String returns the phase as it is written to logs.
func (p Phase) String() string {
	names := []string{"open", "completed", "failed", "cancelled"}
	if p < 0 || int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}

// Round is one execution of all steps of a job.
type Round struct {
	Number int
	Steps  [][]Task
}

// Waiting returns the number of waiting tasks of a step.
func (r *Round) Waiting(step int) int {
	count := 0
	for i := range r.Steps[step] {
		if r.Steps[step][i].State == Waiting {
			count++
		}
	}
	return count
}

// Job is a job with its progress.
type Job struct {
	Key      Key
	Plan     Plan
	Policy   Policy
	Accepted time.Time
	Phase    Phase
	// Ended is when the job left the Open phase.
	Ended time.Time
	// PreCancelled marks a job that was cancelled before it was submitted.
	PreCancelled bool
	// Rounds are the rounds in progress. NextRound is the number of the first round
	// that isn't due yet.
	Rounds    []*Round
	NextRound int
	// Started means that a host has reported a run of the job.
	Started bool
	// HasCrashes means that a host has crashed right after the start of a run of the job.
	HasCrashes bool
}

// NewJob returns a job that was accepted at now.
func NewJob(key Key, plan Plan, policy Policy, now time.Time) *Job {
	return &Job{Key: key, Plan: plan, Policy: policy, Accepted: now}
}

// roundCount returns the total number of rounds.
func (j *Job) roundCount() int { return max(1, j.Plan.Repeats) }

// DueTime returns when the round is due.
func (j *Job) DueTime(round int) time.Time {
	if j.Plan.Repeats == 0 {
		return j.Accepted
	}
	return j.Plan.First.Add(time.Duration(round) * j.Plan.Every)
}

// nextDueTime returns when the next round is due, or false if none is left.
func (j *Job) nextDueTime() (time.Time, bool) {
	if j.Phase != Open || j.NextRound >= j.roundCount() {
		return time.Time{}, false
	}
	return j.DueTime(j.NextRound), true
}

// maxTasksInProgress limits the tasks of the rounds in progress of a job, so that one
// with many rounds due at once can't use up the memory. One round always starts.
const maxTasksInProgress = 16384

// taskCount returns the number of tasks of a round.
func (j *Job) taskCount() int {
	count := 0
	for i := range j.Plan.Steps {
		count += j.Plan.Steps[i].Count
	}
	return count
}

// canStartRound reports whether one more round in progress is within the limit.
func (j *Job) canStartRound() bool {
	return len(j.Rounds) == 0 || (len(j.Rounds)+1)*j.taskCount() <= maxTasksInProgress
}

// StartDueRounds starts the rounds that are due, as far as the limit allows, and
// reports whether it started any.
func (j *Job) StartDueRounds(now time.Time) bool {
	started := false
	for {
		due, more := j.nextDueTime()
		if !more || due.After(now) || !j.canStartRound() {
			return started
		}
		round := &Round{Number: j.NextRound, Steps: make([][]Task, len(j.Plan.Steps))}
		for i, step := range j.Plan.Steps {
			round.Steps[i] = make([]Task, step.Count)
		}
		j.Rounds = append(j.Rounds, round)
		j.NextRound++
		started = true
	}
}

// Task returns the task with the given ID, or nil if its round isn't in progress.
func (j *Job) Task(id ID) *Task {
	for _, round := range j.Rounds {
		if round.Number == id.Round && round.has(id) {
			return &round.Steps[id.Step][id.Index]
		}
	}
	return nil
}

// has reports whether the round has a task with the step and index of the ID.
func (r *Round) has(id ID) bool {
	return id.Step >= 0 && id.Step < len(r.Steps) && id.Index >= 0 && id.Index < len(r.Steps[id.Step])
}

// StepTasks returns all tasks of the same step and round as the given task, or nil
// if the round isn't in progress.
func (j *Job) StepTasks(id ID) []Task {
	for _, round := range j.Rounds {
		if round.Number == id.Round && id.Step < len(round.Steps) {
			return round.Steps[id.Step]
		}
	}
	return nil
}

// Step returns the step that a task belongs to.
func (j *Job) Step(id ID) *Step { return &j.Plan.Steps[id.Step] }

// DependenciesDone reports whether all steps that a step depends on are done.
func (j *Job) DependenciesDone(round *Round, step int) bool {
	for _, dependency := range j.Plan.Steps[step].After {
		for i := range round.Steps[dependency] {
			if round.Steps[dependency][i].State != Done {
				return false
			}
		}
	}
	return true
}

// DependenciesStarted reports whether no task that a step depends on is waiting:
// each has been assigned or is done.
func (j *Job) DependenciesStarted(round *Round, step int) bool {
	for _, dependency := range j.Plan.Steps[step].After {
		for i := range round.Steps[dependency] {
			if round.Steps[dependency][i].State == Waiting {
				return false
			}
		}
	}
	return true
}

// ForEachActive calls visit for each task with a run that may be executing.
func (j *Job) ForEachActive(visit func(ID, *Task)) {
	for _, round := range j.Rounds {
		for step := range round.Steps {
			for index := range round.Steps[step] {
				if task := &round.Steps[step][index]; task.Active() {
					visit(ID{Job: j.Key.ID, Round: round.Number, Step: step, Index: index}, task)
				}
			}
		}
	}
}

// LongRunning reports whether the job has a step that runs until the job is
// cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Plan.Steps {
		if j.Plan.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// CPUTime returns the CPU time of one round in millicore-milliseconds, if every
// task runs for perTask. Serving tasks aren't counted.
func (j *Job) CPUTime(perTask time.Duration) int64 {
	var total int64
	for i := range j.Plan.Steps {
		if step := &j.Plan.Steps[i]; !step.Lasting {
			total = min(total+cpuTime(step.Count, step.Room.CPU, perTask), maxCPUTime)
		}
	}
	return total
}

// maxCPUTime limits the CPU time of a job, in millicore-milliseconds, so that sums of
// two don't overflow.
const maxCPUTime = 1 << 60

// cpuTime returns the CPU time of a number of tasks that use an amount of CPU each.
func cpuTime(count int, cpu int64, perTask time.Duration) int64 {
	product := float64(count) * float64(cpu) * float64(perTask.Milliseconds())
	return int64(min(product, maxCPUTime))
}

// UnassignedTasks returns the number of tasks that wait for a host or for other tasks,
// in the rounds in progress or, before the first, in one round.
func (j *Job) UnassignedTasks() int {
	count := 0
	for step := range j.Plan.Steps {
		if len(j.Rounds) == 0 {
			count += j.Plan.Steps[step].Count
		}
		for _, round := range j.Rounds {
			count += round.Waiting(step)
		}
	}
	return count
}

// WaitingCPUTime returns the CPU time of the tasks that wait for nothing but a host,
// in millicore-milliseconds by the estimates, and whether any task has been assigned. A
// task that requests no CPU counts with a millicore: 0 means that none waits.
func (j *Job) WaitingCPUTime() (waiting int64, begun bool) {
	for _, round := range j.Rounds {
		for step := range round.Steps {
			count := round.Waiting(step)
			begun = begun || count < len(round.Steps[step])
			if count > 0 && j.DependenciesDone(round, step) {
				spec := &j.Plan.Steps[step]
				waiting = min(waiting+cpuTime(count, max(1, spec.Room.CPU), max(time.Millisecond, spec.Estimate)), maxCPUTime)
			}
		}
	}
	return waiting, begun
}

// CriticalPath returns the estimated length of the critical path of a round, and
// that of the steps not yet done in the first round in progress.
func (j *Job) CriticalPath() (total, remaining time.Duration) {
	totalTo := make([]time.Duration, len(j.Plan.Steps))
	remainingTo := make([]time.Duration, len(j.Plan.Steps))
	for i := range j.Plan.Steps {
		step := &j.Plan.Steps[i]
		for _, dependency := range step.After {
			totalTo[i] = max(totalTo[i], totalTo[dependency])
			remainingTo[i] = max(remainingTo[i], remainingTo[dependency])
		}
		totalTo[i] += step.Estimate
		if !j.stepDone(i) {
			remainingTo[i] += step.Estimate
		}
		total, remaining = max(total, totalTo[i]), max(remaining, remainingTo[i])
	}
	return total, remaining
}

// stepDone reports whether a step of the first round in progress is done.
func (j *Job) stepDone(step int) bool {
	if len(j.Rounds) == 0 {
		return false
	}
	for i := range j.Rounds[0].Steps[step] {
		if j.Rounds[0].Steps[step][i].State != Done {
			return false
		}
	}
	return true
}
