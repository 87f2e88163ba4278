package sched

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanpath/fake"
	"rattanpath/place"
	"rattanpath/tasks"
)

var (
	chaosSeeds = flag.Int("chaos.seeds", 40, "seeds of the chaos test")
	chaosFirst = flag.Uint64("chaos.first", 1, "first seed of the chaos test")
	chaosLog   = flag.Bool("chaos.log", false, "print the log of the chaos test")
)

// TestChaos runs jobs while hosts crash, stop responding, shrink, grow and delay
// commands, nodes lose the store, the host records and hosts, and the cell changes its
// owner at any time. With every other seed, calls and their replies overtake each other.
// No task may run twice at once, start again after it was recorded as done or had failed
// too often, or exceed its host's capacity. Once the faults are over, every job must end within
// recoveryTime: a task that crashes each host that starts it, too, is given up after
// countedCrashes crashes and one that may have gone uncounted, which fake.InvariantChecker
// requires. A job whose caller was told that it doesn't run must not.
func TestChaos(t *testing.T) {
	for i := range *chaosSeeds {
		seed := *chaosFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runCluster(t, 6, func(tc *testCluster) {
				if *chaosLog {
					tc.logOutput = os.Stdout
				}
				newChaos(tc, seed).run()
			})
		})
	}
}

// chaos is one run of TestChaos.
type chaos struct {
	*testCluster
	seed   uint64
	random *rand.Rand
	// capacities draws the faults that concern capacities. It is separate from random so
	// that the other faults of a seed stay the same.
	capacities *rand.Rand
	nodes      []*node
	claims     int
	jobs       []string
	// rejected holds the jobs whose callers were told that they don't run, and started the IDs
	// of all jobs with a run.
	rejected []string
	started  sync.Map
	// overtaking is set while calls and replies take random times.
	overtaking atomic.Bool
}

const (
	// faultTime is how long faults are injected.
	faultTime = 40 * time.Second
	// minRecoveryTime is the least that jobs then have to end.
	minRecoveryTime = 40 * time.Second
	// drainTime is how long the jobs that are then open take if none crashes hosts: 13 s at
	// most in 140 scenes.
	drainTime = 15 * time.Second
	// countedCrashes is how many crashes in a row a task is given up after.
	countedCrashes = 4
	// crashLoss is how long a crash keeps a host from the next task that may crash it: until
	// it is back, has been called and no longer counts as one that crashes by itself, and
	// while it waits without fresh runs.
	crashLoss = fake.CrashDowntime + heartbeatRetryDelay + restartSettleTime + place.FreshTime
	// chaosNodes is the number of different node names.
	chaosNodes = 3
)

func newChaos(tc *testCluster, seed uint64) *chaos {
	return &chaos{testCluster: tc, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), capacities: rand.New(rand.NewPCG(seed, math.MaxUint64))}
}

func (c *chaos) run() {
	c.profileOf = func(taskID tasks.ID, run int) fake.RunProfile {
		c.started.Store(taskID.Job, true)
		// The outcome of a run must not depend on the order in which goroutines call
		// this function.
		random := rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(fmt.Sprint(taskID, run))))
		profile := fake.RunProfile{Duration: time.Duration(100+random.IntN(3000)) * time.Millisecond}
		if random.IntN(20) == 0 && run < 3 {
			profile.EndReason = tasks.EndFailed
		}
		profile.CrashesHost = c.crashesHosts(taskID)
		return profile
	}
	c.overtaking.Store(c.seed%2 == 0)
	c.takeOver()
	start := time.Now()
	for time.Since(start) < faultTime {
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
		c.randomAction()
		c.randomCapacity()
	}
	c.stopFaults()
	c.takeOver()
	time.Sleep(c.recoveryTime())
	c.check()
}

