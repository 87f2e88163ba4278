package infra

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rattanpath/queue"
	"rattanpath/sched"
	"rattanpath/tasks"
)

// servingScene is a leader with three pools: cut, whose hosts with serving tasks fall silent, busy, which
// lacks more hosts than there are, and quiet, whose hosts become idle one after the other. Orders are
// carried out within testMoveDuration.
type servingScene struct {
	t       *testing.T
	term    *term
	now     time.Duration
	config  *queue.Config
	reports map[string]*sched.Report
	// ordered counts the machines that were ordered for each pool.
	ordered map[string]int
}

func newServingScene(t *testing.T, hosts, apart int) *servingScene {
	s := &servingScene{
		t:       t,
		config:  queue.NewConfig(1, nil, []queue.Service{{Name: "busy"}, {Name: "cut"}, {Name: "quiet"}}, queue.Limits{}),
		reports: make(map[string]*sched.Report), ordered: make(map[string]int),
	}
	s.term = &term{
		Controller: &Controller{options: Options{Clock: func() time.Duration { return s.now }, MoveDuration: testMoveDuration}},
		pools:      make(map[string]*poolState), operations: make(map[string]*operation),
	}
	for pool, count := range map[string]int{"cut": hosts, "busy": 3, "quiet": 80} {
		s.reports[pool] = &sched.Report{Service: pool, Epoch: 1}
		for i := range count {
			m := Machine{Name: fmt.Sprintf("%s%02d", pool, i), Pool: pool, Capacity: tasks.Resources{CPU: 1000, MemMB: 1000}}
			s.addHost(&m)
			s.term.machines = append(s.term.machines, m)
		}
	}
	s.reports["cut"].Apart = apart
	for i := range s.reports["cut"].Hosts {
		s.reports["cut"].Hosts[i].Lasting = 1
	}
	s.reports["busy"].WaitingTasks, s.reports["busy"].Waiting = 1, tasks.Resources{CPU: 100_000}
	sortByName(s.term.machines)
	return s
}

// addHost adds the host of a machine to the report of its pool. Only those of cut can be idle at first.
func (s *servingScene) addHost(m *Machine) {
	m.State, m.Host = Up, fmt.Sprintf("h-%s-%s-%v", m.Name, m.Pool, s.now)
	host := sched.HostReport{ID: m.Host, Room: m.Capacity, Usable: true}
	if m.Pool != "cut" || s.now == 0 {
		host.Runs = 1
	}
	s.reports[m.Pool].Hosts = append(s.reports[m.Pool].Hosts, host)
}

// setUsable makes the hosts of cut that have serving tasks answer its owner, or not.
func (s *servingScene) setUsable(usable bool) {
	for i := range s.reports["cut"].Hosts {
		if h := &s.reports["cut"].Hosts[i]; h.Lasting > 0 {
			h.Usable = usable
		}
	}
}

// giveUp makes the owner of cut give up the serving tasks on the first hosts, which then wait.
func (s *servingScene) giveUp(hosts int) {
	cut := s.reports["cut"]
	for i := range hosts {
		cut.Hosts[i].Runs, cut.Hosts[i].Lasting = 0, 0
	}
	cut.Unplaced, cut.WaitingTasks = hosts, hosts
}

// changeLeader makes the leader know what a new one knows.
func (s *servingScene) changeLeader() {
	s.term.pools, s.term.listed = make(map[string]*poolState), nil
}

// reconcile plays rounds of the controller for a period. In each, a host of quiet becomes idle.
func (s *servingScene) reconcile(period time.Duration) {
	for end := s.now + period; s.now < end; s.now += reconcileInterval {
		s.finishMoves()
		quiet := s.reports["quiet"].Hosts
		if i := slices.IndexFunc(quiet, func(h sched.HostReport) bool { return h.Runs > 0 }); i >= 0 {
			quiet[i].Runs = 0
		}
		for service, report := range s.reports {
			copied := *report
			copied.Hosts = slices.Clone(report.Hosts)
			s.term.recordReport(service, copied)
		}
		s.term.listedAt = s.now
		s.term.expireOperations()
		for _, o := range s.term.planMoves(s.config) {
			s.move(o)
		}
	}
}

// finishMoves brings up the machines whose move has ended.
func (s *servingScene) finishMoves() {
	for i := range s.term.machines {
		m := &s.term.machines[i]
		if op := s.term.operations[m.Name]; m.State == Moving && s.now-op.startedAt >= testMoveDuration {
			m.Pool = op.toPool
			s.addHost(m)
		}
	}
}

// move carries out an order. It fails the test if the machine has runs.
func (s *servingScene) move(o plannedOrder) {
	report := s.reports[o.machine.Pool]
	i := slices.IndexFunc(report.Hosts, func(h sched.HostReport) bool { return h.ID == o.machine.Host })
	if !report.Hosts[i].Idle() {
		s.t.Errorf("got an order for machine %s with %d runs, want orders for idle ones only", o.machine.Name, report.Hosts[i].Runs)
	}
	report.Hosts = slices.Delete(report.Hosts, i, i+1)
	i = slices.IndexFunc(s.term.machines, func(m Machine) bool { return m.Name == o.machine.Name })
	s.term.machines[i].State, s.term.machines[i].Host = Moving, ""
	s.term.operations[o.machine.Name] = &operation{kind: moveOperation, startedAt: s.now, toPool: o.toPool}
	s.ordered[o.toPool]++
}

