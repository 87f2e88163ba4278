package sched

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

// longestGapAllowed is how long after the end of its last run a serving task may be without one,
// while nothing is disturbed and hosts have room.
const longestGapAllowed = 9 * time.Second

// gapMeter measures how long a task is without a run, as its hosts know.
type gapMeter struct {
	longest atomic.Int64
}

// measureGaps watches a serving task from now on, which has a run.
func (tc *testCluster) measureGaps(task tasks.ID) *gapMeter {
	m := &gapMeter{}
	go func() {
		seen := time.Now()
		for core.Sleep(tc.ctx, 10*time.Millisecond) == nil {
			if tc.checker.ActiveRuns(task) > 0 {
				seen = time.Now()
			}
			m.longest.Store(max(m.longest.Load(), int64(time.Since(seen))))
		}
	}()
	return m
}

// wantShort checks that no gap was longer than allowed.
func (m *gapMeter) wantShort(t *testing.T) {
	t.Helper()
	if got := time.Duration(m.longest.Load()); got > longestGapAllowed {
		t.Errorf("got %v without a run of the serving task, want at most %v", got, longestGapAllowed)
	}
}

// pausingLog suspends the process once, in the middle of a scheduling pass.
type pausingLog struct {
	pause atomic.Int64
}

// Write implements io.Writer.
func (l *pausingLog) Write(line []byte) (int, error) {
	if strings.Contains(string(line), `msg="run assigned"`) {
		time.Sleep(time.Duration(l.pause.Swap(0)))
	}
	return len(line), nil
}

// Guards against an owner that assigns nothing for many times as long as it was suspended, or short of
// processor time, during one scheduling pass: serving tasks whose runs end then have none for as long.
func TestLongPassDelaysNoLaterStarts(t *testing.T) {
	log := &pausingLog{}
	tc := newTestCluster(t.Context(), t, 3)
	tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
	tc.logOutput = log
	n := tc.startServing(1)
	gaps := tc.measureGaps(tasks.ID{Job: "job"})
	log.pause.Store(int64(1200 * time.Millisecond))
	go func() { _ = tc.submit(n, "other", servingPlan(1, 1000)) }()
	time.Sleep(1300 * time.Millisecond)
	tc.runners[n.hostOf("job", 0)].BreakGangs()
	for range 120 {
		time.Sleep(100 * time.Millisecond)
		if tc.checker.ActiveRuns(tasks.ID{Job: "job"}) > 0 {
			break
		}
	}
	gaps.wantShort(t)
}

// lossyClient loses the start commands to some hosts, whose other calls are answered.
type lossyClient struct {
	lease.HostClient
	lossy []string
	// lost counts the lost start commands, and startsToLose is how many more are lost to any host.
	lost         atomic.Int64
	startsToLose atomic.Int64
	// stopsToRefuse is how many more stop commands are refused as invalid.
	stopsToRefuse atomic.Int64
}

// Start implements lease.HostClient.
func (c *lossyClient) Start(ctx context.Context, host *pool.Host, command lease.StartCommand) (lease.Reply, error) {
	if !slices.Contains(c.lossy, host.ID) && c.startsToLose.Add(-1) < 0 {
		return c.HostClient.Start(ctx, host, command)
	}
	c.lost.Add(1)
	if err := core.Sleep(ctx, time.Second); err != nil {
		return lease.Reply{}, err
	}
	return lease.Reply{}, context.DeadlineExceeded
}

// Stop implements lease.HostClient.
func (c *lossyClient) Stop(ctx context.Context, host *pool.Host, command lease.StopCommand) (lease.Reply, error) {
	if c.stopsToRefuse.Add(-1) >= 0 {
		return lease.Reply{Reason: lease.RefusedInvalid}, nil
	}
	return c.HostClient.Stop(ctx, host, command)
}

// startServingLossy starts a serving task and returns the client of its owner.
func (tc *testCluster) startServingLossy() (*node, *lossyClient) {
	client := &lossyClient{}
	tc.wrapHosts = func(hosts lease.HostClient) lease.HostClient {
		client.HostClient = hosts
		return client
	}
	tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
	return tc.startServing(1), client
}

