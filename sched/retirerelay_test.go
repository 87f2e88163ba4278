package sched

import (
	"context"
	"testing"
	"time"

	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/relay"
	"rattanpath/tasks"
)

// slowNodes are nodes to which a request takes some time.
type slowNodes struct {
	relay.Nodes
	latency time.Duration
}

// Send implements relay.Nodes.
func (n slowNodes) Send(ctx context.Context, address string, request *relay.Request, response *relay.Response) error {
	if err := core.Sleep(ctx, n.latency); err != nil {
		return err
	}
	return n.Nodes.Send(ctx, address, request, response)
}

// Guards against starting the runs of a host elsewhere because the cloud has accepted an order that its
// machine had carried out long before, and the owner can't reach the host while another node does.
func TestRetiredHostThatAnotherNodeReachesKeepsItsRuns(t *testing.T) {
	for name, test := range map[string]struct{ latency, cutFor time.Duration }{
		"path known":            {0, 8 * time.Second},
		"path known, slow node": {150 * time.Millisecond, 8 * time.Second},
		"path just cut":         {0, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 2, func(tc *testCluster) {
				tc.useRelayWith(func(n relay.Nodes) relay.Nodes { return slowNodes{n, test.latency} })
				tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Duration: 20 * time.Second} }
				n := tc.claim("a")
				time.Sleep(100 * time.Millisecond)
				if err := tc.submit(n, "job", simplePlan(3, 1000)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				tc.cutOff(n)
				time.Sleep(test.cutFor)
				if err := n.cell.Retire([]RetiredHost{{ID: n.hostOf("job", 0)}}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(30 * time.Second)
				tc.wantPhase(n, "job", tasks.Completed)
				if got := tc.checker.Starts(); got != 3 {
					t.Errorf("got %d starts of 3 tasks, want 3", got)
				}
			})
		})
	}
}
