package tasks

import "time"

// Key names a job.
type Key struct {
	// Queue is the caller-visible host and path prefix of the queue.
	Queue string
	// ID is the identifier that the caller chose.
	ID string
}

// Name names a task of a job.
type Name struct {
	Job   string
	Round int
	Step  int
	Index int
}

// Room is an amount of a host's capacity.
type Room struct {
	// CPU is in thousandths of a core.
	CPU   int64 `json:",omitempty"`
	MemMB int64 `json:",omitempty"`
	GPU   int64 `json:",omitempty"`
}

// Add returns the sum of two amounts.
func (r Room) Add(other Room) Room {
	return Room{CPU: r.CPU + other.CPU, MemMB: r.MemMB + other.MemMB, GPU: r.GPU + other.GPU}
}

// Sub returns the difference of two amounts.
func (r Room) Sub(other Room) Room {
	return Room{CPU: r.CPU - other.CPU, MemMB: r.MemMB - other.MemMB, GPU: r.GPU - other.GPU}
}

// Fits reports whether an amount has room within this one.
func (r Room) Fits(need Room) bool {
	return need.CPU <= r.CPU && need.MemMB <= r.MemMB && need.GPU <= r.GPU
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count int
	// Room is what each task occupies.
	Room Room
	// Estimate is the caller's rough guess of a task's run time.
	Estimate time.Duration `json:",omitempty"`
	// After lists the steps that must be done before.
	After []int `json:",omitempty"`
	// Checkpoints means that a stopped task can go on from its last checkpoint.
	Checkpoints bool `json:",omitempty"`
	// Gang means that the tasks only work while all of them run.
	Gang bool `json:",omitempty"`
	// RackBound means that the tasks are slow when spread over racks.
	RackBound bool `json:",omitempty"`
	// Speculative means that several copies of a task may run.
	Speculative bool `json:",omitempty"`
	// Lasting means that the tasks serve until the job is cancelled.
	Lasting bool `json:",omitempty"`
	// Fills means that the tasks use only the processor time left by others.
	Fills bool `json:",omitempty"`
	// Label is a label that the host must have.
	Label string `json:",omitempty"`
	// DataRack is the rack on which the tasks run fast.
	DataRack string `json:",omitempty"`
	// Image names what the tasks run.
	Image string `json:",omitempty"`
	// MaxPerHost bounds the tasks of a round on one host; 0 is no bound.
	MaxPerHost int `json:",omitempty"`
	// Target is the response time that a serving task must stay below.
	Target time.Duration `json:",omitempty"`
	// MayMiss is how many serving tasks may be away at once by our doing.
	MayMiss int `json:",omitempty"`
}

// Occupies returns what a task takes from the capacity of its host.
func (s *Step) Occupies() Room {
	if s.Fills {
		return Room{MemMB: s.Room.MemMB, GPU: s.Room.GPU}
	}
	return s.Room
}

// Plan is what a caller hands in.
type Plan struct {
	Spec  string
	Steps []Step
	// Repeats is how many times the steps run; 0 is once, at once.
	Repeats int `json:",omitempty"`
	// First is when the first round is due, and Every the time between rounds.
	First time.Time     `json:",omitzero"`
	Every time.Duration `json:",omitempty"`
}

// Policy is what the configuration says of the job's queue.
type Policy struct {
	Service string
	// Priority is better the lower it is.
	Priority    int
	MaxAttempts int
	// Stretch and Target make up the objective: Stretch times the longest chain
	// of tasks, and Target more.
	Stretch float64
	Target  time.Duration
	// Advice is set if only the advisor knows which hosts may run a step.
	Advice *Advice `json:",omitempty"`
}

// Advice says how a queue's advisor answers.
type Advice struct {
	// Decision is the time of an answer, and PerHost what each host adds to it.
	Decision time.Duration
	PerHost  time.Duration
	// Valid is how long a ticket holds.
	Valid time.Duration
}

// Phase says how far a job is.
type Phase int

// The phases of a job.
const (
	Open Phase = iota
	Completed
	Failed
	Cancelled
)

// String returns the word for the phase in logs.
func (p Phase) String() string {
	words := []string{"open", "completed", "failed", "cancelled"}
	if int(p) >= len(words) {
		return "unknown"
	}
	return words[p]
}

// State says what a task is doing.
type State int

// The states of a task.
const (
	// Waiting means that no run of the task can be at work.
	Waiting State = iota
	// Starting means that a host was or will be told to start a run.
	Starting
	// Running means that a host has shown the run.
	Running
	// Done means that a run has ended well.
	Done
)

// String returns the word for the state in logs.
func (s State) String() string {
	words := []string{"waiting", "starting", "running", "done"}
	if int(s) >= len(words) {
		return "unknown"
	}
	return words[s]
}

// Task is one task of a round.
type Task struct {
	State State
	// Run numbers the starts of the task; it only rises.
	Run int
	// Host and Born name the life of the host that has the run.
	Host string
	Born int64
	// Failed counts the runs that ended badly.
	Failed int
	// Saved is the last checkpoint.
	Saved string
	// Since is when the run was assigned. It isn't kept over a take-over.
	Since time.Time
	// Avoid is the host on which the last run failed.
	Avoid string
}

