package sched

import (
	"slices"
	"strings"
	"time"

	"rattanpath/place"
	"rattanpath/tasks"
)

const (
	// waitLogDelay is how long a serving task without a run waits for a host until that is
	// logged.
	waitLogDelay = time.Second
	// waitLogInterval is the time between two looks for waits to be logged, and maxWaitLines
	// limits the lines that one of them writes.
	waitLogInterval = time.Second
	maxWaitLines    = 10
)

// What a task may wait for besides the reasons in view.go.
const (
	waitsForWrite = "the store has rejected the records of the job"
	waitsInTurn   = "it is next in turn"
)

// gapWait is a serving task in a gap that waits for a host.
type gapWait struct {
	entry *jobEntry
	id    tasks.ID
	gap   *gap
}

// logWaits logs which serving tasks have waited for waitLogDelay, each once in a gap. It
// decides nothing. c.mu must be held.
func (c *Cell) logWaits(now time.Time) {
	clock := c.options.Clock()
	if clock-c.waitsLoggedAt < waitLogInterval {
		return
	}
	waits := c.dueWaits()
	if len(waits) == 0 {
		return
	}
	c.waitsLoggedAt = clock
	states := c.countHosts(now)
	p, _ := c.previewPass(waits[0].entry, now)
	for _, w := range waits {
		w.gap.waitLogged = true
		c.logWait(p, w, states)
	}
}

// dueWaits returns at most maxWaitLines tasks whose wait is to be logged.
func (c *Cell) dueWaits() []gapWait {
	var due []gapWait
	clock := c.options.Clock()
	for e := range c.open {
		for id, g := range e.gaps {
			if len(due) >= maxWaitLines {
				return due
			}
			if g.waitLogged || g.waitedBy(clock) <= waitLogDelay {
				continue
			}
			if task := e.job.Task(id); task != nil && task.State == tasks.Waiting {
				due = append(due, gapWait{entry: e, id: id, gap: g})
			}
		}
	}
	return due
}

// waitedBy returns how long a task that has no run now has waited for hosts in the gap.
func (g *gap) waitedBy(now time.Duration) time.Duration { return g.waited + now - g.changedAt }

// roundOf returns the round in progress that a task belongs to.
func roundOf(job *tasks.Job, id tasks.ID) *tasks.Round {
	return job.Rounds[slices.IndexFunc(job.Rounds, func(round *tasks.Round) bool { return round.Number == id.Round })]
}

// hostStates counts the hosts of a cell by obstacle, "" for those that can get runs.
type hostStates map[string]int

// countHosts counts a host that was retired as such even if it is silent as well.
func (c *Cell) countHosts(now time.Time) hostStates {
	states, clock := make(hostStates), c.options.Clock()
	for _, h := range c.hosts {
		if h.isRetired() {
			states[obstacleRetired]++
			continue
		}
		states[c.hostObstacle(h, now, clock)]++
	}
	return states
}

// logWait logs what a task waits for, with the hosts of the cell and, of the usable ones, those
// that can't run it because they are full or have siblings of it.
func (c *Cell) logWait(p *schedulePass, w gapWait, states hostStates) {
	e, id := w.entry, w.id
	round, task := roundOf(e.job, id), e.job.Task(id)
	reqs := ofTask(c.requirements(e, round, id.Step, p.now), e, task)
	ruledOut := make(map[place.Obstacle]int)
	for _, h := range p.hosts {
		ruledOut[place.FirstObstacle(reqs, h)]++
	}
	why := p.waitObstacle(w, reqs, round)
	c.options.Metrics.recordWait(why)
	c.logger.Info("serving task waits for a host", "job", id.Job, "round", id.Round, "step", id.Step, "index", id.Index, "run", task.Run,
		"lastHost", w.gap.lastHost, "why", why, "waited", w.gap.waitedBy(c.options.Clock()).Round(time.Millisecond), "attempts", w.gap.attempts,
		"hosts", len(c.hosts), "usable", states[""], "feasible", ruledOut[place.NoObstacle], "full", ruledOut[place.NoRoom], "siblings", ruledOut[place.TooManySiblings],
		"cordoned", states[obstacleCordoned], "draining", states[obstacleDraining], "silent", states[obstacleSilent], "unsynced", states[obstacleUnsynced],
		"retired", states[obstacleRetired], "unlisted", states[obstacleUnlisted], "refused", states[obstacleRefused], "stale", states[staleRecord])
}

// waitObstacle returns what a task waits for.
func (p *schedulePass) waitObstacle(w gapWait, reqs place.Requirements, round *tasks.Round) string {
	if w.entry.held {
		return waitsForWrite
	}
	unit := startUnit(reqs.Step, round.Steps[w.id.Step])
	why := p.previewStepStart(w.entry, reqs, unit, round.Waiting(w.id.Step), 0)
	if why == startNow {
		return waitsInTurn
	}
	return why
}

// obstacleLabel returns the metrics' label of what a task waits for. It leaves out labels of
// hosts and numbers of tasks, so that there are few.
func obstacleLabel(why string) string {
	for _, prefix := range []string{waitsForLabel, waitsForGang} {
		if strings.HasPrefix(why, prefix) {
			return strings.TrimSpace(prefix)
		}
	}
	return why
}
