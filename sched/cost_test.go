package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/pool"
	"rattanpath/tasks"
)

// largeCell returns a cell of 270 hosts with 400 open jobs, of which some serve. Their tasks wait.
func largeCell(b *testing.B, serving int, cpu int64) *Cell {
	b.Helper()
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) + time.Hour }
	c := newCell(Options{Service: testService, MaxLease: testLease, Clock: clock, Logger: logr.Discard(), Metrics: NewMetrics(metrics.NewSet()), Link: NewLink(0)})
	c.claimedAt = clock() - time.Minute
	c.confirmedAt = clock() + time.Hour
	for i := range 270 {
		id := fmt.Sprintf("h%d", i)
		h := c.host(id)
		h.info = &pool.Host{ID: id, Service: testService, Capacity: tasks.Resources{CPU: 8000, MemMB: 1 << 16}}
		h.inPool, h.synced = true, true
		h.clock.Observe(time.Hour, clock(), clock())
	}
	for i := range 400 {
		plan := simplePlan(30, cpu)
		if i < serving {
			plan = servingPlan(30, cpu)
		}
		job := tasks.NewJob(tasks.Key{Queue: testQueue, ID: fmt.Sprintf("%016x", i)}, plan, tasks.Policy{Service: testService, MaxAttempts: 3}, time.Now())
		job.StartDueRounds(time.Now().Add(time.Second))
		e := &jobEntry{job: job}
		c.addJob(e)
		c.open[e] = true
	}
	return c
}

// BenchmarkUnplaced measures what serving tasks that wait cost an owner in each report.
func BenchmarkUnplaced(b *testing.B) {
	for _, cpu := range []int64{100, 9000} {
		for _, serving := range []int{0, 10, 100, 400} {
			b.Run(fmt.Sprint(cpu, "/", serving), func(b *testing.B) {
				c := largeCell(b, serving, cpu)
				unplaced := 0
				for b.Loop() {
					unplaced = c.unplacedServing(time.Now())
				}
				b.ReportMetric(float64(unplaced), "unplaced")
			})
		}
	}
}
