package sched

import (
	"maps"
	"slices"
	"time"

	"rattanpath/quota"
	"rattanpath/tasks"
	"rattanpath/views"
)

// Reasons for which tasks wait or jobs are refused, as they are shown to operators.
const (
	heldByCap   = "cap"
	heldByShare = "share"
	// refusedShare means that the link is busy and the organisation beyond its part of it.
	refusedShare = "share"
)

// heldTasks shows since when passes have held back tasks.
type heldTasks struct {
	since time.Duration
	at    time.Duration
	ever  bool
}

// record records that a pass at a local time has held back tasks.
func (h *heldTasks) record(now time.Duration) {
	if !h.ever || now-h.at > wantedTime {
		h.since = now
	}
	h.at, h.ever = now, true
}

// duration returns for how long tasks have been held back at a local time, or 0.
func (h *heldTasks) duration(now time.Duration) time.Duration {
	if !h.ever || now-h.at > wantedTime {
		return 0
	}
	return max(time.Millisecond, now-h.since)
}

// organisationStats is what a cell shows to operators of an organisation. Decisions don't use it.
type organisationStats struct {
	capHeld    heldTasks
	shareHeld  heldTasks
	entitled   float64
	entitledAt time.Duration
	competed   bool
	refused    map[string]int64
}

// statsOf returns the statistics of an organisation, which are created if missing.
func (q *quotas) statsOf(name string) *organisationStats {
	if q.stats == nil {
		q.stats = make(map[string]*organisationStats)
	}
	if q.stats[name] == nil {
		q.stats[name] = &organisationStats{}
	}
	return q.stats[name]
}

// recordHeld records the organisations whose tasks the pass has held back.
func (p *schedulePass) recordHeld() {
	if p.quota == nil && p.fair == nil {
		return
	}
	c, now := p.cell, p.cell.options.Clock()
	if p.quota != nil {
		for name, w := range p.quota.wanted {
			if w.amount != (tasks.Resources{}) {
				c.quotas.statsOf(name).capHeld.record(now)
				c.options.Metrics.recordHeld(name, heldByCap)
			}
		}
	}
	if p.fair == nil {
		return
	}
	for name := range p.fair.heldBack {
		c.quotas.statsOf(name).shareHeld.record(now)
		c.options.Metrics.recordHeld(name, heldByShare)
	}
	for name, entitled := range p.fair.entitled {
		stats := c.quotas.statsOf(name)
		stats.entitled, stats.entitledAt, stats.competed = entitled, now, true
	}
}

// recordRefused records that a job of an organisation was refused.
func (c *Cell) recordRefused(name, reason string) {
	stats := c.quotas.statsOf(name)
	if stats.refused == nil {
		stats.refused = make(map[string]int64)
	}
	stats.refused[reason]++
	c.options.Metrics.recordRefused(name, reason)
}

// Organisations returns the state of the organisations for operators.
func (c *Cell) Organisations() (views.CellOrganisations, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLost() {
		return views.CellOrganisations{}, ErrNotOwner
	}
	now := c.options.Clock()
	q := &c.quotas
	view := views.CellOrganisations{
		Service: c.options.Service, Node: c.options.Node, Epoch: c.epoch, Confirmed: now - c.confirmedAt,
	}
	if q.config != nil {
		view.Version, view.Pending = q.config.Version, c.unconfirmed(now) != 0
	}
	if q.allotment.Leader != 0 {
		view.Leader, view.AllottedAge, view.AllottedFor = q.allotment.Leader, now-q.allottedAt, max(0, q.allotment.Until-now)
	}
	used, waiting, pool := c.usedByOrganisation(), c.waitingByOrganisation(), c.poolCapacity()
	for _, name := range q.names(used, waiting) {
		use := c.organisationUse(name, now)
		use.Used, use.Waiting = viewOf(used[name]), viewOf(waiting[name])
		use.Share = quota.DominantShare(used[name], pool)
		view.Organisations = append(view.Organisations, use)
	}
	return view, nil
}

// names returns the organisations that are configured or have work, sorted. Callers without an
// organisation are shown if there are others.
func (q *quotas) names(used, waiting map[string]tasks.Resources) []string {
	if len(q.organisations()) == 0 {
		return nil
	}
	names := make(map[string]bool)
	for _, organisation := range q.organisations() {
		names[organisation.Name] = true
	}
	for _, amounts := range []map[string]tasks.Resources{used, waiting} {
		for name, amount := range amounts {
			if amount != (tasks.Resources{}) {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// organisationUse returns the state of an organisation at a local time, apart from its use.
func (c *Cell) organisationUse(name string, now time.Duration) views.OrganisationUse {
	q := &c.quotas
	limit, stats := q.capOf(name), q.statsOf(name)
	use := views.OrganisationUse{
		Name: name, Weight: q.weight(name), Cap: viewOf(limit), Entitled: -1,
		CapHeld: stats.capHeld.duration(now), ShareHeld: stats.shareHeld.duration(now), Refused: maps.Clone(stats.refused),
	}
	if quota.IsLimited(limit) {
		use.Base, use.Allotted = viewOf(quota.Base(limit, q.cellCount(now))), viewOf(q.allotted(name, now))
		use.Allowed = viewOf(q.allowance(name, limit, now))
	}
	if stats.competed {
		use.Entitled, use.EntitledAge = stats.entitled, now-stats.entitledAt
	}
	return use
}

// poolCapacity returns the capacity of the usable hosts.
func (c *Cell) poolCapacity() tasks.Resources {
	var pool tasks.Resources
	for _, h := range c.hosts {
		if h.usable() {
			pool = pool.Add(h.info.Capacity)
		}
	}
	return pool
}

func viewOf(r tasks.Resources) views.Resources {
	return views.Resources{CPU: r.CPU, MemMB: r.MemMB, GPU: r.GPU}
}
