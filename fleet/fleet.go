package fleet

import (
	"context"
	"fmt"
	"math"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"rattanpath/change"
	"rattanpath/config"
	"rattanpath/core"
	"rattanpath/fake"
	"rattanpath/follow"
	"rattanpath/node"
	"rattanpath/proxy"
	"rattanpath/query"
	"rattanpath/replay"
	"rattanpath/route"
)

// StreamName is the name of the fleet's stream in the platform's log.
const StreamName = "rattanpath"

// Fleet is a fake platform with its workers, and the entry nodes.
type Fleet struct {
	Platform *fake.Platform
	// AdjustSettings modifies the settings of each node before it starts; it may be
	// nil.
	AdjustSettings func(*core.Settings)
	logger         logr.Logger
	server         *httptest.Server
	statusClient   *query.Client

	mu    sync.Mutex
	nodes map[string]*entryNode
	// rotation holds the addresses that the load balancer sends requests to, by
	// node name.
	rotation map[string]string
}

// entryNode is a running entry node.
type entryNode struct {
	host     core.Host
	settings core.Settings
	app      *fx.App
	proxy    *proxy.Server
	router   *route.Router
	traffic  *core.TrafficCounter
}

// New returns a fleet without hosts or nodes. Each of its streams retains the
// newest retention records, or all records if retention is 0.
func New(retention int, logger logr.Logger) *Fleet {
	platform := fake.NewPlatform(retention)
	return &Fleet{
		Platform:     platform,
		logger:       logger,
		server:       httptest.NewServer(platform.Handler()),
		statusClient: query.New(time.Second),
		nodes:        make(map[string]*entryNode),
		rotation:     make(map[string]string),
	}
}

// AddWorkers starts a fake worker for each host of a declaration.
func (f *Fleet) AddWorkers(declaration *config.Declaration) error {
	return f.Platform.AddWorkers(declaration)
}

// Streams returns HTTP clients of the fleet's streams.
func (f *Fleet) Streams() follow.Streams {
	return node.NewStreams(f.server.URL, StreamName, time.Second, nil)
}

// Start adds an entry node to the host list and starts it without any state.
func (f *Fleet) Start(ctx context.Context, name string) error {
	n, err := f.newEntryNode(name)
	if err != nil {
		return err
	}
	f.Platform.HostList.Put(n.host)
	n.app = node.New(n.settings, node.NewPlatform(n.settings), f.logger.WithValues("node", name), fx.Populate(&n.proxy, &n.router, &n.traffic))
	if err := n.app.Start(ctx); err != nil {
		return errors.Wrapf(err, "starting %s", name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = n
	check := &healthCheck{fleet: f, node: n}
	go check.run()
	return nil
}

// StartAll starts count nodes, named by NodeName.
func (f *Fleet) StartAll(ctx context.Context, count int) error {
	for i := range count {
		if err := f.Start(ctx, NodeName(i)); err != nil {
			return err
		}
	}
	return nil
}

// NodeName returns the name of the i-th node, such as "node-0".
func NodeName(i int) string { return fmt.Sprintf("node-%d", i) }

func (f *Fleet) newEntryNode(name string) (*entryNode, error) {
	port, err := fake.FreePorts(fake.PortsPerNode)
	if err != nil {
		return nil, err
	}
	host := fake.EntryHost(name, port)
	settings := core.Settings{
		Name:            name,
		Listen:          host.Address,
		PeerListen:      host.PeerAddress,
		AdminListen:     host.AdminAddress,
		Platform:        f.server.URL,
		Stream:          StreamName,
		RosterPoll:      500 * time.Millisecond,
		LogWait:         time.Second,
		LogTimeout:      time.Second,
		ExchangeEvery:   500 * time.Millisecond,
		Fanout:          2,
		SnapshotRecords: 64,
		SnapshotEvery:   10 * time.Minute,
		Chooser:         "LeastOfTwo",
		MaxHeaderBytes:  32 << 10,
		MaxConnections:  10000,
		HeaderTimeout:   5 * time.Second,
		IdleTimeout:     time.Minute,
		Linger:          time.Second,
		ShutdownGrace:   30 * time.Second,
	}
	if f.AdjustSettings != nil {
		f.AdjustSettings(&settings)
	}
	return &entryNode{host: host, settings: settings}, nil
}

// Stop shuts a node down gracefully: the platform lists it as leaving, the load
// balancer takes it out of rotation, and the node completes its requests.
func (f *Fleet) Stop(ctx context.Context, name string) error {
	n := f.removeNode(name)
	f.Platform.HostList.MarkLeaving(name)
	removal := time.AfterFunc(balancerDelay, func() { f.removeFromRotation(name, n.host.Address) })
	defer removal.Stop()
	err := n.app.Stop(ctx)
	f.removeFromRotation(name, n.host.Address)
	f.Platform.HostList.Remove(name)
	return errors.Wrapf(err, "stopping %s", name)
}

// Kill stops a node without draining its requests. The load balancer and the
// platform's host list remove it only afterwards.
func (f *Fleet) Kill(ctx context.Context, name string) error {
	n := f.removeNode(name)
	n.proxy.Kill()
	err := n.app.Stop(ctx)
	time.Sleep(balancerDelay)
	f.removeFromRotation(name, n.host.Address)
	f.Platform.HostList.Remove(name)
	return errors.Wrapf(err, "killing %s", name)
}

func (f *Fleet) removeNode(name string) *entryNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	delete(f.nodes, name)
	return n
}

// LowestRevision returns the lowest revision of the configuration that is active
// on a running node, or 0 if a node has none.
func (f *Fleet) LowestRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	lowest := int64(math.MaxInt64)
	for _, n := range f.nodes {
		table := n.router.Table()
		if table == nil {
			return 0
		}
		lowest = min(lowest, table.Revision)
	}
	return lowest
}

