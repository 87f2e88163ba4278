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
	"rattanpath/fold"
	"rattanpath/follow"
	"rattanpath/node"
	"rattanpath/proxy"
	"rattanpath/query"
	"rattanpath/route"
)

// Stream is the name of the stream that a fleet uses.
const Stream = "rattanpath"

// Fleet is a platform, its workers and the entry nodes.
type Fleet struct {
	Platform *fake.Platform
	// Tune changes the settings of each node before it starts; it may be nil.
	Tune   func(*core.Settings)
	logger logr.Logger
	server *httptest.Server
	status *query.Client

	mu    sync.Mutex
	nodes map[string]*member
	// balanced are the addresses that the balancer sends requests to.
	balanced map[string]string
}

// member is a running entry node.
type member struct {
	host     core.Host
	settings core.Settings
	app      *fx.App
	proxy    *proxy.Server
	router   *route.Router
	traffic  *core.TrafficCounter
}

// New returns a fleet without hosts whose streams keep the newest retention
// records, or all if that is 0.
func New(retention int, logger logr.Logger) *Fleet {
	platform := fake.NewPlatform(retention)
	return &Fleet{
		Platform: platform,
		logger:   logger,
		server:   httptest.NewServer(platform.Handler()),
		status:   query.New(time.Second),
		nodes:    make(map[string]*member),
		balanced: make(map[string]string),
	}
}

// AddWorkers starts a worker for every host of a declaration.
func (f *Fleet) AddWorkers(declaration *config.Declaration) error {
	return f.Platform.AddWorkers(declaration)
}

// Streams returns the fleet's streams over HTTP.
func (f *Fleet) Streams() follow.Streams {
	return node.NewStreams(f.server.URL, Stream, time.Second, nil)
}

// Start lists and starts an entry node with empty memory.
func (f *Fleet) Start(ctx context.Context, name string) error {
	m, err := f.newMember(name)
	if err != nil {
		return err
	}
	f.Platform.HostList.Put(m.host)
	m.app = node.New(m.settings, node.NewPlatform(m.settings), f.logger.WithValues("node", name), fx.Populate(&m.proxy, &m.router, &m.traffic))
	if err := m.app.Start(ctx); err != nil {
		return errors.Wrapf(err, "starting %s", name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = m
	check := &healthCheck{fleet: f, member: m}
	go check.run()
	return nil
}

// StartAll starts count nodes, named node-0 and so on.
func (f *Fleet) StartAll(ctx context.Context, count int) error {
	for i := range count {
		if err := f.Start(ctx, NodeName(i)); err != nil {
			return err
		}
	}
	return nil
}

// NodeName returns the name of a node by its number.
func NodeName(i int) string { return fmt.Sprintf("node-%d", i) }

func (f *Fleet) newMember(name string) (*member, error) {
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
		Stream:          Stream,
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
	if f.Tune != nil {
		f.Tune(&settings)
	}
	return &member{host: host, settings: settings}, nil
}

// Stop ends a node gracefully: the platform lists it as leaving, the balancer
// takes it out, and it finishes what it has.
func (f *Fleet) Stop(ctx context.Context, name string) error {
	m := f.take(name)
	f.Platform.HostList.MarkLeaving(name)
	unbalance := time.AfterFunc(balancerLag, func() { f.unbalance(name, m.host.Address) })
	defer unbalance.Stop()
	err := m.app.Stop(ctx)
	f.unbalance(name, m.host.Address)
	f.Platform.HostList.Remove(name)
	return errors.Wrapf(err, "stopping %s", name)
}

// Kill ends a node at once; the balancer and the platform learn of it later.
func (f *Fleet) Kill(ctx context.Context, name string) error {
	m := f.take(name)
	m.proxy.Kill()
	err := m.app.Stop(ctx)
	time.Sleep(balancerLag)
	f.unbalance(name, m.host.Address)
	f.Platform.HostList.Remove(name)
	return errors.Wrapf(err, "killing %s", name)
}

func (f *Fleet) take(name string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.nodes[name]
	delete(f.nodes, name)
	return m
}

// LowestRevision returns the oldest configuration that a running node serves
// by; 0 if one serves none.
func (f *Fleet) LowestRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	lowest := int64(math.MaxInt64)
	for _, m := range f.nodes {
		table := m.router.Table()
		if table == nil {
			return 0
		}
		lowest = min(lowest, table.Revision)
	}
	return lowest
}

// ControlBytes returns the bytes that the running nodes have received and sent
// for control, all together.
func (f *Fleet) ControlBytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := int64(0)
	for _, m := range f.nodes {
		total += m.traffic.Received() + m.traffic.Sent()
	}
	return total
}

// Host returns the host of a running node.
func (f *Fleet) Host(name string) core.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name].host
}

// Close stops every node and the platform.
func (f *Fleet) Close(ctx context.Context) {
	f.mu.Lock()
	nodes := f.nodes
	f.nodes = make(map[string]*member)
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range nodes {
		m.proxy.Kill()
		wg.Go(func() { _ = m.app.Stop(ctx) })
	}
	wg.Wait()
	f.server.CloseClientConnections()
	f.server.Close()
	f.Platform.Close()
}

// Hosts implements change.Nodes.
func (f *Fleet) Hosts(ctx context.Context) ([]core.Host, error) {
	return f.Platform.HostList.Hosts(ctx)
}

// Revision implements change.Nodes.
func (f *Fleet) Revision(ctx context.Context, host core.Host) (int64, error) {
	status, err := f.status.Status(ctx, host.AdminAddress)
	return status.Revision, err
}

// Current returns the state that the log holds.
func (f *Fleet) Current(ctx context.Context) (*fold.State, error) {
	return change.NewPublisher(f.Streams()).Current(ctx)
}

// Publish brings files in force against a base and waits until every live node
// has them. It returns the revision and the time from the call to the last
// node.
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
