package sched

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"rattanpath/place"
	"rattanpath/speed"
	"rattanpath/tasks"
)

const (
	// maxProbeTime is the mean run time of a queue up to which its tasks are used to probe
	// slow hosts: on a host that is still slow they take several times longer.
	maxProbeTime = 2 * time.Second
	// moveGain is how many times longer a run must be expected to take on its slow host than
	// elsewhere to be moved, and moveTime what stopping it and starting it again takes.
	moveGain = 1.5
	moveTime = time.Second
	// maxMoves limits the runs that are moved from slow hosts in one assessment.
	maxMoves = 4
	// maxReportGap is the time since the last report of a host up to which the time of a
	// report of an end counts as that of the end. Reports are a second apart or less, unless
	// heartbeats were lost.
	maxReportGap = 2 * time.Second
	// assessInterval is the least time between two assessments of the hosts' speeds, and
	// assessPauseFactor the least time as a multiple of the last one's duration, up to
	// maxAssessPause: with 10,000 pairs of a host and a kind of tasks, one takes 10 to 20 ms.
	assessInterval    = 300 * time.Millisecond
	assessPauseFactor = 50
	maxAssessPause    = 3 * time.Second
)

const (
	// minMissed is the number of failed heartbeats, which follow each other in 0.3 s or more,
	// after which a host that answers again counts as having been down.
	minMissed = 3
	// outageTime is how long different signs of a host being down count as one outage.
	outageTime = 2 * time.Second
)

// recordOutage records that a host was down and is up again.
func (c *Cell) recordOutage(h *host) {
	if !c.options.JudgeHosts {
		return
	}
	if now := time.Now(); now.Sub(h.outageAt) >= outageTime {
		h.outageAt = now
		c.speeds.RecordOutage(h.id, now)
	}
}

// measurement is the last progress of a run from which the speed of its host was measured.
type measurement struct {
	// at is a reading of the host's clock, 0 if there was no report yet.
	at      time.Duration
	percent int
	// checkpoint is the last one reported, and saved the progress when it was first.
	checkpoint string
	saved      int
}

// showsSpeed reports whether the progress of a step's tasks tells the speed of their host.
// Members of a gang wait for each other, best-effort tasks yield to serving tasks, and the
// progress of a serving task is that of its startup.
func showsSpeed(step *tasks.Step) bool {
	return !step.Lasting && !step.Gang && !step.Fills && !step.RackBound
}

// showsSpeed reports whether the speed of a host is to be measured by a run.
func (c *Cell) showsSpeed(r *run) bool {
	return c.options.JudgeHosts && r.entry != nil && !r.stopping && showsSpeed(r.entry.job.Step(r.id))
}

// speedKind returns the kind of a run on a host for the comparison of speeds.
func speedKind(h *host, r *run) speed.Kind {
	step := r.entry.job.Step(r.id)
	far := step.DataRack != "" && h.info != nil && h.info.Rack() != step.DataRack
	return speed.Kind{Queue: r.entry.job.Key.Queue, Job: r.id.Job, Step: r.id.Step, Image: step.Image, Far: far}
}

// observeSpeed records the progress that a host reports of a run at a reading of its clock.
// The time until the first percent is left out: steps start up in different ways.
func (c *Cell) observeSpeed(h *host, r *run, percent int, checkpoint string, hostTime time.Duration) {
	if !c.showsSpeed(r) {
		return
	}
	m := &r.measured
	if checkpoint != m.checkpoint {
		m.checkpoint, m.saved = checkpoint, percent
	}
	from := r.measuredFrom()
	if percent > 0 && from != 0 && hostTime > from && percent >= m.percent {
		c.speeds.Observe(h.id, speedKind(h, r), float64(percent-m.percent), hostTime-from, time.Now())
	}
	m.at, m.percent = hostTime, percent
}

