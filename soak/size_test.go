package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/fake/stub"
	"rattanpath/tasks"
)

var (
	sizeSeeds    = flag.Int("soak.sizeseeds", 0, "seeds of the soak at full size")
	sizeNodes    = flag.Int("soak.nodes", 8, "nodes of the soak at full size")
	sizeHosts    = flag.Int("soak.hosts", 48, "machines of the soak at full size")
	sizeServices = flag.Int("soak.services", 5, "services of the soak at full size, the last of which is on standby")
	sizeShare    = flag.Float64("soak.share", nodeShare, "share of a CPU core that each node gets, 0 for no limit; its settings stay")
	sizeLoad     = flag.Float64("soak.load", 15, "jobs a second")
	sizeTraffic  = flag.Duration("soak.traffic", 40*time.Second, "time in which jobs are submitted")
	sizeDowntime = flag.Duration("soak.downtime", time.Second, "time for which the last fault stops all nodes")
	sizeStagger  = flag.Duration("soak.stagger", 0, "time between the starts of two nodes after the last fault")
	sizeFaults   = flag.String("soak.faults", "owners,waves,config,cuts,lost,final", "faults of the soak at full size: any of owners, waves, config, cuts, lost, takeover, lastcuts and final")
)

const (
	// nodeShare is the share of a CPU core in the settings of a node.
	nodeShare = 0.4
	// lastingJobs is the number of lasting jobs of a service, with lastingTasks tasks each.
	lastingJobs  = 6
	lastingTasks = 5
	// sizeReadyTimeout bounds the wait for the first runs of all serving tasks.
	sizeReadyTimeout = 90 * time.Second
	// ownerFaultInterval, waveInterval and configInterval are the times between two faults of an
	// owner, two waves and two configurations.
	ownerFaultInterval = 9 * time.Second
	waveInterval       = 20 * time.Second
	configInterval     = 6 * time.Second
	// waveMachines is the number of machines of a wave, and waveMaxDown how many of them may be
	// away at once.
	waveMachines = 8
	waveMaxDown  = 3
	waveTime     = 15 * time.Second
	// afterTraffic is how long the test goes on after the traffic.
	afterTraffic = 25 * time.Second
	// ownerDowntime is how long an owner is down, and ownerPause how long it is paused or without
	// the store.
	ownerDowntime = time.Second
	ownerPause    = 3 * time.Second
	// cutInterval is the time between two cuts of hosts, which last from minCut to maxCut, and
	// lostInterval that between two losses of hosts. failedHosts is how many fail at once.
	cutInterval  = 7 * time.Second
	lostInterval = 11 * time.Second
	minCut       = 3 * time.Second
	maxCut       = 14 * time.Second
	failedHosts  = 2
	// lastCut is how long the busiest hosts are cut off when the traffic ends, and lastCutLead how
	// long before the last fault that begins.
	lastCut     = 20 * time.Second
	lastCutLead = time.Second
	// takeoverLead is the time from a takeover to the cut of a host, and takeoverInterval that to
	// the start of the owner before and from there to the next takeover.
	takeoverLead     = 450 * time.Millisecond
	takeoverInterval = 8 * time.Second
	// lostFirst tells the draws for lost hosts from those for cuts.
	lostFirst = 1000
)

// sizedCluster is a cluster with several services, machines that change their pools, nodes with
// a share of a core each, and a load with peaks.
type sizedCluster struct {
	*cluster
	fleet    *stub.Fleet
	services []string
	quota    *cpuQuota
	load     *load
}

// TestSize guards against serving tasks without a run when nodes are short of CPU time, under
// load with peaks, moves of machines, waves of maintenance, faults of owners and, when the load
// ends, a crash of all nodes.
func TestSize(t *testing.T) {
	if *sizeSeeds == 0 {
		t.Skip("takes minutes; set -soak.sizeseeds")
	}
	for i := range *sizeSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSizedCluster(t, seed).play() })
	}
}

func newSizedCluster(t *testing.T, seed uint64) *sizedCluster {
	t.Helper()
	c := &sizedCluster{cluster: &cluster{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), book: &book{specs: make(map[string]jobSpec)}, stop: make(chan struct{})}}
	dir := c.makeDir()
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c.platform = stub.NewPlatform(c.profile, func(task tasks.ID) tasks.Resources { return c.book.spec(task.Job).resources() })
	c.addMachines()
	c.addNodes(dir, *sizeNodes, stub.Limits{CPUShare: nodeShare, MemoryMB: 284, MaxFDs: 4100}, launchOneCore)
	if *sizeShare > 0 {
		c.quota = newCPUQuota(c.nodes, *sizeShare)
		go c.quota.run()
		t.Cleanup(c.quota.close)
	}
	c.startServing()
	c.load = newLoad(c.cluster, *sizeLoad)
	c.watcher = newWatcher(t, c.platform, c.faults, c.watched, c.isReached)
	go c.watcher.run()
	return c
}

