package node_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rattanpath/core"
	"rattanpath/follow"
	"rattanpath/peer"
	"rattanpath/roster"
	"rattanpath/route"
)

// testNode is an entry node without network listeners.
type testNode struct {
	name     string
	follower *follow.Follower
	router   *route.Router
	stop     context.CancelFunc
	loops    sync.WaitGroup
}

// revision returns the revision that the node serves, or 0 if it is not ready.
func (n *testNode) revision() int64 {
	if table := n.router.Table(); table != nil {
		return table.Revision
	}
	return 0
}

// hosts returns the number of hosts that the node routes new requests to.
func (n *testNode) hosts() int {
	if table := n.router.Table(); table != nil {
		return len(table.Services["S"].Targets)
	}
	return 0
}

// start starts a node without any state and adds it to the host list.
func (s *scenario) start(name string) {
	logger := logr.Discard()
	streams := follow.Streams{
		Records:   &partitionedLog{scenario: s, node: name, log: s.records},
		Snapshots: &partitionedLog{scenario: s, node: name, log: s.snapshots},
	}
	n := &testNode{name: name}
	n.follower = follow.New(streams, time.Second, logger)
	snapshotter := follow.NewSnapshotter(n.follower, 16, 10*time.Minute, logger)
	watcher := roster.New(&partitionedList{scenario: s, node: name}, 500*time.Millisecond, logger)
	members := roster.NewMembers(name)
	n.router = route.New(name, n.follower, watcher, members, route.LeastOfTwo{}, logger)
	options := peer.Options{
		Node:        name,
		Self:        name,
		StaticPeers: []string{"n0", "n1", "n2", "n3"},
		Interval:    500 * time.Millisecond,
		Fanout:      2,
		Dial:        func(address string) peer.Client { return &partitionedClient{scenario: s, from: name, to: address} },
	}
	exchanger := peer.New(options, n.follower, watcher, members, func() peer.Load { return peer.Load{} }, logger)
	s.network.setService(name, exchanger.Service())
	s.list.Put(core.Host{Name: name, Role: core.RoleEntry, State: core.HostLive, PeerAddress: name})
	s.nodes[name] = n
	ctx, cancel := context.WithCancel(s.t.Context())
	n.stop = cancel
	for _, run := range []func(context.Context){n.follower.Run, snapshotter.Run, watcher.Run, n.router.Run, exchanger.Run} {
		n.loops.Go(func() { run(ctx) })
	}
}

// kill stops a node and removes it from the host list.
func (s *scenario) kill(name string) {
	s.nodes[name].stop()
	s.nodes[name].loops.Wait()
	delete(s.nodes, name)
	s.network.setService(name, nil)
	s.list.Remove(name)
}

// network simulates the network between nodes and platform, with partitions.
type network struct {
	mu sync.Mutex
	// partitions holds "node/resource" for each resource that a node can't reach.
	partitions map[string]bool
	// services holds the peer service of each running node, by node name.
	services map[string]*peer.Service
}

func (n *network) partitioned(node, resource string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[node+"/"+resource]
}

func (n *network) service(node string) *peer.Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.services[node]
}

func (n *network) setService(node string, service *peer.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[node] = service
}

var errPartitioned = errors.New("network partition")

// partitionedLog is a node's log client. A partition also fails reads in
// progress.
type partitionedLog struct {
	scenario *scenario
	node     string
	log      follow.Log
}

func (c *partitionedLog) partitioned() bool { return c.scenario.network.partitioned(c.node, "log") }

func (c *partitionedLog) Append(ctx context.Context, data []byte) (int64, error) {
	if c.partitioned() {
		return 0, errPartitioned
	}
	return c.log.Append(ctx, data)
}

func (c *partitionedLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) ([]core.Entry, error) {
	if c.partitioned() {
		return nil, errPartitioned
	}
	entries, err := c.log.Read(ctx, from, limit, wait)
	if c.partitioned() {
		return nil, errPartitioned
	}
	return entries, err
}

func (c *partitionedLog) Bounds(ctx context.Context) (core.LogBounds, error) {
	if c.partitioned() {
		return core.LogBounds{}, errPartitioned
	}
	return c.log.Bounds(ctx)
}

// partitionedList is a node's client of the host list.
type partitionedList struct {
	scenario *scenario
	node     string
}

func (c *partitionedList) Hosts(ctx context.Context) ([]core.Host, error) {
	if c.scenario.network.partitioned(c.node, "list") {
		return nil, errPartitioned
	}
	return c.scenario.list.Hosts(ctx)
}

// partitionedClient is a node's client of a peer.
type partitionedClient struct {
	scenario *scenario
	from, to string
}

func (c *partitionedClient) Exchange(_ context.Context, request peer.Request) (*peer.Response, error) {
	network := &c.scenario.network
	service := network.service(c.to)
	if service == nil || network.partitioned(c.from, "peers") || network.partitioned(c.to, "peers") {
		return nil, errPartitioned
	}
	response := new(peer.Response)
	err := service.Exchange(request, response)
	return response, err
}

func (c *partitionedClient) Close() {}
