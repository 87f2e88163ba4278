package cell

import (
	"slices"
	"time"

	"rattanpath/pace"
	"rattanpath/place"
	"rattanpath/tasks"
)

// placing is one look at what waits and what is free.
type placing struct {
	cell  *Cell
	hosts []*place.Host
	now   time.Time
	// full are rooms that no host has free.
	full []tasks.Resources
}

// placeJob gives the waiting tasks of one job to hosts.
func (p *placing) placeJob(e *entry) {
	for _, round := range e.job.Rounds {
		for step := range round.Steps {
			if e.job.Policy.Advice != nil && e.job.DependenciesStarted(round, step) {
				p.cell.seekAdvice(e, round, step, p.hosts, p.now)
			}
			switch {
			case !e.job.DependenciesDone(round, step) || p.isFull(e.job.Plan.Steps[step].RequiredResources()):
			case e.job.Plan.Steps[step].Gang:
				p.placeGang(e, round, step)
			default:
				p.placeStep(e, round, step)
			}
		}
	}
}

// isFull reports whether it is known that no host has so much room.
func (p *placing) isFull(room tasks.Resources) bool {
	return slices.ContainsFunc(p.full, func(full tasks.Resources) bool { return room.CanFit(full) })
}

// noteFull notes that a room was not found, if no host has it free: rooms only
// shrink while tasks are placed.
func (p *placing) noteFull(room tasks.Resources) {
	if !slices.ContainsFunc(p.hosts, func(h *place.Host) bool { return h.Free.CanFit(room) }) {
		p.full = append(p.full, room)
	}
}

func (p *placing) placeStep(e *entry, round *tasks.Round, step int) {
	if round.Waiting(step) == 0 {
		return
	}
	need := p.cell.need(e, round, step, p.now)
	for index := range round.Steps[step] {
		task := &round.Steps[step][index]
		if task.State != tasks.Waiting {
			continue
		}
		need.AvoidHost, need.LastAttempt = caution(e, task)
		picked := place.Pick(need, p.hosts)
		if picked == nil {
			p.noteFull(need.Step.RequiredResources())
			return
		}
		p.assign(e, round, step, index, picked)
		need.SiblingsByHost[picked.ID]++
	}
}

// placeGang gives all tasks of a gang to hosts, or none.
func (p *placing) placeGang(e *entry, round *tasks.Round, step int) {
	if round.Waiting(step) < len(round.Steps[step]) {
		return
	}
	for index, h := range p.pickGang(e, round, step) {
		p.assign(e, round, step, index, h)
	}
}

func (p *placing) assign(e *entry, round *tasks.Round, step, index int, to *place.Host) {
	name := tasks.ID{Job: e.job.Key.ID, Round: round.Number, Step: step, Index: index}
	p.cell.assign(e, name, to, p.now)
}

// need returns what the first task of a step needs of its host; the others differ
// in their caution.
func (c *Cell) need(e *entry, round *tasks.Round, step int, now time.Time) place.Requirements {
	need := place.Requirements{
		Step:           &e.job.Plan.Steps[step],
		SiblingsByHost: beside(round, step),
		AllowedHosts:   c.permitted(e, stepKey{round.Number, step}, now),
	}
	need.AvoidHost, need.LastAttempt = caution(e, &round.Steps[step][0])
	return need
}

// caution returns the host on which a task failed, and whether it can't afford
// another failure.
func caution(e *entry, task *tasks.Task) (avoid string, careful bool) {
	return task.AvoidHost, task.Failures+1 >= e.job.Policy.MaxAttempts
}

// beside counts the tasks of a step on each host.
func beside(round *tasks.Round, step int) map[string]int {
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
func (p *placing) pickGang(e *entry, round *tasks.Round, step int) []*place.Host {
	racks := []string{""}
	if e.job.Plan.Steps[step].RackBound {
		racks = append(racksOf(p.hosts), "")
	}
	for _, rack := range racks {
		within := p.hosts
		if rack != "" {
			within = slices.DeleteFunc(slices.Clone(p.hosts), func(h *place.Host) bool { return h.Rack != rack })
		}
		if picked := pickAll(p.cell.need(e, round, step, p.now), len(round.Steps[step]), within); picked != nil {
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
func pickAll(need place.Requirements, count int, hosts []*place.Host) []*place.Host {
	var picked []*place.Host
	defer func() {
		for _, h := range picked {
			h.Free = h.Free.Add(need.Step.RequiredResources())
		}
	}()
	for range count {
		h := place.Pick(need, hosts)
		if h == nil {
			return nil
		}
		h.Free = h.Free.Sub(need.Step.RequiredResources())
		need.SiblingsByHost[h.ID]++
		picked = append(picked, h)
	}
	return picked
}

// assign gives a run of a task to a host. The start is sent once it is written.
func (c *Cell) assign(e *entry, name tasks.ID, to *place.Host, now time.Time) {
	h := c.hosts[to.ID]
	step := e.job.Step(name)
	to.Free = to.Free.Sub(step.RequiredResources())
	switch {
	case step.Fills:
		to.BestEffortTasks++
	case step.Lasting:
		to.ServingTasks++
	}
	e.job.Assign(name, h.id, h.born, now)
	task := e.job.Task(name)
	r := &run{entry: e, name: name, number: task.Run, room: step.RequiredResources(), share: pace.FullShare}
	h.runs[name] = r
	c.options.Meters.Waited.Update(now.Sub(e.job.DueTime(name.Round)).Seconds())
	c.logger.Info("run assigned", "job", name.Job, "round", name.Round, "step", name.Step, "index", name.Index, "run", r.number, "host", h.id, "failed", task.Failures, "suspicion", to.RecentFailures)
	c.touch(e, func() { c.sendStart(h, r) })
}
