package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/tasks"
)

// TestTakeoverChaos guards against two runs of a serving task at once, and a task that stays
// without one, while owners are killed, stopped and cut off from the store one after the other, and
// reach some of the hosts only at times.
func TestTakeoverChaos(t *testing.T) {
	for i := range *chaosSeeds {
		seed := *chaosFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runCluster(t, 5, func(tc *testCluster) {
				(&takeovers{testCluster: tc, random: rand.New(rand.NewPCG(seed, 0))}).run()
			})
		})
	}
}

// takeovers is one run of TestTakeoverChaos.
type takeovers struct {
	*testCluster
	random *rand.Rand
	owner  *node
	claims int
}

const (
	// takeoverCount is the number of owners that are lost.
	takeoverCount = 8
	// takeoverTasks is the number of serving tasks.
	takeoverTasks = 3
	// startTime is enough to notice that leases have expired and to start a run elsewhere.
	startTime = 300 * time.Millisecond
)

func (c *takeovers) run() {
	c.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
	c.wrapHosts = func(hosts lease.HostClient) lease.HostClient {
		if c.claims <= takeoverCount {
			c.cutOffSome(hosts.(*fake.HostClient))
		}
		return hosts
	}
	c.takeOver()
	time.Sleep(200 * time.Millisecond)
	if err := c.submit(c.owner, "job", servingPlan(takeoverTasks, 1000)); err != nil {
		c.t.Fatal(err)
	}
	for range takeoverCount {
		time.Sleep(c.upTo(9 * time.Second))
		c.loseOwner()
		time.Sleep(c.upTo(3 * time.Second))
		c.takeOver()
	}
	time.Sleep(MaxTakeoverWait(testLease) + startTime)
	for index := range takeoverTasks {
		if got := c.checker.ActiveRuns(tasks.ID{Job: "job", Index: index}); got != 1 {
			c.t.Errorf("got %d runs of task %d at the end, want 1", got, index)
		}
	}
}

func (c *takeovers) upTo(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

func (c *takeovers) takeOver() {
	c.claims++
	c.owner = c.claim(fmt.Sprintf("n%d", c.claims))
}

// loseOwner kills, stops or cuts off the owner, or leaves it to be fenced by the next one.
func (c *takeovers) loseOwner() {
	switch c.random.IntN(4) {
	case 0:
		c.kill(c.owner)
	case 1:
		c.owner.stop()
	case 2:
		c.store.SetFailure(c.owner.name, fake.Unresponsive)
	}
}

// cutOffSome cuts a node off from some hosts, from most of them for a time only.
func (c *takeovers) cutOffSome(hosts *fake.HostClient) {
	for i := range len(c.runners) {
		id := fmt.Sprintf("h%d", i)
		if c.claims == 1 || c.random.IntN(2) == 0 {
			continue
		}
		hosts.SetPartitioned(id, true)
		if c.random.IntN(3) > 0 {
			fake.After(c.upTo(9*time.Second), func() { hosts.SetPartitioned(id, false) })
		}
		if c.random.IntN(3) == 0 {
			fake.After(c.upTo(9*time.Second), func() { hosts.SetPartitioned(id, true) })
		}
	}
}