// ControlBytes returns the control traffic of all running nodes, received and
// sent, in bytes.
func (f *Fleet) ControlBytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := int64(0)
	for _, n := range f.nodes {
		total += n.traffic.Received() + n.traffic.Sent()
	}
	return total
}

// Host returns the entry of a running node in the host list. It panics if no node
// of that name runs.
func (f *Fleet) Host(name string) core.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name].host
}

// Close stops all nodes without draining them, and the platform.
func (f *Fleet) Close(ctx context.Context) {
	f.mu.Lock()
	nodes := f.nodes
	f.nodes = make(map[string]*entryNode)
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, n := range nodes {
		n.proxy.Kill()
		wg.Go(func() { _ = n.app.Stop(ctx) })
	}
	wg.Wait()
	f.server.CloseClientConnections()
	f.server.Close()
	f.Platform.Close()
}

// Hosts returns the platform's host list.
func (f *Fleet) Hosts(ctx context.Context) ([]core.Host, error) {
	return f.Platform.HostList.Hosts(ctx)
}

// Revision queries a node for the revision of its active configuration.
func (f *Fleet) Revision(ctx context.Context, host core.Host) (int64, error) {
	status, err := f.statusClient.Status(ctx, host.AdminAddress)
	return status.Revision, err
}

// Current returns the state that results from the records in the log.
func (f *Fleet) Current(ctx context.Context) (*replay.State, error) {
	return change.NewPublisher(f.Streams()).Current(ctx)
}

// Publish publishes files based on the revision base, and waits until they are
// active on every live node. It returns the new revision and the time that
// publishing and rollout took.
func (f *Fleet) Publish(ctx context.Context, id string, base int64, files config.Files) (int64, time.Duration, error) {
	started := time.Now()
	publisher := change.NewPublisher(f.Streams())
	revision, err := publisher.Publish(ctx, change.Request{ID: id, Writer: "operator", Base: base, Files: files})
	if err != nil {
		return 0, 0, err
	}
	_, err = change.AwaitRollout(ctx, f, revision)
	return revision, time.Since(started), err
}
