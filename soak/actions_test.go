package soak

import (
	"strings"
	"sync"
	"syscall"
	"time"

	"rattanpath/fake"
	"rattanpath/fake/stub"
)

// stopGrace is the time between SIGTERM and SIGKILL.
const stopGrace = time.Second

// node is a management node. Its process has no business to end unless the test has ended it.
type node struct {
	*stub.Process
	cluster *cluster
	mu      sync.Mutex
	// down means that the test has ended the process.
	down bool
}

func (n *node) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

// takeDown records that the test ends the process, and reports whether it hadn't already.
func (n *node) takeDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return false
	}
	n.down = true
	return true
}

// kill ends the process at once.
func (n *node) kill() {
	if n.takeDown() {
		n.Kill()
		n.cluster.faults.record("%s killed", n.Name)
	}
}

// terminate asks the process to end, and kills it after the grace period.
func (n *node) terminate() {
	if !n.takeDown() {
		return
	}
	end := n.cluster.faults.begin("%s terminated", n.Name)
	defer end()
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.Exited():
	case <-time.After(stopGrace):
		n.Kill()
	}
}

// restart starts the process again if the test has ended it.
func (n *node) restart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.down {
		return
	}
	<-n.Exited()
	if err := n.Start(); err != nil {
		n.cluster.t.Errorf("starting %s again: got %v, want no error", n.Name, err)
		return
	}
	n.down = false
	n.cluster.faults.record("%s started", n.Name)
}

// pause stops the process for a time, unless the test has ended it.
func (n *node) pause(duration time.Duration) {
	if n.isDown() {
		return
	}
	end := n.cluster.faults.begin("%s paused for %s", n.Name, duration)
	defer end()
	n.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	n.Signal(syscall.SIGCONT)
	n.cluster.faults.printf("%s continues", n.Name)
}

// killAll kills all nodes at once and starts them again after a time.
func (c *cluster) killAll(downtime time.Duration) {
	var killed sync.WaitGroup
	for _, n := range c.nodes {
		killed.Go(n.kill)
	}
	killed.Wait()
	time.Sleep(downtime)
	for _, n := range c.nodes {
		n.restart()
	}
}

// crashHost crashes a host, which then refuses connections or is silent.
func (c *cluster) crashHost(h *stub.Host, silent bool) {
	if h.Crash(silent) {
		c.faults.record("%s crashed, silent: %v", h.Runner.Info().ID, silent)
	}
}

func (c *cluster) restartHost(h *stub.Host) {
	restarted, err := h.Restart()
	if err != nil {
		c.t.Errorf("starting %s again: got %v, want no error", h.Runner.Info().ID, err)
	}
	if restarted {
		c.faults.record("%s started", h.Runner.Info().ID)
	}
}

// cutHost cuts a host off for a time. Then it is back, or has crashed.
func (c *cluster) cutHost(h *stub.Host, duration time.Duration, crashes bool) {
	if !h.CutOff() {
		return
	}
	end := c.faults.begin("%s cut off for %s", h.Runner.Info().ID, duration)
	defer end()
	time.Sleep(duration)
	if crashes {
		c.crashHost(h, true)
	} else if h.Reconnect() {
		c.faults.printf("%s is back", h.Runner.Info().ID)
	}
}

// cutPaths keeps nodes from reaching hosts for a time. As others reach them, it is no fault that
// lets a task wait: only its beginning counts.
func (c *cluster) cutPaths(nodes []*node, hosts []*stub.Host, duration time.Duration) {
	c.faults.record("%s can't reach %s for %s", nodeNames(nodes), hostNames(hosts), duration)
	var reconnects []func()
	for _, n := range nodes {
		for _, h := range hosts {
			if c.setPath(n, h, true) {
				reconnects = append(reconnects, func() { c.setPath(n, h, false) })
			}
		}
	}
	time.Sleep(duration)
	for _, reconnect := range reconnects {
		reconnect()
	}
	c.faults.printf("%s can reach %s again", nodeNames(nodes), hostNames(hosts))
}

// setPath cuts the path from a node to a host or ends that, and reports whether that has changed it.
func (c *cluster) setPath(n *node, h *stub.Host, cut bool) bool {
	set := h.ReconnectTo
	if cut {
		set = h.CutOffFrom
	}
	changed, err := set(n.Name)
	if err != nil {
		c.t.Errorf("changing the path from %s to %s, cut: %v: got %v, want no error", n.Name, h.Runner.Info().ID, cut, err)
	}
	return changed
}

func nodeNames(nodes []*node) string {
	var names []string
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	return strings.Join(names, " ")
}

func hostNames(hosts []*stub.Host) string {
	var names []string
	for _, h := range hosts {
		names = append(names, h.Runner.Info().ID)
	}
	return strings.Join(names, " ")
}

// failStore makes the store fail calls for a time: those of one node, or of all if it is nil.
func (c *cluster) failStore(n *node, mode fake.FailureMode, duration time.Duration) {
	if !c.storeFault.TryLock() {
		return
	}
	defer c.storeFault.Unlock()
	name, set := "all", c.platform.SetStoreFailure
	if n != nil {
		name, set = n.Name, func(mode fake.FailureMode) { c.platform.Store.SetFailure(n.Name, mode) }
	}
	end := c.faults.begin("the store fails calls of %s with mode %d for %s", name, mode, duration)
	defer end()
	set(mode)
	time.Sleep(duration)
	set(fake.NoFailure)
	c.faults.printf("the store is back")
}
