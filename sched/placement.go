package sched

import (
	"slices"
	"time"

	"rattanpath/pace"
	"rattanpath/place"
	"rattanpath/tasks"
)

// schedulePass assigns waiting tasks to the hosts with free capacity.
type schedulePass struct {
	cell *Cell
	// hosts are ordered by ID, and candidates are the same.
	hosts      []*place.Host
	candidates *place.Candidates
	now        time.Time
	// unsatisfiable holds resource requests that no host can satisfy in this pass.
	unsatisfiable []tasks.Resources
	// quota is nil if no organisation has a cap.
	quota *quotaPass
	// fair is nil unless organisations compete for the hosts.
	fair *fairPass
	// assigned counts the tasks that were assigned, and assigning is the time that jobs took of which
	// some were.
	assigned  int
	assigning time.Duration
}

// placeJob assigns the waiting tasks of a job to hosts, and measures the time if there are any.
func (p *schedulePass) placeJob(e *jobEntry) {
	begun, before := time.Now(), p.assigned
	p.placeSteps(e)
	if p.assigned > before {
		p.assigning += time.Since(begun)
	}
}

// placeSteps assigns the waiting tasks of a job's steps to hosts.
func (p *schedulePass) placeSteps(e *jobEntry) {
	for _, round := range e.job.Rounds {
		for step := range round.Steps {
			if e.job.Policy.Advice != nil && e.job.DependenciesStarted(round, step) {
				p.cell.requestAdvice(e, round, step, p.hosts, p.now)
			}
			switch {
			case !e.job.DependenciesDone(round, step) || p.isUnsatisfiable(e.job.Plan.Steps[step].RequiredResources()):
			case e.job.Plan.Steps[step].Gang:
				p.placeGang(e, round, step)
			default:
				p.placeStep(e, round, step)
			}
		}
	}
}

// isUnsatisfiable reports whether a request for the same or fewer resources has
// already failed on every host.
func (p *schedulePass) isUnsatisfiable(resources tasks.Resources) bool {
	return slices.ContainsFunc(p.unsatisfiable, func(failed tasks.Resources) bool { return resources.CanFit(failed) })
}

// markUnsatisfiable records that no host has the resources free. That holds for
// the rest of the pass, since free capacity only shrinks while tasks are
// placed.
func (p *schedulePass) markUnsatisfiable(resources tasks.Resources) {
	if !slices.ContainsFunc(p.hosts, func(h *place.Host) bool { return h.Free.CanFit(resources) }) {
		p.unsatisfiable = append(p.unsatisfiable, resources)
	}
}

func (p *schedulePass) placeStep(e *jobEntry, round *tasks.Round, step int) {
	if round.Waiting(step) == 0 {
		return
	}
	reqs := p.cell.requirements(e, round, step, p.now)
	full := false
	for index := range round.Steps[step] {
		task := &round.Steps[step][index]
		if task.State != tasks.Waiting {
			continue
		}
		if p.cell.startQueueFull() {
			return
		}
		reqs := ofTask(reqs, e, task)
		if full && !reqs.Isolated {
			continue
		}
		switch p.heldBy(e, reqs, 1) {
		case heldByCap:
			p.quota.countWanted(e.job.Policy.Organisation, reqs, 1, round.Waiting(step), p.hosts)
			return
		case heldByShare:
			return
		}
		picked := p.pick(e, reqs)
		switch {
		case picked != nil:
			p.candidates.Place(picked, reqs)
			reqs.SiblingsByHost[picked.ID]++
			p.assign(e, round, step, index, picked)
		case !reqs.Isolated:
			// The host of an isolated task may still take it.
			full = true
			p.markUnsatisfiable(reqs.Step.RequiredResources())
		}
	}
}

// pick returns the host for a task of a job, or nil.
func (p *schedulePass) pick(e *jobEntry, reqs place.Requirements) *place.Host {
	picked := p.candidates.Pick(reqs)
	if picked != nil || reqs.Step.Room.CPU > 0 || p.cell.hasActiveTasks(e) {
		return picked
	}
	reqs.FirstOfJob = true
	return p.candidates.Pick(reqs)
}

// heldBy returns why a unit of tasks isn't started although hosts may have room, or "".
func (p *schedulePass) heldBy(e *jobEntry, reqs place.Requirements, unit int) string {
	switch {
	case p.fair.holdsBack(e):
		return heldByShare
	case !p.quota.mayStart(e.job.Policy.Organisation, reqs, unit):
		return heldByCap
	default:
		return ""
	}
}

