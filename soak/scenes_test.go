package soak

import (
	"sync"
	"testing"
	"time"
)

const (
	// steadyTime is how long a scene waits before its faults, so that leases are renewed and
	// what has started is stored.
	steadyTime = 3 * time.Second
	// sceneTimeout bounds the wait for the next runs of all serving tasks after the faults.
	sceneTimeout = 30 * time.Second
	// pathsCutTime is how long the owner of the cell can't reach the hosts.
	pathsCutTime = 14 * time.Second
)

// TestHostAndAllNodesCrash guards against serving tasks that stay without a run when their
// host crashes for good just before all nodes are killed and restarted.
func TestHostAndAllNodesCrash(t *testing.T) {
	playScene(t, func(c *cluster) {
		c.crashHost(c.busiestHost(), true)
		time.Sleep(200 * time.Millisecond)
		for _, n := range c.nodes {
			n.kill()
		}
		for _, n := range c.nodes {
			time.Sleep(300 * time.Millisecond)
			n.restart()
		}
	})
}

// TestHostAndOwnerCrash guards against serving tasks that stay without a run when their host
// and the owner of the cell crash for good at the same time.
func TestHostAndOwnerCrash(t *testing.T) {
	playScene(t, func(c *cluster) {
		owner := c.owner()
		c.crashHost(c.busiestHost(), true)
		owner.kill()
	})
}

// TestHostAndTwoOwnersCrash guards against serving tasks that stay without a run when each
// takeover starts the wait for the leases of a host that is gone anew.
func TestHostAndTwoOwnersCrash(t *testing.T) {
	playScene(t, func(c *cluster) {
		owner := c.owner()
		c.crashHost(c.busiestHost(), true)
		owner.kill()
		time.Sleep(3 * time.Second)
		c.owner().kill()
	})
}

// TestOwnerReachesNoHost guards against serving tasks that stay without a run while the owner of
// the cell lives and can't reach the hosts, though all other nodes can.
func TestOwnerReachesNoHost(t *testing.T) {
	playScene(t, func(c *cluster) { c.cutPaths([]*node{c.owner()}, c.platform.Hosts(), pathsCutTime) })
}

// TestOwnerReachesNoHostAndCrashes guards against serving tasks that stay without a run when the
// owner of the cell can't reach the hosts and then crashes, while the next owner reaches them.
func TestOwnerReachesNoHostAndCrashes(t *testing.T) {
	playScene(t, func(c *cluster) {
		owner := c.owner()
		var cut sync.WaitGroup
		cut.Go(func() { c.cutPaths([]*node{owner}, c.platform.Hosts(), pathsCutTime) })
		time.Sleep(time.Second)
		owner.kill()
		cut.Wait()
	})
}

// playScene injects the faults of a scene and checks that all serving tasks run again in time.
func playScene(t *testing.T, inject func(c *cluster)) {
	c := newCluster(t, 1)
	time.Sleep(steadyTime)
	inject(c)
	c.awaitServing(sceneTimeout)
	c.finish(t.Name())
}
