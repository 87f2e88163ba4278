package sched

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

const (
	// flapHost is the ID, up to its number, and the address of the machine that goes down and up.
	flapHost = "m"
	// lastingGap is how long after its last run a task that lasts must run again, if its machine has
	// been up for upTime.
	lastingGap = 9 * time.Second
	upTime     = 3 * time.Second
	// recordLifetime is how long a former host is still listed.
	recordLifetime = 6 * time.Second
)

// flappingMachine is a machine that goes down and up by turns.
type flappingMachine struct {
	*testCluster
	node *node
	// newIDs means that the host gets a new ID whenever it is up again.
	newIDs bool
	// number is that of the host that has the address now, and runner the host.
	number atomic.Int64
	runner *fake.Runner
}

// newFlappingMachine adds the machine to the cluster, which a node then claims.
func newFlappingMachine(tc *testCluster, newIDs bool) *flappingMachine {
	m := &flappingMachine{testCluster: tc, newIDs: newIDs}
	m.runner = tc.newHost(m.id(), flapHost, 1)
	tc.runners[m.id()] = m.runner
	tc.wrapHosts = func(client lease.HostClient) lease.HostClient { return addressClient{client, m} }
	m.node = tc.claim("a")
	time.Sleep(100 * time.Millisecond)
	return m
}

func (m *flappingMachine) id() string { return fmt.Sprint(flapHost, m.number.Load()) }

func (m *flappingMachine) up() {
	if !m.newIDs {
		m.runner.Restart()
		return
	}
	former := m.id()
	time.AfterFunc(recordLifetime, func() { m.node.hosts.SetUnlisted(former, true) })
	m.number.Add(1)
	m.runner = m.newHost(m.id(), flapHost, 1)
	m.node.hosts.AddRunner(m.id(), m.runner)
}

// flap goes down and up by turns for a while, then stays up.
func (m *flappingMachine) flap(period, total time.Duration) {
	for begun := time.Now(); time.Since(begun) < total; {
		m.runner.Crash()
		time.Sleep(period / 2)
		m.up()
		time.Sleep(period / 2)
	}
}

// addressClient lets the host that has the address now answer the calls to former ones.
type addressClient struct {
	lease.HostClient
	machine *flappingMachine
}

func (c addressClient) isFormer(host *pool.Host) bool {
	return host.Address == flapHost && host.ID != c.machine.id()
}

func (c addressClient) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	if c.isFormer(host) {
		return lease.Reply{Reason: lease.RefusedIncarnation}, nil
	}
	return c.HostClient.Start(ctx, host, command)
}

func (c addressClient) Heartbeat(ctx context.Context, host *pool.Host, command lease.Heartbeat) (lease.HeartbeatReply, error) {
	if c.isFormer(host) {
		return lease.HeartbeatReply{Reply: lease.Reply{Reason: lease.RefusedIncarnation}}, nil
	}
	return c.HostClient.Heartbeat(ctx, host, command)
}

// TestFlappingMachineGivesUpNoTask guards against a task that is given up for good because its
// machine went down and up by turns: each time it had just been started there, since no other host
// had room for it, and the host's new ID hid that the machine goes down by itself.
func TestFlappingMachineGivesUpNoTask(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		for _, period := range []time.Duration{830 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("new IDs %t, period %s", newIDs, period), func(t *testing.T) {
				runCluster(t, 3, func(tc *testCluster) {
					tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
					machine := newFlappingMachine(tc, newIDs)
					tc.mustSubmit(machine.node, "job", servingPlan(4, 1000))
					time.Sleep(5 * time.Second)
					machine.checkFlap(period)
				})
			})
		}
	}
}

// checkFlap lets the machine flap and checks that all tasks run again in time.
func (m *flappingMachine) checkFlap(period time.Duration) {
	m.t.Helper()
	var stays atomic.Bool
	go func() {
		m.flap(period, 6500*time.Millisecond)
		stays.Store(true)
	}()
	var ran [4]time.Time
	var upSince time.Time
	for begun := time.Now(); time.Since(begun) < 25*time.Second; time.Sleep(50 * time.Millisecond) {
		if upSince.IsZero() && stays.Load() {
			upSince = time.Now()
		}
		for index := range ran {
			id := tasks.ID{Job: "job", Index: index}
			switch {
			case m.checker.ActiveRuns(id) > 0:
				ran[index] = time.Now()
			case !upSince.IsZero() && time.Since(upSince) > upTime && time.Since(ran[index]) > lastingGap:
				m.t.Errorf("got no run of task %d for %s, %s after the machine was up, with %d crashes counted, want one", index, time.Since(ran[index]), time.Since(upSince), m.node.crashesOf(id))
				return
			}
		}
	}
}

// TestHostCrashedByTaskIsUsedAgain guards against tasks that need isolation and wait for hosts which
// other such tasks crash in turn: a host that is back under a new ID after it went down with a run
// that had just started is no unsteady machine.
func TestHostCrashedByTaskIsUsedAgain(t *testing.T) {
	runCluster(t, 0, func(tc *testCluster) {
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		machine := newFlappingMachine(tc, true)
		tc.mustSubmit(machine.node, "job", servingPlan(1, 1000))
		time.Sleep(100 * time.Millisecond)
		machine.runner.Crash()
		time.Sleep(500 * time.Millisecond)
		machine.up()
		id, got := tasks.ID{Job: "job"}, 0
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			got = max(got, machine.node.crashesOf(id))
		}
		if got != 1 {
			t.Errorf("got up to %d crashes counted, want 1", got)
		}
		if got := tc.checker.ActiveRuns(id); got != 1 {
			t.Errorf("got %d runs 2 s after the host was back, want 1", got)
		}
	})
}
