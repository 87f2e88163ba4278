package engine

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"rattanpath/cell"
	"rattanpath/claim"
	"rattanpath/core"
	"rattanpath/depot"
	"rattanpath/intake"
	"rattanpath/lease"
	"rattanpath/link"
	"rattanpath/owner"
	"rattanpath/pool"
	"rattanpath/queue"
)

const (
	// stopSlack is the time beyond the grace that a stop may take.
	stopSlack = time.Second
	// batchShare is the part of the largest write that a batch fills.
	batchShare = 0.5
)

// Platform is what a node uses of the platform.
type Platform struct {
	Journal claim.Journal
	Group   owner.Group
	Queues  queue.Reader
	Pools   pool.Reader
	Hosts   lease.Hosts
	// Advisor may be nil.
	Advisor cell.Advisor
	Codec   intake.Codec
	// DecodeOrders and DecodeHost read the records of the operator and of hosts,
	// which are in these topics.
	Cloud depot.Cloud
	// WaveStatus returns the record that reports the state of a wave.
	WaveStatus    func(number int64, completed bool) (key string, value []byte, err error)
	StatusTopic   string
	DecodeOrders  queue.Decode
	DecodeHost    pool.Decode
	OperatorTopic string
	HostTopic     string
	Clock         core.Clock
}

// New returns a node that runs between Start and Stop.
func New(settings Settings, platform Platform, logger logr.Logger) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StopTimeout(settings.StopGrace+stopSlack),
		fx.Supply(settings, platform, metrics.NewSet()),
		fx.Provide(
			func() logr.Logger { return logger },
			core.NewLoopGroup,
			newQueues,
			newMember,
			newOwner,
			newPools,
			newFinder,
			newHandler,
			newServer,
			newDepot,
			newDesk,
		),
		fx.Invoke(start),
	)
}

func newQueues(platform Platform, logger logr.Logger) *queue.Watcher {
	return queue.NewWatcher(platform.Queues, platform.OperatorTopic, platform.DecodeOrders, logger)
}

func newMember(settings Settings, platform Platform, logger logr.Logger) *owner.Member {
	return owner.NewMember(platform.Group, settings.Name, settings.PeerListen, settings.MinMemberTTL, settings.InReserve, logger)
}

// wanted lets the watcher of hosts ask the owner, which is made after it.
type wanted struct {
	owner *owner.Owner
}

func (w *wanted) active() bool { return w.owner != nil && w.owner.Active() }

func newPools(platform Platform, logger logr.Logger) (*pool.Watcher, *wanted) {
	w := &wanted{}
	return pool.NewWatcher(platform.Pools, platform.HostTopic, platform.DecodeHost, w.active, logger), w
}

func newOwner(settings Settings, platform Platform, member *owner.Member, queues *queue.Watcher, pools *pool.Watcher, w *wanted, set *metrics.Set, logger logr.Logger) *owner.Owner {
	o := owner.New(member, queues, pools, settings.Partitions, cell.Options{
		Node:       settings.Name,
		Journal:    platform.Journal,
		Hosts:      platform.Hosts,
		Advisor:    platform.Advisor,
		Clock:      platform.Clock,
		MaxLease:   settings.MaxLease,
		KeepEnded:  settings.KeepEnded,
		BatchBytes: int(batchShare * float64(settings.CallBytes)),
		Logger:     logger,
		Meters:     cell.NewMeters(set),
	}, logger)
	w.owner = o
	return o
}

func newFinder(settings Settings, platform Platform, queues *queue.Watcher, o *owner.Owner, logger logr.Logger) *owner.Finder {
	var dialer net.Dialer
	return owner.NewFinder(platform.Group, queues, owner.NewService(o), settings.PeerListen, settings.Partitions, dialer.DialContext, logger)
}

func newHandler(queues *queue.Watcher, finder *owner.Finder, platform Platform, set *metrics.Set, logger logr.Logger) *intake.Handler {
	return intake.NewHandler(queues, finder, platform.Codec, set, logger)
}

func newServer(settings Settings, handler *intake.Handler, queues *queue.Watcher, logger logr.Logger) *intake.Server {
	ready := func() bool { return queues.Table() != nil }
	return intake.NewServer(settings.CallerListen, settings.HealthListen, handler, ready, settings.StopGrace, logger)
}

func newDepot(settings Settings, platform Platform, o *owner.Owner, finder *owner.Finder, queues *queue.Watcher, set *metrics.Set, logger logr.Logger) *depot.Depot {
	var dialer net.Dialer
	return depot.New(depot.Options{
		Node:        settings.Name,
		Address:     settings.PeerListen,
		Cloud:       platform.Cloud,
		Cells:       finder,
		Holders:     depot.NewPeers(dialer.DialContext),
		Tables:      queues,
		Journal:     platform.Journal,
		Clock:       platform.Clock,
		Holds:       o.HoldsFleet,
		WaveStatus:  platform.WaveStatus,
		StatusTopic: platform.StatusTopic,
		HolderLease: settings.HolderLease,
		MoveTime:    settings.MoveTime,
		UpkeepTime:  settings.UpkeepTime,
		Logger:      logger,
		Set:         set,
	})
}

// start orders the parts: at a stop the node first leaves the group, so that
// others take its cells over while it still answers callers.
func start(lifecycle fx.Lifecycle, settings Settings, loops *core.LoopGroup, queues *queue.Watcher, pools *pool.Watcher, member *owner.Member, o *owner.Owner, finder *owner.Finder, machines *depot.Depot, operators *desk, server *intake.Server, logger logr.Logger) error {
	peers := link.NewServer(settings.PeerListen, func(conn net.Conn) net.Conn { return conn }, logger.WithName("peers"))
	if err := peers.Register(owner.RPCName, owner.NewService(o)); err != nil {
		return err
	}
	if err := peers.Register(depot.RPCName, depot.NewService(machines)); err != nil {
		return err
	}
	member.Shrunk = finder.TellOthers
	loops.Go(queues.Run)
	loops.Go(pools.Run)
	loops.Go(member.Run)
	loops.Go(o.Run)
	loops.Go(o.RunHosts)
	loops.Go(finder.Run)
	loops.Go(machines.Run)
	lifecycle.Append(fx.Hook{OnStart: peers.Start, OnStop: peers.Stop})
	lifecycle.Append(fx.Hook{OnStart: operators.server.Start, OnStop: operators.server.Stop})
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			logger.Info("node starts", "callers", settings.CallerListen, "peers", settings.PeerListen, "store", settings.Store)
			return server.Start(ctx)
		},
		OnStop: func(ctx context.Context) error {
			logger.Info("node stops", "grace", settings.StopGrace)
			server.Unready()
			member.Leave(ctx)
			return errors.Wrap(server.Stop(ctx), "stopping")
		},
	})
	return nil
}
