package infra

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"rattanpath/queue"
	"rattanpath/quota"
	"rattanpath/sched"
	"rattanpath/tasks"
)

const (
	// allotmentTime is how long an allotment is valid: what a lost owner was lent can't be
	// lent to others before, and cells keep their allotments without a leader for as long.
	allotmentTime = 2500 * time.Millisecond
	// renewBefore is the remaining time at which an allotment is renewed. A round of the
	// leader may take a second if calls time out.
	renewBefore = 1500 * time.Millisecond
	// recentUse is for how long a use that has ended counts as demand, so that the pause
	// between two tasks doesn't cost a cell its allotment.
	recentUse = time.Second
	// departedTime is how long the cell of a service that is no longer configured counts:
	// until its runs have ended with their leases.
	departedTime = 7 * time.Second
)

// lender lends the caps of organisations to cells during a term.
type lender struct {
	sequence int64
	cells    map[string]*borrower
}

// borrower is the cell of a service as the leader knows it.
type borrower struct {
	service string
	// epoch is that of the cell in the newest report, and at its clock then.
	epoch int64
	at    time.Duration
	// reported is set if the cell has reported in this round, and seenAt is when it last
	// did. adopted is set once a report has shown an allotment of this leader: the cell then
	// refuses those of older leaders.
	reported bool
	adopted  bool
	seenAt   time.Duration
	// pending is the version of the configuration that the cell waits for, 0 for none.
	pending int64
	shares  map[string]*borrowed
	// granted holds the allotments that the cell may have or may still get, and last is the
	// one that it has accepted last, or nil.
	granted []sched.Allotment
	last    *sched.Allotment
}

// borrowed is an organisation in a cell.
type borrowed struct {
	report sched.OrganisationReport
	// peaks holds the use within recentUse.
	peaks []usedAt
	// shortSince is since when the cell lacks what it wants, 0 if it doesn't.
	shortSince time.Duration
}

type usedAt struct {
	at   time.Duration
	used tasks.Resources
}

// limitedOrganisations returns the organisations with a cap.
func limitedOrganisations(config *queue.Config) []queue.Organisation {
	var limited []queue.Organisation
	for _, organisation := range config.Organisations {
		if quota.IsLimited(organisation.Cap) {
			limited = append(limited, organisation)
		}
	}
	return limited
}

// lendWithoutMachines lends quotas while the machines can't be listed.
func (t *term) lendWithoutMachines(ctx context.Context, config *queue.Config) {
	if len(limitedOrganisations(config)) > 0 {
		t.refreshReports(ctx, config)
		t.lendQuotas(ctx, config)
	}
}

// lendQuotas divides the caps of organisations between the cells by their reports.
func (t *term) lendQuotas(ctx context.Context, config *queue.Config) {
	organisations := limitedOrganisations(config)
	if len(organisations) == 0 {
		t.lender.cells = nil
		return
	}
	cells := t.updateBorrowers(config)
	if !t.canOrder() {
		return
	}
	d := &distribution{
		now: t.options.Clock(), version: config.Version, amounts: make(map[*borrower]map[string]tasks.Resources),
		limits: make(map[*borrower]map[string]tasks.Resources), kept: make(map[*borrower]int64), short: make(map[string]bool),
	}
	if slices.ContainsFunc(cells, func(b *borrower) bool { return !b.adopted }) {
		// An older leader may have lent to a cell that has not reported since. The others
		// keep what they have.
		organisations, d.version = nil, 0
		for _, b := range cells {
			d.keepLast(b)
		}
	}
	for _, organisation := range organisations {
		d.divideCap(organisation, cells)
	}
	t.sendAllotments(ctx, cells, d)
}

// distribution is how the caps are divided in one round.
type distribution struct {
	now time.Duration
	// version is that of the configuration, 0 if nothing could be divided.
	version int64
	// amounts and limits are those of sched.Allotment, by cell.
	amounts map[*borrower]map[string]tasks.Resources
	limits  map[*borrower]map[string]tasks.Resources
	// kept holds the versions by which the caps were divided for the cells that get the same as
	// last time, by cell.
	kept map[*borrower]int64
	// short holds the organisations of which any cell lacks what it wants.
	short map[string]bool
}

