package engine

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"rattanpath/claim"
	"rattanpath/core"
	"rattanpath/guard"
	"rattanpath/infra"
	"rattanpath/intake"
	"rattanpath/lease"
	"rattanpath/link"
	"rattanpath/owner"
	"rattanpath/pool"
	"rattanpath/queue"
	"rattanpath/relay"
	"rattanpath/sched"
)

const (
	// stopMargin is added to the grace period to get the timeout of a shutdown.
	stopMargin = time.Second
	// batchFraction is the size limit of a batch as a fraction of that of a write.
	batchFraction = 0.5
)

// Platform holds the clients of the outside platform that a node uses, and the
// codecs of the platform's formats.
type Platform struct {
	Journal claim.Journal
	// Trimmer may be nil.
	Trimmer sched.Trimmer
	Group   owner.Group
	Config  queue.Reader
	Pools   pool.Reader
	Hosts   lease.HostClient
	// Advisor may be nil.
	Advisor sched.Advisor
	Codec   intake.Codec
	Cloud   infra.Cloud
	// WaveStatus encodes the status of a maintenance wave as a record of StatusTopic.
	WaveStatus  func(number int64, completed bool) (key string, value []byte, err error)
	StatusTopic string
	// DecodeUpdate and DecodeHost decode the records of OperatorTopic and HostTopic.
	DecodeUpdate  queue.Decode
	DecodeHost    pool.Decode
	OperatorTopic string
	HostTopic     string
	Clock         core.Clock
}

// New returns a node as an fx application, which runs between Start and Stop.
func New(settings Settings, platform Platform, logger logr.Logger) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StopTimeout(settings.StopGrace+stopMargin),
		fx.Supply(settings, platform, metrics.NewSet()),
		fx.Provide(
			func() logr.Logger { return logger },
			core.NewLoopGroup,
			newGCTuner,
			newGates,
			newConfigWatcher,
			newMember,
			newRelay,
			newSupervisor,
			newPoolWatcher,
			newClient,
			newHandler,
			newServer,
			newMachineController,
			newAdminServer,
		),
		fx.Invoke(register),
	)
}

func newGates(settings Settings, set *metrics.Set, logger logr.Logger) *guard.Gates {
	if settings.Clients == (guard.Limits{}) {
		settings.Clients = guard.DefaultLimits(settings.MemoryLimit, 0)
	}
	return guard.NewGates(settings.Clients, set, logger)
}

func newConfigWatcher(platform Platform, logger logr.Logger) *queue.Watcher {
	return queue.NewWatcher(platform.Config, platform.OperatorTopic, platform.DecodeUpdate, logger)
}

func newMember(settings Settings, platform Platform, logger logr.Logger) *owner.Member {
	return owner.NewMember(platform.Group, settings.Name, settings.PeerListen, settings.MinMemberTTL, settings.Standby, logger)
}

// supervisorRef gives the pool watcher access to the supervisor, which depends on
// the watcher and is constructed after it.
type supervisorRef struct {
	supervisor *owner.Supervisor
}

func (r *supervisorRef) hasCells() bool { return r.supervisor != nil && r.supervisor.HasCells() }

func newPoolWatcher(platform Platform, logger logr.Logger) (*pool.Watcher, *supervisorRef) {
	ref := &supervisorRef{}
	return pool.NewWatcher(platform.Pools, platform.HostTopic, platform.DecodeHost, ref.hasCells, platform.Clock, logger), ref
}

// newRelay returns a client that calls the hosts, and a service that calls them for other nodes.
func newRelay(settings Settings, platform Platform, set *metrics.Set, logger logr.Logger) (*relay.Client, *relay.Service) {
	client, service := relay.NewClient(platform.Hosts, platform.Clock, set, logger), relay.NewService(platform.Hosts, platform.Clock)
	client.SetDirectRate(directRate(settings.Cores))
	service.RefuseWhile(client.Spreads)
	return client, service
}

// directRatePerCore is how many calls to hosts a second a node makes itself for each core that it
// has. They take about a fifth of its processor time.
const directRatePerCore = 2000

// directRate returns how many calls to hosts a second a node makes itself.
func directRate(cores float64) float64 {
	if cores == 0 {
		cores = 1
	}
	return cores * directRatePerCore
}

func newSupervisor(settings Settings, platform Platform, hosts *relay.Client, member *owner.Member, config *queue.Watcher, pools *pool.Watcher, ref *supervisorRef, set *metrics.Set, logger logr.Logger) *owner.Supervisor {
	supervisor := owner.NewSupervisor(member, config, pools, settings.Partitions, sched.Options{
		Node:         settings.Name,
		Journal:      platform.Journal,
		Trimmer:      platform.Trimmer,
		HostClient:   hosts,
		Advisor:      platform.Advisor,
		Clock:        platform.Clock,
		MaxLease:     settings.MaxLease,
		MaxRecordAge: settings.MaxRecordAge,
		JudgeHosts:   settings.JudgeHosts,
		JobRetention: settings.JobRetention,
		BatchBytes:   int(batchFraction * float64(settings.CallBytes)),
		RecordBytes:  settings.RecordBytes,
		Link:         sched.NewLink(settings.LinkRate),
		Logger:       logger,
		Metrics:      sched.NewMetrics(set),
	}, logger)
	ref.supervisor = supervisor
	return supervisor
}

