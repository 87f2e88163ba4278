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

const (
	// schedulePauseFactor is the pause after a scheduling pass as a multiple of the time in which
	// it assigned nothing. Without it, passes could use all of a node's CPU time while more tasks
	// wait than the hosts have capacity for.
	schedulePauseFactor = 9
	// assignPauseFactor is the same for the time in which it assigned tasks. A longer pause would
	// save nothing of that, and other work only has to get its turn.
	assignPauseFactor = 1
)

// maxSchedulePause is the longest pause. A pass may have taken long because the process was suspended
// or had no processor time, which says nothing of the next one.
const maxSchedulePause = time.Second

// loopSchedule runs a scheduling pass whenever something has changed.
func (c *Cell) loopSchedule(ctx context.Context) {
	for {
		select {
		case <-c.scheduleWake:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		start := time.Now()
		assigning := c.schedule(start)
		took := time.Since(start)
		c.activity.passes++
		c.activity.passTime += took
		c.mu.Unlock()
		if core.Sleep(ctx, schedulePause(took, assigning)) != nil {
			return
		}
	}
}

// schedulePause returns how long to pause after a pass that took some time, a part of which it
// assigned tasks.
func schedulePause(took, assigning time.Duration) time.Duration {
	return min(maxSchedulePause, schedulePauseFactor*(took-assigning)+assignPauseFactor*assigning)
}

// schedule starts due rounds and assigns waiting tasks to hosts. It returns the time that it took to
// assign tasks. c.mu must be held.
func (c *Cell) schedule(now time.Time) time.Duration {
	if c.storeUnavailable() || c.isLost() {
		return 0
	}
	toPlace := c.jobsToPlace(now)
	if len(toPlace) == 0 {
		return 0
	}
	p := &schedulePass{cell: c, hosts: c.candidates(now), now: now, quota: c.newQuotaPass()}
	p.candidates = place.NewCandidates(p.hosts)
	sortByUrgency(toPlace, p.hosts, now.Before(c.recoveringUntil))
	place.Reserve(c.isolatedTasks(toPlace, now), p.hosts)
	p.fair = c.newFairPass(toPlace, p.hosts, p.quota.usedSoFar())
	p.placeJobs(toPlace)
	p.quota.end(p.hosts)
	p.recordHeld()
	return p.assigning
}

// isolatedTasks returns the requirements of the ready tasks that need isolation.
func (c *Cell) isolatedTasks(jobs []*jobToPlace, now time.Time) []place.Requirements {
	var isolated []place.Requirements
	for _, j := range jobs {
		if !j.entry.job.HasCrashes {
			continue
		}
		for _, round := range j.entry.job.Rounds {
			for step := range round.Steps {
				isolated = append(isolated, c.isolatedOfStep(j.entry, round, step, now)...)
			}
		}
	}
	return isolated
}

func (c *Cell) isolatedOfStep(e *jobEntry, round *tasks.Round, step int, now time.Time) []place.Requirements {
	if round.Waiting(step) == 0 || !e.job.DependenciesDone(round, step) {
		return nil
	}
	var isolated []place.Requirements
	reqs := c.requirements(e, round, step, now)
	for index := range round.Steps[step] {
		if task := &round.Steps[step][index]; task.State == tasks.Waiting && reqs.Step.Isolates(task) {
			isolated = append(isolated, ofTask(reqs, e, task))
		}
	}
	return isolated
}

// jobToPlace is a job with tasks to start.
type jobToPlace struct {
	entry   *jobEntry
	urgency place.Urgency
}

// jobsToPlace returns the jobs with tasks to start.
func (c *Cell) jobsToPlace(now time.Time) []*jobToPlace {
	var toPlace []*jobToPlace
	for e := range c.open {
		if !e.definitionWritten && !e.dirty {
			continue
		}
		e.job.StartDueRounds(now)
		if j := c.jobToPlace(e, now); j != nil {
			toPlace = append(toPlace, j)
		}
	}
	return toPlace
}

// jobToPlace returns a job with its urgency, or nil if it has no task that could be started. A held
// job has none.
func (c *Cell) jobToPlace(e *jobEntry, now time.Time) *jobToPlace {
	if e.held || now.Before(e.retryAfter) {
		return nil
	}
	waiting, begun := e.job.WaitingCPUTime()
	if waiting == 0 && e.job.Policy.Advice == nil {
		return nil
	}
	urgency := c.urgency(e, now)
	urgency.Backlog, urgency.Begun = waiting, begun || e.job.LongRunning()
	return &jobToPlace{entry: e, urgency: urgency}
}

// sortByUrgency sorts jobs by the order in which they are placed on hosts, and puts those that
// have begun first if startedFirst is set.
func sortByUrgency(jobs []*jobToPlace, hosts []*place.Host, startedFirst bool) {
	var urgencies []*place.Urgency
	for _, j := range jobs {
		urgencies = append(urgencies, &j.urgency)
	}
	var capacity int64
	for _, h := range hosts {
		capacity += h.Capacity.CPU
	}
	order := place.ChooseOrder(urgencies, capacity)
	compare := order.Compare
	if startedFirst {
		compare = order.CompareStartedFirst
	}
	slices.SortFunc(jobs, func(a, b *jobToPlace) int {
		if compared := compare(&a.urgency, &b.urgency); compared != 0 {
			return compared
		}
		return cmp.Compare(a.entry.job.Key.ID, b.entry.job.Key.ID)
	})
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

// urgency returns the scheduling priority of a job, without what its waiting tasks
// add to it.
func (c *Cell) urgency(e *jobEntry, now time.Time) place.Urgency {
	start := e.job.Accepted
	if len(e.job.Rounds) > 0 {
		start = e.job.DueTime(e.job.Rounds[0].Number)
	}
	total, remaining := c.criticalPath(e)
	objective := scaleTime(total, e.job.Policy.Stretch) + e.job.Policy.Target
	latestStart := start.Add(objective - remaining)
	return place.Urgency{
		Priority:    e.job.Policy.Priority,
		Late:        !e.job.LongRunning() && now.After(latestStart) && now.Before(start.Add(maxLateTime)),
		Accepted:    start,
		LatestStart: latestStart,
	}
}

// maxLateTime is the time after which a late job no longer yields to others, so that
// it completes eventually.
const maxLateTime = 15 * time.Second

// candidates returns the hosts to which runs can be assigned now, ordered by
// ID.
func (c *Cell) candidates(now time.Time) []*place.Host {
	hosts, stale := c.usableHosts(now)
	c.activity.staleRecords = max(c.activity.staleRecords, stale)
	return hosts
}

// usableHosts returns the hosts to which runs can be assigned now, ordered by ID, and how many
// can't get any only because their records are out of date.
func (c *Cell) usableHosts(now time.Time) (hosts []*place.Host, stale int) {
	clock := c.options.Clock()
	for _, h := range c.hosts {
		switch c.hostObstacle(h, now, clock) {
		case "":
			hosts = append(hosts, c.candidate(h, now, clock))
		case staleRecord:
			stale++
		}
	}
	slices.SortFunc(hosts, func(a, b *place.Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts, stale
}

// hostObstacle returns the first reason why no run can be assigned to a host at present,
// whatever it requires, or "". now and clock are the same moment.
func (c *Cell) hostObstacle(h *host, now time.Time, clock time.Duration) string {
	obstacle := h.obstacle()
	switch {
	case obstacle != "":
		return obstacle
	case now.Before(h.cordonedUntil):
		return obstacleCordoned
	case now.Before(h.backoffUntil):
		return obstacleRefused
	case !c.hasRecentRecord(h, clock):
		return staleRecord
	default:
		return ""
	}
}

// candidate describes a host and what it runs. now and clock are the same moment.
func (c *Cell) candidate(h *host, now time.Time, clock time.Duration) *place.Host {
	candidate := &place.Host{
		ID:             h.id,
		Rack:           h.info.Rack(),
		Labels:         h.info.Labels,
		Capacity:       h.info.Capacity,
		Free:           h.info.Capacity.Sub(h.used()),
		RecentFailures: h.history.recentFailures(now),
		CountGroups:    len(c.interference.evidence) > 0,
		Slow:           c.speeds.UseLast(h.id),
		NeedsProbe:     c.speeds.NeedsProbe(h.id, now),
	}
	if h.restartedAt != 0 && len(c.hosts) > 1 {
		candidate.QuietIn = max(0, h.restartedAt+restartSettleTime-clock)
	}
	for _, r := range h.runs {
		candidate.QuietIn = max(candidate.QuietIn, r.freshFor(clock))
		if r.isUnproven() {
			candidate.QuietIn = max(candidate.QuietIn, provenReportTime)
			candidate.Reserved = true
		}
		if r.entry == nil {
			continue
		}
		candidate.CountTask(r.entry.job.Step(r.id))
	}
	return candidate
}