// keepLast allots a cell the same as last time.
func (d *distribution) keepLast(b *borrower) {
	if b.last != nil {
		d.amounts[b], d.limits[b], d.kept[b] = b.last.Amounts, b.last.Limits, b.last.Version
	}
}

// updateBorrowers updates the cells by the reports of this round and returns them by name.
func (t *term) updateBorrowers(config *queue.Config) []*borrower {
	now := t.options.Clock()
	if t.lender.cells == nil {
		t.lender.cells = make(map[string]*borrower)
	}
	for _, service := range config.Services {
		if t.lender.cells[service.Name] == nil && !service.Standby {
			t.lender.cells[service.Name] = &borrower{service: service.Name, shares: make(map[string]*borrowed)}
		}
	}
	var cells []*borrower
	for name, b := range t.lender.cells {
		b.reported = false
		service, ok := config.Service(name)
		isDeparted := !ok || service.Standby
		switch p := t.pools[name]; {
		case isDeparted && now-b.seenAt > departedTime:
			delete(t.lender.cells, name)
			continue
		case !isDeparted && p != nil && p.report.Quota != nil:
			b.update(&p.report, t.claim.Epoch, now)
		}
		cells = append(cells, b)
	}
	slices.SortFunc(cells, func(a, b *borrower) int { return strings.Compare(a.service, b.service) })
	return cells
}

// update records a report that came at a local time of the leader of an epoch.
func (b *borrower) update(report *sched.Report, leader int64, now time.Duration) {
	if report.Epoch < b.epoch || report.Epoch == b.epoch && report.Quota.At < b.at {
		// The report is of a previous owner, or older than one that was already processed.
		return
	}
	if report.Epoch > b.epoch {
		// Allotments are for one epoch: those of the previous owner have lapsed.
		b.epoch, b.granted, b.last, b.adopted = report.Epoch, nil, nil, false
	}
	q := report.Quota
	b.reported, b.at, b.seenAt, b.pending = true, q.At, now, q.Pending
	b.adopted = q.Leader == leader
	b.granted = slices.DeleteFunc(b.granted, func(a sched.Allotment) bool {
		return q.At >= a.Until || b.adopted && a.Sequence < q.Sequence
	})
	reported := make(map[string]bool)
	for _, organisation := range q.Organisations {
		reported[organisation.Name] = true
		b.share(organisation.Name).update(organisation, now)
	}
	for name := range b.shares {
		if !reported[name] {
			delete(b.shares, name)
		}
	}
}

func (b *borrower) share(name string) *borrowed {
	if b.shares[name] == nil {
		b.shares[name] = &borrowed{}
	}
	return b.shares[name]
}

func (s *borrowed) update(report sched.OrganisationReport, now time.Duration) {
	s.report = report
	s.peaks = slices.DeleteFunc(s.peaks, func(p usedAt) bool { return now-p.at > recentUse })
	s.peaks = append(s.peaks, usedAt{at: now, used: report.Used})
}

// lent returns the most of an organisation that the cell may have running apart from its base:
// it may have used what it was lent since its last report.
func (b *borrower) lent(name string) tasks.Resources {
	lent := b.share(name).report.Used
	for _, a := range b.granted {
		lent = quota.Max(lent, quota.Max(a.Amounts[name], a.Limits[name]))
	}
	return lent
}

// mayBeReleased reports whether an allotment that the cell may still get ends its hold of an organisation.
func (b *borrower) mayBeReleased(name string) bool {
	return slices.ContainsFunc(b.granted, func(a sched.Allotment) bool {
		_, restricted := a.Limits[name]
		return a.Version != 0 && !restricted
	})
}

// demand returns what the cell would have running of an organisation if it were allowed to.
func (s *borrowed) demand() tasks.Resources {
	demand := s.report.Used.Add(s.report.Wanted)
	for _, p := range s.peaks {
		demand = quota.Max(demand, p.used)
	}
	return demand
}

