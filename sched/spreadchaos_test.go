package sched

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/link"
	"rattanpath/relay"
	"rattanpath/tasks"
)

// faultyNode is a node that calls hosts for others, with faults. Its mutex guards the rest.
type faultyNode struct {
	mu      sync.Mutex
	service *relay.Service
	hosts   *fake.HostClient
	// stop ends the service.
	stop context.CancelFunc
	// refuses is set while connections fail, and suspendedUntil is until when messages wait.
	refuses        bool
	suspendedUntil time.Time
}

// faultyNodes are other nodes, by address. They implement relay.Nodes.
type faultyNodes struct {
	tc    *testCluster
	nodes map[string]*faultyNode
	// calls counts the calls that reached a node in batches.
	calls atomic.Int64
}

// wantCalls checks that nodes have called hosts for owners.
func (n *faultyNodes) wantCalls(t *testing.T) {
	t.Helper()
	if got := n.calls.Load(); got < 50 {
		t.Errorf("got %d calls through other nodes, want 50 or more", got)
	}
}

// useFaultyNodes makes owners call hosts through faulty nodes. latency returns that of the nodes'
// calls.
func (tc *testCluster) useFaultyNodes(count int, latency func(host string, command any) fake.Latency) *faultyNodes {
	nodes := &faultyNodes{tc: tc, nodes: make(map[string]*faultyNode)}
	for i := range count {
		hosts := fake.NewHostClient(tc.runners, tc.resourcesOf)
		hosts.SetLatency(latency)
		node := &faultyNode{hosts: hosts, stop: func() {}}
		nodes.nodes[fmt.Sprintf("d%d", i)] = node
		nodes.restart(node)
	}
	tc.wrapHosts = func(direct lease.HostClient) lease.HostClient {
		client := relay.NewClient(direct, nodes.clock, metrics.NewSet(), logr.Discard())
		client.SetNodes(nodes)
		client.SetDirectRate(1)
		return client
	}
	return nodes
}

func (n *faultyNodes) clock() time.Duration { return time.Since(n.tc.start) }

// restart gives a node a new process, which has no session.
func (n *faultyNodes) restart(node *faultyNode) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.stop()
	ctx, cancel := context.WithCancel(n.tc.ctx)
	node.stop, node.service = cancel, relay.NewService(node.hosts, n.clock)
	go node.service.Run(ctx)
}

// Others implements relay.Nodes.
func (n *faultyNodes) Others() []string {
	var others []string
	for i := range len(n.nodes) {
		others = append(others, fmt.Sprintf("d%d", i))
	}
	return others
}

// Send implements relay.Nodes.
func (n *faultyNodes) Send(ctx context.Context, address string, request *relay.Request, response *relay.Response) error {
	service, err := n.reach(ctx, address)
	if err != nil {
		return err
	}
	return service.Send(request, response)
}

// Exchange implements relay.Nodes.
func (n *faultyNodes) Exchange(ctx context.Context, address string, batch *relay.Batch, results *relay.Results) error {
	service, err := n.reach(ctx, address)
	if err != nil {
		return err
	}
	n.calls.Add(int64(len(batch.Calls)))
	// The node goes on after its caller has given up.
	done := make(chan error, 1)
	var late relay.Results
	go func() { done <- service.Exchange(batch, &late) }()
	select {
	case err := <-done:
		*results = late
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reach waits while a node is suspended, and returns its service.
func (n *faultyNodes) reach(ctx context.Context, address string) (*relay.Service, error) {
	node := n.nodes[address]
	node.mu.Lock()
	service, refuses, wait := node.service, node.refuses, time.Until(node.suspendedUntil)
	node.mu.Unlock()
	if refuses {
		return nil, &link.ConnectError{Address: address, Err: context.DeadlineExceeded}
	}
	return service, core.Sleep(ctx, time.Millisecond+max(0, wait))
}

// injectFaults makes nodes fail at random for some time.
func (n *faultyNodes) injectFaults(random *rand.Rand, period time.Duration) {
	for begun := time.Now(); time.Since(begun) < period; time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond) {
		node := n.nodes[fmt.Sprintf("d%d", random.IntN(len(n.nodes)))]
		lasts := time.Duration(random.IntN(4000)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			n.restart(node)
		case 1:
			node.setRefuses(true)
			fake.After(lasts, func() { node.setRefuses(false) })
		case 2:
			node.suspend(lasts)
		case 3:
			host := fmt.Sprintf("h%d", random.IntN(len(n.tc.runners)))
			node.hosts.SetPartitioned(host, true)
			fake.After(lasts, func() { node.hosts.SetPartitioned(host, false) })
		}
	}
}

func (n *faultyNode) setRefuses(refuses bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refuses = refuses
}

func (n *faultyNode) suspend(period time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspendedUntil = time.Now().Add(period)
}

// TestChaosWithDelegates does what TestChaos does while owners make other nodes call the hosts, which
// restart, refuse connections, are suspended and lose hosts at any time.
func TestChaosWithDelegates(t *testing.T) {
	for i := range *chaosSeeds {
		seed := *chaosFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runCluster(t, 6, func(tc *testCluster) {
				if *chaosLog {
					tc.logOutput = os.Stdout
				}
				c := newChaos(tc, seed)
				var mu sync.Mutex
				draw := c.latency(rand.New(rand.NewPCG(seed, 7)))
				nodes := tc.useFaultyNodes(4, func(host string, command any) fake.Latency {
					mu.Lock()
					defer mu.Unlock()
					return draw(host, command)
				})
				go nodes.injectFaults(rand.New(rand.NewPCG(seed, 11)), faultTime-5*time.Second)
				c.run()
				nodes.wantCalls(t)
			})
		})
	}
}

// Guards against runs that lapse, or begin twice, because the node that calls their hosts for the owner
// is suspended, restarts or is gone.
func TestFailedDelegateCostsNoRun(t *testing.T) {
	for name, fail := range map[string]func(*faultyNodes, *faultyNode){
		"suspended": func(_ *faultyNodes, node *faultyNode) { node.suspend(4 * time.Second) },
		"restarts":  func(nodes *faultyNodes, node *faultyNode) { nodes.restart(node) },
		"gone":      func(_ *faultyNodes, node *faultyNode) { node.setRefuses(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 8, func(tc *testCluster) {
				nodes := tc.useFaultyNodes(4, func(string, any) fake.Latency { return fake.Latency{Reply: time.Millisecond} })
				n := tc.claim("a")
				time.Sleep(time.Second)
				submitted := 0
				for begun := time.Now(); time.Since(begun) < 12*time.Second; submitted++ {
					if submitted%20 == 10 {
						fail(nodes, nodes.nodes[fmt.Sprintf("d%d", submitted/20%4)])
					}
					id := fmt.Sprintf("job%d", submitted)
					go func() { _ = tc.submit(n, id, simplePlan(6, 1000)) }()
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				nodes.wantCalls(t)
				if got := n.jobsCompleted(); got != submitted {
					t.Errorf("got %d of %d jobs completed, want all", got, submitted)
				}
				if lapsed := tc.checker.Ends(tasks.EndLeaseExpired); lapsed > 0 {
					t.Errorf("got %d runs whose lease expired, want none", lapsed)
				}
			})
		})
	}
}

// jobsCompleted returns how many jobs have completed.
func (n *node) jobsCompleted() int {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	count := 0
	for _, e := range n.cell.jobs {
		if e.job.Phase == tasks.Completed {
			count++
		}
	}
	return count
}
