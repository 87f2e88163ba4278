package infra

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"rattanpath/core"
	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

// shortageScene is a leader with pool east, whose serving tasks lack a host, and pool west.
type shortageScene struct {
	term   *term
	now    time.Duration
	out    bytes.Buffer
	config *queue.Config
	// reports are those of the pools' owners.
	reports map[string]*sched.Report
}

// newShortageScene returns a scene in which each host is usable. Those of east are busy, and each
// of west has a number of runs.
func newShortageScene(westRuns int) *shortageScene {
	s := &shortageScene{
		config:  queue.NewConfig(1, nil, []queue.Service{{Name: "east"}, {Name: "west"}}, queue.Limits{}),
		reports: map[string]*sched.Report{"east": {Service: "east", Epoch: 1, WaitingTasks: 1}, "west": {Service: "west", Epoch: 1}},
	}
	s.term = &term{
		Controller: &Controller{options: Options{Clock: func() time.Duration { return s.now }}, logger: core.NewLogger(&s.out, "n")},
		pools:      make(map[string]*poolState), operations: make(map[string]*operation),
	}
	s.addMachines("east", 5, 1)
	s.addMachines("west", spareHosts, westRuns)
	return s
}

// addMachines adds machines whose hosts have a number of runs.
func (s *shortageScene) addMachines(pool string, count, runs int) {
	capacity := tasks.Resources{CPU: 1000, MemMB: 1000}
	for i := range count {
		name := fmt.Sprintf("%s%d", pool, i)
		s.term.machines = append(s.term.machines, Machine{Name: name, Pool: pool, Capacity: capacity, Host: "h-" + name})
		s.reports[pool].Hosts = append(s.reports[pool].Hosts, sched.HostReport{ID: "h-" + name, Room: capacity, Usable: true, Runs: runs})
	}
}

// reconcile plays rounds of the controller for a period, without sending orders.
func (s *shortageScene) reconcile(period time.Duration) {
	for end := s.now + period; s.now < end; s.now += reconcileInterval {
		for service, report := range s.reports {
			s.term.recordReport(service, *report)
		}
		s.term.planMoves(s.config)
		s.term.logShortages()
	}
}

// lines returns the lines so far on pools that lack hosts.
func (s *shortageScene) lines() []string {
	var found []string
	for line := range strings.Lines(s.out.String()) {
		if strings.Contains(line, `msg="pool lacks hosts and no machine is ordered"`) {
			found = append(found, line)
		}
	}
	return found
}

// TestShortageIsLogged guards against a pool that stays short of hosts while nothing tells on
// which counts the plan orders no machine for it.
func TestShortageIsLogged(t *testing.T) {
	tests := []struct {
		name  string
		scene func() *shortageScene
		want  string
	}{
		{"machine that starts for ever", func() *shortageScene {
			s := newShortageScene(1)
			hosts := s.reports["east"].Hosts
			s.reports["east"].Hosts = hosts[:len(hosts)-1]
			return s
		}, `why="the plan counts on hosts that take no runs" for=1s required=5 listed=4 usable=4 incoming=1 ordered=0 idle=0 standby=0`},
		{"hosts being vacated", func() *shortageScene {
			s := newShortageScene(1)
			for i := range 3 {
				s.reports["east"].Hosts[i].Cordoned = true
			}
			// The plan requires no further host while one is idle.
			s.reports["east"].Hosts[4].Runs = 0
			return s
		}, `why="the plan counts on hosts that take no runs" for=1s required=5 listed=5 usable=2 incoming=0 ordered=0 idle=0 standby=0`},
		{"no machine", func() *shortageScene {
			return newShortageScene(1)
		}, `why="no machine elsewhere is idle" for=1s required=6 listed=5 usable=5 incoming=0 ordered=0 idle=0 standby=0`},
		{"machines kept elsewhere", func() *shortageScene {
			return newShortageScene(0)
		}, fmt.Sprintf(`why="no idle machine was released" for=1s required=6 listed=5 usable=5 incoming=0 ordered=0 idle=%d standby=0`, spareHosts)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := test.scene()
			s.reconcile(shortageInterval + reconcileInterval)
			got := s.lines()
			if len(got) != 1 || !strings.HasSuffix(strings.TrimSpace(got[0]), "service=east "+test.want) {
				t.Errorf("got the lines %v, want one that ends in %s", got, test.want)
			}
		})
	}
}

// TestShortageLinesAreBounded guards against a line for each of the four plans a second.
func TestShortageLinesAreBounded(t *testing.T) {
	s := newShortageScene(1)
	s.reconcile(10 * time.Second)
	if got := len(s.lines()); got != 9 {
		t.Errorf("got %d lines in 10 s, want 9", got)
	}
}

// TestOrderedMachineIsNoShortage guards against lines on pools whose machine is on its way, and
// against state of pools that have enough hosts again.
func TestOrderedMachineIsNoShortage(t *testing.T) {
	s := newShortageScene(1)
	s.reconcile(shortageInterval / 2)
	if got := len(s.term.shortages); got != 1 {
		t.Errorf("got %d shortages, want 1", got)
	}
	s.term.operations["m"] = &operation{kind: moveOperation, toPool: "east"}
	s.reconcile(5 * time.Second)
	if got := s.lines(); len(got) != 0 || len(s.term.shortages) != 0 {
		t.Errorf("got the lines %v and %d shortages, want none", got, len(s.term.shortages))
	}
}
