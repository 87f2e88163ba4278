package local

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"rattanpath/engine"
	"rattanpath/fake"
	"rattanpath/infra"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/tasks"
	"rattanpath/views"
)

const (
	// taskDuration is the run time of a task of a batch job.
	taskDuration = 100 * time.Millisecond
	// hostAddress is the address in the host records. It is never dialed, because the
	// host client is a fake.
	hostAddress = "127.0.0.1:1"
	// hostCPU is the capacity of a host in thousandths of a core.
	hostCPU = 8000
	// stopGrace is the time that a node has to shut down.
	stopGrace = time.Second
	// maxLease is the longest lease of a host. The fake hosts accept longer ones.
	maxLease = 3 * time.Second
	// partitions is the number of partitions of a topic of the store.
	partitions = 32
	// maxCallBytes limits the size of a write to the store.
	maxCallBytes = 1 << 20
	// portsPerNode is the number of consecutive ports of a node: for callers, health
	// checks, peers and operators, in this order.
	portsPerNode = 4
)

// Options configures a cluster.
type Options struct {
	// Nodes and Hosts are the numbers of management nodes and of hosts.
	Nodes int
	Hosts int
	// Platform is the platform of the nodes. Its clients of the store, the hosts and
	// the cloud are replaced by fakes.
	Platform engine.Platform
	// EncodeConfig, EncodeHost and EncodeJob encode the operator's configuration, a
	// host record and a caller's job.
	EncodeConfig func(cfg *queue.Config) (key string, value []byte, err error)
	EncodeHost   func(host *pool.Host) ([]byte, error)
	EncodeJob    func(plan tasks.Plan) ([]byte, error)
	Logger       logr.Logger
}

// The service of the hosts, and the host name and path prefix of its queue.
const (
	service     = "Reindex"
	queueHost   = "jobs.example"
	queuePrefix = "/reindex/"
)

// Cluster is a set of management nodes with the fake store and hosts that they use.
type Cluster struct {
	options   Options
	store     *fake.Store
	checker   *fake.InvariantChecker
	runners   map[string]*fake.Runner
	nodes     []*node
	submitted int
}

// node is a management node.
type node struct {
	name     string
	settings engine.Settings
	app      *fx.App
}

// New returns a cluster without nodes, which RunScenario starts. Its hosts run until
// ctx ends.
func New(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{options: options, store: fake.NewStore(), checker: fake.NewInvariantChecker(), runners: make(map[string]*fake.Runner)}
	policy := tasks.Policy{Service: service, MaxAttempts: 3, Stretch: 2, Target: time.Second}
	cfg := queue.NewConfig(1, []*queue.Queue{{Name: service, Host: queueHost, Prefix: queuePrefix, Policy: policy}}, []queue.Service{{Name: service}}, queue.Limits{})
	key, value, err := options.EncodeConfig(cfg)
	if err != nil {
		return nil, err
	}
	c.store.Put(options.Platform.OperatorTopic, key, value)
	for i := range options.Hosts {
		if err := c.addHost(ctx, fmt.Sprintf("host-%d", i)); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) addHost(ctx context.Context, id string) error {
	info := pool.Host{ID: id, Service: service, Address: hostAddress, Capacity: tasks.Resources{CPU: hostCPU, MemMB: hostCPU}}
	runner := fake.NewRunner(info, 1, c.checker, runProfile)
	c.runners[id] = runner
	go runner.Run(ctx)
	value, err := c.options.EncodeHost(runner.Info())
	if err != nil {
		return err
	}
	c.store.Put(c.options.Platform.HostTopic, id, value)
	return nil
}

// servingPrefix is the prefix of the IDs of serving jobs.
const servingPrefix = "ff"

func runProfile(task tasks.ID, _ int) fake.RunProfile {
	if strings.HasPrefix(task.Job, servingPrefix) {
		return fake.RunProfile{Serving: true}
	}
	return fake.RunProfile{Duration: taskDuration}
}

// startNode starts another node.
func (c *Cluster) startNode(ctx context.Context) error {
	name := fmt.Sprintf("node-%d", len(c.nodes))
	n := &node{name: name}
	port, err := fake.FreePorts(portsPerNode)
	if err != nil {
		return err
	}
	n.settings = engine.Settings{
		Name: name, CallerListen: fake.LoopbackAddress(port), HealthListen: fake.LoopbackAddress(port + 1),
		PeerListen: fake.LoopbackAddress(port + 2), AdminListen: fake.LoopbackAddress(port + 3),
		Partitions: partitions, CallBytes: maxCallBytes, StopGrace: stopGrace, MaxLease: maxLease, JobRetention: time.Minute,
		MachineLease: time.Second, MoveDuration: time.Second, MaintenanceDuration: time.Second,
	}
	hosts := fake.NewHostClient(c.runners, func(tasks.ID) tasks.Resources { return tasks.Resources{CPU: taskCPU, MemMB: 1} })
	platform, client := c.options.Platform, c.store.Client(name)
	platform.Journal, platform.Group, platform.Config, platform.Pools, platform.Trimmer = client, client, client, client, client
	platform.Hosts, platform.Cloud = hosts, noCloud{}
	n.app = engine.New(n.settings, platform, c.options.Logger.WithValues("node", name))
	if err := n.app.Start(ctx); err != nil {
		return errors.WithMessagef(err, "starting %s", name)
	}
	c.nodes = append(c.nodes, n)
	return nil
}

// noCloud is a cloud without machines.
type noCloud struct{}

// Machines implements infra.Cloud.
func (noCloud) Machines(context.Context) ([]infra.Machine, error) { return []infra.Machine{}, nil }

// Move implements infra.Cloud.
func (noCloud) Move(context.Context, infra.Order, string) (infra.OrderResult, error) {
	return infra.Invalid, nil
}

// Maintain implements infra.Cloud.
func (noCloud) Maintain(context.Context, infra.Order, int64) (infra.OrderResult, error) {
	return infra.Invalid, nil
}

// stopNode stops the first node and returns its name.
func (c *Cluster) stopNode(ctx context.Context) (string, error) {
	n := c.nodes[0]
	c.nodes = c.nodes[1:]
	return n.name, errors.WithMessagef(n.app.Stop(ctx), "stopping %s", n.name)
}

// Close stops all nodes and returns the first error.
func (c *Cluster) Close(ctx context.Context) error {
	var first error
	for len(c.nodes) > 0 {
		if _, err := c.stopNode(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// adminAddress returns the admin address of the first node.
func (c *Cluster) adminAddress() string { return c.nodes[0].settings.AdminListen }

// callerAddresses returns the nodes' addresses for callers.
func (c *Cluster) callerAddresses() []string {
	var addresses []string
	for _, n := range c.nodes {
		addresses = append(addresses, n.settings.CallerListen)
	}
	return addresses
}

// firstHost returns the host of the first task that has one, or "".
func firstHost(detail views.JobDetail) string {
	at := slices.IndexFunc(detail.Tasks, func(t views.Task) bool { return t.Host != "" })
	if at < 0 {
		return ""
	}
	return detail.Tasks[at].Host
}
