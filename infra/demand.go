package infra

import (
	"context"
	"math"
	"sync"
	"time"

	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

// poolState is the last report of a pool and the demand derived from its
// reports.
type poolState struct {
	report     sched.Report
	hosts      map[string]sched.HostReport
	reportedAt time.Duration
	// arrivalRate is the processor time that new jobs request per second, in
	// thousandths of a core, smoothed over arrivalTimeConstant.
	arrivalRate float64
	// demand is the processor time that tasks other than serving ones use or
	// wait for, in thousandths of a core, smoothed over demandTimeConstant.
	// slowDemand is the same smoothed over slowTimeConstant.
	demand     float64
	slowDemand float64
	// recentTargets are the host counts that the pool required within
	// scaleDownDelay.
	recentTargets []hostTarget
}

// hostTarget is the number of hosts that a pool required at a time.
type hostTarget struct {
	at    time.Duration
	hosts int
}

// refreshReports fetches the reports of all cells concurrently, so that an
// unresponsive owner does not delay the others.
func (t *term) refreshReports(ctx context.Context, config *queue.Config) {
	ctx, cancel := context.WithTimeout(ctx, cellCallTimeout)
	defer cancel()
	reports := make([]*sched.Report, len(config.Services))
	var wg sync.WaitGroup
	for i, service := range config.Services {
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
	for i, service := range config.Services {
		if reports[i] == nil {
			delete(t.pools, service.Name)
			continue
		}
		t.recordReport(service.Name, *reports[i])
	}
}

const (
	// arrivalTimeConstant smooths the arrival rate of new work. It is about the
	// time that a job takes.
	arrivalTimeConstant = 2500 * time.Millisecond
	// demandTimeConstant smooths the demand, and slowTimeConstant the average
	// that the demand is compared with to detect growth.
	demandTimeConstant = 250 * time.Millisecond
	slowTimeConstant   = 1000 * time.Millisecond
	// forecastHorizon is how far ahead growth is extrapolated: the time until a
	// moved machine is in use.
	forecastHorizon = 3500 * time.Millisecond
	// maxForecastGrowth bounds the forecast growth as a multiple of the demand.
	maxForecastGrowth = 3.0
)

// recordReport stores a report and updates the arrival rate and the demand of
// its pool.
func (t *term) recordReport(service string, report sched.Report) {
	now := t.options.Clock()
	p := &poolState{report: report, hosts: make(map[string]sched.HostReport), reportedAt: now}
	for _, h := range report.Hosts {
		p.hosts[h.ID] = h
	}
	previous := t.pools[service]
	if previous != nil {
		p.arrivalRate, p.demand, p.slowDemand, p.recentTargets = previous.arrivalRate, previous.demand, previous.slowDemand, previous.recentTargets
	}
	if previous != nil && previous.report.Epoch == report.Epoch && now > previous.reportedAt {
		elapsed := now - previous.reportedAt
		rate := float64(report.Arrived-previous.report.Arrived) / float64(elapsed.Milliseconds())
		// The rate is negative if the owner has withdrawn jobs.
		p.arrivalRate = max(0, p.arrivalRate+smoothingFactor(elapsed, arrivalTimeConstant)*(rate-p.arrivalRate))
		demand := float64(p.used().CPU - report.Serving.CPU + report.Waiting.CPU)
		p.demand += smoothingFactor(elapsed, demandTimeConstant) * (demand - p.demand)
		p.slowDemand += smoothingFactor(elapsed, slowTimeConstant) * (demand - p.slowDemand)
	}
	t.pools[service] = p
}

// smoothingFactor returns the weight of a sample that covers interval in an
// exponential moving average.
func smoothingFactor(interval, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-interval.Seconds()/timeConstant.Seconds())
}

// used returns the capacity that all runs of the pool use.
func (p *poolState) used() tasks.Resources {
	var used tasks.Resources
	for _, h := range p.hosts {
		used = used.Add(h.Used)
	}
	return used
}

// servingHosts returns the number of hosts of the pool with serving tasks.
func (p *poolState) servingHosts() int {
	count := 0
	for _, h := range p.hosts {
		if h.Lasting > 0 {
			count++
		}
	}
	return count
}

// forecastDemand returns the processor time that tasks other than serving ones
// will use or wait for once a machine that is ordered now has moved, in
// thousandths of a core.
func (p *poolState) forecastDemand() float64 {
	growth := (p.demand - p.slowDemand) / (slowTimeConstant - demandTimeConstant).Seconds()
	return p.demand + min(growth*forecastHorizon.Seconds(), maxForecastGrowth*p.demand)
}

// scaleDownDelay is how long a pool keeps hosts that it required. A machine
// that is released and required again costs two moves and is unavailable during
// both.
const scaleDownDelay = 2 * time.Second

// recentPeak records how many hosts a pool requires now and returns the maximum
// over the last scaleDownDelay.
func (p *poolState) recentPeak(now time.Duration, hosts int) int {
	recent := []hostTarget{{at: now, hosts: hosts}}
	for _, target := range p.recentTargets {
		if now-target.at < scaleDownDelay && target.at != now {
			recent = append(recent, target)
		}
	}
	p.recentTargets = recent
	peak := 0
	for _, target := range recent {
		peak = max(peak, target.hosts)
	}
	return peak
}
