package infra

import (
	"context"
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
	// lent to others before, and cells go on without a leader for as long.
	allotmentTime = 2500 * time.Millisecond
	// renewBefore is the remaining time at which an allotment is renewed. A round of the
	// leader may take a second if calls time out.
	renewBefore = 1500 * time.Millisecond
	// recentUse is for how long a use that has ended counts as demand, so that the pause
	// between two tasks doesn't cost a cell its allotment.
	recentUse = time.Second
	// departedTime is how long the cell of a service that is no longer configured counts:
	// until its runs have ended with their leases.
	departedTime = 10 * time.Second
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
	// reported is set if the report is from this round, and seenAt is when the last one
	// came. adopted is set once the cell has shown that it refuses older leaders.
	reported bool
	adopted  bool
	seenAt   time.Duration
	shares   map[string]*borrowed
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
	amounts := make(map[*borrower]map[string]tasks.Resources)
	short := make(map[string]bool)
	if slices.ContainsFunc(cells, func(b *borrower) bool { return !b.adopted }) {
		// An older leader may have lent to a cell that has not reported since. The others
		// keep what they have.
		organisations = nil
		for _, b := range cells {
			amounts[b] = b.lastAmounts()
		}
	}
	for _, organisation := range organisations {
		short[organisation.Name] = divideCap(organisation, cells, amounts, t.options.Clock())
	}
	t.sendAllotments(ctx, cells, amounts, short)
}

// lastAmounts returns what the cell was allotted last.
func (b *borrower) lastAmounts() map[string]tasks.Resources {
	if b.last == nil {
		return nil
	}
	return b.last.Amounts
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
		if p := t.pools[name]; p != nil && p.report.Quota != nil {
			b.update(&p.report, t.claim.Epoch, now)
		} else if (!ok || service.Standby) && now-b.seenAt > departedTime {
			delete(t.lender.cells, name)
			continue
		}
		cells = append(cells, b)
	}
	slices.SortFunc(cells, func(a, b *borrower) int { return strings.Compare(a.service, b.service) })
	return cells
}

// update records a report that came at a local time of the leader of an epoch.
func (b *borrower) update(report *sched.Report, leader int64, now time.Duration) {
	if report.Epoch < b.epoch || report.Epoch == b.epoch && report.Quota.At < b.at {
		// A former owner still answers.
		return
	}
	if report.Epoch > b.epoch {
		// Allotments are for one epoch: those of the previous owner have lapsed.
		b.epoch, b.granted, b.last, b.adopted = report.Epoch, nil, nil, false
	}
	q := report.Quota
	b.reported, b.at, b.seenAt = true, q.At, now
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

// charge returns the most of an organisation that the cell may have running: it may have used
// what it was lent since its last report.
func (b *borrower) charge(name string, base tasks.Resources) tasks.Resources {
	charge := base
	if s := b.shares[name]; s != nil {
		charge = quota.Max(charge, quota.Max(s.report.Base, s.report.Used))
	}
	for _, a := range b.granted {
		charge = quota.Max(charge, a.Amounts[name])
	}
	return charge
}

// demand returns what the cell would have running of an organisation if it were allowed to.
func (s *borrowed) demand() tasks.Resources {
	demand := s.report.Used.Add(s.report.Wanted)
	for _, p := range s.peaks {
		demand = quota.Max(demand, p.used)
	}
	return demand
}

// divideCap adds what the cells are allotted of a cap beyond their bases to amounts. It reports
// whether any of them lacks what it wants.
func divideCap(organisation queue.Organisation, cells []*borrower, amounts map[*borrower]map[string]tasks.Resources, now time.Duration) bool {
	base := quota.Base(organisation.Cap, len(cells))
	var states []quota.Cell
	for _, b := range cells {
		s := b.share(organisation.Name)
		state := quota.Cell{
			Charged: b.charge(organisation.Name, base), Used: s.report.Used, Demand: s.demand(),
			Unit: s.report.Unit, Gang: s.report.Gang, Silent: !b.reported,
		}
		if s.shortSince != 0 {
			state.Short = now - s.shortSince
		}
		states = append(states, state)
	}
	allotted, short := quota.Divide(organisation.Cap, states)
	for i, b := range cells {
		b.share(organisation.Name).recordShort(short[i], now)
		if quota.Max(allotted[i], base) == base {
			continue
		}
		if amounts[b] == nil {
			amounts[b] = make(map[string]tasks.Resources)
		}
		amounts[b][organisation.Name] = allotted[i]
	}
	return slices.Contains(short, true)
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
func (t *term) sendAllotments(ctx context.Context, cells []*borrower, amounts map[*borrower]map[string]tasks.Resources, short map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, cellCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, b := range cells {
		if !b.needsCall(amounts[b], short) {
			continue
		}
		t.lender.sequence++
		a := sched.Allotment{Leader: t.claim.Epoch, Sequence: t.lender.sequence, Epoch: b.epoch, Until: b.at + allotmentTime, Amounts: amounts[b]}
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
func (b *borrower) needsCall(amounts map[string]tasks.Resources, short map[string]bool) bool {
	switch {
	case !b.reported:
		return false
	case !b.adopted:
		return true
	case b.last == nil || b.at >= b.last.Until:
		return len(amounts) > 0 || b.last == nil && len(b.granted) > 0
	case len(amounts) == 0 && len(b.last.Amounts) == 0:
		return false
	case b.last.Until-b.at < renewBefore:
		return true
	}
	for name, amount := range amounts {
		if !b.last.Amounts[name].CanFit(amount) {
			return true
		}
	}
	for name, amount := range b.last.Amounts {
		if short[name] && amount != amounts[name] {
			return true
		}
	}
	return false
}
