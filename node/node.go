package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	// The modules of an entry node register themselves.
	_ "rattanpath/admin"
	"rattanpath/core"
	"rattanpath/follow"
	_ "rattanpath/peer"
	"rattanpath/plat"
	_ "rattanpath/proxy"
	"rattanpath/roster"
	_ "rattanpath/route"
)

// stopSlack is the time beyond linger and grace that a stop may take.
const stopSlack = 5 * time.Second

// Platform is what a node uses of the platform.
type Platform struct {
	Streams follow.Streams
	Lister  roster.Lister
	// Traffic counts the node's bytes for control.
	Traffic *core.TrafficCounter
}

// Connect returns the platform that the settings name, over HTTP.
func Connect(settings core.Settings) Platform {
	traffic := &core.TrafficCounter{}
	return Platform{
		Streams: ConnectStreams(settings.Platform, settings.Stream, settings.LogTimeout, traffic),
		Lister:  plat.NewHostList(settings.Platform, settings.LogTimeout, traffic),
		Traffic: traffic,
	}
}

// ConnectStreams returns the two streams of a fleet over HTTP; traffic may be
// nil.
func ConnectStreams(platform, stream string, timeout time.Duration, traffic *core.TrafficCounter) follow.Streams {
	return follow.Streams{
		Records:   plat.NewLog(platform, stream, timeout, traffic),
		Snapshots: plat.NewLog(platform, stream+follow.SnapshotSuffix, timeout, traffic),
	}
}

// New returns an entry node that runs between Start and Stop.
func New(settings core.Settings, platform Platform, logger logr.Logger, extra ...fx.Option) *fx.App {
	options := []fx.Option{
		fx.NopLogger,
		fx.StopTimeout(settings.Linger + settings.ShutdownGrace + stopSlack),
		fx.Supply(settings, platform.Streams, platform.Traffic, metrics.NewSet()),
		fx.Provide(
			func() logr.Logger { return logger },
			func() roster.Lister { return platform.Lister },
			core.NewLoopGroup,
		),
	}
	options = append(options, core.Modules.All()...)
	options = append(options, extra...)
	return fx.New(options...)
}
