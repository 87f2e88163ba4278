package depot

import (
	"context"
	"math"
	"sync"
	"time"

	"rattanpath/cell"
	"rattanpath/queue"
	"rattanpath/tasks"
)

// pool is what is known of a pool.
type pool struct {
	report cell.Report
	hosts  map[string]cell.HostReport
	at     time.Duration
	// asked is the processor time that new jobs ask for each second, in thousandths
	// of a core.
	asked float64
	// demand is what tasks other than serving ones use and wait for, in thousandths
	// of a core, and slow the same over a longer time.
	demand float64
	slow   float64
	// wants are the numbers of hosts that the pool has lately wanted.
	wants []want
}

// want is how many hosts a pool wanted at a time.
type want struct {
	at    time.Duration
	hosts int
}

// ask reads the reports of all cells at once, so that an owner that doesn't
// answer holds nobody up.
func (t *term) ask(ctx context.Context, table *queue.Table) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	reports := make([]*cell.Report, len(table.Services))
	var wg sync.WaitGroup
	for i, service := range table.Services {
		if service.Standby {
			continue
		}
		wg.Go(func() {
			if report, err := t.options.Cells.Report(ctx, service.Name); err == nil {
				reports[i] = &report
			}
		})
	}
	wg.Wait()
	for i, service := range table.Services {
		if reports[i] == nil {
			delete(t.reports, service.Name)
			continue
		}
		t.note(service.Name, *reports[i])
	}
}

const (
	// askedSpan is the time over which the rate of new work is taken: about that
	// in which a job is done.
	askedSpan = 2500 * time.Millisecond
	// demandSpan is the time over which the demand is taken, and slowSpan that to
	// which it is compared to see it grow.
	demandSpan = 250 * time.Millisecond
	slowSpan   = 1000 * time.Millisecond
	// lead is the time for which growth is taken to go on: that in which a machine
	// moves and is made use of.
	lead = 3500 * time.Millisecond
	// maxGrowth bounds what growth adds, as a part of the demand.
	maxGrowth = 3.0
)

// note takes in a report and how the demand has changed since the last one.
func (t *term) note(service string, report cell.Report) {
	now := t.options.Clock()
	p := &pool{report: report, hosts: make(map[string]cell.HostReport), at: now}
	for _, h := range report.Hosts {
		p.hosts[h.ID] = h
	}
	before := t.reports[service]
	if before != nil {
		p.asked, p.demand, p.slow, p.wants = before.asked, before.demand, before.slow, before.wants
	}
	if before != nil && before.report.Epoch == report.Epoch && now > before.at {
		span := now - before.at
		rate := float64(report.Arrived-before.report.Arrived) / float64(span.Milliseconds())
		p.asked += weight(span, askedSpan) * (rate - p.asked)
		demand := float64(p.used().CPU - report.Serving.CPU + report.Waiting.CPU)
		p.demand += weight(span, demandSpan) * (demand - p.demand)
		p.slow += weight(span, slowSpan) * (demand - p.slow)
	}
	t.reports[service] = p
}

// weight returns the weight of a value over a time in a mean over a longer one.
func weight(span, over time.Duration) float64 {
	return 1 - math.Exp(-span.Seconds()/over.Seconds())
}

// used returns the room that all runs of the pool take.
func (p *pool) used() tasks.Resources {
	var used tasks.Resources
	for _, h := range p.hosts {
		used = used.Add(h.Used)
	}
	return used
}

// soon returns what tasks other than serving ones will use and wait for once a
// machine that is ordered now has moved.
func (p *pool) soon() float64 {
	growth := (p.demand - p.slow) / (slowSpan - demandSpan).Seconds()
	return p.demand + min(growth*lead.Seconds(), maxGrowth*p.demand)
}

// keepTime is how long a pool keeps what it wanted: a machine that goes and is
// wanted again costs two moves and is away for the time of both.
const keepTime = 2 * time.Second

// keeps notes how many hosts a pool wants now, and returns the most that it has
// wanted lately.
func (p *pool) keeps(now time.Duration, hosts int) int {
	kept := []want{{at: now, hosts: hosts}}
	for _, w := range p.wants {
		if now-w.at < keepTime && w.at != now {
			kept = append(kept, w)
		}
	}
	p.wants = kept
	most := 0
	for _, w := range kept {
		most = max(most, w.hosts)
	}
	return most
}
