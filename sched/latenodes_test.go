package sched

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"rattanpath/fake"
	"rattanpath/lease"
	"rattanpath/relay"
)

// lateNodes are other nodes that call hosts over a late network.
type lateNodes struct{ service *relay.Service }

// Others implements relay.Nodes.
func (n *lateNodes) Others() []string { return []string{"d0"} }

// Send implements relay.Nodes.
func (n *lateNodes) Send(_ context.Context, _ string, request *relay.Request, response *relay.Response) error {
	time.Sleep(time.Millisecond)
	return n.service.Send(request, response)
}

// Exchange implements relay.Nodes.
func (n *lateNodes) Exchange(_ context.Context, _ string, batch *relay.Batch, results *relay.Results) error {
	time.Sleep(time.Millisecond)
	return n.service.Exchange(batch, results)
}

// useWay makes nodes call the hosts through a delegate, or through a node since they don't reach the
// host themselves.
func (s *formerScene) useWay(way string) {
	if way == "direct" {
		return
	}
	clock := func() time.Duration { return time.Since(s.start) }
	over := func(network *lateNetwork, hosts lease.HostClient) lease.HostClient {
		return &lateClient{network, hosts}
	}
	own := s.network
	if way == "relay" {
		own = newLateNetwork()
		own.setCut(formerHost, true)
	}
	hosts := fake.NewHostClient(s.runners, s.resourcesOf)
	nodes := &lateNodes{relay.NewService(over(s.network, hosts), clock)}
	go nodes.service.Run(s.ctx)
	s.wrapHosts = func(hosts lease.HostClient) lease.HostClient {
		client := relay.NewClient(over(own, hosts), clock, metrics.NewSet(), logr.Discard())
		client.SetNodes(nodes)
		if way == "delegate" {
			client.SetDirectRate(0.001)
		}
		return client
	}
}
