package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/fake/stub"
	"rattanpath/store"
	"rattanpath/tasks"
)

const (
	nodeCount   = 5
	hostCount   = 12
	clientCount = 3
	// servingJobs is the number of jobs whose servingTasks tasks each last.
	servingJobs  = 3
	servingTasks = 4
	// startupTime is the time from the start of a serving run until it serves.
	startupTime = 200 * time.Millisecond
	// readyTimeout bounds the wait for the first runs of all serving tasks, and finishTimeout how
	// long the last jobs may take.
	readyTimeout  = 60 * time.Second
	finishTimeout = 14 * time.Second
	// groupName is the name of the nodes' group, and cellPartition the partition whose owner
	// has the service's cell.
	groupName     = "cells"
	cellPartition = 0
	// maxSlowdown is how much slower the clock of a host may be.
	maxSlowdown = 0.02
)

var keepLogs = flag.Bool("soak.keep", false, "keep the logs of a soak that succeeds too")

func TestMain(m *testing.M) {
	stub.RunIfNode()
	os.Exit(m.Run())
}

// cluster is a number of nodes and hosts, with clients that submit jobs.
type cluster struct {
	t      testing.TB
	ctx    context.Context
	seed   uint64
	random *rand.Rand
	// pathRandom draws the faults of paths, which leave those that random draws as they are.
	pathRandom *rand.Rand
	platform   *stub.Platform
	nodes      []*node
	book       *book
	faults     *faultLog
	watcher    *watcher
	// watched are the serving tasks.
	watched []*servingTask
	clients []*client
	// storeFault is held while the store fails.
	storeFault sync.Mutex
	stop       chan struct{}
	running    sync.WaitGroup
}

// newCluster starts a cluster and waits until all serving tasks run.
func newCluster(t testing.TB, seed uint64) *cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := &cluster{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), pathRandom: rand.New(rand.NewPCG(seed, 1)), book: &book{specs: make(map[string]jobSpec)}, stop: make(chan struct{})}
	dir := c.makeDir()
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c.platform = stub.NewPlatform(c.profile, func(task tasks.ID) tasks.Resources { return c.book.spec(task.Job).resources() })
	c.addHosts()
	c.addNodes(dir, nodeCount, stub.Limits{MemoryMB: stub.MemoryMB, MaxFDs: stub.MaxFDs}, launch)
	c.startJobs()
	c.watcher = newWatcher(t, c.platform, c.faults, c.watched, c.isReached)
	go c.watcher.run()
	return c
}

