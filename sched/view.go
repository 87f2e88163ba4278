package sched

import (
	"cmp"
	"slices"
	"time"

	"rattanpath/place"
	"rattanpath/tasks"
	"rattanpath/views"
)

// maxJobsReturned limits the result of Jobs.
const maxJobsReturned = 500

// View returns the status of the cell as this node knows it.
func (c *Cell) View() views.Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	return views.Cell{
		Service: c.options.Service, Epoch: c.epoch, Confirmed: c.options.Clock() - c.confirmedAt,
		Open: len(c.open), Kept: len(c.jobs),
	}
}

// Jobs returns the jobs of the cell, newest first, at most maxJobsReturned.
func (c *Cell) Jobs() ([]views.Job, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() {
		return nil, ErrNotOwner
	}
	now := time.Now()
	var jobs []views.Job
	for _, e := range c.jobs {
		jobs = append(jobs, c.viewJob(e, now))
	}
	slices.SortFunc(jobs, func(a, b views.Job) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	return jobs[:min(len(jobs), maxJobsReturned)], nil
}

func (c *Cell) viewJob(e *jobEntry, now time.Time) views.Job {
	view := views.Job{
		ID: e.job.Key.ID, Queue: e.job.Key.Queue, Service: c.options.Service,
		Phase: e.job.Phase.String(), Age: now.Sub(e.job.Accepted),
	}
	for _, round := range e.job.Rounds {
		for _, step := range round.Steps {
			for i := range step {
				switch {
				case step[i].Active():
					view.Running++
				case step[i].State == tasks.Done:
					view.Done++
				default:
					view.Waiting++
				}
			}
		}
	}
	return view
}

// Explain returns the details of a job, with the reason why it waits.
func (c *Cell) Explain(id string) (views.JobDetail, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() {
		return views.JobDetail{}, ErrNotOwner
	}
	e := c.byID[id]
	if e == nil {
		return views.JobDetail{}, ErrUnknownJob
	}
	now := time.Now()
	detail := views.JobDetail{Job: c.viewJob(e, now), Confirmed: c.options.Clock() - c.confirmedAt, Why: c.waitReason(e, now)}
	for _, round := range e.job.Rounds {
		for step := range round.Steps {
			for index := range round.Steps[step] {
				taskID := tasks.ID{Job: id, Round: round.Number, Step: step, Index: index}
				detail.Tasks = append(detail.Tasks, c.viewTask(e, taskID, &round.Steps[step][index]))
			}
		}
	}
	return detail, nil
}

func (c *Cell) viewTask(e *jobEntry, taskID tasks.ID, task *tasks.Task) views.Task {
	view := views.Task{
		Round: taskID.Round, Step: taskID.Step, Index: taskID.Index,
		State: task.State.String(), Run: task.Run, Failed: task.Failures,
	}
	if !task.Active() {
		return view
	}
	view.Host = task.Host
	h, r := c.runOf(e, taskID)
	switch {
	case r == nil:
	case r.state == runInherited:
		view.Doubt = "started by an older owner; its host has not answered yet"
	case r.state == runUnverified:
		view.Doubt = "the host has restarted and not reported its runs yet"
	case r.state == runUnconfirmed:
		view.Doubt = "the host has not answered the start"
	case r.stopping:
		view.Doubt = "being stopped"
	case h.missedHeartbeats > 0:
		view.Doubt = "the host does not answer"
	}
	if r != nil {
		view.Percent = r.percent
	}
	return view
}

// What jobs and steps wait for, as it is shown to operators.
const (
	waitsForStore      = "the store does not take writes"
	waitsAfterRefusal  = "a host refused a task a moment ago"
	waitsForUsableHost = "no host of the pool is usable"
	waitsForAdvisor    = "the advisor has allowed no host yet"
	waitsForLabel      = "no usable host has the label "
	waitsForCap        = "the cap of its organisation allows no more at present"
)

// waitForRoundReason returns what a job without rounds in progress waits for.
func waitForRoundReason(job *tasks.Job) string {
	return "no round is due before " + job.DueTime(job.NextRound).UTC().Format(time.RFC3339)
}

// startUnit returns how many tasks of a step are only started together.
func startUnit(step *tasks.Step, members []tasks.Task) int {
	if step.Gang {
		return len(members)
	}
	return 1
}

// waitReason returns what a job waits for, or "" if it doesn't wait.
func (c *Cell) waitReason(e *jobEntry, now time.Time) string {
	switch {
	case e.job.Phase != tasks.Open:
		return ""
	case c.storeUnavailable():
		return waitsForStore
	case !e.persisted:
		return "the store has not confirmed the job yet"
	case len(e.job.Rounds) == 0:
		return waitForRoundReason(e.job)
	case !hasStartableTask(e.job) && hasAbandonedTask(e.job):
		return "a task crashes its hosts and isn't started any more"
	case !hasStartableTask(e.job):
		return ""
	case now.Before(e.retryAfter):
		return waitsAfterRefusal
	}
	return c.noHostReason(e, now)
}

// noHostReason returns why the ready tasks of a job have no host.
func (c *Cell) noHostReason(e *jobEntry, now time.Time) string {
	hosts, _ := c.usableHosts(now)
	if len(hosts) == 0 {
		return waitsForUsableHost
	}
	pass := c.newQuotaPass()
	for _, round := range e.job.Rounds {
		for step := range round.Steps {
			if !e.job.DependenciesDone(round, step) || round.Waiting(step) == 0 {
				continue
			}
			reqs := ofTask(c.requirements(e, round, step, now), e, firstWaiting(round.Steps[step]))
			if reqs.AllowedHosts != nil && len(reqs.AllowedHosts) == 0 {
				return waitsForAdvisor
			}
			if !slices.ContainsFunc(hosts, func(h *place.Host) bool { return place.Feasible(reqs, h) }) {
				return infeasibleReason(reqs, hosts)
			}
			if !pass.mayStart(e.job.Policy.Organisation, reqs, startUnit(reqs.Step, round.Steps[step])) {
				return waitsForCap
			}
		}
	}
	return waitsInTurn
}

// hasAbandonedTask reports whether a task of a job was given up.
func hasAbandonedTask(job *tasks.Job) bool {
	return slices.ContainsFunc(job.Rounds, func(round *tasks.Round) bool {
		return slices.ContainsFunc(round.Steps, func(step []tasks.Task) bool {
			return slices.ContainsFunc(step, func(task tasks.Task) bool { return task.State == tasks.Abandoned })
		})
	})
}

// firstWaiting returns the first waiting task of a step that has one.
func firstWaiting(step []tasks.Task) *tasks.Task {
	return &step[slices.IndexFunc(step, func(task tasks.Task) bool { return task.State == tasks.Waiting })]
}

// infeasibleReason returns why no host can run a task.
func infeasibleReason(reqs place.Requirements, hosts []*place.Host) string {
	if reqs.Step.Label != "" && !slices.ContainsFunc(hosts, func(h *place.Host) bool { return slices.Contains(h.Labels, reqs.Step.Label) }) {
		return waitsForLabel + reqs.Step.Label
	}
	if !slices.ContainsFunc(hosts, func(h *place.Host) bool { return h.Capacity.CanFit(reqs.Step.RequiredResources()) }) {
		return "a task is larger than any host at present"
	}
	if !slices.ContainsFunc(hosts, func(h *place.Host) bool { return h.Free.CanFit(reqs.Step.RequiredResources()) }) {
		return "no host has room for a task"
	}
	if reqs.Step.Room.CPU <= 0 && !slices.ContainsFunc(hosts, func(h *place.Host) bool { return h.TasksWithoutCPU < place.MaxTasksWithoutCPU }) {
		return "each host has as many tasks without CPU as it may"
	}
	if reqs.Isolated {
		return "hosts crashed under a task: it waits for one on which nothing has just started"
	}
	return "each host with room has as many tasks of the step as it may"
}

// Pool returns the state of the pool for operators.
func (c *Cell) Pool() (views.Pool, error) {
	report, err := c.Report()
	if err != nil {
		return views.Pool{}, err
	}
	pool := views.Pool{Service: report.Service, Epoch: report.Epoch, WaitingCPU: report.Waiting.CPU}
	for _, h := range report.Hosts {
		pool.Hosts = append(pool.Hosts, views.Host{
			ID: h.ID, CPU: h.Room.CPU, UsedCPU: h.Used.CPU, Runs: h.Runs, Lasting: h.Lasting, State: h.State,
		})
	}
	pool.Interference = c.viewInterference()
	slices.SortFunc(pool.Hosts, func(a, b views.Host) int { return cmp.Compare(a.ID, b.ID) })
	return pool, nil
}

// hostState returns "usable" or the reason why no runs are assigned to the host.
func (c *Cell) hostState(h *host, now time.Time) string {
	switch obstacle := c.hostObstacle(h, now, c.options.Clock()); {
	case obstacle != "":
		return obstacle
	case c.speeds.UseLast(h.id):
		return c.slowState(h)
	case h.history.recentFailures(now) > 0:
		return "usable; runs failed or stood still there"
	default:
		return "usable"
	}
}
