package infra

import (
	"fmt"
	"testing"
	"time"

	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

// planTerm is a term whose machines, reports and clock are set by a test.
type planTerm struct {
	*term
	now    time.Duration
	report sched.Report
	config *queue.Config
}

// newPlanTerm returns a term with a pool of hosts that are usable and busy, whose steps must be
// spread over a number of hosts, and machines in standby.
func newPlanTerm(hosts, apart, standby int) *planTerm {
	p := &planTerm{
		report: sched.Report{Service: "east", Epoch: 1, Apart: apart},
		config: queue.NewConfig(1, nil, []queue.Service{{Name: "east"}, {Name: "off", Standby: true}}, queue.Limits{}),
	}
	p.term = &term{
		Controller: &Controller{options: Options{Clock: func() time.Duration { return p.now }}},
		pools:      make(map[string]*poolState), operations: make(map[string]*operation),
	}
	capacity := tasks.Resources{CPU: 1000, MemMB: 1000}
	for i := range hosts {
		name := fmt.Sprintf("m%d", i)
		p.machines = append(p.machines, Machine{Name: name, Pool: "east", Capacity: capacity, Host: "h-" + name})
		p.report.Hosts = append(p.report.Hosts, sched.HostReport{ID: "h-" + name, Room: capacity, Runs: 1, Usable: true})
	}
	for i := range standby {
		p.machines = append(p.machines, Machine{Name: fmt.Sprintf("s%d", i), Pool: "off", Capacity: capacity})
	}
	return p
}

// movesAfter returns how many machines are planned to move into the pool after some time in
// which the leader has planned at each call of reconcile.
func (p *planTerm) movesAfter(wait time.Duration) int {
	for end := p.now + wait; p.now < end; p.now += reconcileInterval {
		p.plan()
	}
	return p.plan()
}

func (p *planTerm) plan() int {
	p.recordReport("east", p.report)
	count := 0
	for _, order := range p.planMoves(p.config) {
		if order.toPool == "east" {
			count++
		}
	}
	return count
}

// TestPoolIsRefilledForUnreportedHosts guards against a pool that never gets a machine in place of
// one whose host is gone: the cloud lists it as up, so that it counted as starting for ever.
func TestPoolIsRefilledForUnreportedHosts(t *testing.T) {
	p := newPlanTerm(8, 5, 8)
	steps := []struct {
		name   string
		change func()
		wait   time.Duration
		want   int
	}{
		{"all hosts are reported", func() {}, 10 * time.Second, 0},
		{"two records have expired", func() { p.report.Hosts = p.report.Hosts[2:] }, 0, 2},
		{"a new owner has just taken over", func() { p.report.Epoch = 2 }, 0, 0},
		{"the new owner doesn't know the two hosts", func() {}, 5 * time.Second, 2},
		{"one machine has a new host", func() { p.machines[0].Host = "h-new" }, 0, 1},
		{"the new host doesn't appear", func() {}, 5 * time.Second, 2},
		{"one machine has been down", func() { p.machines[1].State = Down; p.plan(); p.machines[1].State = Up }, 0, 1},
		{"one machine has no host", func() { p.machines[1].Host = "" }, 5 * time.Second, 2},
		{"a third owner has read no host records yet", func() { p.report.Epoch, p.report.Hosts = 3, nil }, 5 * time.Second, 0},
		{"it never reports a host", func() {}, 6 * time.Second, 8},
	}
	for _, step := range steps {
		step.change()
		if got := p.movesAfter(step.wait); got != step.want {
			t.Errorf("%s: got %d machines moved to the pool, want %d", step.name, got, step.want)
		}
	}
}

// TestPoolIsEnlargedForUnusableHosts guards against a step whose tasks must run on different hosts
// and that has too few: hosts that take no runs counted. It also guards against machines moved for
// hosts that a new owner hasn't reached yet, and for those that the pool's spare hosts make up for.
func TestPoolIsEnlargedForUnusableHosts(t *testing.T) {
	vacated := func(h *sched.HostReport) { h.Cordoned = true }
	unresponsive := func(h *sched.HostReport) { h.Usable = false }
	idle := func(h *sched.HostReport) { h.Usable, h.Runs = false, 0 }
	tests := []struct {
		name   string
		change func(h *sched.HostReport)
		hosts  int
		epoch  int64
		wait   time.Duration
		want   int
	}{
		{"as many vacated as are spare", vacated, spareHosts, 1, 10 * time.Second, 0},
		{"more vacated", vacated, spareHosts + 2, 1, 0, 2},
		{"more don't answer", unresponsive, spareHosts + 2, 1, 5 * time.Second, 2},
		{"more don't answer, a moment ago", unresponsive, spareHosts + 2, 1, time.Second, 0},
		{"none has answered a new owner yet", unresponsive, 8, 2, time.Second, 0},
		{"no idle one has answered a new owner yet", idle, 8, 2, time.Second, 0},
		{"idle ones don't answer", idle, 2, 1, 5 * time.Second, 2},
	}
	for _, test := range tests {
		p := newPlanTerm(8, 5, 8)
		p.movesAfter(10 * time.Second)
		p.report.Epoch = test.epoch
		for i := range test.hosts {
			test.change(&p.report.Hosts[i])
		}
		if got := p.movesAfter(test.wait); got != test.want {
			t.Errorf("%s: got %d machines moved to the pool, want %d", test.name, got, test.want)
		}
	}
}

// TestPoolIsEnlargedForWaitingTask guards against a task that waits for ever while its pool gets no
// machine: hosts that can't take it, and machines whose hosts are gone, count as room for it.
func TestPoolIsEnlargedForWaitingTask(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *planTerm)
		want   int
	}{
		{"host is idle", func(*planTerm) {}, 0},
		{"idle host is cordoned", func(p *planTerm) { p.report.Hosts[0].Cordoned = true }, 1},
		{"idle host doesn't answer", func(p *planTerm) { p.report.Hosts[0].Usable = false }, 1},
		{"idle host is gone", func(p *planTerm) { p.report.Hosts = p.report.Hosts[1:] }, 1},
		{"idle host can't take it", func(p *planTerm) { p.report.Unplaced = 1 }, 1},
	}
	for _, test := range tests {
		p := newPlanTerm(8, 0, 8)
		p.report.Hosts[0].Runs = 0
		p.report.WaitingTasks = 1
		test.change(p)
		if got := p.movesAfter(10 * time.Second); got != test.want {
			t.Errorf("%s: got %d machines moved to the pool, want %d", test.name, got, test.want)
		}
	}
}
