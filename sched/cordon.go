package sched

import (
	"slices"
	"time"

	"rattanpath/tasks"
)

const (
	// evictionDelay is how long tasks on a cordoned host may finish before they
	// are stopped. Tasks that checkpoint are stopped at once.
	evictionDelay = 2500 * time.Millisecond
	// servingEvictionDelay is how long a serving task on a cordoned host keeps running while no other
	// host can take it. A pool gets a machine in less time, and maintenance waves leave as much until
	// their deadline.
	servingEvictionDelay = 4 * time.Second
	// nextHostsInterval is the time between two searches for hosts that can take the serving tasks of
	// cordoned hosts.
	nextHostsInterval = 300 * time.Millisecond
	// takeoverSettleTime is how long after a takeover no serving task is stopped:
	// those that the previous owner has stopped may still be reported as running.
	takeoverSettleTime = 2 * time.Second
	// maxConfirmedAge is the age of the last confirmed write up to which a cell reports ends on
	// its hosts as persisted. While writes take up to 750 ms, that write is never older: two of
	// them, and one maxWriteInterval in between. If they take longer, the machine controller
	// can't confirm its leadership in time and sends no orders in any case.
	maxConfirmedAge = maxWriteInterval + 1500*time.Millisecond
)

// HostReport is the state of a host of the pool.
type HostReport struct {
	ID          string
	Incarnation int64
	// Room is the capacity of the host, and Used what its runs occupy.
	Room tasks.Resources
	Used tasks.Resources
	// Runs counts the runs on the host, and Lasting the serving tasks among them.
	Runs    int
	Lasting int
	// EndsPending means that runs which ended on the host may not be persisted yet: until
	// they are, only the host can tell the next owner of them, and its machine must stay.
	EndsPending bool
	// Usable means that runs can be assigned to the host.
	Usable bool
	// Cordoned means that the machine controller keeps new runs off the host.
	Cordoned bool
	// State is "usable" or the reason why no runs are assigned to the host.
	State string
}

// Idle reports whether the machine of the host may leave the pool.
func (r HostReport) Idle() bool { return r.Runs == 0 && !r.EndsPending }

// Report is the state of a service's pool.
type Report struct {
	Service string
	Hosts   []HostReport
	// Unrecorded are the hosts that have no record and have not answered this owner, but may have
	// runs of a previous one.
	Unrecorded []UnrecordedHost
	// Serving is the sum of the resources of serving tasks.
	Serving tasks.Resources
	// Waiting is the sum of the resources of ready tasks without a host, and WaitingTasks the
	// number of those that aren't best-effort. Owners of older versions report only the sum.
	Waiting      tasks.Resources
	WaitingTasks int
	// Unplaced is the number of serving tasks that wait, or are to be stopped for maintenance, and
	// that no other host, idle ones included, can take.
	Unplaced int
	// Arrived is the CPU time requested by jobs submitted since the cell was
	// claimed, in millicore-milliseconds.
	Arrived int64
	// Apart is the largest number of hosts over which a step must be spread.
	Apart int
	Epoch int64
	// Quota is nil if no organisation has a cap.
	Quota *QuotaReport
}

// UnrecordedHost is the incarnation of a host on which a run was started.
type UnrecordedHost struct {
	ID          string
	Incarnation int64
}

// IsShort reports whether ready tasks other than best-effort ones have no host, whatever they
// request.
func (r *Report) IsShort() bool { return r.WaitingTasks > 0 || r.Waiting.CPU > 0 }

// Report returns the state of the pool.
func (c *Cell) Report() (Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() {
		return Report{}, ErrNotOwner
	}
	now := time.Now()
	report := Report{Service: c.options.Service, Epoch: c.epoch, Arrived: c.submittedCPU}
	for _, h := range c.hosts {
		report.Unrecorded = append(report.Unrecorded, h.unrecorded()...)
		if h.info != nil && !h.isRetired() {
			report.Hosts = append(report.Hosts, c.hostReport(h, now))
			_, resources := h.serving()
			report.Serving = report.Serving.Add(resources)
		}
	}
	for e := range c.open {
		addWaiting(e.job, &report)
	}
	report.Unplaced = c.recentUnplaced(now)
	report.Quota = c.quotaReport()
	return report, nil
}

// unrecorded returns the incarnations of a host without a record on which a previous owner started
// the runs there. Runs whose incarnation isn't known are left out.
func (h *host) unrecorded() []UnrecordedHost {
	if h.info != nil {
		return nil
	}
	var unrecorded []UnrecordedHost
	for _, r := range h.runs {
		incarnation := r.assignedIncarnation()
		if life := (UnrecordedHost{h.id, incarnation}); incarnation != 0 && !slices.Contains(unrecorded, life) {
			unrecorded = append(unrecorded, life)
		}
	}
	return unrecorded
}

func (c *Cell) hostReport(h *host, now time.Time) HostReport {
	serving, _ := h.serving()
	return HostReport{
		ID:          h.id,
		Incarnation: h.currentIncarnation(),
		Room:        h.info.Capacity,
		Used:        h.used(),
		Runs:        len(h.runs),
		Lasting:     serving,
		EndsPending: c.endsPending(h),
		Usable:      h.usable(),
		Cordoned:    now.Before(h.cordonedUntil),
		State:       c.hostState(h, now),
	}
}

// endsPending reports whether the host may have listed ends that are not persisted. If this
// owner's writes fail, another may have taken over and may have had runs there.
func (c *Cell) endsPending(h *host) bool {
	unconfirmed := c.storeUnavailable() || c.options.Clock()-c.confirmedAt > maxConfirmedAge
	return unconfirmed || h.reportedSequence > h.acknowledgedSequence
}

