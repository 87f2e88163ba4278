package sched

import (
	"slices"
	"time"

	"rattanpath/place"
	"rattanpath/tasks"
)

// unplacedServing returns the number of ready serving tasks that no host can take at present,
// whatever advisors and caps allow.
func (c *Cell) unplacedServing(now time.Time) int {
	var hosts []*place.Host
	count := 0
	for e := range c.open {
		for _, round := range e.job.Rounds {
			for step := range round.Steps {
				if !isWaitingServing(e.job, round, step) {
					continue
				}
				if hosts == nil {
					hosts, _ = c.usableHosts(now)
				}
				count += c.unplacedOfStep(e, round, step, hosts, now)
			}
		}
	}
	return count
}

// isWaitingServing reports whether a step has serving tasks that are ready and wait.
func isWaitingServing(job *tasks.Job, round *tasks.Round, step int) bool {
	spec := &job.Plan.Steps[step]
	return spec.Lasting && !spec.Fills && round.Waiting(step) > 0 && job.DependenciesDone(round, step)
}

// unplacedOfStep returns the number of waiting tasks of a step that none of the hosts can take.
func (c *Cell) unplacedOfStep(e *jobEntry, round *tasks.Round, step int, hosts []*place.Host, now time.Time) int {
	count := 0
	reqs := c.requirements(e, round, step, now)
	reqs.AllowedHosts = nil
	for index := range round.Steps[step] {
		task := &round.Steps[step][index]
		if task.State != tasks.Waiting {
			continue
		}
		reqs := ofTask(reqs, e, task)
		if !slices.ContainsFunc(hosts, func(h *place.Host) bool { return place.Feasible(reqs, h) }) {
			count++
		}
	}
	return count
}
