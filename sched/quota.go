package sched

import (
	"math"
	"slices"
	"time"

	"rattanpath/place"
	"rattanpath/queue"
	"rattanpath/quota"
	"rattanpath/tasks"
)

const (
	// wantedTime is how long the report shows what a pass could have started beyond the
	// allowance. The leader reads it every 250 ms; room that others take meanwhile may be
	// free again in the next pass.
	wantedTime = 500 * time.Millisecond
	// maxWantedSteps limits the steps of an organisation for which a pass counts the room.
	maxWantedSteps = 16
	// serviceRemovalTime is how long the bases stay as they are after the number of services
	// has dropped: tasks of the removed service run on until their leases have expired.
	serviceRemovalTime = 7 * time.Second
)

// Allotment is what the machine controller's leader lends to a cell for some time.
type Allotment struct {
	// Leader is the epoch of the leader, and Sequence rises with each of its allotments.
	Leader   int64
	Sequence int64
	// Epoch is that of the cell, whose clock Until is a reading of.
	Epoch int64
	Until time.Duration
	// Amounts holds what the cell may have running by organisation, if that is more than
	// its base. Limits takes precedence and may be less: the cell then doesn't start within its
	// base before a leader has confirmed the cap again.
	Amounts map[string]tasks.Resources
	Limits  map[string]tasks.Resources
	// Version is that of the configuration by which the leader has divided the caps, and confirms
	// those that Limits doesn't hold, 0 if it could not.
	Version int64
}

// isNewer reports whether the allotment replaces another one.
func (a *Allotment) isNewer(other *Allotment) bool {
	return a.Leader > other.Leader || a.Leader == other.Leader && a.Sequence > other.Sequence
}

// OrganisationReport is the state of an organisation with a cap in a cell.
type OrganisationReport struct {
	Name string
	// Base is what the cell always may have running, and Allotted what it may until the
	// allotment expires.
	Base     tasks.Resources
	Allotted tasks.Resources
	Used     tasks.Resources
	// Held means that neither this owner nor any after it starts within the base before a leader
	// has confirmed the cap.
	Held bool
	// Waiting is what the ready tasks without a host need, and Wanted the part of it that the
	// cap has kept from being started a moment ago.
	Waiting tasks.Resources
	Wanted  tasks.Resources
	// Unit is the largest part of Wanted that starts as a whole, and Gang whether it is that
	// of a gang.
	Unit tasks.Resources
	Gang bool
}

// QuotaReport is the state of all organisations with a cap in a cell.
type QuotaReport struct {
	// At is a reading of the cell's clock.
	At time.Duration
	// Leader, Sequence and Remaining are those of the allotment in effect.
	Leader    int64
	Sequence  int64
	Remaining time.Duration
	// Pending is the version of the configuration that the leader is to confirm, 0 for none.
	Pending       int64
	Organisations []OrganisationReport
}

// quotas is what a cell knows of organisations. Cell.mu guards it.
type quotas struct {
	service string
	config  *queue.Config
	// services is the number of cells among which the bases are divided, 0 for a cell that
	// has none. From reducedAt on it is reducedTo, unless reducedAt is 0.
	services  int
	reducedTo int
	reducedAt time.Duration
	caps      confirmedCaps
	// limited is set if any organisation has a cap.
	limited   bool
	allotment Allotment
	// allottedAt is the local time at which the allotment was received.
	allottedAt time.Duration
	wanted     map[string]wanted
	stats      map[string]*organisationStats
}

// wanted is what a pass could have started beyond the allowance of an organisation.
type wanted struct {
	at     time.Duration
	amount tasks.Resources
	unit   tasks.Resources
	gang   bool
}

// SetOrganisations updates the organisations by the active configuration.
func (c *Cell) SetOrganisations(config *queue.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if config == nil || c.quotas.config == config {
		return
	}
	now := c.options.Clock()
	services := 0
	if service, ok := config.Service(c.options.Service); ok && !service.Standby {
		services = config.ActiveServices()
	}
	if c.quotas.config == nil {
		// The previous owner may have divided the bases by more services until a moment ago.
		c.quotas.services = c.quotas.caps.services
	}
	c.quotas.setServices(services, now)
	c.quotas.config = config
	c.quotas.limited = slices.ContainsFunc(config.Organisations, func(o queue.Organisation) bool { return quota.IsLimited(o.Cap) })
	c.holdUnconfirmed(now)
	wake(c.scheduleWake)
}

