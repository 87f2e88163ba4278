package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"rattanpath/fake/stub"
)

const (
	// restartRounds is how often the hosts of a group restart and are cut off with one seed.
	restartRounds = 2
	// hostDownTime is how long they are down, and hostCutTime how long they are cut off after that.
	hostDownTime = 600 * time.Millisecond
	hostCutTime  = 9 * time.Second
	// longJobs is the number of jobs of long tasks in a round, submitted longJobInterval apart.
	longJobs        = 24
	longJobInterval = 100 * time.Millisecond
)

// TestHostsCutOffAfterRestart guards against two runs of a task at once when hosts start again under
// their IDs, take the calls that waited for them, and are cut off from 0 to 2 s later, while long tasks
// run and the owner of the cell is killed or asked to end.
func TestHostsCutOffAfterRestart(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, seed)
			random := rand.New(rand.NewPCG(seed, 2))
			time.Sleep(steadyTime)
			for round := range restartRounds {
				c.submitLongJobs(fmt.Sprint("long", round))
				c.restartAndCutHalf(random)
			}
			c.awaitServing(sceneTimeout)
			c.finish(t.Name())
		})
	}
}

// submitLongJobs submits jobs of long tasks in the background.
func (c *cluster) submitLongJobs(name string) {
	cl := newClient(name, c.seed, c.book, c.nodes)
	spec := jobSpec{Count: 3, CPU: 300, MemMB: 50, EstRuntimeMS: 12_000}
	c.running.Go(func() {
		for i := range longJobs {
			if !cl.submit(c.ctx, jobID(fmt.Sprint(name, i)), spec) {
				return
			}
			time.Sleep(longJobInterval)
		}
	})
}

// restartAndCutHalf restarts half of the hosts and cuts them off. Meanwhile the owner of the cell may end.
func (c *cluster) restartAndCutHalf(random *rand.Rand) {
	time.Sleep(longJobs * longJobInterval / 2)
	hosts := c.platform.Hosts()
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	cutAfter := time.Duration(random.Int64N(int64(2 * time.Second)))
	ownerAfter := time.Duration(random.Int64N(int64(3 * time.Second)))
	ends := random.IntN(3)
	var done sync.WaitGroup
	for _, h := range hosts[:len(hosts)/2] {
		done.Go(func() { c.restartAndCut(h, cutAfter) })
	}
	if ends > 0 {
		done.Go(func() { c.endOwner(ownerAfter, ends == 1) })
	}
	done.Wait()
}

// restartAndCut restarts a host, which gets the calls that waited for it, and cuts it off.
func (c *cluster) restartAndCut(h *stub.Host, cutAfter time.Duration) {
	if !h.CrashHolding() {
		return
	}
	c.faults.record("%s crashed, and calls wait for it", h.Runner.Info().ID)
	time.Sleep(hostDownTime)
	h.RestartHeld()
	time.Sleep(cutAfter)
	c.cutHost(h, hostCutTime, false)
}

// endOwner kills the owner of the cell or asks it to end, after a time, and starts it again.
func (c *cluster) endOwner(after time.Duration, kill bool) {
	time.Sleep(after)
	owner := c.owner()
	if kill {
		owner.kill()
	} else {
		owner.terminate()
	}
	time.Sleep(time.Second)
	owner.restart()
}