// placeGang assigns all tasks of a gang to hosts, or none.
func (p *schedulePass) placeGang(e *jobEntry, round *tasks.Round, step int) {
	if round.Waiting(step) < len(round.Steps[step]) || p.cell.startQueueFull() {
		return
	}
	reqs := ofTask(p.cell.requirements(e, round, step, p.now), e, &round.Steps[step][0])
	switch unit := len(round.Steps[step]); p.heldBy(e, reqs, unit) {
	case heldByCap:
		p.quota.countWanted(e.job.Policy.Organisation, reqs, unit, 1, p.hosts)
		return
	case heldByShare:
		return
	}
	reqs = p.cell.withStartableMembers(reqs, len(round.Steps[step]))
	for index, h := range p.pickGang(reqs, len(round.Steps[step])) {
		p.candidates.Place(h, reqs)
		p.assign(e, round, step, index, h)
	}
}

func (p *schedulePass) assign(e *jobEntry, round *tasks.Round, step, index int, target *place.Host) {
	taskID := tasks.ID{Job: e.job.Key.ID, Round: round.Number, Step: step, Index: index}
	p.cell.assign(e, taskID, target, p.now)
	p.assigned++
	resources := e.job.Step(taskID).RequiredResources()
	p.quota.count(e.job.Policy.Organisation, resources)
	p.fair.count(e, resources, p.quota != nil)
	if len(p.cell.quotas.organisations()) > 0 {
		p.cell.options.Metrics.recordAssigned(e.job.Policy.Organisation)
	}
}

// requirements returns what all tasks of a step require.
func (c *Cell) requirements(e *jobEntry, round *tasks.Round, step int, now time.Time) place.Requirements {
	return place.Requirements{
		Step:           &e.job.Plan.Steps[step],
		SiblingsByHost: siblingsByHost(round, step),
		AllowedHosts:   c.allowedHosts(e, stepKey{round.Number, step}, now),
		Evidence:       c.interference.evidence,
		MayProbe:       c.mayProbe(e, &e.job.Plan.Steps[step]),
	}
}

// ofTask adds to the requirements of a step what one of its tasks requires after earlier
// runs. The counts by host stay those of the step.
func ofTask(reqs place.Requirements, e *jobEntry, task *tasks.Task) place.Requirements {
	reqs.AvoidHost = task.AvoidHost
	reqs.LastAttempt = task.Failures+1 >= e.job.Policy.MaxAttempts
	reqs.Isolated = reqs.Step.Isolates(task)
	return reqs
}

// siblingsByHost counts the active tasks of a step on each host.
func siblingsByHost(round *tasks.Round, step int) map[string]int {
	counts := make(map[string]int)
	for i := range round.Steps[step] {
		if task := &round.Steps[step][i]; task.Active() {
			counts[task.Host]++
		}
	}
	return counts
}

// pickGang returns a host for each member, or nil. A rack-bound gang goes to a
// single rack if one has the capacity.
func (p *schedulePass) pickGang(reqs place.Requirements, count int) []*place.Host {
	racks := []string{""}
	if reqs.Step.RackBound {
		racks = append(racksOf(p.hosts), "")
	}
	for _, rack := range racks {
		candidates := p.hosts
		if rack != "" {
			candidates = slices.DeleteFunc(slices.Clone(p.hosts), func(h *place.Host) bool { return h.Rack != rack })
		}
		if picked := place.PickAll(reqs, count, candidates); picked != nil {
			return picked
		}
	}
	return nil
}

func racksOf(hosts []*place.Host) []string {
	var racks []string
	for _, h := range hosts {
		if h.Rack != "" && !slices.Contains(racks, h.Rack) {
			racks = append(racks, h.Rack)
		}
	}
	return racks
}

// assign assigns a new run of a task to a host. The start command is sent once
// the assignment is persisted.
func (c *Cell) assign(e *jobEntry, taskID tasks.ID, target *place.Host, now time.Time) {
	h := c.hosts[target.ID]
	step := e.job.Step(taskID)
	if target.Slow {
		c.speeds.Probed(h.id, now)
	}
	e.job.Assign(taskID, h.id, h.incarnation, now)
	task := e.job.Task(taskID)
	r := &run{entry: e, id: taskID, number: task.Run, resources: step.RequiredResources(), share: pace.FullShare, resumed: task.Checkpoint != ""}
	r.recordTime, r.hostRestarts, r.assignedAt = h.recordTime(), h.restarts, now
	c.countPlaced(e, taskID.Round, now)
	h.runs[r.key()] = r
	c.plannedBytes += e.startSize()
	c.options.Metrics.TaskWaitSeconds.Update(now.Sub(e.job.DueTime(taskID.Round)).Seconds())
	c.logger.Info("run assigned", "job", taskID.Job, "round", taskID.Round, "step", taskID.Step, "index", taskID.Index, "run", r.number, "host", h.id, "born", task.HostIncarnation, "failed", task.Failures, "crashes", task.Crashes, "suspicion", target.RecentFailures, "slow", target.Slow, "serving", step.Serves())
	c.gapAssigned(e, taskID)
	c.markDirty(e, func() { c.queueStart(h, r) })
}
