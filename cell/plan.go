package cell

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rattanpath/pace"
	"rattanpath/place"
	"rattanpath/tasks"
)

// loopPlace gives tasks to hosts whenever something has changed.
func (c *Cell) loopPlace(ctx context.Context) {
	for {
		select {
		case <-c.placeKick:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		c.place(time.Now())
		c.mu.Unlock()
	}
}

// place begins due rounds and gives the tasks that wait to hosts. It is called
// with the lock held.
func (c *Cell) place(now time.Time) {
	if c.storeAway() || c.isLost() {
		return
	}
	waiting := c.waiting(now)
	if len(waiting) == 0 {
		return
	}
	hosts := c.candidates(now)
	for _, e := range waiting {
		c.placeJob(e, hosts, now)
	}
}

// waiting returns the jobs with tasks to start, the most urgent first.
func (c *Cell) waiting(now time.Time) []*entry {
	var waiting []*entry
	for e := range c.open {
		if !e.defined && !e.dirty {
			continue
		}
		e.job.Advance(now)
		if now.Before(e.notBefore) || e.job.Policy.Advice == nil && !hasReady(e.job) {
			continue
		}
		waiting = append(waiting, e)
	}
	urgencies := make(map[*entry]place.Urgency, len(waiting))
	for _, e := range waiting {
		urgencies[e] = c.urgency(e, now)
	}
	slices.SortFunc(waiting, func(a, b *entry) int {
		ua, ub := urgencies[a], urgencies[b]
		switch {
		case ua.Before(ub):
			return -1
		case ub.Before(ua):
			return 1
		default:
			return a.job.Accepted.Compare(b.job.Accepted)
		}
	})
	return waiting
}

func hasReady(job *tasks.Job) bool {
	for _, round := range job.Rounds {
		for step := range round.Steps {
			if !job.Ready(round, step) {
				continue
			}
			for i := range round.Steps[step] {
				if round.Steps[step][i].State == tasks.Waiting {
					return true
				}
			}
		}
	}
	return false
}

// urgency returns the order of a job among others.
func (c *Cell) urgency(e *entry, now time.Time) place.Urgency {
	begun := e.job.Accepted
	if len(e.job.Rounds) > 0 {
		begun = e.job.Due(e.job.Rounds[0].Number)
	}
	whole, left := e.job.Chain()
	objective := time.Duration(e.job.Policy.Stretch*float64(whole)) + e.job.Policy.Target
	due := begun.Add(objective - left)
	// A job that is late by less than this may have been guessed too long.
	slack := time.Duration(lateShare * float64(whole))
	late := !e.job.Lasting() && now.After(due.Add(slack)) && now.Before(begun.Add(lateAtMost))
	return place.Urgency{Priority: e.job.Policy.Priority, Late: late, Due: due}
}

const (
	// lateShare is the part of a job's chain by which it must be late to go behind
	// others.
	lateShare = 0.5
	// lateAtMost is the time after which a late job goes before others again, so
	// that it ends at all.
	lateAtMost = 15 * time.Second
)

// candidates returns the hosts that may get runs now.
func (c *Cell) candidates(now time.Time) []*place.Host {
	var hosts []*place.Host
	for _, h := range c.hosts {
		if !h.usable() || now.Before(h.sickUntil) || now.Before(h.cordonedUntil) {
			continue
		}
		candidate := &place.Host{
			ID:        h.id,
			Rack:      h.info.Rack(),
			Labels:    h.info.Labels,
			Room:      h.info.Room,
			Free:      h.info.Room.Sub(h.used()),
			Suspicion: h.record.suspicion(now),
		}
		for _, r := range h.runs {
			if r.entry == nil {
				continue
			}
			step := r.entry.job.Step(r.name)
			if step.Fills {
				candidate.Filling++
			} else if step.Lasting {
				candidate.Serving++
			}
		}
		hosts = append(hosts, candidate)
	}
	slices.SortFunc(hosts, func(a, b *place.Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

// placeJob gives the waiting tasks of one job to hosts.
func (c *Cell) placeJob(e *entry, hosts []*place.Host, now time.Time) {
	for _, round := range e.job.Rounds {
		for step := range round.Steps {
			if e.job.Policy.Advice != nil && e.job.Soon(round, step) {
				c.seekAdvice(e, round, step, hosts, now)
			}
			if !e.job.Ready(round, step) {
				continue
			}
			if e.job.Plan.Steps[step].Gang {
				c.placeGang(e, round, step, hosts, now)
				continue
			}
			c.placeStep(e, round, step, hosts, now)
		}
	}
}

// need returns what a task needs of its host.
func (c *Cell) need(e *entry, round *tasks.Round, step, index int) place.Need {
	task := &round.Steps[step][index]
	return place.Need{
		Step:    &e.job.Plan.Steps[step],
		Avoid:   task.Avoid,
		Careful: task.Failed+1 >= e.job.Policy.MaxAttempts,
		Beside:  beside(round, step),
		Only:    c.permitted(e, stepKey{round.Number, step}, time.Now()),
	}
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

func (c *Cell) placeStep(e *entry, round *tasks.Round, step int, hosts []*place.Host, now time.Time) {
	for index := range round.Steps[step] {
		if round.Steps[step][index].State != tasks.Waiting {
			continue
		}
		picked := place.Pick(c.need(e, round, step, index), hosts)
		if picked == nil {
			return
		}
		name := tasks.Name{Job: e.job.Key.ID, Round: round.Number, Step: step, Index: index}
		c.assign(e, name, picked, now)
	}
}

// placeGang gives all tasks of a gang to hosts, or none.
func (c *Cell) placeGang(e *entry, round *tasks.Round, step int, hosts []*place.Host, now time.Time) {
	for i := range round.Steps[step] {
		if round.Steps[step][i].State != tasks.Waiting {
			return
		}
	}
	picked := pickGang(c, e, round, step, hosts)
	for index, h := range picked {
		name := tasks.Name{Job: e.job.Key.ID, Round: round.Number, Step: step, Index: index}
		c.assign(e, name, h, now)
	}
}

// pickGang returns a host for each member, or none. A gang that is slow when
// spread goes to one rack if any has room for it.
func pickGang(c *Cell, e *entry, round *tasks.Round, step int, hosts []*place.Host) []*place.Host {
	count := len(round.Steps[step])
	racks := []string{""}
	if e.job.Plan.Steps[step].RackBound {
		racks = append(racksOf(hosts), "")
	}
	for _, rack := range racks {
		within := hosts
		if rack != "" {
			within = slices.DeleteFunc(slices.Clone(hosts), func(h *place.Host) bool { return h.Rack != rack })
		}
		if picked := pickAll(c.need(e, round, step, 0), count, within); picked != nil {
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
func (c *Cell) assign(e *entry, name tasks.Name, to *place.Host, now time.Time) {
	h := c.hosts[to.ID]
	step := e.job.Step(name)
	to.Free = to.Free.Sub(step.Occupies())
	switch {
	case step.Fills:
		to.Filling++
	case step.Lasting:
		to.Serving++
	}
	e.job.Assign(name, h.id, h.born, now)
	task := e.job.Task(name)
	r := &run{entry: e, name: name, number: task.Run, room: step.Occupies(), share: pace.Full}
	h.runs[name] = r
	c.options.Meters.Waited.Update(now.Sub(e.job.Due(name.Round)).Seconds())
	c.logger.Info("run assigned", "job", name.Job, "round", name.Round, "step", name.Step, "index", name.Index, "run", r.number, "host", h.id, "failed", task.Failed, "suspicion", to.Suspicion)
	c.touch(e, func() { c.sendStart(h, r) })
}