// Active reports whether a run of the task may be at work.
func (t *Task) Active() bool { return t.State == Starting || t.State == Running }

// Round is one occurrence of a job's steps.
type Round struct {
	Number int
	Steps  [][]Task
}

// Waiting counts the tasks of a step that wait.
func (r *Round) Waiting(step int) int {
	count := 0
	for i := range r.Steps[step] {
		if r.Steps[step][i].State == Waiting {
			count++
		}
	}
	return count
}

// Job is a job and how far it is.
type Job struct {
	Key      Key
	Plan     Plan
	Policy   Policy
	Accepted time.Time
	Phase    Phase
	// Ended is when the phase stopped being Open.
	Ended time.Time
	// Unasked marks a job that was cancelled before it was handed in.
	Unasked bool
	// Rounds are the rounds that are due and not done; Next is the number of the
	// first that has not been due yet.
	Rounds []*Round
	Next   int
	// Begun means that a run of some task was shown by a host.
	Begun bool
}

// NewJob returns a job that was just accepted.
func NewJob(key Key, plan Plan, policy Policy, now time.Time) *Job {
	return &Job{Key: key, Plan: plan, Policy: policy, Accepted: now}
}

// rounds is how many rounds the job has in all.
func (j *Job) rounds() int { return max(1, j.Plan.Repeats) }

// Due returns when a round is due.
func (j *Job) Due(round int) time.Time {
	if j.Plan.Repeats == 0 {
		return j.Accepted
	}
	return j.Plan.First.Add(time.Duration(round) * j.Plan.Every)
}

// nextDue returns when the next round is due, and false if there is none.
func (j *Job) nextDue() (time.Time, bool) {
	if j.Phase != Open || j.Next >= j.rounds() {
		return time.Time{}, false
	}
	return j.Due(j.Next), true
}

// Advance begins the rounds that are due and reports whether any was.
func (j *Job) Advance(now time.Time) bool {
	begun := false
	for {
		due, more := j.nextDue()
		if !more || due.After(now) {
			return begun
		}
		round := &Round{Number: j.Next, Steps: make([][]Task, len(j.Plan.Steps))}
		for i, step := range j.Plan.Steps {
			round.Steps[i] = make([]Task, step.Count)
		}
		j.Rounds = append(j.Rounds, round)
		j.Next++
		begun = true
	}
}

// Task returns a task of the job, or nil if its round isn't under way.
func (j *Job) Task(name Name) *Task {
	for _, round := range j.Rounds {
		if round.Number == name.Round && name.Step < len(round.Steps) && name.Index < len(round.Steps[name.Step]) {
			return &round.Steps[name.Step][name.Index]
		}
	}
	return nil
}

// Tasks returns all tasks of the step and round of a task.
func (j *Job) Tasks(name Name) []Task {
	for _, round := range j.Rounds {
		if round.Number == name.Round && name.Step < len(round.Steps) {
			return round.Steps[name.Step]
		}
	}
	return nil
}

// Step returns the step of a task.
func (j *Job) Step(name Name) *Step { return &j.Plan.Steps[name.Step] }

// Ready reports whether all steps before a step of a round are done.
func (j *Job) Ready(round *Round, step int) bool {
	for _, before := range j.Plan.Steps[step].After {
		for i := range round.Steps[before] {
			if round.Steps[before][i].State != Done {
				return false
			}
		}
	}
	return true
}

// Soon reports whether a step is ready, or only waits for tasks that are under
// way.
func (j *Job) Soon(round *Round, step int) bool {
	for _, before := range j.Plan.Steps[step].After {
		for i := range round.Steps[before] {
			if round.Steps[before][i].State == Waiting {
				return false
			}
		}
	}
	return true
}

// EachActive calls visit for each task with a run that may be at work.
func (j *Job) EachActive(visit func(Name, *Task)) {
	for _, round := range j.Rounds {
		for step := range round.Steps {
			for index := range round.Steps[step] {
				if task := &round.Steps[step][index]; task.Active() {
					visit(Name{Job: j.Key.ID, Round: round.Number, Step: step, Index: index}, task)
				}
			}
		}
	}
}

// Lasting reports whether the job runs until it is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Plan.Steps {
		if j.Plan.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Work returns the processor time that one round of the job asks for, in
// thousandths of a core and milliseconds, if each task takes a time. Serving
// tasks don't count.
func (j *Job) Work(each time.Duration) int64 {
	var work int64
	for i := range j.Plan.Steps {
		if step := &j.Plan.Steps[i]; !step.Lasting {
			work += int64(step.Count) * step.Room.CPU * each.Milliseconds()
		}
	}
	return work
}

// Chain returns the longest chain of a round's steps by their estimates, and that
// of the steps that are not done in the first round under way.
func (j *Job) Chain() (whole, left time.Duration) {
	ends := make([]time.Duration, len(j.Plan.Steps))
	rest := make([]time.Duration, len(j.Plan.Steps))
	for i := range j.Plan.Steps {
		step := &j.Plan.Steps[i]
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
			rest[i] = max(rest[i], rest[before])
		}
		ends[i] += step.Estimate
		if !j.stepDone(i) {
			rest[i] += step.Estimate
		}
		whole, left = max(whole, ends[i]), max(left, rest[i])
	}
	return whole, left
}

// stepDone reports whether a step of the first round under way is done.
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
