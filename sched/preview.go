package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rattanpath/place"
	"rattanpath/tasks"
	"rattanpath/views"
)

const (
	// startNow is the start of a step that would be placed in the next pass.
	startNow = "now"
	// waitsForGang begins the reason why a gang isn't started that no hosts can run as a whole.
	waitsForGang = "the hosts have no room for all"
	// maxPreviewPicks limits the pairs of members and hosts that are compared for a gang, which
	// holds up the cell for some milliseconds. Larger gangs are only counted.
	maxPreviewPicks = 20_000
)

// Preview returns what the cell would do with a job now, or with a query for one if the plan has
// no steps. It changes nothing and writes nothing: unlike Status, it doesn't confirm with the
// store that this node still owns the cell. The error is the one that the caller would get.
func (c *Cell) Preview(caller Caller, key tasks.Key, plan tasks.Plan, policy tasks.Policy) (*views.Placement, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() || c.stopped {
		return nil, ErrNotOwner
	}
	return c.preview(caller, key, plan, policy, time.Now())
}

// preview does the same. c.mu must be held.
func (c *Cell) preview(caller Caller, key tasks.Key, plan tasks.Plan, policy tasks.Policy, now time.Time) (*views.Placement, error) {
	view := &views.Placement{Service: c.options.Service, Node: c.options.Node, Epoch: c.epoch, Confirmed: c.options.Clock() - c.confirmedAt}
	if e := c.jobs[key]; e != nil {
		return view, c.previewExisting(view, caller, e, len(plan.Steps) > 0, now)
	}
	switch {
	case len(plan.Steps) > 0:
	case c.storeUnavailable():
		// Status could not confirm that no other node has accepted the job.
		return view, ErrStoreUnavailable
	default:
		return view, ErrUnknownJob
	}
	e := &jobEntry{job: tasks.NewJob(key, plan, policy, now)}
	if err := c.newJobError(caller, e); err != nil {
		view.Refused = refusalReason(err)
		var overload *OverloadError
		if errors.As(err, &overload) {
			view.RetryAfter = overload.RetryAfter
		}
		return view, err
	}
	// The job isn't added to the cell, so that the change stays local to this call.
	e.job.StartDueRounds(now)
	c.previewPlacement(view, e, now)
	return view, nil
}

// previewExisting describes a job that the cell has. The error is that of Submit or of Status.
func (c *Cell) previewExisting(view *views.Placement, caller Caller, e *jobEntry, submits bool, now time.Time) error {
	status, err := statusOf(e, caller)
	if errors.Is(err, ErrForbidden) {
		view.Refused = refusalReason(err)
		return err
	}
	view.Job, view.PreCancelled = e.job.Phase.String(), status.PreCancelled
	if !e.persisted {
		view.Job += ", not confirmed by the store yet"
	}
	if e.job.Phase == tasks.Open {
		c.previewPlacement(view, e, now)
	}
	if submits {
		return nil
	}
	return err
}

// refusalReason returns why a job is not accepted, as it is shown to operators.
func refusalReason(err error) string {
	var overload *OverloadError
	var gang *GangError
	switch {
	case errors.As(err, &overload):
		return refusedShare + ": too many tasks wait to be started, and the organisation is beyond its part of the link"
	case errors.As(err, &gang):
		return fmt.Sprintf("gang: %d start commands of %d bytes for step %d take the link more than %v", gang.Members, gang.Bytes, gang.Step, gangTransferTime)
	default:
		return err.Error()
	}
}

// previewPlacement describes where the ready tasks of a job would be placed if a pass began now.
func (c *Cell) previewPlacement(view *views.Placement, e *jobEntry, now time.Time) {
	p, ahead := c.previewPass(e, now)
	view.Ahead = ahead
	for _, round := range e.job.Rounds {
		for step := range round.Steps {
			switch {
			case round.Waiting(step) == 0:
			case !e.job.DependenciesDone(round, step):
				view.Later++
			case len(view.Steps) >= views.MaxPlacementSteps:
				view.StepsOmitted++
			default:
				view.Steps = append(view.Steps, p.previewStep(e, round, step, ahead))
			}
		}
	}
	view.Start = c.previewStart(view, e)
	c.previewUnusable(view, now)
}

// previewPass returns a pass over copies of the hosts, as schedule would begin it if the job had
// been accepted, and how many jobs come before it.
func (c *Cell) previewPass(e *jobEntry, now time.Time) (p *schedulePass, ahead int) {
	var jobs []*jobToPlace
	for other := range c.open {
		if j := c.jobToPlace(other, now); other != e && (other.definitionWritten || other.dirty) && j != nil {
			jobs = append(jobs, j)
		}
	}
	if j := c.jobToPlace(e, now); j != nil {
		jobs = append(jobs, j)
	}
	hosts, _ := c.usableHosts(now)
	p = &schedulePass{cell: c, hosts: hosts, now: now, quota: c.newQuotaPass()}
	sortByUrgency(jobs, hosts, now.Before(c.recoveringUntil))
	ahead = max(0, slices.IndexFunc(jobs, func(j *jobToPlace) bool { return j.entry == e }))
	place.Reserve(c.isolatedTasks(jobs, now), hosts)
	p.fair = c.newFairPass(jobs, hosts, p.quota.usedSoFar())
	if p.fair != nil {
		p.fair.enforced = true
	}
	return p, ahead
}

