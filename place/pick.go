package place

import (
	"slices"
	"time"

	"rattanpath/coloc"
	"rattanpath/tasks"
)

// Host describes a candidate host.
type Host struct {
	ID     string
	Rack   string
	Labels []string
	// Free is the unreserved part of Capacity.
	Free     tasks.Resources
	Capacity tasks.Resources
	// RecentFailures counts the runs that recently failed or stalled on the host.
	RecentFailures int
	// Slow means that runs take longer on the host than elsewhere, and NeedsProbe that it
	// should get a run that shows whether they still do.
	Slow       bool
	NeedsProbe bool
	// ServingTasks and BestEffortTasks count the tasks of these kinds on the host.
	ServingTasks    int
	BestEffortTasks int
	// CountGroups means that tasks are counted in groups as well, for the interference
	// between their images.
	CountGroups bool
	groups      []taskGroup
	// TasksWithoutCPU counts the tasks on the host that request no CPU.
	TasksWithoutCPU int
	// QuietIn is how long until a crash of the host could only be due to a task started
	// there from then on: no run of the host is fresh, and the host hasn't just crashed.
	QuietIn time.Duration
	// Reserved means that only tasks that need isolation are started on the host.
	Reserved bool
}

// FreshTime is how long a run counts as fresh after its start. If its host crashes before,
// the run may be the cause.
const FreshTime = 500 * time.Millisecond

const (
	// MaxTasksWithoutCPU is how many tasks that request no CPU a host gets. Nothing that they
	// request need ever run out, but each of them is a process, and an entry of each report.
	MaxTasksWithoutCPU = 1000
	// MaxUrgentWithoutCPU is the same for serving tasks, and for the first task of a job: a job
	// must not stand still behind others while hosts have room for it.
	MaxUrgentWithoutCPU = 2 * MaxTasksWithoutCPU
)

// Requirements describes what a task requires of its host.
type Requirements struct {
	Step *tasks.Step
	// AvoidHost is the host on which the task last failed.
	AvoidHost string
	// LastAttempt means that one more failure of the task fails its job.
	LastAttempt bool
	// SiblingsByHost counts the tasks of the same step and round per host ID.
	SiblingsByHost map[string]int
	// AllowedHosts are the IDs of the hosts that the advisor allows; nil allows all.
	AllowedHosts map[string]bool
	// MayProbe means that the task is short enough to be run on a slow host as a probe.
	MayProbe bool
	// FirstOfJob means that no other task of the job runs.
	FirstOfJob bool
	// Isolated means that a host has crashed under the task: it is not to be started beside
	// fresh runs, nor others beside it while it is fresh.
	Isolated bool
	// Evidence holds which images slow each other down, as far as that is known.
	Evidence coloc.Evidence
}

// Costs rank the feasible hosts of a task. The last three are charged for each recent
// failure, sibling and colocated task. One unit of a larger cost outweighs one unit of
// each smaller one together.
const (
	slowHostCost      = 2000.0
	remoteDataCost    = 1000.0
	avoidedHostCost   = 400.0
	recentFailureCost = 100.0
	siblingCost       = 8.0
	colocationCost    = 20.0
)

// requestsNoCPU reports whether the tasks of a step request no CPU. Best-effort tasks may
// request some, although none is reserved for them.
func requestsNoCPU(step *tasks.Step) bool { return step.Room.CPU <= 0 }

// Obstacle is the first reason why a host can't run a task, or NoObstacle.
type Obstacle int

// The obstacles, in the order in which they are tested.
const (
	NoObstacle Obstacle = iota
	NoRoom
	NoLabel
	NotAllowed
	TooManyWithoutCPU
	TooManySiblings
	NotQuiet
	ReservedHost
)