// launchOneCore implements stub.Launch for a node with one core.
func launchOneCore(args, env []string, output *os.File) (*os.Process, error) {
	return launch(args, append(env, "GOMAXPROCS=1"), output)
}

// addMachines adds the machines of all pools, and publishes the first configuration.
func (c *sizedCluster) addMachines() {
	var pools []stub.Pool
	for i := range *sizeServices {
		name := fmt.Sprintf("service-%d", i)
		pools = append(pools, stub.Pool{Service: name, Standby: *sizeServices > 1 && i == *sizeServices-1})
		if !pools[i].Standby {
			c.services = append(c.services, name)
		}
	}
	c.fleet = c.platform.NewFleet(c.ctx, tasks.Resources{CPU: 64_000, MemMB: 262_144}, pools)
	c.fleet.Publish(2, nil)
	for i := range *sizeHosts {
		if err := c.fleet.Add(pools[i%len(pools)].Service, 1-maxSlowdown*c.random.Float64()); err != nil {
			c.t.Fatal(err)
		}
	}
}

// startServing submits the serving jobs of all services and waits until their tasks run.
func (c *sizedCluster) startServing() {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.ctx, sizeReadyTimeout)
	defer cancel()
	l := newLoad(c.cluster, 0)
	for i, service := range c.services {
		for j := range lastingJobs {
			spec := jobSpec{Count: lastingTasks, CPU: 5300 + 600*int64(i), MemMB: 25_000, EstRuntimeMS: 500, LongRunning: true, AntiAffinity: 1, MayMiss: 1}
			job := &loadJob{load: l, service: service, id: jobID(fmt.Sprint(service, "lasting", j)), random: rand.New(rand.NewPCG(c.seed, uint64(i*lastingJobs+j)))}
			c.book.add(job.id, spec)
			body, _ := json.Marshal(map[string]any{"spec": job.id, "steps": []jobSpec{spec}})
			for !job.submit(ctx, body) {
				if ctx.Err() != nil {
					c.t.Fatalf("serving job %d of %s: got no acceptance, want it", j, service)
				}
			}
			for index := range spec.Count {
				c.watched = append(c.watched, &servingTask{id: tasks.ID{Job: job.id, Index: index}, resources: spec.resources(), service: service})
			}
		}
	}
	if !c.awaitServing(sizeReadyTimeout) {
		c.t.Fatalf("got serving tasks without a run after %s, want runs of all", sizeReadyTimeout)
	}
}

// play runs the load and injects the faults.
func (c *sizedCluster) play() {
	c.faults.printf("traffic begins")
	start := time.Now()
	for i, service := range c.services {
		c.running.Go(func() { c.load.loop(service, i, start, c.stop) })
	}
	c.injectEach("owners", ownerFaultInterval, func(i int) { c.failOwner() })
	c.injectEach("waves", waveInterval, c.startWave)
	c.injectEach("config", configInterval, c.changeConfig)
	c.injectEach("cuts", cutInterval, func(i int) { c.failHosts(i, c.cutAtRandom) })
	c.injectEach("lost", lostInterval, func(i int) { c.failHosts(lostFirst+i, func(h *stub.Host) { c.crashHost(h, true) }) })
	time.Sleep(*sizeTraffic)
	if c.injects("takeover") {
		c.cutAfterTakeover()
	}
	if c.injects("lastcuts") {
		c.cutBusiestHosts()
	}
	if c.injects("final") {
		c.crashNodes()
	}
	close(c.stop)
	c.faults.printf("traffic ends")
	time.Sleep(afterTraffic)
	c.running.Wait()
	c.watcher.finish(fmt.Sprintf("seed %d", c.seed))
	c.checkProcesses()
	c.report()
}

func (c *sizedCluster) injects(kind string) bool {
	return slices.Contains(strings.Split(*sizeFaults, ","), kind)
}

// injectEach injects a kind of fault again and again until the traffic ends, if it is to be.
func (c *sizedCluster) injectEach(kind string, interval time.Duration, inject func(i int)) {
	if !c.injects(kind) {
		return
	}
	c.running.Go(func() {
		for i := 0; !sleepUntil(interval, c.stop); i++ {
			inject(i)
		}
	})
}

// failOwner kills, pauses or cuts off the owner of a service.
func (c *sizedCluster) failOwner() {
	service := c.random.IntN(len(c.services))
	n := c.ownerOf(service)
	c.faults.printf("fault of the owner of %s", c.services[service])
	switch kind := c.random.IntN(3); {
	case kind == 0:
		n.kill()
		time.Sleep(ownerDowntime)
		n.restart()
	case kind == 1 && c.quota != nil:
		c.quota.freeze(n, ownerPause)
	default:
		c.failStore(n, fake.Unresponsive, ownerPause)
	}
}

