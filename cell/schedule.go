package cell

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rattanpath/core"
	"rattanpath/place"
	"rattanpath/tasks"
)

// schedulePauseFactor is how many times as long as a look at what waits the cell then does
// other things: with more work than room, looks could take all of a node's time.
const schedulePauseFactor = 1

// loopSchedule gives tasks to hosts whenever something has changed.
func (c *Cell) loopSchedule(ctx context.Context) {
	for {
		select {
		case <-c.scheduleWake:
		case <-ctx.Done():
			return
		}
		begun := time.Now()
		c.mu.Lock()
		c.schedule(begun)
		c.mu.Unlock()
		if core.Sleep(ctx, schedulePauseFactor*time.Since(begun)) != nil {
			return
		}
	}
}

// schedule begins due rounds and gives the tasks that wait to hosts. It is called
// with the lock held.
func (c *Cell) schedule(now time.Time) {
	if c.storeUnavailable() || c.isLost() {
		return
	}
	waiting := c.pendingJobs(now)
	if len(waiting) == 0 {
		return
	}
	p := &schedulePass{cell: c, hosts: c.candidates(now), now: now}
	for _, w := range waiting {
		p.placeJob(w.entry)
	}
}

// pendingJob is a job with tasks to start.
type pendingJob struct {
	entry   *jobEntry
	urgency place.Urgency
}

// pendingJobs returns the jobs with tasks to start, the most urgent first.
func (c *Cell) pendingJobs(now time.Time) []pendingJob {
	var waiting []pendingJob
	for e := range c.open {
		if !e.definitionWritten && !e.dirty {
			continue
		}
		e.job.Advance(now)
		if now.Before(e.retryAfter) || e.job.Policy.Advice == nil && !hasStartableTask(e.job) {
			continue
		}
		waiting = append(waiting, pendingJob{entry: e, urgency: c.urgency(e, now)})
	}
	slices.SortFunc(waiting, func(a, b pendingJob) int {
		switch {
		case a.urgency.Before(b.urgency):
			return -1
		case b.urgency.Before(a.urgency):
			return 1
		default:
			return a.entry.job.Accepted.Compare(b.entry.job.Accepted)
		}
	})
	return waiting
}

func hasStartableTask(job *tasks.Job) bool {
	for _, round := range job.Rounds {
		for step := range round.Steps {
			if job.Ready(round, step) && round.Waiting(step) > 0 {
				return true
			}
		}
	}
	return false
}

// urgency returns the order of a job among others.
func (c *Cell) urgency(e *jobEntry, now time.Time) place.Urgency {
	begun := e.job.Accepted
	if len(e.job.Rounds) > 0 {
		begun = e.job.Due(e.job.Rounds[0].Number)
	}
	whole, left := e.job.Chain()
	objective := time.Duration(e.job.Policy.Stretch*float64(whole)) + e.job.Policy.Target
	due := begun.Add(objective - left)
	// A job that is late by less than this may have been guessed too long.
	slack := time.Duration(latenessFraction * float64(whole))
	late := !e.job.Lasting() && now.After(due.Add(slack)) && now.Before(begun.Add(maxLateTime))
	return place.Urgency{Priority: e.job.Policy.Priority, Late: late, Due: due}
}

const (
	// latenessFraction is the part of a job's chain by which it must be late to go behind
	// others.
	latenessFraction = 0.5
	// maxLateTime is the time after which a late job goes before others again, so
	// that it ends at all.
	maxLateTime = 15 * time.Second
)

// candidates returns the hosts that may get runs now.
func (c *Cell) candidates(now time.Time) []*place.Host {
	var hosts []*place.Host
	for _, h := range c.hosts {
		if !h.usable() || now.Before(h.backoffUntil) || now.Before(h.cordonedUntil) {
			continue
		}
		candidate := &place.Host{
			ID:        h.id,
			Rack:      h.info.Rack(),
			Labels:    h.info.Labels,
			Room:      h.info.Room,
			Free:      h.info.Room.Sub(h.used()),
			Suspicion: h.history.recentFailures(now),
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
