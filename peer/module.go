package peer

import (
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rattanpath/core"
	"rattanpath/follow"
	"rattanpath/link"
	"rattanpath/roster"
	"rattanpath/route"
)

func init() {
	core.Modules.Register("peer", fx.Module("peer",
		fx.Provide(newFromSettings),
		fx.Invoke(start),
	))
}

func newFromSettings(settings core.Settings, follower *follow.Follower, watcher *roster.Watcher, members *roster.Members, router *route.Router, traffic *core.TrafficCounter, logger logr.Logger) *Exchanger {
	options := Options{
		Node:        settings.Name,
		Self:        settings.PeerListen,
		StaticPeers: settings.Peers,
		Interval:    settings.ExchangeEvery,
		Fanout:      settings.Fanout,
		Dial:        func(address string) Client { return NewClient(address, traffic) },
	}
	return New(options, follower, watcher, members, func() Load { return totalLoad(router.Table()) }, logger)
}

func totalLoad(table *route.Table) Load {
	var total Load
	if table == nil {
		return total
	}
	for _, service := range table.Services {
		total.InFlight += service.Running()
		total.Waiting += service.Waiting()
	}
	return total
}

func start(lifecycle fx.Lifecycle, loops *core.LoopGroup, exchanger *Exchanger, settings core.Settings, traffic *core.TrafficCounter, logger logr.Logger) error {
	server := link.NewServer(settings.PeerListen, traffic.Wrap, logger.WithName("peer"))
	if err := server.Register(serviceName, exchanger.Service()); err != nil {
		return err
	}
	lifecycle.Append(fx.Hook{OnStart: server.Start, OnStop: server.Stop})
	loops.Go(exchanger.Run)
	return nil
}
