package sched

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rattanpath/core"
	"rattanpath/place"
	"rattanpath/tasks"
)

// schedulePauseFactor is the pause after a scheduling pass as a multiple of its
// duration. Without it, passes could use all of a node's CPU time while
// more tasks wait than the hosts have capacity for.
const schedulePauseFactor = 1

// loopSchedule runs a scheduling pass whenever something has changed.
func (c *Cell) loopSchedule(ctx context.Context) {
	for {
		select {
		case <-c.scheduleWake:
		case <-ctx.Done():
			return
		}
		start := time.Now()
		c.mu.Lock()
		c.schedule(start)
		c.mu.Unlock()
		if core.Sleep(ctx, schedulePauseFactor*time.Since(start)) != nil {
			return
		}
	}
}

// schedule starts due rounds and assigns waiting tasks to hosts. c.mu must be
// held.
func (c *Cell) schedule(now time.Time) {
	if c.storeUnavailable() || c.isLost() {
		return
	}
	toPlace := c.jobsToPlace(now)
	if len(toPlace) == 0 {
		return
	}
	p := &schedulePass{cell: c, hosts: c.candidates(now), now: now}
	for _, j := range toPlace {
		p.placeJob(j.entry)
	}
}

// jobToPlace is a job with tasks to start.
type jobToPlace struct {
	entry   *jobEntry
	urgency place.Urgency
}

// jobsToPlace returns the jobs with tasks to start, in the order of their
// urgency.
func (c *Cell) jobsToPlace(now time.Time) []jobToPlace {
	var toPlace []jobToPlace
	for e := range c.open {
		if !e.definitionWritten && !e.dirty {
			continue
		}
		e.job.StartDueRounds(now)
		if now.Before(e.retryAfter) || e.job.Policy.Advice == nil && !hasStartableTask(e.job) {
			continue
		}
		toPlace = append(toPlace, jobToPlace{entry: e, urgency: c.urgency(e, now)})
	}
	slices.SortFunc(toPlace, func(a, b jobToPlace) int {
		switch {
		case a.urgency.Before(b.urgency):
			return -1
		case b.urgency.Before(a.urgency):
			return 1
		default:
			return a.entry.job.Accepted.Compare(b.entry.job.Accepted)
		}
	})
	return toPlace
}

func hasStartableTask(job *tasks.Job) bool {
	for _, round := range job.Rounds {
		for step := range round.Steps {
			if job.DependenciesDone(round, step) && round.Waiting(step) > 0 {
				return true
			}
		}
	}
	return false
}

// urgency returns the scheduling priority of a job.
func (c *Cell) urgency(e *jobEntry, now time.Time) place.Urgency {
	start := e.job.Accepted
	if len(e.job.Rounds) > 0 {
		start = e.job.DueTime(e.job.Rounds[0].Number)
	}
	total, remaining := e.job.CriticalPath()
	objective := time.Duration(e.job.Policy.Stretch*float64(total)) + e.job.Policy.Target
	latestStart := start.Add(objective - remaining)
	// A job that is late by less than this may have had too long an estimate.
	slack := time.Duration(latenessFraction * float64(total))
	late := !e.job.LongRunning() && now.After(latestStart.Add(slack)) && now.Before(start.Add(maxLateTime))
	return place.Urgency{Priority: e.job.Policy.Priority, Late: late, LatestStart: latestStart}
}

const (
	// latenessFraction is the fraction of the job's critical path by which it
	// must be late before other jobs go first.
	latenessFraction = 0.5
	// maxLateTime is the time after which a late job no longer yields to others,
	// so that it completes eventually.
	maxLateTime = 15 * time.Second
)

// candidates returns the hosts to which runs can be assigned now, ordered by
// ID.
func (c *Cell) candidates(now time.Time) []*place.Host {
	var hosts []*place.Host
	for _, h := range c.hosts {
		if !h.usable() || now.Before(h.backoffUntil) || now.Before(h.cordonedUntil) {
			continue
		}
		candidate := &place.Host{
			ID:             h.id,
			Rack:           h.info.Rack(),
			Labels:         h.info.Labels,
			Capacity:       h.info.Capacity,
			Free:           h.info.Capacity.Sub(h.used()),
			RecentFailures: h.history.recentFailures(now),
		}
		for _, r := range h.runs {
			if r.entry == nil {
				continue
			}
			step := r.entry.job.Step(r.id)
			if step.Fills {
				candidate.BestEffortTasks++
			} else if step.Lasting {
				candidate.ServingTasks++
			}
		}
		hosts = append(hosts, candidate)
	}
	slices.SortFunc(hosts, func(a, b *place.Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}