// measuredFrom returns the reading of the host's clock from which the next progress of a run
// counts, or 0 if it isn't known: the run may have begun with what was done before.
func (r *run) measuredFrom() time.Duration {
	task := r.entry.job.Task(r.id)
	switch {
	case r.measured.at != 0:
		return r.measured.at
	case r.inherited || r.state != runSettled || task == nil || task.Checkpoint != "":
		return 0
	default:
		return r.settledAt
	}
}

// observeEnd records that a host reported the end of a run, which was at some time since its
// last report.
func (c *Cell) observeEnd(h *host, r *run, reason tasks.EndReason) {
	if !c.showsSpeed(r) {
		return
	}
	from := r.measuredFrom()
	lastHeard := max(from, h.reportedAt, r.settledAt)
	switch {
	case h.answeredAt-lastHeard > maxReportGap:
	case reason == tasks.EndFailed:
		c.speeds.Fail(h.id, speedKind(h, r), time.Now())
	case reason == tasks.EndDone && from != 0 && h.answeredAt > from:
		c.speeds.Observe(h.id, speedKind(h, r), float64(fullPercent-r.measured.percent), h.answeredAt-from, time.Now())
	}
}

// assessSpeeds judges the speeds of the hosts, and moves runs from slow ones. c.mu must be
// held.
func (c *Cell) assessSpeeds(now time.Time) {
	if !c.options.JudgeHosts || now.Sub(c.assessedAt) < min(maxAssessPause, max(assessInterval, assessPauseFactor*c.assessTime)) {
		return
	}
	c.assessedAt = now
	defer func() { c.assessTime = time.Since(now) }()
	var pool []string
	for _, h := range c.hosts {
		if h.usable() {
			pool = append(pool, h.id)
		}
	}
	changed := c.speeds.Assess(pool, now)
	slow := 0
	for _, h := range c.hosts {
		if c.speeds.UseLast(h.id) {
			slow++
		}
	}
	for _, id := range changed {
		c.logSpeed(c.hosts[id], slow, len(pool))
	}
	c.options.Metrics.setSlowHosts(c.options.Service, slow)
	if slow > 0 {
		c.moveFromSlowHosts(now)
	}
}

// logSpeed logs that a host has become slow or normal, with the number of slow hosts in the
// pool.
func (c *Cell) logSpeed(h *host, slow, pool int) {
	slowness := math.Round(10*c.speeds.Slowness(h.id)) / 10
	if c.speeds.UseLast(h.id) {
		c.logger.Info("host is slow", "host", h.id, "rack", h.info.Rack(), "slowness", slowness, "unsteady", c.speeds.IsUnsteady(h.id), "runs", len(h.runs), "slow", slow, "pool", pool)
		return
	}
	c.logger.Info("host is no longer slow", "host", h.id, "rack", h.info.Rack(), "slowness", slowness, "runs", len(h.runs), "slow", slow, "pool", pool)
}

// slowState describes a host that is used last to operators.
func (c *Cell) slowState(h *host) string {
	if c.speeds.IsUnsteady(h.id) {
		return "usable; used last, it restarts or is lost repeatedly"
	}
	return fmt.Sprintf("usable; used last, runs take %.1f times as long as elsewhere", c.speeds.Slowness(h.id))
}

// mayProbe reports whether the tasks of a step may be used to probe slow hosts.
func (c *Cell) mayProbe(e *jobEntry, step *tasks.Step) bool {
	mean := c.meanRunTimes[e.job.Key.Queue]
	return mean > 0 && mean <= maxProbeTime && showsSpeed(step)
}

