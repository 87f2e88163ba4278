package sched

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/pool"
	"rattanpath/tasks"
)

const (
	// recoverySeeds is how many seeds of TestServingTasksRecover are played.
	recoverySeeds = 20
	// recoveryTasks is the number of its serving tasks, and recoveryHosts that of its hosts.
	recoveryTasks = 4
	recoveryHosts = 6
	// disturbedTime is how long faults begin, and longestFault how long one lasts at most.
	disturbedTime = 15 * time.Second
	longestFault  = 6 * time.Second
	// calmTime is how long nothing is disturbed before a serving task must have a run.
	calmTime = 7 * time.Second
)

// TestServingTasksRecover guards against serving tasks that have no run 7 s after the last of several
// faults that overlap: hosts that fall silent, restart, leave the list or can't be reached, calls that are
// late or lost, a store that is away, runs that end, cordons, and owners that are lost.
func TestServingTasksRecover(t *testing.T) {
	for seed := range uint64(recoverySeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, recoveryHosts, func(tc *testCluster) {
				(&recovery{testCluster: tc, random: rand.New(rand.NewPCG(seed, 7))}).run()
			})
		})
	}
}

// recovery is one run of TestServingTasksRecover.
type recovery struct {
	*testCluster
	random *rand.Rand
	owner  *node
	claims int
	faults []fault
}

// fault is a fault that lasts until a time.
type fault struct {
	until time.Time
	end   func()
}

// impatientClient limits heartbeats as the platform's client does.
type impatientClient struct{ lease.HostClient }

// Heartbeat implements lease.HostClient.
func (c impatientClient) Heartbeat(ctx context.Context, host *pool.Host, heartbeat lease.Heartbeat) (lease.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second+heartbeat.Wait)
	defer cancel()
	return c.HostClient.Heartbeat(ctx, host, heartbeat)
}

func (c *recovery) run() {
	c.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
	c.wrapHosts = func(hosts lease.HostClient) lease.HostClient { return impatientClient{hosts} }
	c.takeOver()
	time.Sleep(100 * time.Millisecond)
	plan := servingPlan(recoveryTasks, 1000)
	// Runs whose start was confirmed too late are stopped, several at once.
	plan.Steps[0].MayMiss = 0
	c.mustSubmit(c.owner, "job", plan)
	time.Sleep(2 * time.Second)
	for end := time.Now().Add(disturbedTime); time.Now().Before(end); c.endFaults(time.Now()) {
		time.Sleep(c.upTo(longestFault / 4))
		c.disturb()
	}
	c.endFaults(time.Now().Add(longestFault))
	for _, runner := range c.runners {
		runner.Restart()
		runner.DelayCommands(0, 0)
		runner.DropHeartbeats(0)
	}
	if c.owner.cell.isLost() {
		c.takeOver()
	}
	time.Sleep(calmTime)
	for index := range recoveryTasks {
		if got := c.checker.ActiveRuns(tasks.ID{Job: "job", Index: index}); got != 1 {
			c.t.Errorf("got %d runs of task %d after %v of calm, want 1", got, index, calmTime)
		}
	}
}

func (c *recovery) upTo(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

func (c *recovery) takeOver() {
	c.claims++
	c.owner = c.claim(fmt.Sprintf("n%d", c.claims))
}

// endFaults ends the faults that last until a time at most.
func (c *recovery) endFaults(now time.Time) {
	var left []fault
	for _, f := range c.faults {
		if now.Before(f.until) {
			left = append(left, f)
			continue
		}
		f.end()
	}
	c.faults = left
}

// begin begins a fault that lasts for a time.
func (c *recovery) begin(period time.Duration, set func(bool)) {
	set(true)
	c.faults = append(c.faults, fault{until: time.Now().Add(period), end: func() { set(false) }})
}

// disturb begins a fault of a host, the store or the owner.
func (c *recovery) disturb() {
	id := fmt.Sprintf("h%d", c.random.IntN(recoveryHosts))
	runner, owner, period := c.runners[id], c.owner, c.upTo(longestFault)
	switch c.random.IntN(12) {
	case 0:
		c.begin(period, func(on bool) { owner.hosts.SetUnlisted(id, on) })
	case 1:
		c.begin(period, runner.SetUnresponsive)
	case 2:
		c.begin(period, func(on bool) { owner.hosts.SetPartitioned(id, on) })
	case 3:
		runner.DelayCommands(1+c.random.IntN(3), period)
	case 4:
		runner.DropHeartbeats(1 + c.random.IntN(4))
	case 5:
		c.failStore(owner.name, period)
	case 6:
		runner.Crash()
		time.AfterFunc(period, runner.Restart)
	case 7:
		_, _ = owner.cell.Cordon([]string{id}, period, false)
	case 8:
		c.delayCalls(period)
	case 9:
		c.store.LoseResponses(owner.name, 1+c.random.IntN(3), period)
	case 10:
		c.loseOwner()
	case 11:
		runner.BreakGangs()
	}
}

// failStore makes the store refuse a node's calls, or leave them unanswered.
func (c *recovery) failStore(node string, period time.Duration) {
	mode := fake.FailureMode(1 + c.random.IntN(2))
	c.begin(period, func(on bool) {
		if !on {
			mode = fake.NoFailure
		}
		c.store.SetFailure(node, mode)
	})
}

// delayCalls makes the owner's calls to hosts take up to 0.7 s in each direction.
func (c *recovery) delayCalls(period time.Duration) {
	owner := c.owner
	c.begin(period, func(on bool) {
		if !on {
			owner.hosts.SetLatency(nil)
			return
		}
		owner.hosts.SetLatency(func(string, any) fake.Latency {
			delay := func() time.Duration { return rand.N(700 * time.Millisecond) }
			return fake.Latency{Request: delay(), Reply: delay()}
		})
	})
}

// loseOwner kills or stops the owner, or leaves it to be fenced by the next one.
func (c *recovery) loseOwner() {
	switch c.random.IntN(3) {
	case 0:
		c.kill(c.owner)
		time.Sleep(c.upTo(2500 * time.Millisecond))
	case 1:
		c.owner.stop()
		time.Sleep(c.upTo(500 * time.Millisecond))
	}
	c.takeOver()
}
