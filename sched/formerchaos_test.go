package sched

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/tasks"
)

var (
	formerSeeds = flag.Int("former.seeds", 12, "seeds of the test of calls to former incarnations")
	formerFirst = flag.Uint64("former.first", 1, "first seed of the test of calls to former incarnations")
	formerLog   = flag.Bool("former.log", false, "print the log of the test of calls to former incarnations")
)

// formerChaos is one run of TestFormerIncarnationChaos.
type formerChaos struct {
	*testCluster
	random  *rand.Rand
	network *lateNetwork
	owner   *node
	claims  int
	jobs    []string
}

// TestFormerIncarnationChaos guards against calls that were meant for a host's former incarnation and lead to two
// runs of a task: hosts start again under their IDs, take the calls that were under way, and are cut
// off soon after, while long tasks run and the cell changes its owner.
func TestFormerIncarnationChaos(t *testing.T) { playFormerIncarnations(t, true) }

// TestFormerIncarnationChaosForgets guards against the same where a heartbeat that was meant for a host's
// former incarnation acknowledges ends that come while it waits: nobody has read them.
func TestFormerIncarnationChaosForgets(t *testing.T) { playFormerIncarnations(t, false) }

// playFormerIncarnations plays all seeds. forgetsOnce is as in fake.Runner.
func playFormerIncarnations(t *testing.T, forgetsOnce bool) {
	for i := range *formerSeeds {
		seed := *formerFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runCluster(t, 6, func(tc *testCluster) {
				if *formerLog {
					tc.logOutput = os.Stdout
				}
				c := &formerChaos{testCluster: tc, random: rand.New(rand.NewPCG(seed, 0)), network: tc.useLateNetwork()}
				for _, runner := range tc.runners {
					runner.SetForgetsOnce(forgetsOnce)
				}
				c.profileOf = func(taskID tasks.ID, run int) fake.RunProfile {
					random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(fmt.Sprint(taskID, run))))
					profile := fake.RunProfile{Duration: time.Duration(100+random.IntN(900)) * time.Millisecond}
					if random.IntN(3) == 0 {
						profile.Duration *= 12
					}
					return profile
				}
				c.run()
			})
		})
	}
}

// run plays rounds of restarts and cuts, and lets all jobs end.
func (c *formerChaos) run() {
	c.claim()
	for range 3 {
		for range 10 {
			c.submitJob()
			time.Sleep(c.upTo(300 * time.Millisecond))
		}
		c.restartHosts()
		for range 6 {
			c.submitJob()
			time.Sleep(c.upTo(200 * time.Millisecond))
		}
		time.Sleep(12 * time.Second)
	}
	time.Sleep(40 * time.Second)
	for _, id := range c.jobs {
		if got, err := c.status(c.owner, id); err != nil || got.Phase != tasks.Completed {
			c.t.Errorf("got phase %v and error %v of job %s at the end, want it completed", got.Phase, err, id)
		}
	}
}

// upTo returns a random time.
func (c *formerChaos) upTo(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// claim makes a further node claim the cell.
func (c *formerChaos) claim() {
	c.claims++
	c.owner = c.testCluster.claim(fmt.Sprintf("n%d", c.claims))
}

func (c *formerChaos) submitJob() {
	id := fmt.Sprintf("job%d", c.submittedJobs)
	if c.submit(c.owner, id, simplePlan(1+c.random.IntN(4), int64(500+c.random.IntN(1500)))) == nil {
		c.jobs = append(c.jobs, id)
	}
}

// restartHosts restarts half of the hosts, which are dark meanwhile, cuts them off soon after, and may
// replace the owner in between.
func (c *formerChaos) restartHosts() {
	for i := range len(c.runners) / 2 {
		id := fmt.Sprintf("h%d", i)
		go c.restartHost(id, c.upTo(50*time.Millisecond), 500*time.Millisecond+c.upTo(200*time.Millisecond), c.upTo(2*time.Second)*time.Duration(c.random.IntN(2)), 4*time.Second+c.upTo(6*time.Second))
	}
	for range c.random.IntN(3) {
		time.Sleep(c.upTo(1500 * time.Millisecond))
		c.replaceOwner()
	}
}

// restartHost restarts a host after a delay, and cuts it off for some time a delay after that.
func (c *formerChaos) restartHost(id string, after, dark, cutAfter, cutFor time.Duration) {
	time.Sleep(after)
	c.network.hold(id)
	c.runners[id].Crash()
	time.Sleep(dark)
	c.runners[id].Restart()
	c.network.release(id)
	// What was under way is delivered before the cut.
	time.Sleep(2*time.Millisecond + cutAfter)
	c.network.setCut(id, true)
	time.Sleep(cutFor)
	c.network.setCut(id, false)
}

// replaceOwner kills or stops the owner, and claims the cell after the time that a group needs to notice.
func (c *formerChaos) replaceOwner() {
	if c.random.IntN(2) == 0 {
		c.kill(c.owner)
		time.Sleep(500*time.Millisecond + c.upTo(time.Second))
	} else {
		c.owner.stop()
		<-c.owner.done
		_ = core.Sleep(c.ctx, c.upTo(100*time.Millisecond))
	}
	c.claim()
}
