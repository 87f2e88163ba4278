package sched

import (
	"time"

	"rattanpath/pace"
	"rattanpath/place"
	"rattanpath/tasks"
)

// runState is what this cell knows of a run on its host.
type runState int

const (
	// runPlanned means that no start command has been sent.
	runPlanned runState = iota
	// runStarting means that the reply to the start command is awaited.
	runStarting
	// runUnconfirmed means that the start command got no reply: it may have taken
	// effect, or may still do so.
	runUnconfirmed
	// runSettled means that the host has started the run, or refuses to start it from
	// now on. A report made after settledAt that lacks the run proves that it is over.
	runSettled
	// runUnverified means that the host has since restarted. The first report after a
	// heartbeat with the new token tells whether the new incarnation has the run.
	runUnverified
	// runInherited means that a previous owner may have started the run. The first
	// report to this owner tells whether the host has it.
	runInherited
)

// runKey identifies a run. A host may still have an earlier run of a task.
type runKey struct {
	task   tasks.ID
	number int
}

// run is a run that occupies resources of a host.
type run struct {
	// entry is the job, or nil for a run that belongs to no known job.
	entry     *jobEntry
	id        tasks.ID
	number    int
	resources tasks.Resources
	state     runState
	// recordTime is that of the host's record when the run was assigned, and hostRestarts the value of
	// host.restarts.
	recordTime   time.Duration
	hostRestarts int64
	// settledAt is a reading of the host's clock, see runSettled.
	settledAt time.Duration
	// startedBy is a local time by which the run had started: when its start was
	// confirmed or it was first reported. It serves for durations only.
	startedBy time.Duration
	// provenAt is the last local time at which the host is known to have had the run, 0 if
	// it has never confirmed it to this cell.
	provenAt time.Duration
	// survived is what answeredFor returned when the host restarted.
	survived time.Duration
	// assignedAt is when this cell assigned the run, zero if it didn't.
	assignedAt time.Time
	// sentAt is the local time at which the start command was sent, 0 if this cell sent none.
	sentAt time.Duration
	// unconfirmedSince is the local time at which the state became runUnconfirmed.
	unconfirmedSince time.Duration
	// stopping is set while stop commands are sent.
	stopping bool
	// startBroke is set if the connection broke after the start command was sent.
	startBroke bool
	// inherited is set if a previous owner started the run.
	inherited bool
	// resumed is set if the run began with a checkpoint.
	resumed bool
	// percent is the progress that the host last reported. firstReportedAt and
	// progressedAt are the readings of the host's clock in the first report of the run
	// and in the last one in which percent had risen. basePercent was the progress at
	// activeSince, a reading as well.
	percent         int
	firstReportedAt time.Duration
	progressedAt    time.Duration
	activeSince     time.Duration
	basePercent     int
	// measured is the progress from which the speed of the host was last measured.
	measured measurement
	// load is the figure that the host last reported of the run: for a serving task its
	// response time in ms, for others the CPU in use in thousandths of a core.
	load float64
	// share is the CPU share of the run, in percent of full speed, or
	// unknownShare. pacePending is set while a command to change it is in flight.
	share       int
	pacePending bool
}

// fullPercent is the progress of a serving task that is ready, and of any other
// task that is done.
const fullPercent = 100

func (r *run) key() runKey { return runKey{r.id, r.number} }

// serves reports whether the run is of a serving task.
func (r *run) serves() bool {
	return r.entry != nil && r.id.Step < len(r.entry.job.Plan.Steps) && r.entry.job.Step(r.id).Serves()
}

// isStable reports whether the host has answered for long enough after the start of the run, by
// a reading of its clock, not to have been crashed by it.
func (r *run) isStable(hostTime time.Duration) bool {
	return r.state == runSettled && hostTime-r.settledAt >= place.FreshTime
}

// tailLatency returns the response time of a serving task that its host last reported, and its
// upper limit.
func (r *run) tailLatency() pace.TailLatency {
	return pace.TailLatency{Measured: time.Duration(r.load * float64(time.Millisecond)), Target: r.entry.job.Step(r.id).Target}
}