// previewStart returns "now" if any step starts now, or else what the first one waits for.
func (c *Cell) previewStart(view *views.Placement, e *jobEntry) string {
	switch {
	case slices.ContainsFunc(view.Steps, func(s views.StepPlacement) bool { return s.Start == startNow }):
		return startNow
	case len(view.Steps) > 0:
		return view.Steps[0].Start
	case len(e.job.Rounds) == 0:
		return waitForRoundReason(e.job)
	default:
		return "no task waits for a host"
	}
}

// previewStep describes where a task of a ready step would be placed.
func (p *schedulePass) previewStep(e *jobEntry, round *tasks.Round, step, ahead int) views.StepPlacement {
	view := views.StepPlacement{Round: round.Number, Step: step, Waiting: round.Waiting(step)}
	reqs := ofTask(p.cell.requirements(e, round, step, p.now), e, firstWaiting(round.Steps[step]))
	unit := startUnit(reqs.Step, round.Steps[step])
	if reqs.Step.Gang {
		reqs = p.cell.withStartableMembers(reqs, unit)
	}
	view.Start = p.previewStepStart(e, reqs, unit, view.Waiting, ahead)
	hosts := p.hosts[:min(len(p.hosts), views.MaxPlacementHosts)]
	view.NotCompared = len(p.hosts) - len(hosts)
	var ranked []rankedHost
	for _, h := range hosts {
		obstacle := place.FirstObstacle(reqs, h)
		switch {
		case obstacle == place.NoObstacle:
			parts := place.Costs(reqs, h)
			ranked = append(ranked, rankedHost{id: h.ID, total: parts.Total(), parts: parts})
		case len(view.RuledOut) < views.MaxPlacementShown:
			view.RuledOut = append(view.RuledOut, views.RuledOutHost{ID: h.ID, Reason: obstacle.String()})
		default:
			view.RuledOutOmitted++
		}
	}
	// Of equal hosts, Pick takes the first.
	slices.SortStableFunc(ranked, func(a, b rankedHost) int { return cmp.Compare(a.total, b.total) })
	shown := min(len(ranked), views.MaxPlacementShown)
	view.HostsOmitted = len(ranked) - shown
	for _, h := range ranked[:shown] {
		view.Hosts = append(view.Hosts, h.view())
	}
	return view
}

// rankedHost is a host that can run a task.
type rankedHost struct {
	id    string
	total float64
	parts place.CostParts
}

// previewStepStart returns "now", or what a ready step waits for, in the order in which a pass
// finds out.
func (p *schedulePass) previewStepStart(e *jobEntry, reqs place.Requirements, unit, waiting, ahead int) string {
	c := p.cell
	switch {
	case c.storeUnavailable():
		return waitsForStore
	case p.now.Before(e.retryAfter):
		return waitsAfterRefusal
	case reqs.Step.Gang && waiting < unit:
		return "a member of the gang still runs"
	case c.hasFullStartQueue():
		return "start commands that are planned keep the link busy"
	}
	switch p.heldBy(e, reqs, unit) {
	case heldByCap:
		return waitsForCap
	case heldByShare:
		return "its organisation is beyond its share: it gets what others leave"
	}
	switch {
	case !p.hasRoomFor(reqs, unit):
		return p.noRoomReason(reqs, unit)
	case ahead > 0:
		return "other jobs come first; a host has room at present"
	default:
		return startNow
	}
}

// hasRoomFor reports whether a unit of tasks would find hosts. c.mu must be held.
func (p *schedulePass) hasRoomFor(reqs place.Requirements, unit int) bool {
	switch {
	case !reqs.Step.Gang:
		return place.Pick(reqs, p.hosts) != nil
	case unit*len(p.hosts) <= maxPreviewPicks:
		return p.pickGang(reqs, unit) != nil
	default:
		return roomFor(reqs, p.hosts, unit) >= unit
	}
}

func (p *schedulePass) noRoomReason(reqs place.Requirements, unit int) string {
	feasible := slices.ContainsFunc(p.hosts, func(h *place.Host) bool { return place.Feasible(reqs, h) })
	switch {
	case len(p.hosts) == 0:
		return waitsForUsableHost
	case reqs.AllowedHosts != nil && len(reqs.AllowedHosts) == 0:
		return waitsForAdvisor
	case feasible:
		return fmt.Sprintf(waitsForGang+" %d members of the gang", unit)
	default:
		return infeasibleReason(reqs, p.hosts)
	}
}

func (h *rankedHost) view() views.RankedHost {
	view, parts := views.RankedHost{ID: h.id, Cost: h.total}, &h.parts
	for _, part := range []views.CostPart{
		{Name: "idle CPU", Cost: parts.IdleCPU}, {Name: "speed", Cost: parts.Speed}, {Name: "remote data", Cost: parts.RemoteData}, {Name: "last failed there", Cost: parts.AvoidedHost},
		{Name: "recent failures", Cost: parts.Failures}, {Name: "siblings", Cost: parts.Siblings}, {Name: "interference", Cost: parts.Interference},
	} {
		if part.Cost != 0 {
			view.Costs = append(view.Costs, part)
		}
	}
	return view
}

// previewUnusable lists the hosts that get no tasks.
func (c *Cell) previewUnusable(view *views.Placement, now time.Time) {
	clock := c.options.Clock()
	for id, h := range c.hosts {
		if reason := c.hostObstacle(h, now, clock); reason != "" {
			view.Unusable = append(view.Unusable, views.RuledOutHost{ID: id, Reason: reason})
		}
	}
	slices.SortFunc(view.Unusable, func(a, b views.RuledOutHost) int { return cmp.Compare(a.ID, b.ID) })
	shown := min(len(view.Unusable), views.MaxPlacementShown)
	view.Unusable, view.UnusableOmitted = view.Unusable[:shown], len(view.Unusable)-shown
}