// TestPoolWithSilentHostsGetsMachine guards against serving tasks that have no run for as long as their
// owner doesn't reach the pool's hosts: machines become idle, and all of them go to a pool that lacks
// more hosts.
func TestPoolWithSilentHostsGetsMachine(t *testing.T) {
	tests := []struct {
		name         string
		hosts, apart int
		gaveUp       bool
		want         int
	}{
		{"spread over three hosts", 6, 3, false, 3},
		{"spread over three hosts, given up", 6, 3, true, 3},
		{"not spread", 3, 0, false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newServingScene(t, test.hosts, test.apart)
			s.reconcile(5 * time.Second)
			if got := s.ordered["cut"]; got != 0 {
				t.Errorf("got %d machines ordered before the hosts were silent, want none", got)
			}
			s.setUsable(false)
			if test.gaveUp {
				s.giveUp(test.hosts)
			}
			// One machine becomes idle in each round.
			s.reconcile(hostStartTimeout + time.Duration(test.want+1)*reconcileInterval)
			if got := s.ordered["cut"]; got < test.want {
				t.Errorf("got %d machines ordered, want %d", got, test.want)
			}
			if got := s.ordered["busy"]; got == 0 {
				t.Errorf("got no machine ordered for the pool that lacks more, want the others")
			}
		})
	}
}

// TestSilentHostsMoveFewMachines guards against machines moved back and forth for hosts that answer again:
// none for a silence in which they may recover, and for each longer one at most as many as a step must
// be spread over.
func TestSilentHostsMoveFewMachines(t *testing.T) {
	const apart, periods = 3, 8
	for silence, want := range map[time.Duration]int{2 * time.Second: 0, hostStartTimeout + time.Second: periods * apart} {
		s := newServingScene(t, 6, apart)
		for range periods {
			s.reconcile(5 * time.Second)
			s.setUsable(false)
			s.reconcile(silence)
			s.setUsable(true)
		}
		if got := s.ordered["cut"]; got > want {
			t.Errorf("got %d machines ordered in %d silences of %v, want at most %d", got, periods, silence, want)
		}
	}
}

// TestWaitingServingTasksGetMachineInTime guards against serving tasks that wait on after each new owner and
// leader, which count anew how long the pool's hosts have been silent, while idle machines go elsewhere.
func TestWaitingServingTasksGetMachineInTime(t *testing.T) {
	const hosts, apart = 6, 3
	tests := []struct {
		name   string
		change func(s *servingScene)
	}{
		{"new leader", func(s *servingScene) { s.giveUp(hosts); s.changeLeader() }},
		{"new owner", func(s *servingScene) { s.giveUp(hosts); s.reports["cut"].Epoch++ }},
		{"new leader, some hosts have runs", func(s *servingScene) { s.giveUp(hosts / 2); s.changeLeader() }},
		{"new owner, some hosts have runs", func(s *servingScene) { s.giveUp(hosts / 2); s.reports["cut"].Epoch++ }},
		{"some hosts have runs", func(s *servingScene) { s.giveUp(hosts / 2) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newServingScene(t, hosts, apart)
			s.reconcile(5 * time.Second)
			s.setUsable(false)
			test.change(s)
			// One machine becomes idle in each round.
			s.reconcile(servingStartTimeout + (apart+1)*reconcileInterval)
			if got := s.ordered["cut"]; got < apart {
				t.Errorf("got %d machines ordered, want %d", got, apart)
			}
		})
	}
}

// TestNewOwnerReachesHostsInTime guards against machines moved to a pool whose new owner reports waiting
// serving tasks before it has reached the hosts, or read which there are.
func TestNewOwnerReachesHostsInTime(t *testing.T) {
	const hosts, apart = 6, 3
	for _, reported := range []bool{true, false} {
		s := newServingScene(t, hosts, apart)
		s.reconcile(5 * time.Second)
		cut := s.reports["cut"]
		cut.Epoch++
		s.setUsable(false)
		s.giveUp(hosts)
		silence, listed := servingStartTimeout-reconcileInterval, cut.Hosts
		if !reported {
			cut.Hosts, silence = nil, 5*time.Second
		}
		s.reconcile(silence)
		cut.Hosts = listed
		for i := range cut.Hosts {
			cut.Hosts[i].Usable = true
		}
		cut.Unplaced, cut.WaitingTasks = 0, 0
		s.reconcile(5 * time.Second)
		if got := s.ordered["cut"]; got != 0 {
			t.Errorf("hosts reported %t: got %d machines ordered, want none", reported, got)
		}
	}
}
