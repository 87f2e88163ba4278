package cell

import (
	"slices"
	"time"

	"rattanpath/pace"
	"rattanpath/place"
	"rattanpath/tasks"
)

// schedulePass is one look at what waits and what is free.
type schedulePass struct {
	cell  *Cell
	hosts []*place.Host
	now   time.Time
	// unavailable are rooms that no host has free.
	unavailable []tasks.Room
}

// placeJob gives the waiting tasks of one job to hosts.
func (p *schedulePass) placeJob(e *jobEntry) {
	for _, round := range e.job.Rounds {
		for step := range round.Steps {
			if e.job.Policy.Advice != nil && e.job.Soon(round, step) {
				p.cell.requestAdvice(e, round, step, p.hosts, p.now)
			}
			switch {
			case !e.job.Ready(round, step) || p.isUnavailable(e.job.Plan.Steps[step].Occupies()):
			case e.job.Plan.Steps[step].Gang:
				p.placeGang(e, round, step)
			default:
				p.placeStep(e, round, step)
			}
		}
	}
}

// isUnavailable reports whether it is known that no host has so much room.
func (p *schedulePass) isUnavailable(room tasks.Room) bool {
	return slices.ContainsFunc(p.unavailable, func(full tasks.Room) bool { return room.Fits(full) })
}

// markUnavailable notes that a room was not found, if no host has it free: rooms only
// shrink while tasks are placed.
func (p *schedulePass) markUnavailable(room tasks.Room) {
	if !slices.ContainsFunc(p.hosts, func(h *place.Host) bool { return h.Free.Fits(room) }) {
		p.unavailable = append(p.unavailable, room)
	}
}

func (p *schedulePass) placeStep(e *jobEntry, round *tasks.Round, step int) {
	if round.Waiting(step) == 0 {
		return
	}
	need := p.cell.taskNeed(e, round, step, p.now)
	for index := range round.Steps[step] {
		task := &round.Steps[step][index]
		if task.State != tasks.Waiting {
			continue
		}
		need.Avoid, need.Careful = retryConstraints(e, task)
		picked := place.Pick(need, p.hosts)
		if picked == nil {
			p.markUnavailable(need.Step.Occupies())
			return
		}
		p.assign(e, round, step, index, picked)
		need.Beside[picked.ID]++
	}
}

// placeGang gives all tasks of a gang to hosts, or none.
func (p *schedulePass) placeGang(e *jobEntry, round *tasks.Round, step int) {
	if round.Waiting(step) < len(round.Steps[step]) {
		return
	}
	for index, h := range p.pickGang(e, round, step) {
		p.assign(e, round, step, index, h)
	}
}

func (p *schedulePass) assign(e *jobEntry, round *tasks.Round, step, index int, to *place.Host) {
	name := tasks.Name{Job: e.job.Key.ID, Round: round.Number, Step: step, Index: index}
	p.cell.assign(e, name, to, p.now)
}

// taskNeed returns what the first task of a step needs of its host; the others differ
// in their caution.
func (c *Cell) taskNeed(e *jobEntry, round *tasks.Round, step int, now time.Time) place.Need {
	need := place.Need{
		Step:   &e.job.Plan.Steps[step],
		Beside: tasksPerHost(round, step),
		Only:   c.allowedHosts(e, stepKey{round.Number, step}, now),
	}
	need.Avoid, need.Careful = retryConstraints(e, &round.Steps[step][0])
	return need
}

// retryConstraints returns the host on which a task failed, and whether it can't afford
// another failure.
func retryConstraints(e *jobEntry, task *tasks.Task) (avoid string, careful bool) {
	return task.Avoid, task.Failed+1 >= e.job.Policy.MaxAttempts
}

// tasksPerHost counts the tasks of a step on each host.
func tasksPerHost(round *tasks.Round, step int) map[string]int {
	counts := make(map[string]int)
	for i := range round.Steps[step] {
		if task := &round.Steps[step][i]; task.Active() {
			counts[task.Host]++
		}
	}
	return counts
}

// pickGang returns a host for each member, or none. A gang that is slow when
// spread goes to one rack if any has room for it.
func (p *schedulePass) pickGang(e *jobEntry, round *tasks.Round, step int) []*place.Host {
	racks := []string{""}
	if e.job.Plan.Steps[step].RackBound {
		racks = append(racksOf(p.hosts), "")
	}
	for _, rack := range racks {
		within := p.hosts
		if rack != "" {
			within = slices.DeleteFunc(slices.Clone(p.hosts), func(h *place.Host) bool { return h.Rack != rack })
		}
		if picked := pickAll(p.cell.taskNeed(e, round, step, p.now), len(round.Steps[step]), within); picked != nil {
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

// pickAll returns a host for each of count equal tasks, or none. The hosts'
// free room is as before when it returns.
func pickAll(need place.Need, count int, hosts []*place.Host) []*place.Host {
	var picked []*place.Host
	defer func() {
		for _, h := range picked {
			h.Free = h.Free.Add(need.Step.Occupies())
		}
	}()
	for range count {
		h := place.Pick(need, hosts)
		if h == nil {
			return nil
		}
		h.Free = h.Free.Sub(need.Step.Occupies())
		need.Beside[h.ID]++
		picked = append(picked, h)
	}
	return picked
}

// assign gives a run of a task to a host. The start is sent once it is written.
func (c *Cell) assign(e *jobEntry, name tasks.Name, to *place.Host, now time.Time) {
	h := c.hosts[to.ID]
	step := e.job.Step(name)
	to.Free = to.Free.Sub(step.Occupies())
	switch {
	case step.Fills:
		to.Filling++
	case step.Lasting:
		to.Serving++
	}
	e.job.Assign(name, h.id, h.incarnation, now)
	task := e.job.Task(name)
	r := &run{entry: e, name: name, number: task.Run, resources: step.Occupies(), share: pace.Full}
	h.runs[name] = r
	c.options.Metrics.TaskWait.Update(now.Sub(e.job.Due(name.Round)).Seconds())
	c.logger.Info("run assigned", "job", name.Job, "round", name.Round, "step", name.Step, "index", name.Index, "run", r.number, "host", h.id, "failed", task.Failed, "suspicion", to.Suspicion)
	c.markDirty(e, func() { c.sendStart(h, r) })
}