// recoveryTime returns how long jobs have to end once the faults are over. Each task that crashes
// its hosts costs countedCrashes times crashLoss of one host, and the hosts share that between
// them; with a dozen such tasks left, no scheduler that isolates them ends within
// minRecoveryTime.
func (c *chaos) recoveryTime() time.Duration {
	perTask := countedCrashes * crashLoss / time.Duration(len(c.runners))
	return max(minRecoveryTime, drainTime+time.Duration(c.openCrashingTasks())*perTask)
}

// openCrashingTasks returns the number of tasks of jobs that haven't ended which crash their
// hosts.
func (c *chaos) openCrashingTasks() int {
	count := 0
	for _, id := range c.jobs {
		got, err := c.status(c.owner(), id)
		if err != nil {
			c.t.Errorf("got error %v of job %s once the faults are over, want its phase", err, id)
		}
		if got.Phase != tasks.Open {
			continue
		}
		plan, _ := c.plans.Load(id)
		for step, spec := range plan.(tasks.Plan).Steps {
			for index := range spec.Count {
				if c.crashesHosts(tasks.ID{Job: id, Step: step, Index: index}) {
					count++
				}
			}
		}
	}
	return count
}

// crashesHosts reports whether a task crashes each host that starts it, with every third
// seed.
func (c *chaos) crashesHosts(taskID tasks.ID) bool {
	return c.seed%3 == 0 && xxhash.Sum64String(fmt.Sprint(c.seed, taskID))%50 == 0
}

// minHostCrashes is how many hosts must have crashed while they had a run of a task before
// the task may be given up.
const minHostCrashes = 2

// mayFail reports whether a job has a task under which hosts have crashed.
func (c *chaos) mayFail(id string) bool {
	plan, _ := c.plans.Load(id)
	for step, spec := range plan.(tasks.Plan).Steps {
		for index := range spec.Count {
			if c.checker.HostCrashes(tasks.ID{Job: id, Step: step, Index: index}) >= minHostCrashes {
				return true
			}
		}
	}
	return false
}

// owner returns the node that claimed the cell last.
func (c *chaos) owner() *node { return c.nodes[len(c.nodes)-1] }

func (c *chaos) takeOver() {
	c.claims++
	name := fmt.Sprintf("n%d", c.random.IntN(chaosNodes))
	c.store.SetFailure(name, fake.NoFailure)
	n := c.claim(name)
	n.hosts.SetLatency(c.latency(rand.New(rand.NewPCG(c.seed, uint64(c.claims)))))
	c.nodes = append(c.nodes, n)
}

// latency returns a function that draws the latency of calls. Most take a few
// milliseconds; some requests are held up, and some replies are processed late, as
// on an overloaded node.
func (c *chaos) latency(random *rand.Rand) func(string, any) fake.Latency {
	draw := func(slowPercent, slowMax int) time.Duration {
		if random.IntN(100) < slowPercent {
			return time.Duration(random.IntN(slowMax)) * time.Millisecond
		}
		return time.Duration(random.IntN(5000)) * time.Microsecond
	}
	return func(string, any) fake.Latency {
		if !c.overtaking.Load() {
			return fake.Latency{}
		}
		return fake.Latency{Request: draw(5, 400), Reply: draw(15, 1000)}
	}
}

// randomAction injects a random fault, cancels a job or submits one.
func (c *chaos) randomAction() {
	host := c.runners[fmt.Sprintf("h%d", c.random.IntN(len(c.runners)))]
	faultDuration := time.Duration(c.random.IntN(6000)) * time.Millisecond
	switch c.random.IntN(16) {
	case 0:
		host.SetUnresponsive(true)
		time.AfterFunc(faultDuration, func() { host.SetUnresponsive(false) })
	case 1:
		host.Crash()
		time.AfterFunc(faultDuration, host.Restart)
	case 2, 3:
		host.DelayCommands(1+c.random.IntN(4), 2*time.Second+faultDuration*2)
	case 4:
		owner := c.owner()
		c.store.SetFailure(owner.name, fake.FailureMode(1+c.random.IntN(2)))
		time.AfterFunc(faultDuration, func() { c.store.SetFailure(owner.name, fake.NoFailure) })
	case 5:
		c.store.LoseResponses(c.owner().name, 1+c.random.IntN(3), faultDuration/4)
	case 6:
		owner, id := c.owner(), host.Info().ID
		owner.hosts.SetPartitioned(id, true)
		time.AfterFunc(faultDuration, func() { owner.hosts.SetPartitioned(id, false) })
	case 7:
		c.takeOver()
	case 8:
		c.owner().stop()
		c.takeOver()
	case 9:
		if len(c.jobs) > 0 {
			id := c.jobs[c.random.IntN(len(c.jobs))]
			owner := c.owner()
			go func() { _ = owner.cell.Cancel(c.ctx, Caller{}, tasks.Key{Queue: testQueue, ID: id}) }()
		}
	default:
		c.submitJob()
	}
}