// serving returns the number of serving tasks on a host and the resources they
// occupy.
func (h *host) serving() (count int, resources tasks.Resources) {
	for _, r := range h.runs {
		if r.entry != nil && r.entry.job.Step(r.id).Lasting {
			count++
			resources = resources.Add(r.resources)
		}
	}
	return count, resources
}

// addWaiting adds the waiting tasks of a job to a report.
func addWaiting(job *tasks.Job, report *Report) {
	for _, round := range job.Rounds {
		for step := range round.Steps {
			spec := &job.Plan.Steps[step]
			if spec.MaxPerHost > 0 {
				report.Apart = max(report.Apart, (spec.Count+spec.MaxPerHost-1)/spec.MaxPerHost)
			}
			if !job.DependenciesDone(round, step) {
				continue
			}
			count := round.Waiting(step)
			if !spec.Fills {
				report.WaitingTasks += count
			}
			report.Waiting = report.Waiting.Add(multiply(spec.RequiredResources(), int64(count)))
		}
	}
}

// Cordon keeps new runs off hosts for a period. If evict is set, their runs
// are evicted as far as the steps allow. It returns the state of the hosts.
func (c *Cell) Cordon(ids []string, period time.Duration, evict bool) ([]HostReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ownershipValid() {
		return nil, ErrNotOwner
	}
	now := time.Now()
	var reports []HostReport
	for _, id := range ids {
		h := c.hosts[id]
		if h == nil || h.info == nil {
			continue
		}
		if !now.Before(h.cordonedUntil) {
			h.cordonedSince = now
			c.logger.Info("host cordoned", "host", id, "runs", len(h.runs), "vacate", evict)
		}
		h.evict = evict || h.evict && now.Before(h.cordonedUntil)
		h.cordonedUntil = now.Add(period)
		reports = append(reports, c.hostReport(h, now))
	}
	return reports, nil
}

// evictHosts evicts runs from draining and cordoned hosts. c.mu must be held.
func (c *Cell) evictHosts(now time.Time) {
	var next *nextHosts
	if clock := c.options.Clock(); clock-c.evictedAt >= nextHostsInterval {
		next, c.evictedAt = c.newNextHosts(now), clock
	}
	for _, h := range c.hosts {
		switch {
		case h.info == nil || len(h.runs) == 0:
		case h.info.Draining:
			c.evictDraining(h)
		case h.isVacated(now):
			c.evictCordoned(h, now, next)
		}
	}
}

// isVacated reports whether the runs of the host are evicted for maintenance.
func (h *host) isVacated(now time.Time) bool { return h.evict && now.Before(h.cordonedUntil) }

// evictDraining stops the serving tasks of a host that is draining on its own. A
// task keeps running while a sibling is being stopped on a host that stays: if it
// ended first, both would be unavailable at once.
func (c *Cell) evictDraining(h *host) {
	for _, r := range h.runs {
		if r.entry != nil && r.entry.job.Step(r.id).Lasting && !c.siblingStopping(r) {
			c.stopRun(h, r)
		}
	}
}

// siblingStopping reports whether another task of a run's step is being stopped
// on a host that isn't draining.
func (c *Cell) siblingStopping(r *run) bool {
	sibling := r.id
	for i := range r.entry.job.StepTasks(r.id) {
		sibling.Index = i
		h, other := c.runOf(r.entry, sibling)
		if other != nil && other != r && other.stopping && h.info != nil && !h.info.Draining {
			return true
		}
	}
	return false
}

// runOf returns the current run of a task and its host, or nil.
func (c *Cell) runOf(e *jobEntry, taskID tasks.ID) (*host, *run) {
	task := e.job.Task(taskID)
	h := c.hosts[task.Host]
	if !task.Active() || h == nil {
		return nil, nil
	}
	r := h.runs[runKey{taskID, task.Run}]
	if r == nil {
		return nil, nil
	}
	return h, r
}

// evictCordoned stops the runs of a cordoned host: serving tasks as their step
// allows, once another host can take them or servingEvictionDelay has passed, tasks
// that checkpoint at once, and others after evictionDelay. A nil next finds no host.
func (c *Cell) evictCordoned(h *host, now time.Time, next *nextHosts) {
	cordonedFor := now.Sub(h.cordonedSince)
	for _, r := range h.runs {
		if r.entry == nil || r.stopping {
			continue
		}
		step := r.entry.job.Step(r.id)
		switch {
		case step.Lasting:
			if c.canStopServing(r) && (cordonedFor > servingEvictionDelay || next != nil && next.reserve(r)) {
				c.stopRun(h, r)
			}
		case step.Checkpoints || cordonedFor > evictionDelay:
			c.stopRun(h, r)
		}
	}
}

// canStopServing reports whether a serving task may be stopped: fewer than
// MayMiss of its siblings, or none if MayMiss is 0, are unavailable.
func (c *Cell) canStopServing(r *run) bool {
	if c.options.Clock()-c.claimedAt < takeoverSettleTime {
		return false
	}
	unavailable := 0
	for i := range r.entry.job.StepTasks(r.id) {
		if i != r.id.Index && !c.isServing(r, i) {
			unavailable++
		}
	}
	return unavailable < max(1, r.entry.job.Step(r.id).MayMiss)
}

// isServing reports whether a task of a run's step is running and ready.
func (c *Cell) isServing(r *run, index int) bool {
	sibling := r.id
	sibling.Index = index
	h, other := c.runOf(r.entry, sibling)
	return other != nil && h.missedHeartbeats == 0 && !other.stopping && other.percent >= fullPercent
}
