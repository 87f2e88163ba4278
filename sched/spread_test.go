package sched

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/relay"
	"rattanpath/tasks"
)

// processor is the processor of a node, which does one thing at a time.
type processor struct {
	mu        sync.Mutex
	busyUntil time.Time
}

// use takes the processor for some time, and returns how long that lasts with what it was asked for
// before.
func (p *processor) use(work time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(work)
	return p.busyUntil.Sub(now)
}

// smallNodes are nodes that can make callsPerSecond calls to hosts each, or send or receive twice as
// many messages. The first is the owner; the others are idle. They implement relay.Nodes.
type smallNodes struct {
	processors []*processor
	services   []*relay.Service
}

// callsPerSecond is how many calls to hosts a node of smallNodes can make.
const callsPerSecond = 500

// useSmallNodes makes the owner one of count small nodes.
func (tc *testCluster) useSmallNodes(count int) {
	clock := func() time.Duration { return time.Since(tc.start) }
	nodes := &smallNodes{}
	for i := range count {
		p := &processor{}
		hosts := fake.NewHostClient(tc.runners, tc.resourcesOf)
		hosts.SetLatency(p.callLatency)
		service := relay.NewService(hosts, clock)
		if i > 0 {
			go service.Run(tc.ctx)
		}
		nodes.processors, nodes.services = append(nodes.processors, p), append(nodes.services, service)
	}
	tc.wrapHosts = func(direct lease.HostClient) lease.HostClient {
		direct.(*fake.HostClient).SetLatency(nodes.processors[0].callLatency)
		client := relay.NewClient(direct, clock, metrics.NewSet(), logr.Discard())
		client.SetNodes(nodes)
		client.SetDirectRate(callsPerSecond / 3)
		return client
	}
}

// callLatency returns the latency of a call to a host by a node with the processor.
func (p *processor) callLatency(string, any) fake.Latency {
	return fake.Latency{Request: p.use(time.Second / callsPerSecond)}
}

// Others implements relay.Nodes.
func (n *smallNodes) Others() []string {
	var others []string
	for i := range n.services[1:] {
		others = append(others, fmt.Sprint(i+1))
	}
	return others
}

// Send implements relay.Nodes.
func (n *smallNodes) Send(ctx context.Context, address string, request *relay.Request, response *relay.Response) error {
	node, err := n.receive(ctx, address)
	if err != nil {
		return err
	}
	return n.services[node].Send(request, response)
}

// Exchange implements relay.Nodes.
func (n *smallNodes) Exchange(ctx context.Context, address string, batch *relay.Batch, results *relay.Results) error {
	node, err := n.receive(ctx, address)
	if err != nil {
		return err
	}
	return n.services[node].Exchange(batch, results)
}

// receive returns the index of a node once a message of the owner has reached it.
func (n *smallNodes) receive(ctx context.Context, address string) (int, error) {
	var node int
	if _, err := fmt.Sscan(address, &node); err != nil {
		return 0, err
	}
	for _, i := range []int{0, node} {
		if err := core.Sleep(ctx, n.processors[i].use(time.Second/callsPerSecond/2)); err != nil {
			return 0, err
		}
	}
	return node, nil
}

// shareInTime returns the share of the submitted jobs that have ended by their objective.
func (n *node) shareInTime(submitted int) float64 {
	n.cell.mu.Lock()
	defer n.cell.mu.Unlock()
	inTime := 0
	for _, e := range n.cell.jobs {
		objective := scaleTime(500*time.Millisecond, e.job.Policy.Stretch) + e.job.Policy.Target
		if e.job.Phase == tasks.Completed && e.job.Ended.Sub(e.job.Accepted) <= objective {
			inTime++
		}
	}
	return float64(inTime) / float64(submitted)
}

// Guards against a service that is served too late while it asks for more than the processor of its
// owner's node carries, although other nodes are idle.
func TestServiceBeyondOneNodeIsServed(t *testing.T) {
	for _, factor := range []float64{1, 2, 4} {
		t.Run(fmt.Sprint(factor, " times what a node carries"), func(t *testing.T) {
			hosts := int(40 * factor)
			runCluster(t, hosts, func(tc *testCluster) {
				tc.useSmallNodes(12)
				tc.policy.Stretch, tc.policy.Target = 1.6, 600*time.Millisecond
				n := tc.claim("a")
				time.Sleep(time.Second)
				// Each task takes a start command and up to one heartbeat.
				const tasksPerJob = 5
				interval := time.Duration(float64(time.Second) * tasksPerJob / (factor * callsPerSecond * 0.6))
				submitted := 0
				for begun := time.Now(); time.Since(begun) < 5*time.Second; submitted++ {
					id := fmt.Sprintf("job%d", submitted)
					go func() { _ = tc.submit(n, id, simplePlan(tasksPerJob, 1000)) }()
					time.Sleep(interval)
				}
				time.Sleep(5 * time.Second)
				if got := n.shareInTime(submitted); got < 0.9 {
					t.Errorf("got %.2f of %d jobs that ended by their objective, want 0.9", got, submitted)
				}
			})
		})
	}
}