// randomCapacity shrinks a host, lets it grow again or keeps its capacity from the owner,
// in one of two calls.
func (c *chaos) randomCapacity() {
	host := c.runners[fmt.Sprintf("h%d", c.capacities.IntN(len(c.runners)))]
	duration := time.Duration(c.capacities.IntN(12000)) * time.Millisecond
	switch c.capacities.IntN(12) {
	case 0, 1, 2:
		host.SetCapacity(cpu(c.capacities.Int64N(hostCPU)))
	case 3:
		host.SetCapacity(cpu(hostCPU))
	case 4:
		host.SetSilent(true)
		time.AfterFunc(duration, func() { host.SetSilent(false) })
	case 5:
		owner := c.owner()
		owner.hosts.SetRecordsDown(true)
		time.AfterFunc(duration, func() { owner.hosts.SetRecordsDown(false) })
	}
}

// submitJob submits a random job, which must end if it was accepted.
func (c *chaos) submitJob() {
	id := fmt.Sprintf("job%d", c.testCluster.submittedJobs)
	plan := simplePlan(1+c.random.IntN(6), int64(500+c.random.IntN(3000)))
	if c.random.IntN(2) == 0 {
		plan.Steps = append(plan.Steps, tasks.Step{Count: 1 + c.random.IntN(4), Room: tasks.Resources{CPU: int64(500 + c.random.IntN(3000))}, After: []int{0}})
	}
	switch err := c.submit(c.owner(), id, plan); {
	case err == nil:
		c.jobs = append(c.jobs, id)
	case !errors.Is(err, ErrUncertain):
		c.rejected = append(c.rejected, id)
	}
}

// stopFaults ends all faults.
func (c *chaos) stopFaults() {
	c.overtaking.Store(false)
	time.Sleep(7 * time.Second)
	for i := range chaosNodes {
		name := fmt.Sprintf("n%d", i)
		c.store.SetFailure(name, fake.NoFailure)
		c.store.LoseResponses(name, 0, 0)
	}
	for _, runner := range c.runners {
		runner.DelayCommands(0, 0)
		runner.SetCapacity(cpu(hostCPU))
		runner.SetSilent(false)
	}
}

// check requires that every accepted job has ended and no rejected one has begun.
func (c *chaos) check() {
	for _, id := range c.rejected {
		if _, started := c.started.Load(id); started {
			c.t.Errorf("got a run of job %s, whose caller was told that it doesn't run", id)
		}
	}
	for _, id := range c.jobs {
		got, err := c.status(c.owner(), id)
		if err != nil || got.Phase == tasks.Open {
			c.t.Errorf("got phase %v and error %v of job %s at the end, want an ended job", got.Phase, err, id)
		}
		if got.Phase == tasks.Failed && !c.mayFail(id) {
			c.t.Errorf("got job %s failed, want it done: its tasks don't fail too often, nor have %d hosts crashed under one", id, minHostCrashes)
		}
	}
	if len(c.jobs) == 0 || c.checker.Starts() == 0 {
		c.t.Errorf("got %d accepted jobs and %d starts, want at least one each", len(c.jobs), c.checker.Starts())
	}
}