func newClient(settings Settings, platform Platform, config *queue.Watcher, supervisor *owner.Supervisor, hosts *relay.Client, logger logr.Logger) *owner.Client {
	var dialer net.Dialer
	client := owner.NewClient(platform.Group, config, owner.NewService(supervisor), settings.PeerListen, settings.Partitions, dialer.DialContext, logger)
	hosts.SetNodes(relay.NewPeers(client.Others, dialer.DialContext))
	return client
}

func newHandler(config *queue.Watcher, client *owner.Client, platform Platform, set *metrics.Set, logger logr.Logger) *intake.Handler {
	handler := intake.NewHandler(config, client, platform.Codec, set, logger)
	config.OnConfig = handler.LearnConfig
	return handler
}

func newServer(settings Settings, handler *intake.Handler, config *queue.Watcher, gates *guard.Gates, logger logr.Logger) *intake.Server {
	ready := func() bool { return config.Config() != nil }
	return intake.NewServer(settings.CallerListen, settings.HealthListen, handler, ready, settings.StopGrace, gates, logger)
}

func newMachineController(settings Settings, platform Platform, supervisor *owner.Supervisor, client *owner.Client, config *queue.Watcher, set *metrics.Set, logger logr.Logger) *infra.Controller {
	var dialer net.Dialer
	return infra.New(infra.Options{
		Node:                settings.Name,
		Address:             settings.PeerListen,
		Cloud:               platform.Cloud,
		Cells:               client,
		Leaders:             infra.NewClient(dialer.DialContext),
		Operator:            config,
		Journal:             platform.Journal,
		Clock:               platform.Clock,
		IsLeader:            supervisor.OwnsFleetPartition,
		WaveStatus:          platform.WaveStatus,
		StatusTopic:         platform.StatusTopic,
		OrdersPerSecond:     settings.OrdersPerSecond,
		MachineLease:        settings.MachineLease,
		MaxLease:            settings.MaxLease,
		MoveDuration:        settings.MoveDuration,
		MaintenanceDuration: settings.MaintenanceDuration,
		Logger:              logger,
		Metrics:             set,
	})
}

// register adds the node's loops and servers to the lifecycle. On shutdown the node
// leaves the group first, so that other nodes take over its cells while it still
// serves callers.
func register(lifecycle fx.Lifecycle, settings Settings, loops *core.LoopGroup, tuner *gcTuner, config *queue.Watcher, pools *pool.Watcher, member *owner.Member, supervisor *owner.Supervisor, client *owner.Client, controller *infra.Controller, relays *relay.Service, admin *adminServer, handler *intake.Handler, server *intake.Server, gates *guard.Gates, logger logr.Logger) error {
	peers := link.NewServer(settings.PeerListen, func(conn net.Conn) net.Conn { return conn }, logger.WithName("peers"))
	peers.Limit(gates.Peers)
	if err := peers.Register(owner.RPCName, owner.NewService(supervisor)); err != nil {
		return err
	}
	if err := peers.Register(infra.RPCName, infra.NewService(controller)); err != nil {
		return err
	}
	if err := peers.Register(relay.RPCName, relays); err != nil {
		return err
	}
	member.OnRelease = client.NotifyPeers
	loops.Go(tuner.loop)
	loops.Go(gates.Run)
	loops.Go(config.Run)
	loops.Go(pools.Run)
	loops.Go(member.Run)
	loops.Go(supervisor.Run)
	loops.Go(supervisor.RunHostUpdates)
	loops.Go(client.Run)
	loops.Go(relays.Run)
	loops.Go(handler.Run)
	loops.Go(controller.Run)
	lifecycle.Append(fx.Hook{OnStart: peers.Start, OnStop: peers.Stop})
	lifecycle.Append(fx.Hook{OnStart: admin.server.Start, OnStop: admin.server.Stop})
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			logger.Info("starting node", "callers", settings.CallerListen, "peers", settings.PeerListen, "store", settings.Store)
			return server.Start(ctx)
		},
		OnStop: func(ctx context.Context) error {
			logger.Info("stopping node", "grace", settings.StopGrace)
			server.SetNotReady()
			member.Leave(ctx)
			return errors.Wrap(server.Stop(ctx), "stopping the callers' server")
		},
	})
	return nil
}