// ownerOf returns the node to whose partitions the cell of a service belongs, or the first node
// if none is known.
func (c *sizedCluster) ownerOf(service int) *node {
	// The partition of a service, see package owner.
	const stride, partitions = 7, 32
	owners, _ := c.platform.Store.Client("test").PartitionOwners(c.ctx, groupName)
	for _, o := range owners {
		for _, n := range c.nodes {
			if o.Partition == service*stride%partitions && strings.Contains(o.Member, n.Peers()) {
				return n
			}
		}
	}
	return c.nodes[0]
}

func (c *sizedCluster) startWave(i int) {
	c.faults.printf("wave %d", i)
	c.fleet.StartWave(int64(i+1), rand.New(rand.NewPCG(c.seed, uint64(i))).Perm(*sizeHosts), waveMachines, waveMaxDown, waveTime)
}

// failHosts injects a fault of some hosts of a service that is drawn. It doesn't wait for its end.
func (c *sizedCluster) failHosts(i int, inject func(h *stub.Host)) {
	random := rand.New(rand.NewPCG(c.seed, uint64(lostFirst+i)))
	service := c.services[random.IntN(len(c.services))]
	var usable []*stub.Host
	for _, h := range c.platform.Hosts() {
		if h.Runner.Info().Service == service && h.IsUsable() {
			usable = append(usable, h)
		}
	}
	for _, j := range random.Perm(len(usable))[:min(failedHosts, len(usable))] {
		c.running.Go(func() { inject(usable[j]) })
	}
}

// cutAtRandom cuts a host off for a time that is drawn.
func (c *sizedCluster) cutAtRandom(h *stub.Host) {
	c.cutHost(h, minCut+rand.N(maxCut-minCut), false)
}

// crashNodes kills all nodes at once and starts them one after the other.
func (c *sizedCluster) crashNodes() {
	for _, n := range c.nodes {
		n.kill()
	}
	time.Sleep(*sizeDowntime)
	for _, n := range c.nodes {
		n.restart()
		time.Sleep(*sizeStagger)
	}
}

// cutBusiestHosts cuts off the host of each service with the largest number of serving tasks.
func (c *sizedCluster) cutBusiestHosts() {
	for _, service := range c.services {
		if h := c.busiestHostOf(service); h != nil {
			c.running.Go(func() { c.cutHost(h, lastCut, false) })
		}
	}
	time.Sleep(lastCutLead)
}

// busiestHostOf returns the usable host of a service with the largest number of serving tasks, or
// nil if none is usable.
func (c *sizedCluster) busiestHostOf(service string) *stub.Host {
	var busiest *stub.Host
	var most int64
	for _, h := range c.platform.Hosts() {
		used := h.Runner.UsedBy(func(id tasks.ID) bool { return c.book.spec(id.Job).LongRunning })
		if h.Runner.Info().Service == service && h.IsUsable() && used.CPU >= most {
			busiest, most = h, used.CPU
		}
	}
	return busiest
}

// cutAfterTakeover kills the owner of each service in turn, and cuts a host of the service off
// right after the next one has taken over.
func (c *sizedCluster) cutAfterTakeover() {
	for i, service := range c.services {
		previous := c.ownerOf(i)
		previous.kill()
		for c.ownerOf(i) == previous {
			time.Sleep(watchInterval)
		}
		time.Sleep(takeoverLead)
		if h := c.busiestHostOf(service); h != nil {
			c.running.Go(func() { c.cutHost(h, lastCut, false) })
		}
		time.Sleep(takeoverInterval)
		previous.restart()
		time.Sleep(takeoverInterval)
	}
}

// changeConfig publishes a version that adds a queue or removes it.
func (c *sizedCluster) changeConfig(i int) {
	c.faults.printf("configuration %d", 3+i)
	var more []string
	if i%2 == 0 {
		more = append(more, "more")
	}
	c.fleet.Publish(3+i, more)
}

// report logs what was seen.
func (c *sizedCluster) report() {
	moved, maintained := c.fleet.Orders()
	c.t.Logf("jobs: %d sent, %d accepted, %d completed; %d moves, %d maintenances", c.load.sent.Load(), c.load.accepted.Load(), c.load.completed.Load(), moved, maintained)
	if c.quota == nil {
		return
	}
	c.quota.mu.Lock()
	defer c.quota.mu.Unlock()
	for _, a := range c.quota.accounts {
		c.t.Logf("%s: %.1f s of CPU time, %.1f s throttled", a.node.Name, a.total.Seconds(), a.throttledTime.Seconds())
	}
}
