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

// poolState is what is known of a pool.
type poolState struct {
	report     cell.Report
	hosts      map[string]cell.HostReport
	reportedAt time.Duration
	// arrivalRate is the processor time that new jobs ask for each second, in thousandths
	// of a core.
	arrivalRate float64
	// demand is what tasks other than serving ones use and wait for, in thousandths
	// of a core, and slow the same over a longer time.
	demand     float64
	slowDemand float64
	// recentTargets are the numbers of hosts that the pool has lately wanted.
	recentTargets []hostTarget
}

// hostTarget is how many hosts a pool wanted at a time.
type hostTarget struct {
	at    time.Duration
	hosts int
}

// refreshReports reads the reports of all cells at once, so that an owner that doesn't
// answer holds nobody up.
func (t *term) refreshReports(ctx context.Context, table *queue.Config) {
	ctx, cancel := context.WithTimeout(ctx, cellCallTimeout)
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
			delete(t.pools, service.Name)
			continue
		}
		t.recordReport(service.Name, *reports[i])
	}
}

const (
	// arrivalTimeConstant is the time over which the rate of new work is taken: about that
	// in which a job is done.
	arrivalTimeConstant = 2500 * time.Millisecond
	// demandTimeConstant is the time over which the demand is taken, and slowSpan that to
	// which it is compared to see it grow.
	demandTimeConstant = 250 * time.Millisecond
	slowTimeConstant   = 1000 * time.Millisecond
	// forecastHorizon is the time for which growth is taken to go on: that in which a machine
	// moves and is made use of.
	forecastHorizon = 3500 * time.Millisecond
	// maxForecastGrowth bounds what growth adds, as a part of the demand.
	maxForecastGrowth = 3.0
)

// recordReport takes in a report and how the demand has changed since the last one.
func (t *term) recordReport(service string, report cell.Report) {
	now := t.options.Clock()
	p := &poolState{report: report, hosts: make(map[string]cell.HostReport), reportedAt: now}
	for _, h := range report.Hosts {
		p.hosts[h.ID] = h
	}
	before := t.pools[service]
	if before != nil {
		p.arrivalRate, p.demand, p.slowDemand, p.recentTargets = before.arrivalRate, before.demand, before.slowDemand, before.recentTargets
	}
	if before != nil && before.report.Epoch == report.Epoch && now > before.reportedAt {
		span := now - before.reportedAt
		rate := float64(report.Arrived-before.report.Arrived) / float64(span.Milliseconds())
		p.arrivalRate += smoothingFactor(span, arrivalTimeConstant) * (rate - p.arrivalRate)
		demand := float64(p.used().CPU - report.Serving.CPU + report.Waiting.CPU)
		p.demand += smoothingFactor(span, demandTimeConstant) * (demand - p.demand)
		p.slowDemand += smoothingFactor(span, slowTimeConstant) * (demand - p.slowDemand)
	}
	t.pools[service] = p
}

// smoothingFactor returns the weight of a value over a time in a mean over a longer one.
func smoothingFactor(span, over time.Duration) float64 {
	return 1 - math.Exp(-span.Seconds()/over.Seconds())
}

// used returns the room that all runs of the pool take.
func (p *poolState) used() tasks.Room {
	var used tasks.Room
	for _, h := range p.hosts {
		used = used.Add(h.Used)
	}
	return used
}

// forecastDemand returns what tasks other than serving ones will use and wait for once a
// machine that is ordered now has moved.
func (p *poolState) forecastDemand() float64 {
	growth := (p.demand - p.slowDemand) / (slowTimeConstant - demandTimeConstant).Seconds()
	return p.demand + min(growth*forecastHorizon.Seconds(), maxForecastGrowth*p.demand)
}

// scaleDownDelay is how long a pool keeps what it wanted: a machine that goes and is
// wanted again costs two moves and is away for the time of both.
const scaleDownDelay = 2 * time.Second

// recentPeak notes how many hosts a pool wants now, and returns the most that it has
// wanted lately.
func (p *poolState) recentPeak(now time.Duration, hosts int) int {
	kept := []hostTarget{{at: now, hosts: hosts}}
	for _, w := range p.recentTargets {
		if now-w.at < scaleDownDelay && w.at != now {
			kept = append(kept, w)
		}
	}
	p.recentTargets = kept
	most := 0
	for _, w := range kept {
		most = max(most, w.hosts)
	}
	return most
}