// String returns the obstacle as it is shown to operators.
func (o Obstacle) String() string {
	names := []string{
		"none", "not enough CPU, memory or GPUs are free", "it lacks the required label", "the advisor has not allowed it",
		"it has as many tasks without CPU as it may", "it has as many tasks of the step as it may",
		"something has just started or crashed there, and the task needs a quiet host", "it is reserved for a task under which hosts crashed",
	}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// Feasible reports whether a host meets all hard requirements of a task.
func Feasible(req Requirements, host *Host) bool { return req.firstObstacle(host) == NoObstacle }

// FirstObstacle returns the first hard requirement of a task that a host doesn't meet.
func FirstObstacle(req Requirements, host *Host) Obstacle { return req.firstObstacle(host) }

// firstObstacle takes a pointer since copies of the requirements would slow Pick down.
func (req *Requirements) firstObstacle(host *Host) Obstacle {
	step := req.Step
	switch {
	case !host.Free.CanFit(step.RequiredResources()):
		return NoRoom
	case step.Label != "" && !slices.Contains(host.Labels, step.Label):
		return NoLabel
	case req.AllowedHosts != nil && !req.AllowedHosts[host.ID]:
		return NotAllowed
	case requestsNoCPU(step) && host.TasksWithoutCPU >= req.maxWithoutCPU():
		return TooManyWithoutCPU
	case step.MaxPerHost > 0 && req.SiblingsByHost[host.ID] >= step.MaxPerHost:
		return TooManySiblings
	case req.Isolated && host.QuietIn > 0:
		return NotQuiet
	case !req.Isolated && host.Reserved:
		return ReservedHost
	}
	return NoObstacle
}

// maxWithoutCPU returns how many tasks that request no CPU a host may have before it gets one more.
func (req *Requirements) maxWithoutCPU() int {
	if req.FirstOfJob || req.Step.Serves() {
		return MaxUrgentWithoutCPU
	}
	return MaxTasksWithoutCPU
}

// CostParts are the costs of running a task on a feasible host that Cost sums.
type CostParts struct {
	// IdleCPU ranks hosts by the CPU that stays free.
	IdleCPU float64
	// Speed is that of a slow host. It is negative if the task is to probe the host.
	Speed        float64
	RemoteData   float64
	AvoidedHost  float64
	Failures     float64
	Siblings     float64
	Interference float64
}

// Total returns the sum of the costs.
func (p CostParts) Total() float64 {
	return p.IdleCPU + p.Speed + p.RemoteData + p.AvoidedHost + p.Failures + p.Siblings + p.Interference
}

// Cost returns the cost of running a task on a feasible host; lower is better.
func Cost(req Requirements, host *Host) float64 { return req.costs(host).Total() }

// Costs returns the parts of the cost of running a task on a feasible host.
func Costs(req Requirements, host *Host) CostParts { return req.costs(host) }

func (req *Requirements) costs(host *Host) CostParts {
	step := req.Step
	parts := CostParts{IdleCPU: idleCPUShare(step, host)}
	if req.Isolated {
		// A further crash should take few other runs along.
		parts.IdleCPU = 1 - parts.IdleCPU
	}
	if step.DataRack != "" && host.Rack != step.DataRack {
		parts.RemoteData = remoteDataCost
	}
	if req.AvoidHost == host.ID {
		parts.AvoidedHost = avoidedHostCost
	}
	parts.Speed = slowCost(req, host)
	weight := recentFailureCost
	if req.LastAttempt {
		weight *= 2
	}
	parts.Failures = weight * float64(host.RecentFailures)
	if step.Lasting {
		parts.Siblings = siblingCost * float64(req.SiblingsByHost[host.ID])
	}
	parts.Interference = interferenceCost(req, host)
	return parts
}

// probeGain outweighs the differences between hosts in idleCPUShare: otherwise the busiest
// hosts would be preferred to one that is to be probed.
const probeGain = 2.0

// slowCost returns the cost of running a task on a host because of the host's speed.
func slowCost(req *Requirements, host *Host) float64 {
	switch {
	case !host.Slow:
		return 0
	case host.NeedsProbe && req.MayProbe && !req.Isolated && !req.LastAttempt:
		return -probeGain
	default:
		return slowHostCost
	}
}

// idleCPUShare returns the fraction of a host's CPU, from 0 to 1, that stays free
// once the task is placed. Best fit keeps large gaps for large tasks.
func idleCPUShare(step *tasks.Step, host *Host) float64 {
	if host.Capacity.CPU <= 0 {
		return 0
	}
	return float64(host.Free.CPU-step.RequiredResources().CPU) / float64(host.Capacity.CPU)
}

// CountTask counts a task of a step that the host runs.
func (h *Host) CountTask(step *tasks.Step) {
	if requestsNoCPU(step) {
		h.TasksWithoutCPU++
	}
	if h.CountGroups {
		h.countGroup(step)
	}
	switch {
	case step.Fills:
		h.BestEffortTasks++
	case step.Lasting:
		h.ServingTasks++
	}
}

// Place updates the host for a task that is placed on it.
func (h *Host) Place(req Requirements) {
	h.Free = h.Free.Sub(req.Step.RequiredResources())
	h.QuietIn = FreshTime
	h.NeedsProbe = false
	h.CountTask(req.Step)
	h.Reserved = h.Reserved || req.Isolated
}

// Pick returns the feasible host with the lowest cost, or nil if there is none.
func Pick(req Requirements, hosts []*Host) *Host {
	s := search{req: &req}
	s.try(hosts)
	return s.best
}