// setServices sets the number of services at a local time. Bases shrink at once and grow after
// serviceRemovalTime.
func (q *quotas) setServices(services int, now time.Duration) {
	if current := q.cellCount(now); services > 0 && services < current {
		q.services, q.reducedTo, q.reducedAt = current, services, now+serviceRemovalTime
		return
	}
	q.services, q.reducedAt = services, 0
}

// cellCount returns the number of cells among which the bases are divided at a local time.
func (q *quotas) cellCount(now time.Duration) int {
	if q.reducedAt != 0 && now >= q.reducedAt {
		return q.reducedTo
	}
	return q.services
}

// allowance returns what an organisation with a cap may have running at a local time.
func (q *quotas) allowance(name string, limit tasks.Resources, now time.Duration) tasks.Resources {
	if q.caps.held[name] {
		restricted, _ := q.restriction(name, now)
		return restricted
	}
	return quota.Allowance(limit, q.allotted(name, now), q.cellCount(now))
}

// restriction returns what the leader restricts an organisation to at a local time, and whether it does
// so by a configuration that isn't outdated.
func (q *quotas) restriction(name string, now time.Duration) (tasks.Resources, bool) {
	restricted, ok := q.allotment.Limits[name]
	if !ok || now >= q.allotment.Until || q.allotment.Version < q.unconfirmedSince(name) {
		return tasks.Resources{}, false
	}
	return restricted, true
}

// capOf returns the cap of an organisation. One that isn't configured has none.
func (q *quotas) capOf(name string) tasks.Resources {
	if !q.limited || name == "" {
		return tasks.Resources{}
	}
	if organisation := q.config.Organisation(name); organisation != nil {
		return organisation.Cap
	}
	return tasks.Resources{}
}

// allotted returns what an organisation was allotted, if that hasn't expired at a local time.
func (q *quotas) allotted(name string, now time.Duration) tasks.Resources {
	if now >= q.allotment.Until {
		return tasks.Resources{}
	}
	return q.allotment.Amounts[name]
}

// Allot replaces the allotments of the cell, unless a newer leader or allotment is known.
func (c *Cell) Allot(a Allotment) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() || a.Epoch != c.epoch {
		return ErrNotOwner
	}
	if !a.isNewer(&c.quotas.allotment) {
		return nil
	}
	now, before := c.options.Clock(), c.quotas.allotment
	c.quotas.allotment, c.quotas.allottedAt = a, now
	c.confirmCaps(&a, now)
	c.logAllotment(&before, now)
	wake(c.scheduleWake)
	return nil
}

// logAllotment logs each change from an earlier allotment at a local time.
func (c *Cell) logAllotment(before *Allotment, now time.Duration) {
	a := &c.quotas.allotment
	for _, organisation := range c.quotas.organisations() {
		name := organisation.Name
		amount, restricted := a.Amounts[name], false
		if limit, ok := a.Limits[name]; ok {
			amount, restricted = limit, true
		}
		if _, was := before.Limits[name]; was == restricted && a.Amounts[name] == before.Amounts[name] && a.Limits[name] == before.Limits[name] {
			continue
		}
		c.logger.Info("allotment changed", "organisation", name, "leader", a.Leader, "cpu", amount.CPU, "memMb", amount.MemMB, "gpu", amount.GPU, "restricted", restricted, "for", (a.Until - now).Round(time.Millisecond))
	}
}

// organisations returns the organisations of the configuration.
func (q *quotas) organisations() []queue.Organisation {
	if q.config == nil {
		return nil
	}
	return q.config.Organisations
}

