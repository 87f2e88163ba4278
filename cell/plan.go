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

// placeShare is how many times as long as a look at what waits the cell then does
// other things: with more work than room, looks could take all of a node's time.
const placeShare = 1

// loopPlace gives tasks to hosts whenever something has changed.
func (c *Cell) loopPlace(ctx context.Context) {
	for {
		select {
		case <-c.placeKick:
		case <-ctx.Done():
			return
		}
		begun := time.Now()
		c.mu.Lock()
		c.place(begun)
		c.mu.Unlock()
		if core.Sleep(ctx, placeShare*time.Since(begun)) != nil {
			return
		}
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
	p := &placing{cell: c, hosts: c.candidates(now), now: now}
	for _, w := range waiting {
		p.placeJob(w.entry)
	}
}

// waiter is a job with tasks to start.
type waiter struct {
	entry   *entry
	urgency place.Urgency
}

// waiting returns the jobs with tasks to start, the most urgent first.
func (c *Cell) waiting(now time.Time) []waiter {
	var waiting []waiter
	for e := range c.open {
		if !e.defined && !e.dirty {
			continue
		}
		e.job.StartDueRounds(now)
		if now.Before(e.notBefore) || e.job.Policy.Advice == nil && !hasReady(e.job) {
			continue
		}
		waiting = append(waiting, waiter{entry: e, urgency: c.urgency(e, now)})
	}
	slices.SortFunc(waiting, func(a, b waiter) int {
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

func hasReady(job *tasks.Job) bool {
	for _, round := range job.Rounds {
		for step := range round.Steps {
			if job.DependenciesDone(round, step) && round.Waiting(step) > 0 {
				return true
			}
		}
	}
	return false
}

// urgency returns the order of a job among others.
func (c *Cell) urgency(e *entry, now time.Time) place.Urgency {
	begun := e.job.Accepted
	if len(e.job.Rounds) > 0 {
		begun = e.job.DueTime(e.job.Rounds[0].Number)
	}
	whole, left := e.job.CriticalPath()
	objective := time.Duration(e.job.Policy.Stretch*float64(whole)) + e.job.Policy.Target
	due := begun.Add(objective - left)
	// A job that is late by less than this may have been guessed too long.
	slack := time.Duration(lateShare * float64(whole))
	late := !e.job.LongRunning() && now.After(due.Add(slack)) && now.Before(begun.Add(lateAtMost))
	return place.Urgency{Priority: e.job.Policy.Priority, Late: late, LatestStart: due}
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
			ID:             h.id,
			Rack:           h.info.Rack(),
			Labels:         h.info.Labels,
			Capacity:       h.info.Capacity,
			Free:           h.info.Capacity.Sub(h.used()),
			RecentFailures: h.record.suspicion(now),
		}
		for _, r := range h.runs {
			if r.entry == nil {
				continue
			}
			step := r.entry.job.Step(r.name)
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