// divideCap adds what the cells are allotted of a cap beyond their bases, and the limits if
// the cap is overcommitted.
func (d *distribution) divideCap(organisation queue.Organisation, cells []*borrower) {
	name := organisation.Name
	base := quota.Base(organisation.Cap, len(cells))
	var states []quota.Cell
	for _, b := range cells {
		s := b.share(name)
		lent := b.lent(name)
		charged := quota.Max(lent, quota.Max(base, s.report.Base))
		if !s.report.Held || b.mayBeReleased(name) {
			// Its owner, or the next one, may start within the base.
			lent = charged
		}
		state := quota.Cell{
			Charged: charged, Lent: lent, Used: s.report.Used, Demand: s.demand(),
			Unit: s.report.Unit, Gang: s.report.Gang, Silent: !b.reported,
		}
		if s.shortSince != 0 {
			state.Short = d.now - s.shortSince
		}
		states = append(states, state)
	}
	allotted, short := quota.Divide(organisation.Cap, states)
	for i, b := range cells {
		b.share(name).recordShort(short[i], d.now)
		if quota.Max(allotted[i], base) != base {
			setAmount(d.amounts, b, name, allotted[i])
		}
	}
	for i, limit := range quota.Restrict(organisation.Cap, states, allotted) {
		setAmount(d.limits, cells[i], name, limit)
	}
	d.short[name] = slices.Contains(short, true)
}

// setAmount sets the amount of an organisation in a cell.
func setAmount(amounts map[*borrower]map[string]tasks.Resources, b *borrower, name string, amount tasks.Resources) {
	if amounts[b] == nil {
		amounts[b] = make(map[string]tasks.Resources)
	}
	amounts[b][name] = amount
}

// recordShort records at a local time whether the cell lacks what it wants.
func (s *borrowed) recordShort(short bool, now time.Duration) {
	switch {
	case s.report.Wanted == (tasks.Resources{}) || !short:
		s.shortSince = 0
	case s.shortSince == 0:
		s.shortSince = now
	}
}

// sendAllotments sends the cells their allotments where these have changed or expire soon.
func (t *term) sendAllotments(ctx context.Context, cells []*borrower, d *distribution) {
	ctx, cancel := context.WithTimeout(ctx, cellCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, b := range cells {
		if !b.needsCall(d) {
			continue
		}
		t.lender.sequence++
		a := sched.Allotment{
			Leader: t.claim.Epoch, Sequence: t.lender.sequence, Epoch: b.epoch, Until: b.at + allotmentTime,
			Amounts: d.amounts[b], Limits: d.limits[b], Version: max(d.version, d.kept[b]),
		}
		b.granted = append(b.granted, a)
		wg.Go(func() { t.sendAllotment(ctx, b, a) })
	}
	wg.Wait()
}

// sendAllotment sends an allotment to a cell. If the call fails, another one is sent in the
// next round; the cell counts as having got both.
func (t *term) sendAllotment(ctx context.Context, b *borrower, a sched.Allotment) {
	b.last = &a
	if err := t.options.Cells.Allot(ctx, b.service, a); err != nil {
		b.last = nil
		t.logger.Info("failed to send an allotment", "service", b.service, "sequence", a.Sequence, "err", err.Error())
	}
}

// needsCall reports whether a cell that has reported in this round must be sent its
// allotment. A smaller one is sent at once only if another cell needs the difference.
func (b *borrower) needsCall(d *distribution) bool {
	amounts, limits := d.amounts[b], d.limits[b]
	empty := len(amounts) == 0 && len(limits) == 0
	switch {
	case !b.reported:
		return false
	case !b.adopted || b.pending != 0 && b.pending <= d.version:
		return true
	case b.last == nil || b.at >= b.last.Until:
		return !empty || b.last == nil && len(b.granted) > 0
	case empty && len(b.last.Amounts) == 0 && len(b.last.Limits) == 0:
		return false
	case b.last.Until-b.at < renewBefore:
		return true
	}
	return !maps.Equal(limits, b.last.Limits) || d.changes(amounts, b.last.Amounts)
}

// changes reports whether the amounts of a cell differ from its last ones in a way that can't
// wait for the renewal.
func (d *distribution) changes(amounts, last map[string]tasks.Resources) bool {
	for name, amount := range amounts {
		if !last[name].CanFit(amount) {
			return true
		}
	}
	for name, amount := range last {
		if d.short[name] && amount != amounts[name] {
			return true
		}
	}
	return false
}
