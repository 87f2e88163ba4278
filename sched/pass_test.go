package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// BenchmarkPass measures a scheduling pass over many hosts that are busy, with jobs that
// wait for room.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ hosts, jobs int }{{200, 200}, {800, 600}, {800, 2000}} {
		b.Run(fmt.Sprintf("%d-%d", size.hosts, size.jobs), func(b *testing.B) {
			c := busyCell(size.hosts, size.jobs)
			b.ReportAllocs()
			for b.Loop() {
				c.schedule(time.Now())
			}
		})
	}
}

// Guards against reading the clock for each host or run: each reading is a system call, and
// an owner in a peak has hundreds of hosts and thousands of runs.
func TestClockReadingsDontGrowWithHosts(t *testing.T) {
	for _, hosts := range []int{10, 200} {
		c := busyCell(hosts, 20)
		readings, clock := 0, c.options.Clock
		c.options.Clock = func() time.Duration {
			readings++
			return clock()
		}
		c.schedule(time.Now())
		if readings > 5 {
			t.Errorf("got %d clock readings in a pass over %d hosts, want at most 5", readings, hosts)
		}
		readings = 0
		h := c.hosts["h0000"]
		c.handleHeartbeat(h, reportOf(h), sentCommand{token: c.token(h), at: clock()})
		if !h.synced || readings > 5 {
			t.Errorf("got %d clock readings for a report of %d runs, want at most 5", readings, len(h.runs))
		}
	}
}

// reportOf returns a report that lists the runs of a host.
func reportOf(h *host) lease.HeartbeatReply {
	reply := lease.HeartbeatReply{Reply: lease.Reply{HostTime: 2 * time.Minute}}
	for _, r := range h.runs {
		reply.Runs = append(reply.Runs, lease.Run{Task: r.id, Run: r.number})
	}
	return reply
}

// busyCell returns a cell whose hosts are full, with waiting jobs of two steps.
func busyCell(hosts, jobs int) *Cell {
	start := time.Now()
	c := newCell(Options{
		Service: testService, Clock: func() time.Duration { return time.Since(start) + time.Minute }, MaxLease: testLease,
		Link: NewLink(0), Logger: logr.Discard(), Metrics: NewMetrics(metrics.NewSet()),
	})
	room := tasks.Resources{CPU: hostCPU / 8, MemMB: 100}
	for i := range hosts {
		id := fmt.Sprintf("h%04d", i)
		c.updateHost(id, &pool.Host{ID: id, Service: testService, Address: id, Labels: []string{"a", "r1-0"}, Capacity: tasks.Resources{CPU: hostCPU, MemMB: 1 << 16}})
		h := c.hosts[id]
		h.synced = true
		h.clock.Observe(time.Minute, c.options.Clock(), c.options.Clock())
		for k := range 8 {
			e := &jobEntry{job: tasks.NewJob(tasks.Key{Queue: testQueue, ID: fmt.Sprint(i, k)}, simplePlan(1, room.CPU), tasks.Policy{}, start)}
			r := &run{entry: e, id: tasks.ID{Job: e.job.Key.ID}, number: 1, resources: room}
			h.runs[r.key()] = r
		}
	}
	for i := range jobs {
		plan := simplePlan(8, room.CPU)
		plan.Steps = append(plan.Steps, tasks.Step{Count: 4, Room: room, Estimate: 500 * time.Millisecond, After: []int{0}})
		e := &jobEntry{job: tasks.NewJob(tasks.Key{Queue: testQueue, ID: fmt.Sprint("waiting", i)}, plan, tasks.Policy{Stretch: 1.6, Target: 600 * time.Millisecond}, start)}
		e.definitionWritten = true
		c.addJob(e)
		e.job.StartDueRounds(start)
	}
	return c
}

// Guards against a walk over all jobs of the last minutes at each tick.
func TestEndedJobsAreSearchedOnceASecond(t *testing.T) {
	c, now := busyCell(0, 1), time.Now()
	c.removeEnded(now)
	for _, e := range c.jobs {
		e.persistedPhase, e.dirty, e.job.Ended = tasks.Completed, false, now.Add(-time.Hour)
	}
	c.removeEnded(now.Add(tickInterval))
	if got := len(c.jobs); got != 1 {
		t.Errorf("got %d jobs one tick after the last search, want 1", got)
	}
	c.removeEnded(now.Add(removeInterval))
	if got := len(c.jobs); got != 0 {
		t.Errorf("got %d jobs a second after the last search, want none", got)
	}
}