// moveFromSlowHosts stops runs on slow hosts that are expected to end earlier elsewhere, the
// ones that gain most first. While tasks wait for a host, none is stopped: it might not get a
// host before them.
func (c *Cell) moveFromSlowHosts(now time.Time) {
	moves := c.movableRuns(now)
	if len(moves) == 0 || !c.ownershipValid() || c.hasStartableTask() {
		return
	}
	hosts := slices.DeleteFunc(c.candidates(now), func(h *place.Host) bool { return h.Slow })
	for _, move := range moves {
		target := place.Pick(move.requirements, hosts)
		if target == nil {
			continue
		}
		target.Place(move.requirements)
		r := move.run
		c.logger.Info("run moved from slow host", "job", r.id.Job, "round", r.id.Round, "step", r.id.Step, "index", r.id.Index, "run", r.number, "host", move.host.id, "percent", r.percent, "saved", r.measured.saved, "gain", move.gain)
		c.stopRun(move.host, r)
	}
}

// hasStartableTask reports whether a task waits for a host.
func (c *Cell) hasStartableTask() bool {
	for e := range c.open {
		if hasStartableTask(e.job) {
			return true
		}
	}
	return false
}

// move is a run on a slow host that is expected to end earlier elsewhere.
type move struct {
	host         *host
	run          *run
	gain         time.Duration
	requirements place.Requirements
}

// movableRuns returns the runs on slow hosts to move, at most maxMoves.
func (c *Cell) movableRuns(now time.Time) []move {
	var moves []move
	for _, h := range c.hosts {
		if !c.speeds.UseLast(h.id) {
			continue
		}
		for _, r := range h.runs {
			if gain := c.moveGain(h, r, now); gain > 0 {
				moves = append(moves, move{host: h, run: r, gain: gain})
			}
		}
	}
	slices.SortFunc(moves, compareMoves)
	moves = moves[:min(len(moves), maxMoves)]
	for i := range moves {
		moves[i].requirements = c.moveRequirements(moves[i].run, now)
	}
	return moves
}

// compareMoves puts the larger gain first.
func compareMoves(a, b move) int {
	return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.run.id.Job, b.run.id.Job), cmp.Compare(a.run.id.Step, b.run.id.Step), cmp.Compare(a.run.id.Index, b.run.id.Index))
}

// moveRequirements returns what the task of a run requires of its next host.
func (c *Cell) moveRequirements(r *run, now time.Time) place.Requirements {
	job := r.entry.job
	round := job.Rounds[slices.IndexFunc(job.Rounds, func(round *tasks.Round) bool { return round.Number == r.id.Round })]
	return ofTask(c.requirements(r.entry, round, r.id.Step, now), r.entry, job.Task(r.id))
}

// isCurrent reports whether a run is the newest one of its task.
func (r *run) isCurrent() bool {
	task := r.entry.job.Task(r.id)
	return task != nil && task.Active() && task.Run == r.number
}

// moveGain returns by how much earlier a run on a slow host is expected to end elsewhere, or 0
// if it isn't to be moved. Its progress since the last checkpoint is lost.
func (c *Cell) moveGain(h *host, r *run, now time.Time) time.Duration {
	if r.entry == nil || r.stopping || r.state != runSettled || r.entry.job.Phase != tasks.Open || !r.isCurrent() {
		return 0
	}
	step := r.entry.job.Step(r.id)
	if !showsSpeed(step) || !step.Checkpoints && !step.Speculative {
		return 0
	}
	here, elsewhere, ok := c.speeds.Pace(h.id, speedKind(h, r), now)
	if !ok {
		return 0
	}
	saved := 0
	if step.Checkpoints && r.measured.checkpoint != "" {
		saved = r.measured.saved
	}
	return gainOfMove(r.percent, saved, here, elsewhere)
}

// gainOfMove returns by how much earlier a run ends that is started again from its saved
// progress, given the times of a percent, or 0 if that isn't enough.
func gainOfMove(percent, saved int, here, elsewhere time.Duration) time.Duration {
	stay := time.Duration(fullPercent-percent) * here
	leave := moveTime + time.Duration(fullPercent-saved)*elsewhere
	if float64(stay) < moveGain*float64(leave) {
		return 0
	}
	return stay - leave
}