// isUnproven reports whether the run is of a task that needs isolation, and no report has shown
// yet that it hasn't crashed its host.
func (r *run) isUnproven() bool {
	if r.entry == nil || !r.entry.job.HasCrashes {
		return false
	}
	task := r.currentTask()
	return task != nil && r.entry.job.Step(r.id).Isolates(task)
}

// currentTask returns the task whose current run this is, or nil.
func (r *run) currentTask() *tasks.Task {
	if r.entry == nil {
		return nil
	}
	if task := r.entry.job.Task(r.id); task != nil && task.Run == r.number {
		return task
	}
	return nil
}

// isVerified reports whether the run belongs to the current incarnation of its
// host and to this owner.
func (r *run) isVerified() bool { return r.state != runUnverified && r.state != runInherited }

// awaitsStart reports whether a start command was sent whose effect is unknown.
func (r *run) awaitsStart() bool { return r.state == runStarting || r.state == runUnconfirmed }

// isAnswered reports whether the host has confirmed the run, or that it refuses to start it. Until
// then the start command may have reached a later incarnation than it was meant for.
func (r *run) isAnswered() bool { return r.startedBy != 0 || r.state == runSettled }

// isRunning reports whether a host had confirmed an inherited run to its previous owner.
func (r *run) isRunning() bool {
	task := r.entry.job.Task(r.id)
	return task != nil && task.Run == r.number && task.State == tasks.Running
}

// mayHaveCrashed reports whether the loss of a run may mean that its host has crashed under it.
// A host that is silent has not crashed for certain, and may not have got a command that it
// didn't answer.
func (r *run) mayHaveCrashed(why lossReason) bool {
	switch why {
	case lossRestarted, lossReplaced:
		return r.state != runPlanned
	case lossHostGone:
		// How long a run of a previous owner had gone on isn't known, nor why its host is gone.
		return r.state != runPlanned && !r.inherited
	case lossLease:
		return !r.inherited && (r.startedBy != 0 || r.startBroke)
	default:
		return false
	}
}

// settle records that from a reading of the host's clock on, reports show whether
// the host has the run.
func (r *run) settle(hostTime time.Duration) {
	r.state, r.settledAt = runSettled, hostTime
}

// markStarted records that the host has started the run, at the latest at the
// local time now.
func (r *run) markStarted(now time.Duration) {
	if r.startedBy == 0 {
		r.startedBy = now
	}
}

// answeredFor returns how long after the start of the run its host last answered, at least: on
// the host's clock, or since the start command was sent if that wasn't answered. It returns 0 if
// that isn't known.
func (r *run) answeredFor(h *host) time.Duration {
	switch {
	case r.state == runUnverified:
		return r.survived
	case r.state == runSettled && r.startedBy != 0:
		return max(0, h.answeredAt-r.settledAt)
	case r.sentAt != 0 && h.answeredAt != 0:
		return max(0, h.clock.ReadAfter(h.answeredAt)-r.sentAt)
	default:
		return 0
	}
}

// freshFor returns how long the run still counts as fresh at a local time, see
// place.FreshTime.
func (r *run) freshFor(now time.Duration) time.Duration {
	if r.startedBy == 0 {
		return place.FreshTime
	}
	return max(0, r.startedBy+place.FreshTime-now)
}

// restartHost records that the host has restarted, after it last answered the given time
// after the start of the run. Readings of its old clock can't be compared with new ones,
// and what was asked of the old incarnation no longer holds.
func (r *run) restartHost(survived time.Duration) {
	r.survived = survived
	r.firstReportedAt, r.progressedAt, r.percent = 0, 0, 0
	r.activeSince, r.basePercent = 0, 0
	r.measured = measurement{}
	r.stopping = false
	if r.awaitsStart() || r.state == runSettled {
		r.state = runUnverified
	}
}