// organisationOf returns the organisation that a run belongs to, or "".
func (c *Cell) organisationOf(r *run) string {
	e := r.entry
	if e == nil {
		// A run that this owner has not assigned, but whose job it may know.
		e = c.byID[r.id.Job]
	}
	if e == nil {
		return ""
	}
	return e.job.Policy.Organisation
}

// usedByOrganisation returns what each organisation has running. Every run counts from its
// assignment until it is certain that it is over, on all hosts, whether they are listed
// or not.
func (c *Cell) usedByOrganisation() map[string]tasks.Resources {
	used := make(map[string]tasks.Resources)
	// Runs of one organisation often follow each other, which saves a look-up for each.
	name, sum := "", tasks.Resources{}
	for _, h := range c.hosts {
		for _, r := range h.runs {
			if other := c.organisationOf(r); other != name {
				used[name] = used[name].Add(sum)
				name, sum = other, tasks.Resources{}
			}
			sum = sum.Add(r.resources)
		}
	}
	used[name] = used[name].Add(sum)
	return used
}

// quotaPass keeps a pass within the allowances of organisations.
type quotaPass struct {
	cell *Cell
	now  time.Duration
	used map[string]tasks.Resources
	// allowances holds the allowances by organisation, once they were needed.
	allowances map[string]tasks.Resources
	wanted     map[string]*wantedCount
}

// wantedCount is what a pass could have started so far beyond an allowance.
type wantedCount struct {
	wanted
	steps int
}

// newQuotaPass returns nil if no organisation has a cap.
func (c *Cell) newQuotaPass() *quotaPass {
	if !c.quotas.limited {
		return nil
	}
	return &quotaPass{
		cell: c, now: c.options.Clock(), used: c.usedByOrganisation(),
		allowances: make(map[string]tasks.Resources), wanted: make(map[string]*wantedCount),
	}
}

// usedSoFar returns what organisations have running, or nil if that isn't counted.
func (q *quotaPass) usedSoFar() map[string]tasks.Resources {
	if q == nil {
		return nil
	}
	return q.used
}

// count counts a run that was assigned.
func (q *quotaPass) count(name string, resources tasks.Resources) {
	if q != nil {
		q.used[name] = q.used[name].Add(resources)
	}
}

// mayStart reports whether an organisation may have a unit of tasks more.
func (q *quotaPass) mayStart(name string, reqs place.Requirements, unit int) bool {
	if q == nil {
		return true
	}
	limit := q.cell.quotas.capOf(name)
	if !quota.IsLimited(limit) {
		return true
	}
	need := multiply(reqs.Step.RequiredResources(), int64(unit))
	return quota.MayStart(limit, q.allowance(name, limit), q.used[name], need)
}

func (q *quotaPass) allowance(name string, limit tasks.Resources) tasks.Resources {
	allowance, known := q.allowances[name]
	if !known {
		allowance = q.cell.quotas.allowance(name, limit, q.now)
		q.allowances[name] = allowance
	}
	return allowance
}

// countWanted counts what the hosts have room for of count units that mayStart refused: the cell
// could use it beyond its allowance.
func (q *quotaPass) countWanted(name string, reqs place.Requirements, unit, count int, hosts []*place.Host) {
	w := q.wanted[name]
	if w == nil {
		w = &wantedCount{wanted: wanted{at: q.now}}
		q.wanted[name] = w
	}
	if w.steps++; w.steps > maxWantedSteps {
		return
	}
	room := roomFor(reqs, hosts, unit*count) / unit
	if room == 0 {
		return
	}
	step := reqs.Step.RequiredResources()
	w.amount = w.amount.Add(multiply(step, int64(unit*room)))
	limit, whole := q.cell.quotas.capOf(name), multiply(step, int64(unit))
	if quota.DominantShare(whole, limit) > quota.DominantShare(w.unit, limit) {
		w.unit, w.gang = whole, unit > 1
	}
}

// roomFor returns how many tasks the hosts have room for, at most count. It adds up the room of
// each host: no requirement of a task depends on its siblings on other hosts.
func roomFor(reqs place.Requirements, hosts []*place.Host, count int) int {
	room := 0
	for _, h := range hosts {
		if room >= count {
			break
		}
		if place.Feasible(reqs, h) {
			room += tasksThatFit(reqs, h)
		}
	}
	return min(room, count)
}

