package cell

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanpath/fake"
	"rattanpath/tasks"
)

var (
	chaosSeeds = flag.Int("chaos.seeds", 40, "seeds of the chaos test")
	chaosFirst = flag.Uint64("chaos.first", 1, "first seed of the chaos test")
	chaosLog   = flag.Bool("chaos.log", false, "print the log of the chaos test")
)

// TestChaos runs jobs while hosts crash, fall silent and carry orders out late,
// nodes lose the store and each other's hosts, and the cell changes hands at any
// moment. No task may run twice at once, start after an end that was noted as
// done, or exceed its host's room; and once all is well, every job ends.
func TestChaos(t *testing.T) {
	for i := range *chaosSeeds {
		seed := *chaosFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inWorld(t, 6, func(w *world) {
				if *chaosLog {
					w.out = os.Stdout
				}
				(&chaos{world: w, seed: seed, random: rand.New(rand.NewPCG(seed, 0))}).run()
			})
		})
	}
}

// chaos is one run of TestChaos.
type chaos struct {
	*world
	seed   uint64
	random *rand.Rand
	nodes  []*node
	claims int
	jobs   []string
}

const (
	// chaosTime is how long faults go on.
	chaosTime = 40 * time.Second
	// calmTime is how long every job then has to end.
	calmTime = 40 * time.Second
	// chaosNodes is the number of names that nodes have.
	chaosNodes = 3
)

func (c *chaos) run() {
	c.work = func(name tasks.ID, run int) fake.RunProfile {
		// The same run goes the same way whichever goroutine asks first.
		random := rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(fmt.Sprint(name, run))))
		work := fake.RunProfile{Duration: time.Duration(100+random.IntN(3000)) * time.Millisecond}
		if random.IntN(20) == 0 && run < 3 {
			work.EndReason = tasks.EndFailed
		}
		return work
	}
	c.takeOver()
	begun := time.Now()
	for time.Since(begun) < chaosTime {
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
		c.step()
	}
	c.calm()
	c.takeOver()
	time.Sleep(calmTime)
	c.check()
}

// owner is the node that took the cell over last.
func (c *chaos) owner() *node { return c.nodes[len(c.nodes)-1] }

func (c *chaos) takeOver() {
	c.claims++
	name := fmt.Sprintf("n%d", c.random.IntN(chaosNodes))
	c.store.SetFailure(name, fake.NoFailure)
	c.nodes = append(c.nodes, c.claim(name))
}

// step does one thing at random.
func (c *chaos) step() {
	host := c.runners[fmt.Sprintf("h%d", c.random.IntN(len(c.runners)))]
	span := time.Duration(c.random.IntN(6000)) * time.Millisecond
	switch c.random.IntN(16) {
	case 0:
		host.SetUnresponsive(true)
		time.AfterFunc(span, func() { host.SetUnresponsive(false) })
	case 1:
		host.Crash()
		time.AfterFunc(span, host.Restart)
	case 2, 3:
		host.DelayCommands(1+c.random.IntN(4), 2*time.Second+span*2)
	case 4:
		owner := c.owner()
		c.store.SetFailure(owner.name, fake.FailureMode(1+c.random.IntN(2)))
		time.AfterFunc(span, func() { c.store.SetFailure(owner.name, fake.NoFailure) })
	case 5:
		c.store.LoseResponses(c.owner().name, 1+c.random.IntN(3), span/4)
	case 6:
		owner, id := c.owner(), host.Info().ID
		owner.hosts.SetPartitioned(id, true)
		time.AfterFunc(span, func() { owner.hosts.SetPartitioned(id, false) })
	case 7:
		c.takeOver()
	case 8:
		c.owner().stop()
		c.takeOver()
	case 9:
		if len(c.jobs) > 0 {
			id := c.jobs[c.random.IntN(len(c.jobs))]
			owner := c.owner()
			go func() { _ = owner.cell.Cancel(c.ctx, tasks.Key{Queue: testQueue, ID: id}) }()
		}
	default:
		c.handIn()
	}
}

// handIn hands a job in and counts on it if it was taken.
func (c *chaos) handIn() {
	id := fmt.Sprintf("job%d", c.world.jobs)
	plan := simple(1+c.random.IntN(6), int64(500+c.random.IntN(3000)))
	if c.random.IntN(2) == 0 {
		plan.Steps = append(plan.Steps, tasks.Step{Count: 1 + c.random.IntN(4), Room: tasks.Resources{CPU: int64(500 + c.random.IntN(3000))}, After: []int{0}})
	}
	if c.submit(c.owner(), id, plan) == nil {
		c.jobs = append(c.jobs, id)
	}
}

// calm ends every fault.
func (c *chaos) calm() {
	time.Sleep(7 * time.Second)
	for i := range chaosNodes {
		name := fmt.Sprintf("n%d", i)
		c.store.SetFailure(name, fake.NoFailure)
		c.store.LoseResponses(name, 0, 0)
	}
	for _, runner := range c.runners {
		runner.DelayCommands(0, 0)
	}
}

// check asks for every job that was taken.
func (c *chaos) check() {
	for _, id := range c.jobs {
		got, err := c.status(c.owner(), id)
		if err != nil || got.Phase == tasks.Open {
			c.t.Errorf("got phase %v and error %v of job %s at the end, want it ended", got.Phase, err, id)
		}
	}
	if len(c.jobs) == 0 || c.judge.Starts() == 0 {
		c.t.Errorf("got %d jobs and %d starts, want some", len(c.jobs), c.judge.Starts())
	}
}
