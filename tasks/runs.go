package tasks

import (
	"slices"
	"strconv"
	"time"
)

// EndReason is why a run ended.
type EndReason int

// The reasons for which runs end.
const (
	// EndDone means that the run succeeded.
	EndDone EndReason = iota
	// EndFailed means that the run or its host failed.
	EndFailed
	// EndStopped means that the run was stopped on request.
	EndStopped
	// EndLeaseExpired means that the host's lease expired.
	EndLeaseExpired
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete means that other members of the gang didn't start in time.
	EndGangIncomplete
	// EndLost means that the run no longer executes, for an unknown reason.
	EndLost
	// EndCrashed means that the host crashed, or fell silent, right after the start of
	// the run.
	EndCrashed
	// EndUnsteady means the same on a machine that had gone down by itself just before.
	EndUnsteady
)

// String returns the reason as it is written to logs.
func (r EndReason) String() string {
	names := []string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "crashed", "unsteady"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Assign starts a new run of a waiting task on a host.
func (j *Job) Assign(id ID, host string, incarnation int64, now time.Time) {
	task := j.Task(id)
	task.Run = j.nextRun(id)
	task.State = Starting
	task.Host = host
	task.HostIncarnation = incarnation
	task.AssignedAt = now
}

// nextRun returns the number of a task's next run. All members of a gang run under
// the same number.
func (j *Job) nextRun(id ID) int {
	if !j.Step(id).Gang {
		return j.Task(id).Run + 1
	}
	highest, assigned := 0, false
	for _, round := range j.Rounds {
		if round.Number != id.Round {
			continue
		}
		for i := range round.Steps[id.Step] {
			member := &round.Steps[id.Step][i]
			highest = max(highest, member.Run)
			assigned = assigned || member.Active()
		}
	}
	if assigned {
		return highest
	}
	return highest + 1
}

// MarkRunning records that the host reported a run, and reports whether the state
// changed.
func (j *Job) MarkRunning(id ID, run int) bool {
	task := j.Task(id)
	if task == nil || task.Run != run || task.State != Starting {
		return false
	}
	task.State = Running
	j.Started = true
	return true
}

// EndRun records the end of a run and reports whether the state changed: it ignores
// a run that isn't the task's active one. It may end the job.
func (j *Job) EndRun(id ID, run int, reason EndReason, checkpoint string, now time.Time) bool {
	task := j.Task(id)
	if task == nil || task.Run != run || !task.Active() {
		return false
	}
	j.Started = j.Started || reason != EndLost
	if checkpoint != "" {
		j.setCheckpoint(id, checkpoint)
	}
	step := j.Step(id)
	switch {
	case reason == EndDone && !step.Lasting:
		j.markDone(id)
	case reason == EndFailed && step.Gang:
		task.State = Waiting
		j.countGangFailure(id, run)
	case reason == EndFailed:
		task.State = Waiting
		task.Failures++
		task.AvoidHost = task.Host
	case reason == EndCrashed:
		j.countCrash(id, now)
	case reason == EndUnsteady:
		task.State = Waiting
		task.Unsteady++
		if !step.Gang {
			// If the task is to blame after all, the next host shows it.
			task.AvoidHost = task.Host
		}
	default:
		task.State = Waiting
	}
	if reason == EndFailed && !step.Lasting && task.Failures >= j.Policy.MaxAttempts {
		j.finish(Failed, now)
	}
	j.finishRounds(now)
	return true
}

// countCrash counts a host that crashed under a task. The job of a task that crashes its
// hosts fails, unless the other tasks of its step go on serving without it.
func (j *Job) countCrash(id ID, now time.Time) {
	task, step := j.Task(id), j.Step(id)
	task.State = Waiting
	task.Crashes++
	j.HasCrashes = true
	if !step.Gang {
		task.AvoidHost = task.Host
	}
	switch {
	case !task.CrashesHosts():
	case step.Lasting && !step.Gang:
		task.State = Abandoned
	default:
		j.finish(Failed, now)
	}
}

// RetractCrash records that a run which counted as crashed had ended without harm to its host, and
// reports whether the state changed.
func (j *Job) RetractCrash(id ID) bool {
	task := j.Task(id)
	if j.Phase != Open || task == nil || task.Crashes == 0 {
		return false
	}
	task.Crashes--
	if task.State == Abandoned {
		task.State = Waiting
	}
	return true
}

// MarkStable records that a run has gone on for a while without harm to its host, and
// reports whether the state changed: it ignores a run that isn't the task's active one.
func (j *Job) MarkStable(id ID, run int) bool {
	task := j.Task(id)
	if task == nil || task.Run != run || !task.Active() || task.Crashes+task.Unsteady == 0 {
		return false
	}
	task.Crashes, task.Unsteady = 0, 0
	return true
}

// RecoverDone records that a run which counted as lost had succeeded, and reports whether
// the state changed: it ignores a run whose task has been assigned again or ended, and
// steps whose runs don't end alone.
func (j *Job) RecoverDone(id ID, run int, now time.Time) bool {
	task := j.Task(id)
	if j.Phase != Open || task == nil || task.Run != run || task.State != Waiting {
		return false
	}
	if step := j.Step(id); step.Lasting || step.Gang {
		return false
	}
	j.Started = true
	j.markDone(id)
	j.finishRounds(now)
	return true
}

// setCheckpoint stores a checkpoint, which all members of a gang share.
func (j *Job) setCheckpoint(id ID, checkpoint string) {
	if !j.Step(id).Gang {
		j.Task(id).Checkpoint = checkpoint
		return
	}
	j.forEachGangMember(id, func(member *Task) { member.Checkpoint = checkpoint })
}

// SaveCheckpoint stores the checkpoint that a host reported for a run. It ignores
// an empty checkpoint and a run that isn't the task's active one.
func (j *Job) SaveCheckpoint(id ID, run int, checkpoint string) {
	if task := j.Task(id); task != nil && task.Run == run && task.Active() && checkpoint != "" {
		j.setCheckpoint(id, checkpoint)
	}
}

func (j *Job) forEachGangMember(id ID, visit func(*Task)) {
	for _, round := range j.Rounds {
		if round.Number != id.Round {
			continue
		}
		for i := range round.Steps[id.Step] {
			visit(&round.Steps[id.Step][i])
		}
	}
}

// markDone marks a task as done. In a gang, one success completes all members.
func (j *Job) markDone(id ID) {
	if !j.Step(id).Gang {
		j.Task(id).State = Done
		return
	}
	j.forEachGangMember(id, func(member *Task) { member.State = Done })
}

// countGangFailure counts a failed run of a gang once, however many members failed.
func (j *Job) countGangFailure(id ID, run int) {
	failed := 0
	j.forEachGangMember(id, func(member *Task) { failed = max(failed, member.Failures) })
	counted := true
	j.forEachGangMember(id, func(member *Task) { counted = counted && member.AvoidHost == gangRunMarker(run) })
	if counted {
		return
	}
	j.forEachGangMember(id, func(member *Task) {
		member.Failures = failed + 1
		member.AvoidHost = gangRunMarker(run)
	})
}

// gangRunMarker returns the AvoidHost value that marks the failure of a gang's run
// as counted.
func gangRunMarker(run int) string { return "run " + strconv.Itoa(run) }

// finishRounds removes the rounds that are done, and completes the job after the
// last one.
func (j *Job) finishRounds(now time.Time) {
	j.Rounds = slices.DeleteFunc(j.Rounds, func(round *Round) bool {
		for step := range round.Steps {
			for i := range round.Steps[step] {
				if round.Steps[step][i].State != Done {
					return false
				}
			}
		}
		return true
	})
	if j.Phase == Open && len(j.Rounds) == 0 && j.NextRound >= j.roundCount() {
		j.finish(Completed, now)
	}
}

// Cancel cancels the job and reports whether it was open.
func (j *Job) Cancel(now time.Time) bool {
	if j.Phase != Open {
		return false
	}
	j.finish(Cancelled, now)
	return true
}

func (j *Job) finish(phase Phase, now time.Time) {
	if j.Phase != Open {
		return
	}
	j.Phase = phase
	j.Ended = now
}
