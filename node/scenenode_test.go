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

// sceneNode is an entry node without its sockets.
type sceneNode struct {
	name     string
	follower *follow.Follower
	router   *route.Router
	stop     context.CancelFunc
	loops    sync.WaitGroup
}

// revision returns the configuration that the node serves by, or 0.
func (n *sceneNode) revision() int64 {
	if table := n.router.Table(); table != nil {
		return table.Revision
	}
	return 0
}

// hosts returns the number of hosts that may get new requests.
func (n *sceneNode) hosts() int {
	if table := n.router.Table(); table != nil {
		return len(table.Services["S"].Targets)
	}
	return 0
}

// start starts a node with empty memory and lists it.
func (s *scene) start(name string) {
	logger := logr.Discard()
	streams := follow.Streams{
		Records:   &cutLog{scene: s, node: name, log: s.records},
		Snapshots: &cutLog{scene: s, node: name, log: s.snaps},
	}
	n := &sceneNode{name: name}
	n.follower = follow.New(streams, time.Second, logger)
	snapshotter := follow.NewSnapshotter(n.follower, 16, 10*time.Minute, logger)
	watcher := roster.New(&cutList{scene: s, node: name}, 500*time.Millisecond, logger)
	members := roster.NewMembers(name)
	n.router = route.New(name, n.follower, watcher, members, route.LeastOfTwo{}, logger)
	options := peer.Options{
		Node:        name,
		Self:        name,
		StaticPeers: []string{"n0", "n1", "n2", "n3"},
		Interval:    500 * time.Millisecond,
		Fanout:      2,
		Dial:        func(address string) peer.Client { return &cutLink{scene: s, from: name, to: address} },
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

// kill ends a node and takes it off the list.
func (s *scene) kill(name string) {
	s.nodes[name].stop()
	s.nodes[name].loops.Wait()
	delete(s.nodes, name)
	s.network.setService(name, nil)
	s.list.Remove(name)
}

// sceneNetwork says who reaches whom.
type sceneNetwork struct {
	mu sync.Mutex
	// cuts holds "node/what" for what a node can't reach.
	cuts map[string]bool
	// services are the peers' answering sides by node.
	services map[string]*peer.Service
}

func (n *sceneNetwork) cut(node, what string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[node+"/"+what]
}

func (n *sceneNetwork) service(node string) *peer.Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.services[node]
}

func (n *sceneNetwork) setService(node string, service *peer.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[node] = service
}

var errCut = errors.New("cut off")

// cutLog is a node's way to the log; a cut breaks reads under way as well.
type cutLog struct {
	scene *scene
	node  string
	log   follow.Log
}

func (c *cutLog) cut() bool { return c.scene.network.cut(c.node, "log") }

func (c *cutLog) Append(ctx context.Context, data []byte) (int64, error) {
	if c.cut() {
		return 0, errCut
	}
	return c.log.Append(ctx, data)
}

func (c *cutLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) ([]core.Entry, error) {
	if c.cut() {
		return nil, errCut
	}
	entries, err := c.log.Read(ctx, from, limit, wait)
	if c.cut() {
		return nil, errCut
	}
	return entries, err
}

func (c *cutLog) Bounds(ctx context.Context) (core.Bounds, error) {
	if c.cut() {
		return core.Bounds{}, errCut
	}
	return c.log.Bounds(ctx)
}

// cutList is a node's way to the host list.
type cutList struct {
	scene *scene
	node  string
}

func (c *cutList) Hosts(ctx context.Context) ([]core.Host, error) {
	if c.scene.network.cut(c.node, "list") {
		return nil, errCut
	}
	return c.scene.list.Hosts(ctx)
}

// cutLink is a node's way to a peer.
type cutLink struct {
	scene    *scene
	from, to string
}

func (c *cutLink) Exchange(_ context.Context, request peer.Request) (*peer.Response, error) {
	network := &c.scene.network
	service := network.service(c.to)
	if service == nil || network.cut(c.from, "peers") || network.cut(c.to, "peers") {
		return nil, errCut
	}
	answer := new(peer.Response)
	err := service.Exchange(request, answer)
	return answer, err
}

func (c *cutLink) Close() {}
