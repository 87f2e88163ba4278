package cell

import (
	"time"

	"rattanpath/tasks"
)

const (
	// evictionDelay is how long tasks of a cordoned host may go on before they are
	// stopped; those that checkpoint are stopped at once.
	evictionDelay = 2500 * time.Millisecond
	// takeoverSettleTime is how long after a take-over no serving task is stopped: those
	// that the older owner has stopped may still be listed.
	takeoverSettleTime = 2 * time.Second
)

// HostReport is how a host of the pool stands.
type HostReport struct {
	ID string
	// Room is the host's capacity and Used what its runs take.
	Room tasks.Room
	Used tasks.Room
	// Runs counts the runs on the host, and Lasting those that serve until their
	// job is cancelled.
	Runs    int
	Lasting int
	// Usable means that the host gets runs.
	Usable bool
	// Cordoned means that the host gets no new runs on the depot's wish.
	Cordoned bool
	// State is why the host gets no runs, or "usable".
	State string
}

// Report is how the pool of a service stands.
type Report struct {
	Service string
	Hosts   []HostReport
	// Serving is the room that serving tasks take.
	Serving tasks.Room
	// Waiting is the room that ready tasks wait for.
	Waiting tasks.Room
	// Arrived is the processor time that jobs have asked for since the cell was
	// claimed, in thousandths of a core and milliseconds.
	Arrived int64
	// Apart is the largest number of hosts that a step must be spread over.
	Apart int
	Epoch int64
}

// Report returns how the pool stands.
func (c *Cell) Report() (Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() {
		return Report{}, ErrNotOwner
	}
	now := time.Now()
	report := Report{Service: c.options.Service, Epoch: c.epoch, Arrived: c.submittedCPU}
	for _, h := range c.hosts {
		if h.info != nil && !h.isRetired() {
			report.Hosts = append(report.Hosts, c.reportHost(h, now))
			_, room := h.serving()
			report.Serving = report.Serving.Add(room)
		}
	}
	for e := range c.open {
		addWaiting(e.job, &report)
	}
	return report, nil
}

func (c *Cell) reportHost(h *host, now time.Time) HostReport {
	lasting, _ := h.serving()
	return HostReport{
		ID:       h.id,
		Room:     h.info.Room,
		Used:     h.used(),
		Runs:     len(h.runs),
		Lasting:  lasting,
		Usable:   h.usable(),
		Cordoned: now.Before(h.cordonedUntil),
		State:    h.state(now),
	}
}

// serving returns how many serving tasks are on a host, and the room they take.
func (h *host) serving() (count int, room tasks.Room) {
	for _, r := range h.runs {
		if r.entry != nil && r.entry.job.Step(r.name).Lasting {
			count++
			room = room.Add(r.resources)
		}
	}
	return count, room
}

// addWaiting adds the room that a job's ready tasks wait for.
func addWaiting(job *tasks.Job, report *Report) {
	for _, round := range job.Rounds {
		for step := range round.Steps {
			need := &job.Plan.Steps[step]
			if need.MaxPerHost > 0 {
				report.Apart = max(report.Apart, (need.Count+need.MaxPerHost-1)/need.MaxPerHost)
			}
			if !job.Ready(round, step) {
				continue
			}
			for range round.Waiting(step) {
				report.Waiting = report.Waiting.Add(need.Occupies())
			}
		}
	}
}

// Cordon keeps new runs off hosts for a time. With vacate, what runs there is
// moved away as far as the steps allow. It returns how the hosts stand.
func (c *Cell) Cordon(ids []string, length time.Duration, vacate bool) ([]HostReport, error) {
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
			c.logger.Info("host cordoned", "host", id, "runs", len(h.runs), "vacate", vacate)
		}
		h.vacate = vacate || h.vacate && now.Before(h.cordonedUntil)
		h.cordonedUntil = now.Add(length)
		reports = append(reports, c.reportHost(h, now))
	}
	return reports, nil
}

// Retire notes that the machines of hosts have left the pool or are down for
// upkeep: whatever ran there is over.
func (c *Cell) Retire(ids []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() {
		return ErrNotOwner
	}
	for _, id := range ids {
		h := c.hosts[id]
		if h == nil {
			continue
		}
		h.retiredIncarnation, h.retiredAt = h.currentIncarnation(), time.Now()
		h.synced = false
		c.logger.Info("host retired", "host", id, "runs", len(h.runs))
		c.endAllRuns(h, "the machine was taken out of the pool")
	}
	return nil
}

// evictHosts moves runs off the hosts that drain or are to be vacated. It is
// called with the lock held.
func (c *Cell) evictHosts(now time.Time) {
	for _, h := range c.hosts {
		switch {
		case h.info == nil || len(h.runs) == 0:
		case h.info.Draining:
			c.evictDraining(h)
		case h.vacate && now.Before(h.cordonedUntil):
			c.evictCordoned(h, now)
		}
	}
}

// evictDraining moves serving tasks off a host that leaves by itself. While a
// task of the same step is being stopped on a host that stays, the one here goes
// on: were it to end first, the other would go while this one is away.
func (c *Cell) evictDraining(h *host) {
	for _, r := range h.runs {
		if r.entry != nil && r.entry.job.Step(r.name).Lasting && !c.siblingStopping(r) {
			c.stopRun(h, r)
		}
	}
}

// siblingStopping reports whether another task of a run's step is being stopped on a
// host that stays.
func (c *Cell) siblingStopping(r *run) bool {
	name := r.name
	for i := range r.entry.job.Tasks(r.name) {
		name.Index = i
		h, other := c.runOf(r.entry, name)
		if other != nil && other != r && other.stopping && h.info != nil && !h.info.Draining {
			return true
		}
	}
	return false
}

// runOf returns the present run of a task and its host, or nothing.
func (c *Cell) runOf(e *jobEntry, name tasks.Name) (*host, *run) {
	task := e.job.Task(name)
	h := c.hosts[task.Host]
	if !task.Active() || h == nil {
		return nil, nil
	}
	if r := h.runs[name]; r != nil && r.number == task.Run {
		return h, r
	}
	return nil, nil
}

// evictCordoned moves the runs off a host: serving tasks as their step allows,
// those that checkpoint at once, and others once patience is over.
func (c *Cell) evictCordoned(h *host, now time.Time) {
	for _, r := range h.runs {
		if r.entry == nil || r.stopping {
			continue
		}
		step := r.entry.job.Step(r.name)
		switch {
		case step.Lasting && c.canStopServing(r):
			c.stopRun(h, r)
		case step.Lasting:
		case step.Checkpoints || now.Sub(h.cordonedSince) > evictionDelay:
			c.stopRun(h, r)
		}
	}
}

// canStopServing reports whether a serving task may be stopped: fewer of the others of
// its step are away than may be.
func (c *Cell) canStopServing(r *run) bool {
	if c.options.Clock()-c.claimedAt < takeoverSettleTime {
		return false
	}
	away := 0
	for i := range r.entry.job.Tasks(r.name) {
		if i != r.name.Index && !c.isServing(r, i) {
			away++
		}
	}
	return away < max(1, r.entry.job.Step(r.name).MayMiss)
}

// isServing reports whether a task of a run's step is at work.
func (c *Cell) isServing(r *run, index int) bool {
	name := r.name
	name.Index = index
	h, other := c.runOf(r.entry, name)
	return other != nil && h.missedHeartbeats == 0 && !other.stopping && other.percent >= fullPercent
}