// Guards against a task that is started again and again on the same host, which answers all other
// calls, while hosts that start it are free.
func TestLostStartsGoElsewhere(t *testing.T) {
	runCluster(t, 5, func(tc *testCluster) {
		n, client := tc.startServingLossy()
		host := n.hostOf("job", 0)
		for id := range tc.runners {
			if id != host && len(client.lossy) < 3 {
				client.lossy = append(client.lossy, id)
			}
		}
		gaps := tc.measureGaps(tasks.ID{Job: "job"})
		tc.runners[host].SetUnresponsive(true)
		time.Sleep(30 * time.Second)
		gaps.wantShort(t)
		if got := client.lost.Load(); got > 6 {
			t.Errorf("got %d lost start commands, want at most 2 to each of 3 hosts", got)
		}
	})
}

// Guards against a run that counts as starting for ever because a stop command was refused, after
// whose start the host hadn't answered.
func TestRefusedStopIsRepeated(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		n, client := tc.startServingLossy()
		client.startsToLose.Store(1)
		client.stopsToRefuse.Store(1)
		gaps := tc.measureGaps(tasks.ID{Job: "job"})
		tc.runners[n.hostOf("job", 0)].BreakGangs()
		time.Sleep(30 * time.Second)
		gaps.wantShort(t)
	})
}

// slowStarts is a latency of hosts that are slow to answer starts.
func slowStarts(_ string, command any) fake.Latency {
	if _, ok := command.(lease.StartCommand); ok {
		return fake.Latency{Request: 150 * time.Millisecond, Reply: 150 * time.Millisecond}
	}
	return fake.Latency{}
}

// Guards against serving tasks whose starts wait in turn behind those of others, which hosts are slow
// to answer, until they are too old to be sent, again and again.
func TestServingTasksStartBeforeOthers(t *testing.T) {
	runCluster(t, 6, func(tc *testCluster) {
		tc.wrapHosts = func(hosts lease.HostClient) lease.HostClient {
			hosts.(*fake.HostClient).SetLatency(slowStarts)
			return hosts
		}
		tc.profileOf = func(task tasks.ID, _ int) fake.RunProfile {
			return fake.RunProfile{Serving: task.Job == "job", Duration: 700 * time.Millisecond}
		}
		n := tc.startServing(5)
		var gaps []*gapMeter
		for index := range 5 {
			gaps = append(gaps, tc.measureGaps(tasks.ID{Job: "job", Index: index}))
		}
		for caller := range 16 {
			go func() {
				for i := range 60 {
					_ = tc.submit(n, fmt.Sprint("other", caller, "-", i), simplePlan(20, 100))
					time.Sleep(300 * time.Millisecond)
				}
			}()
		}
		time.Sleep(5 * time.Second)
		for _, runner := range tc.runners {
			runner.BreakGangs()
		}
		time.Sleep(12 * time.Second)
		for _, g := range gaps {
			g.wantShort(t)
		}
	})
}

// Guards against a serving task that is given up as if it had crashed four hosts, while its owner has only
// lost the path to each of them shortly after the start.
func TestHostsOutOfReachAreNoCrashes(t *testing.T) {
	const outOfReach = 7 * time.Second
	runCluster(t, 8, func(tc *testCluster) {
		log := tc.useServingTasks()
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "job", servingPlan(1, 1000))
		var gaps *gapMeter
		for starts := range 6 {
			for range 1500 {
				if tc.checker.Starts() > starts {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if gaps == nil {
				gaps = tc.measureGaps(tasks.ID{Job: "job"})
			}
			time.Sleep(50 * time.Millisecond)
			host := n.hostOf("job", 0)
			n.hosts.SetPartitioned(host, true)
			time.AfterFunc(outOfReach, func() { n.hosts.SetPartitioned(host, false) })
		}
		time.Sleep(20 * time.Second)
		gaps.wantShort(t)
		if got := log.lines("task given up"); len(got) != 0 {
			t.Errorf("got a task that was given up, %v, want none", got)
		}
	})
}
