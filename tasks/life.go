package tasks

import (
	"slices"
	"strconv"
	"time"
)

// How says how a run ended.
type How int

// The ends of runs.
const (
	// EndDone means that the run has done its work.
	EndDone How = iota
	// EndFailed means that the run failed, by its own or its host's fault.
	EndFailed
	// EndStopped means that the run was told to stop.
	EndStopped
	// EndLapsed means that the host's lease ran out.
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not come in time.
	EndAlone
	// EndLost means that the run is known to be gone, but not how it ended.
	EndLost
)

// String returns the word for the end in logs.
func (h How) String() string {
	words := []string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}
	if int(h) >= len(words) {
		return "unknown"
	}
	return words[h]
}

// Assign gives a new run of a waiting task to a host.
func (j *Job) Assign(name Name, host string, born int64, now time.Time) {
	task := j.Task(name)
	task.Run = j.nextRun(name)
	task.State = Starting
	task.Host = host
	task.Born = born
	task.Since = now
}

// nextRun returns the number of a task's next run. The members of a gang share
// it.
func (j *Job) nextRun(name Name) int {
	if !j.Step(name).Gang {
		return j.Task(name).Run + 1
	}
	highest, assigned := 0, false
	for _, round := range j.Rounds {
		if round.Number != name.Round {
			continue
		}
		for i := range round.Steps[name.Step] {
			member := &round.Steps[name.Step][i]
			highest = max(highest, member.Run)
			assigned = assigned || member.Active()
		}
	}
	if assigned {
		return highest
	}
	return highest + 1
}

// Shown notes that a host has shown a run, and returns whether that is news.
func (j *Job) Shown(name Name, run int) bool {
	task := j.Task(name)
	if task == nil || task.Run != run || task.State != Starting {
		return false
	}
	task.State = Running
	j.Begun = true
	return true
}

// End notes that a run has ended and returns whether that is news. It may end
// the job.
func (j *Job) End(name Name, run int, how How, saved string, now time.Time) bool {
	task := j.Task(name)
	if task == nil || task.Run != run || !task.Active() {
		return false
	}
	j.Begun = j.Begun || how != EndLost
	if saved != "" {
		j.save(name, saved)
	}
	step := j.Step(name)
	switch {
	case how == EndDone && !step.Lasting:
		j.done(name)
	case how == EndFailed && step.Gang:
		task.State = Waiting
		j.gangFailed(name, run)
	case how == EndFailed:
		task.State = Waiting
		task.Failed++
		task.Avoid = task.Host
	default:
		task.State = Waiting
	}
	if how == EndFailed && !step.Lasting && task.Failed >= j.Policy.MaxAttempts {
		j.close(Failed, now)
	}
	j.finishRounds(now)
	return true
}

// save keeps a checkpoint; the members of a gang share it.
func (j *Job) save(name Name, saved string) {
	if !j.Step(name).Gang {
		j.Task(name).Saved = saved
		return
	}
	j.eachMember(name, func(member *Task) { member.Saved = saved })
}

// Save keeps the checkpoint that a host shows of a run.
func (j *Job) Save(name Name, run int, saved string) {
	if task := j.Task(name); task != nil && task.Run == run && task.Active() && saved != "" {
		j.save(name, saved)
	}
}

func (j *Job) eachMember(name Name, visit func(*Task)) {
	for _, round := range j.Rounds {
		if round.Number != name.Round {
			continue
		}
		for i := range round.Steps[name.Step] {
			visit(&round.Steps[name.Step][i])
		}
	}
}

// done notes a good end, which for a gang stands for all members.
func (j *Job) done(name Name) {
	if !j.Step(name).Gang {
		j.Task(name).State = Done
		return
	}
	j.eachMember(name, func(member *Task) { member.State = Done })
}

// gangFailed counts a failed run of a gang once, however many members failed.
func (j *Job) gangFailed(name Name, run int) {
	failed := 0
	j.eachMember(name, func(member *Task) { failed = max(failed, member.Failed) })
	counted := true
	j.eachMember(name, func(member *Task) { counted = counted && member.Avoid == gangRun(run) })
	if counted {
		return
	}
	j.eachMember(name, func(member *Task) {
		member.Failed = failed + 1
		member.Avoid = gangRun(run)
	})
}

// gangRun marks a gang's run as counted.
func gangRun(run int) string { return "run " + strconv.Itoa(run) }

// finishRounds drops the rounds that are done and completes the job after its
// last.
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
	if j.Phase == Open && len(j.Rounds) == 0 && j.Next >= j.rounds() {
		j.close(Completed, now)
	}
}

// Cancel ends the job on its caller's wish and returns whether that is news.
func (j *Job) Cancel(now time.Time) bool {
	if j.Phase != Open {
		return false
	}
	j.close(Cancelled, now)
	return true
}

func (j *Job) close(phase Phase, now time.Time) {
	if j.Phase != Open {
		return
	}
	j.Phase = phase
	j.Ended = now
}