// tasksThatFit returns how many tasks of a step fit on a host that is feasible for one.
func tasksThatFit(reqs place.Requirements, h *place.Host) int {
	need := reqs.Step.RequiredResources()
	count := int64(math.MaxInt32)
	if limit := reqs.Step.MaxPerHost; limit > 0 {
		count = int64(limit - reqs.SiblingsByHost[h.ID])
	}
	if need.CPU > 0 {
		count = min(count, h.Free.CPU/need.CPU)
	}
	if need.MemMB > 0 {
		count = min(count, h.Free.MemMB/need.MemMB)
	}
	if need.GPU > 0 {
		count = min(count, h.Free.GPU/need.GPU)
	}
	return int(count)
}

func multiply(r tasks.Resources, count int64) tasks.Resources {
	return tasks.Resources{CPU: r.CPU * count, MemMB: r.MemMB * count, GPU: r.GPU * count}
}

// end records what the pass could have started beyond the allowances. The most of the last
// wantedTime is kept. Steps compete for the same room, which bounds their sum.
func (q *quotaPass) end(hosts []*place.Host) {
	if q == nil || len(q.wanted) == 0 {
		return
	}
	var free tasks.Resources
	for _, h := range hosts {
		free = free.Add(quota.Max(h.Free, tasks.Resources{}))
	}
	kept := q.cell.quotas.wanted
	if kept == nil {
		kept = make(map[string]wanted)
		q.cell.quotas.wanted = kept
	}
	for name, w := range q.wanted {
		w.amount = quota.Max(quota.Min(w.amount, free), w.unit)
		last := kept[name]
		if q.now-last.at > wantedTime || quota.Max(last.amount, w.amount) == w.amount {
			kept[name] = w.wanted
		}
	}
}

// quotaReport returns the state of the organisations that have a cap, or nil if none has.
func (c *Cell) quotaReport() *QuotaReport {
	if !c.quotas.limited {
		return nil
	}
	now := c.options.Clock()
	c.quotas.caps.divideBy(c.quotas.cellCount(now))
	c.writeCaps()
	a := &c.quotas.allotment
	report := &QuotaReport{At: now, Leader: a.Leader, Sequence: a.Sequence, Remaining: max(0, a.Until-now), Pending: c.unconfirmed(now)}
	used, waiting := c.usedByOrganisation(), c.waitingByOrganisation()
	for _, organisation := range c.quotas.organisations() {
		if !quota.IsLimited(organisation.Cap) {
			continue
		}
		name := organisation.Name
		r := OrganisationReport{
			Name: name, Base: quota.Base(organisation.Cap, c.quotas.cellCount(now)), Allotted: c.quotas.allotted(name, now),
			Used: used[name], Held: c.quotas.caps.isStored(name), Waiting: waiting[name],
		}
		if w := c.quotas.wanted[name]; now-w.at <= wantedTime && r.Waiting != (tasks.Resources{}) {
			r.Wanted, r.Unit, r.Gang = w.amount, w.unit, w.gang
		}
		report.Organisations = append(report.Organisations, r)
	}
	return report
}

// waitingByOrganisation returns what the ready tasks without a host need.
func (c *Cell) waitingByOrganisation() map[string]tasks.Resources {
	waiting := make(map[string]tasks.Resources)
	for e := range c.open {
		name := e.job.Policy.Organisation
		waiting[name] = waiting[name].Add(readyResources(e.job))
	}
	return waiting
}

// readyResources returns what the ready tasks of a job need.
func readyResources(job *tasks.Job) tasks.Resources {
	var ready tasks.Resources
	for _, round := range job.Rounds {
		for step := range round.Steps {
			if count := round.Waiting(step); count > 0 && job.DependenciesDone(round, step) {
				ready = ready.Add(multiply(job.Plan.Steps[step].RequiredResources(), int64(count)))
			}
		}
	}
	return ready
}
