package sched

import (
	"time"

	"rattanpath/place"
	"rattanpath/tasks"
)

// maxHostSearches limits the searches of one nextHosts over all hosts, so that an owner whose
// serving tasks have all lost their hosts keeps its processor time for starting them.
const maxHostSearches = 50

// nextHosts finds hosts for serving tasks that are to be stopped. It reserves room for those that it
// has found a host for, after those that are without a run already.
type nextHosts struct {
	cell   *Cell
	now    time.Time
	loaded bool
	// hosts are the usable hosts, once they are needed.
	hosts      []*place.Host
	hostsKnown bool
	steps      map[stepOfJob]*stepToPlace
	searches   int
	// unplaced is the number of tasks for which no host was found.
	unplaced int
}

// stepOfJob identifies a step of a round of a job.
type stepOfJob struct {
	entry *jobEntry
	stepKey
}

// stepToPlace is what the tasks of a step require.
type stepToPlace struct {
	requirements place.Requirements
	// full means that no host can take another task, unless it needs isolation.
	full bool
}

// newNextHosts returns a nextHosts that is valid while c.mu is held.
func (c *Cell) newNextHosts(now time.Time) *nextHosts {
	return &nextHosts{cell: c, now: now, steps: make(map[stepOfJob]*stepToPlace)}
}

// reserve reports whether another host can take the task of a run now, and reserves room there.
func (n *nextHosts) reserve(r *run) bool {
	n.load()
	return n.reserveTask(r.entry, r.id)
}

// unplacedCount returns the number of tasks, of those that are without a run or that reserve was
// called for, that no host can take.
func (n *nextHosts) unplacedCount() int {
	n.load()
	return n.unplaced
}

// load reserves room for the serving tasks that are waiting or being stopped.
func (n *nextHosts) load() {
	if n.loaded {
		return
	}
	n.loaded = true
	for e := range n.cell.open {
		for _, round := range e.job.Rounds {
			for step := range round.Steps {
				if isWaitingServing(e.job, round, step) {
					n.reserveWaiting(e, round, step)
				}
			}
		}
	}
	for _, h := range n.cell.hosts {
		for _, r := range h.runs {
			if r.stopping && n.cell.isNeeded(r) {
				n.reserveTask(r.entry, r.id)
			}
		}
	}
}

// reserveWaiting reserves room for the waiting tasks of a step.
func (n *nextHosts) reserveWaiting(e *jobEntry, round *tasks.Round, step int) {
	for index := range round.Steps[step] {
		if round.Steps[step][index].State == tasks.Waiting {
			n.reserveTask(e, tasks.ID{Job: e.job.Key.ID, Round: round.Number, Step: step, Index: index})
		}
	}
}

// reserveTask reserves room for a task on a host that can take it, and reports whether there is one.
// Beyond maxHostSearches there may be one: an owner that has so much to look for holds nothing up.
func (n *nextHosts) reserveTask(e *jobEntry, taskID tasks.ID) bool {
	task := e.job.Task(taskID)
	if task == nil {
		return false
	}
	if n.searches >= maxHostSearches {
		return true
	}
	step := n.step(e, taskID)
	reqs := ofTask(step.requirements, e, task)
	var picked *place.Host
	if !step.full || reqs.Isolated {
		n.searches++
		picked = place.Pick(reqs, n.usableHosts())
	}
	if picked == nil {
		step.full = step.full || !reqs.Isolated
		n.unplaced++
		return false
	}
	picked.Place(reqs)
	reqs.SiblingsByHost[picked.ID]++
	return true
}

// usableHosts returns the usable hosts, less the room that is reserved.
func (n *nextHosts) usableHosts() []*place.Host {
	if !n.hostsKnown {
		n.hosts, _ = n.cell.usableHosts(n.now)
		n.hostsKnown = true
	}
	return n.hosts
}

// step returns what the tasks of a task's step require, whatever advisors allow. Its count of
// siblings includes those that room is reserved for.
func (n *nextHosts) step(e *jobEntry, taskID tasks.ID) *stepToPlace {
	key := stepOfJob{e, stepKey{taskID.Round, taskID.Step}}
	step := n.steps[key]
	if step != nil {
		return step
	}
	step = &stepToPlace{}
	for _, round := range e.job.Rounds {
		if round.Number == taskID.Round {
			step.requirements = n.cell.requirements(e, round, taskID.Step, n.now)
		}
	}
	step.requirements.AllowedHosts = nil
	n.steps[key] = step
	return step
}
