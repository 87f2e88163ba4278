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
		Node:   settings.Name,
		Self:   settings.PeerListen,
		Fixed:  settings.Peers,
		Every:  settings.ExchangeEvery,
		Fanout: settings.Fanout,
		Dial:   func(address string) Link { return NewLink(address, traffic) },
	}
	return New(options, follower, watcher, members, func() Load { return loadOf(router.Table()) }, logger)
}

func loadOf(table *route.Table) Load {
	var load Load
	if table == nil {
		return load
	}
	for _, service := range table.Services {
		load.InFlight += service.Running()
		load.Waiting += service.Waiting()
	}
	return load
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