// makeDir creates the folder of the logs, which stays if the test fails.
func (c *cluster) makeDir() string {
	dir, err := os.MkdirTemp("", "rattanpath-soak-")
	if err != nil {
		c.t.Fatal(err)
	}
	events, err := os.Create(filepath.Join(dir, "events.log"))
	if err != nil {
		c.t.Fatal(err)
	}
	c.faults = newFaultLog(events)
	c.t.Cleanup(func() {
		_ = events.Close()
		if c.t.Failed() || *keepLogs {
			c.t.Logf("the logs are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return dir
}

func (c *cluster) addHosts() {
	capacity := tasks.Resources{CPU: 8000, MemMB: 16_000}
	for i := range hostCount {
		clockRate := 1 - maxSlowdown*c.random.Float64()
		if _, err := c.platform.AddHost(c.ctx, fmt.Sprintf("host-%d", i), capacity, clockRate); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *cluster) addNodes(dir string, count int, limits stub.Limits, launch stub.Launch) {
	for i := range count {
		name := fmt.Sprintf("node-%d", i)
		server := c.platform.NewServer(name)
		c.t.Cleanup(server.Close)
		process, err := stub.NewLimitedProcess(name, dir, server.Listener.Addr().String(), launch, limits)
		if err != nil {
			c.t.Fatal(err)
		}
		c.platform.AddCaller(name, process.PID)
		if err := process.Start(); err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(process.Kill)
		c.nodes = append(c.nodes, &node{Process: process, cluster: c})
	}
}

// profile describes a run.
func (c *cluster) profile(task tasks.ID, _ int) fake.RunProfile {
	spec := c.book.spec(task.Job)
	if spec.LongRunning {
		return fake.RunProfile{Serving: true, StartupTime: startupTime}
	}
	return fake.RunProfile{Duration: time.Duration(spec.EstRuntimeMS) * time.Millisecond, EndReason: tasks.EndDone}
}

// startJobs submits the serving jobs, waits until they run and starts the clients.
func (c *cluster) startJobs() {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.ctx, readyTimeout)
	defer cancel()
	spec := jobSpec{Count: servingTasks, CPU: 3000, MemMB: 500, EstRuntimeMS: 1000, LongRunning: true, AntiAffinity: 1, MayMiss: 1}
	first := newClient("serving", c.seed, c.book, c.nodes)
	for i := range servingJobs {
		id := jobID(fmt.Sprint("serving", i))
		if !first.submit(ctx, id, spec) {
			c.t.Fatalf("serving job %d: got no acceptance within %s, want it", i, readyTimeout)
		}
		for index := range servingTasks {
			c.watched = append(c.watched, &servingTask{id: tasks.ID{Job: id, Index: index}, resources: spec.resources()})
		}
	}
	if !c.awaitServing(readyTimeout) {
		c.t.Fatalf("got serving tasks without a run after %s, want runs of all", readyTimeout)
	}
	for i := range clientCount {
		cl := newClient(fmt.Sprint("client", i), c.seed, c.book, c.nodes)
		c.clients = append(c.clients, cl)
		c.running.Go(func() { cl.run(c.ctx, c.stop) })
	}
}

// awaitServing waits until all serving tasks have a run, and reports whether they do.
func (c *cluster) awaitServing(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(watchInterval) {
		if allRun(c.platform.Checker, c.watched) {
			return true
		}
	}
	return false
}

// finish waits for the clients' jobs and checks what has been seen.
func (c *cluster) finish(title string) {
	c.t.Helper()
	close(c.stop)
	ended := make(chan struct{})
	go func() {
		c.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		c.checkClients()
	case <-time.After(finishTimeout):
		c.t.Errorf("got jobs of clients that haven't ended after %s, want all completed", finishTimeout)
	}
	c.watcher.finish(title)
	c.checkProcesses()
}

func (c *cluster) checkClients() {
	total := 0
	for _, cl := range c.clients {
		total += cl.done
	}
	if total == 0 {
		c.t.Error("got no completed job, want some")
	}
	c.t.Logf("%d short jobs were completed", total)
}

// checkProcesses requires that no process has ended by itself.
func (c *cluster) checkProcesses() {
	for _, n := range c.nodes {
		if !n.isDown() && !n.IsRunning() {
			c.t.Errorf("%s has ended by itself: got %v, want it to run", n.Name, n.ExitState())
		}
	}
}

// owner returns the node that owns the service's cell, or the first node if none is known.
func (c *cluster) owner() *node {
	owners, err := c.platform.Store.Client("test").PartitionOwners(c.ctx, groupName)
	if err != nil {
		return c.nodes[0]
	}
	for _, o := range owners {
		if n := c.nodeOf(o); n != nil {
			return n
		}
	}
	return c.nodes[0]
}

// nodeOf returns the node that owns the service's cell if a partition is that of the cell.
func (c *cluster) nodeOf(o store.PartitionOwner) *node {
	for _, n := range c.nodes {
		if o.Partition == cellPartition && strings.Contains(o.Member, n.Peers()) {
			return n
		}
	}
	return nil
}

// isReached reports whether a node that is up reaches a host.
func (c *cluster) isReached(h *stub.Host) bool {
	return slices.ContainsFunc(c.nodes, func(n *node) bool { return !n.isDown() && h.IsReachedBy(n.Name) })
}

// busiestHost returns the host with the largest number of serving tasks.
func (c *cluster) busiestHost() *stub.Host {
	var busiest *stub.Host
	var most int64
	for _, h := range c.platform.Hosts() {
		used := h.Runner.UsedBy(func(id tasks.ID) bool { return c.book.spec(id.Job).LongRunning })
		if busiest == nil || used.CPU > most {
			busiest, most = h, used.CPU
		}
	}
	return busiest
}
