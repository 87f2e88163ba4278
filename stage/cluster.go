package stage

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"rattanpath/depot"
	"rattanpath/engine"
	"rattanpath/fake"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/tasks"
	"rattanpath/views"
)

const (
	// taskDuration is how long a task of a job takes.
	taskDuration = 100 * time.Millisecond
	// hostAddress stands in the entries of hosts; nobody calls it.
	hostAddress = "127.0.0.1:1"
	// hostCPU is the capacity of a host in thousandths of a core.
	hostCPU = 8000
	// stopGrace is the time from the signal to stop to the kill.
	stopGrace = time.Second
	// maxLease is the longest lease of a host.
	maxLease = 3 * time.Second
	// partitions is how many partitions a topic of the store has.
	partitions = 32
	// maxCallBytes bounds a write.
	maxCallBytes = 1 << 20
)

// Options say what a stage is made of.
type Options struct {
	Nodes int
	Hosts int
	// Platform is what nodes use of the platform but for the store, the hosts and
	// the cloud, which are stand-ins.
	Platform engine.Platform
	// EncodeConfig, EncodeHost and EncodeJob write what the operator, a host and a
	// caller do.
	EncodeConfig func(cfg *queue.Config) (key string, value []byte, err error)
	EncodeHost   func(host *pool.Host) ([]byte, error)
	EncodeJob    func(plan tasks.Plan) ([]byte, error)
	Logger       logr.Logger
}

// The service of the hosts and its queue.
const (
	service     = "Reindex"
	queueHost   = "jobs.example"
	queuePrefix = "/reindex/"
)

// Cluster is a fleet of stand-ins and the nodes that manage it.
type Cluster struct {
	options Options
	store   *fake.Store
	checker *fake.InvariantChecker
	runners map[string]*fake.Runner
	nodes   []*node
	jobs    int
}

// node is a managing node.
type node struct {
	name     string
	settings engine.Settings
	app      *fx.App
}

// New returns a stage whose hosts run until ctx ends.
func New(ctx context.Context, options Options) (*Cluster, error) {
	s := &Cluster{options: options, store: fake.NewStore(), checker: fake.NewInvariantChecker(), runners: make(map[string]*fake.Runner)}
	policy := tasks.Policy{Service: service, MaxAttempts: 3, Stretch: 2, Target: time.Second}
	cfg := queue.NewConfig(1, []*queue.Queue{{Name: service, Host: queueHost, Prefix: queuePrefix, Policy: policy}}, []queue.Service{{Name: service}}, queue.Limits{})
	key, value, err := options.EncodeConfig(cfg)
	if err != nil {
		return nil, err
	}
	s.store.Put(options.Platform.OperatorTopic, key, value)
	for i := range options.Hosts {
		if err := s.addHost(ctx, fmt.Sprintf("host-%d", i)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Cluster) addHost(ctx context.Context, id string) error {
	info := pool.Host{ID: id, Service: service, Address: hostAddress, Capacity: tasks.Resources{CPU: hostCPU, MemMB: hostCPU}}
	runner := fake.NewRunner(info, 1, s.checker, runProfile)
	s.runners[id] = runner
	go runner.Run(ctx)
	value, err := s.options.EncodeHost(runner.Info())
	if err != nil {
		return err
	}
	s.store.Put(s.options.Platform.HostTopic, id, value)
	return nil
}

// servingPrefix begins the IDs of jobs whose tasks serve until they are cancelled.
const servingPrefix = "ff"

func runProfile(task tasks.ID, _ int) fake.RunProfile {
	if strings.HasPrefix(task.Job, servingPrefix) {
		return fake.RunProfile{Serving: true}
	}
	return fake.RunProfile{Duration: taskDuration}
}

// startNode starts one more node.
func (s *Cluster) startNode(ctx context.Context) error {
	name := fmt.Sprintf("node-%d", len(s.nodes))
	n := &node{name: name}
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress(ctx)
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	n.settings = engine.Settings{
		Name: name, CallerListen: addresses[0], HealthListen: addresses[1], PeerListen: addresses[2], AdminListen: addresses[3],
		Partitions: partitions, CallBytes: maxCallBytes, StopGrace: stopGrace, MaxLease: maxLease, KeepEnded: time.Minute,
		HolderLease: time.Second, MoveTime: time.Second, UpkeepTime: time.Second,
	}
	hosts := fake.NewHostClient(s.runners, func(tasks.ID) tasks.Resources { return tasks.Resources{CPU: taskCPU, MemMB: 1} })
	platform, client := s.options.Platform, s.store.Client(name)
	platform.Journal, platform.Group, platform.Queues, platform.Pools = client, client, client, client
	platform.Hosts, platform.Cloud = hosts, noCloud{}
	n.app = engine.New(n.settings, platform, s.options.Logger.WithValues("node", name))
	if err := n.app.Start(ctx); err != nil {
		return errors.WithMessagef(err, "starting %s", name)
	}
	s.nodes = append(s.nodes, n)
	return nil
}

// noCloud is a cloud without machines.
type noCloud struct{}

// Machines implements depot.Cloud.
func (noCloud) Machines(context.Context) ([]depot.Machine, error) { return []depot.Machine{}, nil }

// Move implements depot.Cloud.
func (noCloud) Move(context.Context, depot.Order, string) (depot.OrderResult, error) {
	return depot.Invalid, nil
}

// Maintain implements depot.Cloud.
func (noCloud) Maintain(context.Context, depot.Order, int64) (depot.OrderResult, error) {
	return depot.Invalid, nil
}

// stopNode stops the first node.
func (s *Cluster) stopNode(ctx context.Context) (string, error) {
	n := s.nodes[0]
	s.nodes = s.nodes[1:]
	return n.name, errors.WithMessagef(n.app.Stop(ctx), "stopping %s", n.name)
}

// Close stops all nodes and returns the first error.
func (s *Cluster) Close(ctx context.Context) error {
	var first error
	for len(s.nodes) > 0 {
		if _, err := s.stopNode(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// adminAddress returns the address at which a node answers operators.
func (s *Cluster) adminAddress() string { return s.nodes[0].settings.AdminListen }

// callerAddresses returns the addresses at which nodes take callers' requests.
func (s *Cluster) callerAddresses() []string {
	var addresses []string
	for _, n := range s.nodes {
		addresses = append(addresses, n.settings.CallerListen)
	}
	return addresses
}

// firstHost returns a host on which a lasting task runs.
func firstHost(detail views.JobDetail) string {
	at := slices.IndexFunc(detail.Tasks, func(t views.Task) bool { return t.Host != "" })
	if at < 0 {
		return ""
	}
	return detail.Tasks[at].Host
}

// freeAddress returns an address on loopback on which nobody listens.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "looking for a free port")
	}
	return listener.Addr().String(), errors.Wrap(listener.Close(), "looking for a free port")
}
