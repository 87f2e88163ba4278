package cell

import (
	"slices"
	"time"

	"rattanpath/pace"
	"rattanpath/place"
	"rattanpath/tasks"
)

// schedulePass assigns waiting tasks to the hosts with free capacity.
type schedulePass struct {
	cell  *Cell
	hosts []*place.Host
	now   time.Time
	// unavailable holds resource requests that no host can satisfy in this pass.
	unavailable []tasks.Room
}

// placeJob assigns the waiting tasks of a job to hosts.
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

// isUnavailable reports whether a request of at most these resources has
// already failed on every host.
func (p *schedulePass) isUnavailable(room tasks.Room) bool {
	return slices.ContainsFunc(p.unavailable, func(full tasks.Room) bool { return room.Fits(full) })
}

// markUnavailable records that no host has the resources free. That holds for
// the rest of the pass, since free capacity only shrinks while tasks are
// placed.
func (p *schedulePass) markUnavailable(room tasks.Room) {
	if !slices.ContainsFunc(p.hosts, func(h *place.Host) bool { return h.Free.Fits(room) }) {
		p.unavailable = append(p.unavailable, room)
	}
}

func (p *schedulePass) placeStep(e *jobEntry, round *tasks.Round, step int) {
	if round.Waiting(step) == 0 {
		return
	}
	need := p.cell.requirements(e, round, step, p.now)
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

// placeGang assigns all tasks of a gang to hosts, or none.
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

// requirements returns the requirements of the first task of a step. The other
// tasks differ in their retry constraints only.
func (c *Cell) requirements(e *jobEntry, round *tasks.Round, step int, now time.Time) place.Need {
	need := place.Need{
		Step:   &e.job.Plan.Steps[step],
		Beside: siblingsByHost(round, step),
		Only:   c.allowedHosts(e, stepKey{round.Number, step}, now),
	}
	need.Avoid, need.Careful = retryConstraints(e, &round.Steps[step][0])
	return need
}

// retryConstraints returns the host on which a task failed, and whether the
// next attempt is the last.
func retryConstraints(e *jobEntry, task *tasks.Task) (avoid string, careful bool) {
	return task.Avoid, task.Failed+1 >= e.job.Policy.MaxAttempts
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
		if picked := pickAll(p.cell.requirements(e, round, step, p.now), len(round.Steps[step]), within); picked != nil {
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

// pickAll returns hosts for count equal tasks, or nil. It leaves the hosts'
// free capacity unchanged.
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

// assign assigns a new run of a task to a host. The start command is sent once
// the assignment is persisted.
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
