package sched

import (
	"context"
	"sync"
	"testing"
	"time"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/relay"
	"rattanpath/tasks"
)

// twoNodes are two nodes that call hosts for others. Once one is to be suspended, the one that was
// called last answers no more.
type twoNodes struct {
	relay.Nodes
	mu        sync.Mutex
	last      string
	suspended string
}

// Others implements relay.Nodes.
func (n *twoNodes) Others() []string { return []string{"x", "y"} }

// Send implements relay.Nodes.
func (n *twoNodes) Send(ctx context.Context, address string, request *relay.Request, response *relay.Response) error {
	n.mu.Lock()
	suspended := n.suspended == address
	if !suspended {
		n.last = address
	}
	n.mu.Unlock()
	if suspended {
		return core.Sleep(ctx, time.Hour)
	}
	return n.Nodes.Send(ctx, "other", request, response)
}

func (n *twoNodes) suspend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspended = n.last
}

// Guards against runs that lapse because the node through which their owner calls the host is
// suspended, while another node reaches it.
func TestSuspendedRelayCostsNoRun(t *testing.T) {
	for delay := time.Duration(0); delay < 1500*time.Millisecond; delay += 100 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			runCluster(t, 3, func(tc *testCluster) {
				nodes := &twoNodes{}
				tc.useRelayWith(func(n relay.Nodes) relay.Nodes {
					nodes.Nodes = n
					return nodes
				})
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
				n := tc.startServing(1)
				time.Sleep(3 * time.Second)
				gaps := tc.measureGaps(tasks.ID{Job: "job"})
				tc.cutOff(n)
				time.Sleep(8*time.Second + delay)
				nodes.suspend()
				time.Sleep(20 * time.Second)
				gaps.wantShort(t)
				if lapsed := tc.checker.Ends(tasks.EndLeaseExpired); lapsed > 0 {
					t.Errorf("got %d runs whose lease expired, want none", lapsed)
				}
			})
		})
	}
}
