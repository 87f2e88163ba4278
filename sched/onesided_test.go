package sched

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/relay"
	"rattanpath/tasks"
)

// relayNodes are nodes that call the hosts for others, by address. They implement relay.Nodes.
type relayNodes map[string]*relay.Service

// Others implements relay.Nodes.
func (n relayNodes) Others() []string { return []string{"other"} }

// Send implements relay.Nodes.
func (n relayNodes) Send(_ context.Context, address string, request *relay.Request, response *relay.Response) error {
	return n[address].Send(request, response)
}

// Exchange implements relay.Nodes.
func (n relayNodes) Exchange(_ context.Context, address string, batch *relay.Batch, results *relay.Results) error {
	return n[address].Exchange(batch, results)
}

// useRelay lets all nodes call hosts through another node, whose client of the hosts it returns.
func (tc *testCluster) useRelay() *fake.HostClient {
	return tc.useRelayWith(func(nodes relay.Nodes) relay.Nodes { return nodes })
}

// useRelayWith does the same, with other nodes that wrap changes.
func (tc *testCluster) useRelayWith(wrap func(relay.Nodes) relay.Nodes) *fake.HostClient {
	clock := func() time.Duration { return time.Since(tc.start) }
	others := fake.NewHostClient(tc.runners, tc.resourcesOf)
	service := relay.NewService(others, clock)
	go service.Run(tc.ctx)
	tc.wrapHosts = func(direct lease.HostClient) lease.HostClient {
		client := relay.NewClient(direct, clock, metrics.NewSet(), logr.Discard())
		client.SetNodes(wrap(relayNodes{"other": service}))
		return client
	}
	return others
}

// cutOff makes all hosts unreachable for a node.
func (tc *testCluster) cutOff(n *node) {
	for id := range tc.runners {
		n.hosts.SetPartitioned(id, true)
	}
}

// Guards against a serving task whose run lapses on a live host and that stays without a run, because
// its owner can't reach the hosts of the service while other nodes do.
func TestOwnerReachesHostsThroughAnotherNode(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.useRelay()
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		n := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(n, "job", servingPlan(1, 1000))
		time.Sleep(5 * time.Second)
		gaps := tc.measureGaps(tasks.ID{Job: "job"})
		tc.cutOff(n)
		time.Sleep(30 * time.Second)
		gaps.wantShort(t)
		if lapsed := tc.checker.Ends(tasks.EndLeaseExpired); lapsed > 0 {
			t.Errorf("got %d runs whose lease expired, want none", lapsed)
		}
	})
}

// Guards against a serving task that a new owner doesn't take over because it can't reach its host,
// while other nodes do.
func TestNewOwnerReachesHostsThroughAnotherNode(t *testing.T) {
	runCluster(t, 3, func(tc *testCluster) {
		tc.useRelay()
		tc.profileOf = func(tasks.ID, int) fake.RunProfile { return fake.RunProfile{Serving: true} }
		first := tc.claim("a")
		time.Sleep(100 * time.Millisecond)
		tc.mustSubmit(first, "job", servingPlan(1, 1000))
		time.Sleep(5 * time.Second)
		gaps := tc.measureGaps(tasks.ID{Job: "job"})
		tc.kill(first)
		second := tc.claim("b")
		tc.cutOff(second)
		time.Sleep(30 * time.Second)
		gaps.wantShort(t)
	})
}
